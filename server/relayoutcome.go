package server

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/generator"
	"apricotspool/namer"
)

// finish ends the answer after its last chunk.
func (r *relay) finish(at *attempt) {
	r.ticket.Finished(at.number, at.target.Endpoint, namer.Tokens(r.next))
	r.cancelLeft(generator.Target{})
	if m := r.x.server.Metrics; m != nil && r.next > 1 {
		m.BetweenTokens(r.rank, time.Since(r.firstChunk)/time.Duration(r.next-1))
	}
	if err := r.out.done(); err != nil {
		if r.x.outcome == "" {
			r.x.finish(classifier.CallerGone)
		}
		return
	}
	r.x.finish(classifier.Served)
}

// attemptFailed tells the core, which decides whether another attempt follows.
func (r *relay) attemptFailed(ctx context.Context, at *attempt, err error) {
	if ctx.Err() != nil {
		r.last = at.target
		r.ended(ctx)
		return
	}
	r.x.server.Log.Warn().Err(err).Str("stream", string(r.x.id.Stream)).Int("attempt", int(at.number)).
		Int("delivered", r.next).Msg("attempt-failed")
	reason, notRun := classifier.RetryStreamBroken, false
	switch {
	case errors.Is(err, generator.ErrRejected):
		r.ticket.Cancelled()
		r.fail(classifier.BadRequest, err.Error())
		return
	case errors.Is(err, generator.ErrNotStarted):
		reason, notRun = classifier.RetryConnectFailed, true
	case errors.Is(err, generator.ErrRefused), errors.Is(err, generator.ErrNoStream):
		reason, notRun = classifier.RetryEndpointRefused, true
	default:
		r.ran = true
		r.left = append(r.left, at.target)
	}
	if r.answeredByReason() {
		r.ticket.Finished(at.number, at.target.Endpoint, namer.Tokens(r.next))
		if r.out.done() == nil {
			r.x.finish(classifier.Served)
		} else if r.x.outcome == "" {
			r.x.finish(classifier.CallerGone)
		}
		return
	}
	r.ticket.Failed(at.number, at.target.Endpoint, reason, notRun, namer.Tokens(r.next))
}

// answeredByReason reports whether the caller has everything up to the finish reason and expects no
// usage after it, so that only the end mark of the stream is missing.
func (r *relay) answeredByReason() bool {
	if !r.completion.Stream || r.completion.Usage || r.next == 0 {
		return false
	}
	r.kept.parse()
	return r.kept.finished
}

// ended handles the end of the request's context: the caller is gone or the deadline has passed.
func (r *relay) ended(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.callerGone()
		return
	}
	r.ticket.Cancelled()
	r.leaveAll()
	if r.ran {
		r.fail(classifier.EndpointFailed, "the deadline passed before the answer was complete")
		return
	}
	r.fail(classifier.DeadlineExceeded, "")
}

// callerGone keeps the stream for a caller that can come back with its request id, and ends it otherwise.
func (r *relay) callerGone() {
	r.ticket.Cancelled()
	r.x.finish(classifier.CallerGone)
	for _, at := range r.attempts {
		r.last = at.target
	}
	if !r.x.started || !r.completion.Stream {
		r.leaveAll()
		return
	}
	r.stop(nil)
	r.cancelLeft(r.last)
	r.x.server.Leaver.Leave(r.last, r.x.id.Stream)
}

// leaveAll ends the request at every engine that may run it.
func (r *relay) leaveAll() {
	if r.last.Address.IsValid() {
		r.left = append(r.left, r.last)
	}
	r.stop(nil)
	r.cancelLeft(generator.Target{})
}

// stop ends all attempts that have no chunk yet, but for one.
func (r *relay) stop(except *attempt) {
	for _, at := range r.attempts {
		if at != except {
			r.drop(at)
		}
	}
}

// drop ends an attempt that has no chunk yet.
func (r *relay) drop(at *attempt) {
	delete(r.attempts, at.number)
	at.cancel()
	r.left = append(r.left, at.target)
	r.ran = true
}

// cancelLeft ends earlier attempts at their engines, but for the one where the next attempt goes: that
// engine ends its earlier attempt itself, and a cancellation could hit the new one.
func (r *relay) cancelLeft(except generator.Target) {
	for _, target := range r.left {
		if target.Endpoint != except.Endpoint {
			r.x.server.cancel(target, r.x.id.Stream)
		}
	}
	r.left = nil
}

// cancel ends a stream at an engine without a wait.
func (s *Server) cancel(target generator.Target, stream namer.StreamID) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), generator.DefaultTimeout)
		defer stop()
		if err := s.Engine.Cancel(ctx, target, stream); err != nil {
			s.Log.Debug().Err(err).Str("stream", string(stream)).Msg("stream-not-cancelled")
		}
	}()
}

func (r *relay) fail(outcome classifier.Outcome, message string) {
	r.failFor(outcome, message, defaultRetryAfter)
}

// failFor answers with an outcome: by status while nothing was written, by an error event afterwards.
// An outcome that says "not-run" is replaced when an engine may have executed a part.
func (r *relay) failFor(outcome classifier.Outcome, message string, retryAfter time.Duration) {
	r.leaveAll()
	if r.ran && outcome.Class().Execution == classifier.NotRun {
		outcome = classifier.EndpointFailed
	}
	if !r.x.started {
		r.x.refuseFor(outcome, message, retryAfter)
		return
	}
	r.x.breakOff(outcome, message)
}
