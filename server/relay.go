package server

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/generator"
	"apricotspool/namer"
)

// relay carries the answer of one completion from engines to the caller. It goes through the attempts
// that the core decides on until one has delivered the whole answer. The exchange's goroutine owns it.
type relay struct {
	x          *exchange
	ticket     *dispatcher.Ticket
	operation  generator.Operation
	completion *completion
	rank       namer.Rank
	out        sink
	kept       continuation
	next       int                        // index of the next chunk for the caller
	attempts   map[namer.Attempt]*attempt // under way, without a chunk yet
	opened     chan opened                // attempts whose first chunk is there or that failed
	left       []generator.Target         // engines that may still run an earlier attempt
	ran        bool                       // an engine may have executed a part of the request
	last       generator.Target           // engine of the attempt that delivers
	firstChunk time.Time
}

// sink writes the chunks of an answer to the caller.
type sink interface {
	// chunk writes one chunk; more says that another one follows without a wait.
	chunk(c generator.Chunk, more bool) error
	done() error
}

// attempt is one execution of the request at an engine.
type attempt struct {
	number namer.Attempt
	target generator.Target
	cancel context.CancelFunc
}

// opened is the start of an attempt: its stream with the first chunk, or an error.
type opened struct {
	attempt *attempt
	stream  generator.Stream
	first   generator.Chunk
	err     error
}

func newRelay(x *exchange, ticket *dispatcher.Ticket, operation generator.Operation, c *completion, rank namer.Rank) *relay {
	r := &relay{
		x: x, ticket: ticket, operation: operation, completion: c, rank: rank,
		attempts: map[namer.Attempt]*attempt{}, opened: make(chan opened),
	}
	r.out = &answerSink{x: x, operation: operation}
	if c.Stream {
		r.out = &streamSink{x: x}
	}
	return r
}

// run ends when the caller has an answer or is gone.
func (r *relay) run(ctx context.Context) {
	defer func() { r.stop(nil) }()
	for r.x.outcome == "" {
		select {
		case a, ok := <-r.ticket.Actions():
			if !ok {
				r.fail(classifier.Draining, "")
				return
			}
			r.act(ctx, a)
		case o := <-r.opened:
			r.take(ctx, o)
		case <-r.ticket.Stopped():
			r.fail(classifier.Draining, "")
		case <-ctx.Done():
			r.ended(ctx)
		}
	}
}

func (r *relay) act(ctx context.Context, a decider.Action) {
	switch a.Kind {
	case decider.ActionRefuse:
		r.failFor(a.Outcome, "", a.RetryAfter)
	case decider.ActionDispatch:
		r.begin(ctx, a)
	case decider.ActionCancel:
		if at := r.attempts[a.Attempt]; at != nil {
			r.drop(at)
		}
	}
}

// begin starts an attempt. Its first chunk or its error comes through r.opened.
func (r *relay) begin(ctx context.Context, a decider.Action) {
	target, known := r.x.target(a.Endpoint)
	if !known {
		r.ticket.Failed(a.Attempt, a.Endpoint, classifier.RetryEndpointLeaving, true, 0)
		return
	}
	r.kept.parse()
	if r.kept.opaque {
		r.ticket.Cancelled()
		r.fail(classifier.EndpointFailed, "the engine failed and its answer can't be continued by another")
		return
	}
	if r.x.id.Endpoint == "" {
		r.x.id.Endpoint = a.Endpoint
	}
	call := generator.Call{
		Stream: r.x.id.Stream, Attempt: a.Attempt, Operation: r.operation, Model: r.completion.Model,
		Body: r.completion.Body, Priority: a.Priority, From: r.next, Continuation: r.kept.text.String(),
	}
	ctx, cancel := context.WithCancel(ctx)
	at := &attempt{number: a.Attempt, target: target, cancel: cancel}
	r.attempts[a.Attempt] = at
	r.cancelLeft(target)
	var prefill generator.Target
	split := false
	if a.Prefill != "" {
		prefill, split = r.x.target(a.Prefill)
	}
	go func() {
		o := r.open(ctx, at, call, prefill, split)
		select {
		case r.opened <- o:
		case <-ctx.Done():
			if o.stream != nil {
				o.stream.Close()
			}
		}
	}()
}

