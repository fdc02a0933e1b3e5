package imitator

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// streamReader is a connection that reads a stream.
type streamReader struct {
	engine           *Engine
	stream           *engineStream
	ctx              context.Context
	connectionBroken <-chan struct{}
	next             int
	data             []byte
	timer            *time.Timer
	closed           bool
	end              error
}

// attachReader attaches a reader to a stream. The caller holds the lock.
func (e *Engine) attachReader(ctx context.Context, s *engineStream, from int) *streamReader {
	s.readers++
	if s.expiry != nil {
		s.expiry.Stop()
	}
	return &streamReader{engine: e, stream: s, ctx: ctx, connectionBroken: e.connectionsBroken, next: from}
}

func (r *streamReader) Attempt() namer.Attempt { return r.stream.attempt }

func (r *streamReader) Pending() bool {
	select {
	case <-r.stream.ready:
		return r.end == nil && !time.Now().Before(r.stream.dueAt(r.engine, r.next))
	default:
		return false
	}
}

func (r *streamReader) Next() (generator.Chunk, error) {
	if r.end != nil {
		return generator.Chunk{}, r.end
	}
	if err := r.awaitChunk(); err != nil {
		r.end = err
		return generator.Chunk{}, err
	}
	chunk := generator.Chunk{Stream: r.stream.id, Attempt: r.stream.attempt, Index: r.next}
	if r.next >= r.stream.end {
		chunk.Done, r.end = true, io.EOF
		if r.engine.Interval == 0 {
			r.engine.finish(r.stream)
		}
		return chunk, nil
	}
	r.data = r.stream.completion.appendChunk(r.data[:0], r.stream.id, r.next)
	chunk.Data = r.data
	r.next++
	return chunk, nil
}

// awaitChunk waits until the next chunk is available.
func (r *streamReader) awaitChunk() error {
	if err := waitFor(r, r.stream.ready); err != nil {
		return err
	}
	delay := time.Until(r.stream.dueAt(r.engine, r.next))
	if delay <= 0 {
		return waitFor(r, closedChannel)
	}
	if r.timer == nil {
		r.timer = time.NewTimer(delay)
	} else {
		r.timer.Reset(delay)
	}
	return waitFor(r, r.timer.C)
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// waitFor waits for an event. It returns an error if the stream or the connection ends first, or if both
// have happened, so that a broken stream delivers no more chunks.
func waitFor[T any](r *streamReader, event <-chan T) error {
	select {
	case <-r.stream.cancelled:
	case <-r.connectionBroken:
	case <-r.ctx.Done():
	default:
		select {
		case <-event:
			return nil
		case <-r.stream.cancelled:
		case <-r.connectionBroken:
		case <-r.ctx.Done():
		}
	}
	return errors.Wrapf(generator.ErrBroken, "stream %s at index %d", r.stream.id, r.next)
}

// Close detaches the reader. A stream without readers is removed after Engine.UnreadTTL.
func (r *streamReader) Close() error {
	e, s := r.engine, r.stream
	e.lock()
	defer e.mu.Unlock()
	if r.closed {
		return nil
	}
	r.closed = true
	if r.end == nil {
		r.end = errors.Wrap(generator.ErrBroken, "stream was closed by its reader")
	}
	if s.readers--; s.readers == 0 && e.streams[s.id] == s {
		s.expiry = time.AfterFunc(e.UnreadTTL, func() {
			e.lock()
			defer e.mu.Unlock()
			if s.readers == 0 {
				e.remove(s)
			}
		})
	}
	return nil
}
