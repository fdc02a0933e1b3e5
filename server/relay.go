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

// relay sends the response to one completion request from engines to the caller. It makes the attempts that
// the decision core chooses until the response is complete. It is owned by the exchange's goroutine.
type relay struct {
	x               *exchange
	ticket          *dispatcher.Ticket
	operation       generator.Operation
	request         *completionRequest
	rank            namer.Rank
	sink            sink
	delivered       continuation
	nextIndex       int                        // index of the next chunk to deliver
	pendingAttempts map[namer.Attempt]*attempt // in progress, without a chunk so far
	attemptResults  chan attemptResult         // attempts that have a first chunk or have failed
	toCancel        []generator.Target         // engines that may still be running an earlier attempt
	mayHaveRun      bool                       // an engine may have executed the request, at least partly
	lastTarget      generator.Target           // engine of the delivering attempt, or of the latest one
	firstChunkTime  time.Time
}

// sink writes the chunks of a response to the caller.
type sink interface {
	// writeChunk writes one chunk; more reports whether the next one is already available.
	writeChunk(c generator.Chunk, more bool) error
	writeDone() error
}

// attempt is one execution of the request at an engine.
type attempt struct {
	number namer.Attempt
	target generator.Target
	cancel context.CancelFunc
}

// attemptResult is the result of starting an attempt: its stream and first chunk, or an error.
type attemptResult struct {
	attempt *attempt
	stream  generator.Stream
	first   generator.Chunk
	err     error
}

func newRelay(x *exchange, ticket *dispatcher.Ticket, operation generator.Operation, c *completionRequest, rank namer.Rank) *relay {
	r := &relay{
		x: x, ticket: ticket, operation: operation, request: c, rank: rank,
		pendingAttempts: map[namer.Attempt]*attempt{}, attemptResults: make(chan attemptResult),
	}
	r.sink = &bufferedSink{x: x, operation: operation}
	if c.Stream {
		r.sink = &streamSink{x: x}
	}
	return r
}

// run serves the request until it has an outcome.
func (r *relay) run(ctx context.Context) {
	defer func() { r.dropAllExcept(nil) }()
	for r.x.outcome == "" {
		select {
		case a, ok := <-r.ticket.Actions():
			if !ok {
				r.fail(classifier.Draining, "")
				return
			}
			r.handleAction(ctx, a)
		case result := <-r.attemptResults:
			r.handleAttemptResult(ctx, result)
		case <-r.ticket.Stopped():
			r.fail(classifier.Draining, "")
		case <-ctx.Done():
			r.handleContextDone(ctx)
		}
	}
}

func (r *relay) handleAction(ctx context.Context, a decider.Action) {
	switch a.Kind {
	case decider.ActionRefuse:
		r.failWithRetryAfter(a.Outcome, "", a.RetryAfter)
	case decider.ActionDispatch:
		if !r.x.headerSent && r.x.callerLeft() { // a caller that has no response yet can't resume it
			r.handleDisconnect()
			return
		}
		r.startAttempt(ctx, a)
	case decider.ActionCancel:
		if att := r.pendingAttempts[a.Attempt]; att != nil {
			r.dropAttempt(att)
		}
	}
}

// startAttempt starts an attempt in another goroutine, which sends its result to r.attemptResults.
func (r *relay) startAttempt(ctx context.Context, a decider.Action) {
	target, known := r.x.target(a.Endpoint)
	if !known {
		r.ticket.Failed(a.Attempt, a.Endpoint, classifier.RetryEndpointLeaving, true, 0)
		return
	}
	r.delivered.decode()
	if r.delivered.notContinuable {
		r.ticket.Cancelled()
		r.fail(classifier.EndpointFailed, "the engine failed and no other engine can continue its response")
		return
	}
	if r.x.id.Endpoint == "" {
		r.x.id.Endpoint = a.Endpoint
	}
	call := generator.Call{
		Stream: r.x.id.Stream, Attempt: a.Attempt, Operation: r.operation, Model: r.request.Model,
		Body: r.request.Body, Priority: a.Priority, From: r.nextIndex, Continuation: r.delivered.text.String(),
	}
	ctx, cancel := context.WithCancel(ctx)
	att := &attempt{number: a.Attempt, target: target, cancel: cancel}
	r.pendingAttempts[a.Attempt] = att
	r.cancelSuperseded(target)
	var prefill generator.Target
	hasPrefill := false
	if a.Prefill != "" {
		prefill, hasPrefill = r.x.target(a.Prefill)
	}
	go func() {
		result := r.openStream(ctx, att, call, prefill, hasPrefill)
		select {
		case r.attemptResults <- result:
		case <-ctx.Done():
			if result.stream != nil {
				result.stream.Close()
			}
		}
	}()
}