// open runs in its own goroutine and reads only what does not change.
func (r *relay) open(ctx context.Context, at *attempt, call generator.Call, prefill generator.Target, split bool) opened {
	if split {
		if err := r.prefill(ctx, prefill, call); err != nil {
			return opened{attempt: at, err: err}
		}
		call.ImportFrom = prefill.Address
	}
	stream, err := r.x.server.Engine.Generate(ctx, at.target, call)
	if err != nil {
		return opened{attempt: at, err: err}
	}
	first, err := stream.Next()
	return opened{attempt: at, stream: stream, first: first, err: err}
}

// prefill lets an engine process the prompt and keep its KV cache.
func (r *relay) prefill(ctx context.Context, at generator.Target, call generator.Call) error {
	call.PrefillOnly = true
	stream, err := r.x.server.Engine.Generate(ctx, at, call)
	if err != nil {
		return err
	}
	defer stream.Close()
	chunk, err := stream.Next()
	if err == nil && !chunk.Done {
		return errors.Wrapf(generator.ErrBroken, "prefill at endpoint %q has a chunk", at.Endpoint)
	}
	return err
}

// take goes on with an attempt that has its first chunk, or reports that it failed.
func (r *relay) take(ctx context.Context, o opened) {
	delete(r.attempts, o.attempt.number)
	if o.stream != nil {
		r.ran = true
		defer func() { o.stream.Close() }()
	}
	defer func() { o.attempt.cancel() }()
	if o.err != nil {
		r.attemptFailed(ctx, o.attempt, o.err)
		return
	}
	r.stop(o.attempt)
	r.last = o.attempt.target
	r.ticket.Started(o.attempt.number, o.attempt.target.Endpoint)
	if r.firstChunk.IsZero() {
		r.firstChunk = time.Now()
		if m := r.x.server.Metrics; m != nil {
			m.FirstToken(r.rank, r.firstChunk.Sub(r.x.began))
		}
	}
	r.deliver(ctx, &o)
}

// deliver passes chunks on until the stream is complete or can't go on. It replaces o.stream when it
// has connected again.
func (r *relay) deliver(ctx context.Context, o *opened) {
	chunk, reconnects := o.first, 0
	for {
		if chunk.Done {
			r.finish(o.attempt)
			return
		}
		if chunk.Index != r.next || chunk.Stream != r.x.id.Stream { // the arguments of Check would cost allocations for each chunk
			asserter.Check(false, "chunks are delivered in order",
				"stream %s expects index %d and gets %d of stream %s", r.x.id.Stream, r.next, chunk.Index, chunk.Stream)
		}
		if err := r.out.chunk(chunk, o.stream.Pending()); err != nil {
			r.callerGone()
			return
		}
		r.kept.add(chunk.Data)
		r.next++
		var err error
		for chunk, err = o.stream.Next(); err != nil; chunk, err = o.stream.Next() {
			again := r.reconnect(ctx, o.attempt, &reconnects)
			if again == nil {
				r.attemptFailed(ctx, o.attempt, err)
				return
			}
			o.stream.Close()
			o.stream = again
		}
	}
}

// Limits of reconnections. A stream whose connection breaks again and again is better rerun elsewhere.
const (
	maxReconnects    = 3
	reconnectTimeout = 2 * time.Second
)

// reconnect resumes the stream at the same engine, which keeps it when only the connection broke.
func (r *relay) reconnect(ctx context.Context, at *attempt, count *int) generator.Stream {
	if *count++; *count > maxReconnects || ctx.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(reconnectTimeout, cancel)
	stream, err := r.x.server.Engine.Generate(ctx, at.target, generator.Call{
		Stream: r.x.id.Stream, Attempt: at.number, Operation: r.operation, From: r.next, Resume: true,
	})
	if err != nil || !limit.Stop() || stream.Attempt() != at.number {
		cancel()
		return nil
	}
	at.cancel = joined(at.cancel, cancel)
	return stream
}

func joined(first, second context.CancelFunc) context.CancelFunc {
	return func() {
		first()
		second()
	}
}
