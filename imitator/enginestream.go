package imitator

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// reader is one connection that reads a stream.
type reader struct {
	engine *Engine
	stream *engineStream
	ctx    context.Context
	broken <-chan struct{}
	next   int
	data   []byte
	timer  *time.Timer
	closed bool
	end    error
}

// read attaches a reader to a stream. The caller holds the lock.
func (e *Engine) read(ctx context.Context, s *engineStream, from int) *reader {
	s.readers++
	if s.kept != nil {
		s.kept.Stop()
	}
	return &reader{engine: e, stream: s, ctx: ctx, broken: e.broken, next: from}
}

func (r *reader) Attempt() namer.Attempt { return r.stream.attempt }

func (r *reader) Pending() bool {
	select {
	case <-r.stream.ready:
		return r.end == nil && !time.Now().Before(r.stream.due(r.engine, r.next))
	default:
		return false
	}
}

func (r *reader) Next() (generator.Chunk, error) {
	if r.end != nil {
		return generator.Chunk{}, r.end
	}
	if err := r.await(); err != nil {
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
	r.data = r.stream.answer.append(r.data[:0], r.stream.id, r.next)
	chunk.Data = r.data
	r.next++
	return chunk, nil
}

// await waits until the next chunk is due.
func (r *reader) await() error {
	if err := wait(r, r.stream.ready); err != nil {
		return err
	}
	delay := time.Until(r.stream.due(r.engine, r.next))
	if delay <= 0 {
		return wait(r, closedChannel)
	}
	if r.timer == nil {
		r.timer = time.NewTimer(delay)
	} else {
		r.timer.Reset(delay)
	}
	return wait(r, r.timer.C)
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// wait returns an error when the stream or the connection ends before the event; with both there,
// the error wins, so that a broken stream delivers nothing more.
func wait[T any](r *reader, event <-chan T) error {
	select {
	case <-r.stream.gone:
	case <-r.broken:
	case <-r.ctx.Done():
	default:
		select {
		case <-event:
			return nil
		case <-r.stream.gone:
		case <-r.broken:
		case <-r.ctx.Done():
		}
	}
	return errors.Wrapf(generator.ErrBroken, "stream %s at index %d", r.stream.id, r.next)
}

// Close detaches the reader. A stream without readers is kept for the time limit.
func (r *reader) Close() error {
	e, s := r.engine, r.stream
	e.lock()
	defer e.mu.Unlock()
	if r.closed {
		return nil
	}
	r.closed = true
	if r.end == nil {
		r.end = errors.Wrap(generator.ErrBroken, "stream is closed")
	}
	if s.readers--; s.readers == 0 && e.streams[s.id] == s {
		s.kept = time.AfterFunc(e.Keep, func() {
			e.lock()
			defer e.mu.Unlock()
			if s.readers == 0 {
				e.remove(s)
			}
		})
	}
	return nil
}