// openStream opens the stream of an attempt and reads its first chunk. It runs in a goroutine of its own and
// accesses only fields of r that don't change.
func (r *relay) openStream(ctx context.Context, att *attempt, call generator.Call, prefill generator.Target, hasPrefill bool) attemptResult {
	if hasPrefill {
		if err := r.prefill(ctx, prefill, call); err != nil {
			return attemptResult{attempt: att, err: err}
		}
		call.ImportFrom = prefill.Address
	}
	stream, err := r.x.server.Engine.Generate(ctx, att.target, call)
	if err != nil {
		return attemptResult{attempt: att, err: err}
	}
	first, err := stream.Next()
	return attemptResult{attempt: att, stream: stream, first: first, err: err}
}

// prefill makes an engine process the prompt and keep its KV cache for the decode engine.
func (r *relay) prefill(ctx context.Context, target generator.Target, call generator.Call) error {
	call.PrefillOnly = true
	stream, err := r.x.server.Engine.Generate(ctx, target, call)
	if err != nil {
		return err
	}
	defer stream.Close()
	chunk, err := stream.Next()
	if err == nil && !chunk.Done {
		return errors.Wrapf(generator.ErrBroken, "prefill at endpoint %q returned a chunk", target.Endpoint)
	}
	return err
}

// handleAttemptResult delivers the stream of an attempt that has its first chunk, or reports that it failed.
func (r *relay) handleAttemptResult(ctx context.Context, result attemptResult) {
	delete(r.pendingAttempts, result.attempt.number)
	if result.stream != nil {
		r.mayHaveRun = true
		defer func() { result.stream.Close() }()
	}
	defer func() { result.attempt.cancel() }()
	if result.err != nil {
		r.attemptFailed(ctx, result.attempt, result.err)
		return
	}
	r.dropAllExcept(result.attempt)
	r.lastTarget = result.attempt.target
	r.ticket.Started(result.attempt.number, result.attempt.target.Endpoint)
	if r.firstChunkTime.IsZero() {
		r.firstChunkTime = time.Now()
		if m := r.x.server.Metrics; m != nil {
			m.FirstToken(r.rank, r.firstChunkTime.Sub(r.x.startTime))
		}
	}
	r.deliver(ctx, &result)
}

// deliver sends chunks to the caller until the stream is complete or can't be continued. After a reconnect it
// replaces result.stream.
func (r *relay) deliver(ctx context.Context, result *attemptResult) {
	chunk, reconnects := result.first, 0
	for {
		if chunk.Done {
			r.finishResponse(result.attempt)
			return
		}
		if chunk.Index != r.nextIndex || chunk.Stream != r.x.id.Stream { // tested before Check, whose arguments would be allocated for each chunk
			asserter.Check(false, "chunks are delivered in order",
				"stream %s: want chunk %d, got %d of stream %s", r.x.id.Stream, r.nextIndex, chunk.Index, chunk.Stream)
		}
		if err := r.sink.writeChunk(chunk, result.stream.Pending()); err != nil {
			r.handleDisconnect()
			return
		}
		r.delivered.add(chunk.Data)
		r.nextIndex++
		var err error
		for chunk, err = result.stream.Next(); err != nil; chunk, err = result.stream.Next() {
			resumed := r.reconnect(ctx, result.attempt, &reconnects)
			if resumed == nil {
				r.attemptFailed(ctx, result.attempt, err)
				return
			}
			result.stream.Close()
			result.stream = resumed
		}
	}
}

// Limits on reconnecting. A stream whose connection breaks repeatedly is better retried at another engine.
const (
	maxReconnects    = 3
	reconnectTimeout = 2 * time.Second
)

// reconnect resumes the stream at the same engine, which still has it if only the connection failed. It returns
// nil if the stream can't be resumed.
func (r *relay) reconnect(ctx context.Context, att *attempt, count *int) generator.Stream {
	if *count++; *count > maxReconnects || ctx.Err() != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(reconnectTimeout, cancel)
	stream, err := r.x.server.Engine.Generate(ctx, att.target, generator.Call{
		Stream: r.x.id.Stream, Attempt: att.number, Operation: r.operation, From: r.nextIndex, Resume: true,
	})
	if err != nil || !limit.Stop() || stream.Attempt() != att.number {
		cancel()
		return nil
	}
	att.cancel = cancelBoth(att.cancel, cancel)
	return stream
}

func cancelBoth(first, second context.CancelFunc) context.CancelFunc {
	return func() {
		first()
		second()
	}
}
