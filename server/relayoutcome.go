package server

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/generator"
	"apricotspool/namer"
)

// finishResponse completes the response after its last chunk.
func (r *relay) finishResponse(att *attempt) {
	r.ticket.Finished(att.number, att.target.Endpoint, namer.Tokens(r.nextIndex))
	r.cancelSuperseded(generator.Target{})
	if m := r.x.server.Metrics; m != nil && r.nextIndex > 1 {
		m.BetweenTokens(r.rank, time.Since(r.firstChunkTime)/time.Duration(r.nextIndex-1))
	}
	if err := r.sink.writeDone(); err != nil {
		if r.x.outcome == "" {
			r.x.recordOutcome(classifier.CallerDisconnected)
		}
		return
	}
	r.x.recordOutcome(classifier.Served)
}

// attemptFailed reports a failed attempt to the core, which decides whether to retry.
func (r *relay) attemptFailed(ctx context.Context, att *attempt, err error) {
	if ctx.Err() != nil {
		r.lastTarget = att.target
		r.handleContextDone(ctx)
		return
	}
	r.x.server.Log.Warn().Err(err).Str("stream", string(r.x.id.Stream)).Int("attempt", int(att.number)).
		Int("delivered", r.nextIndex).Msg("attempt-failed")
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
		r.mayHaveRun = true
		r.toCancel = append(r.toCancel, att.target)
	}
	if r.onlyDoneMissing() {
		r.ticket.Finished(att.number, att.target.Endpoint, namer.Tokens(r.nextIndex))
		if r.sink.writeDone() == nil {
			r.x.recordOutcome(classifier.Served)
		} else if r.x.outcome == "" {
			r.x.recordOutcome(classifier.CallerDisconnected)
		}
		return
	}
	r.ticket.Failed(att.number, att.target.Endpoint, reason, notRun, namer.Tokens(r.nextIndex))
}

// onlyDoneMissing reports whether the caller has received everything up to the finish reason and expects no
// usage after it, so that only the end marker of the stream is missing.
func (r *relay) onlyDoneMissing() bool {
	if !r.request.Stream || r.request.IncludeUsage || r.nextIndex == 0 {
		return false
	}
	r.delivered.decode()
	return r.delivered.finished
}

// handleContextDone ends the request after its caller has disconnected or its deadline has passed.
func (r *relay) handleContextDone(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.handleDisconnect()
		return
	}
	r.ticket.Cancelled()
	r.cancelAll()
	if r.mayHaveRun {
		r.fail(classifier.EndpointFailed, "the deadline passed before the response was complete")
		return
	}
	r.fail(classifier.DeadlineExceeded, "")
}

// handleDisconnect ends the request after its caller has disconnected. It keeps the stream at the engine if the
// caller can resume it with the request id, and cancels it otherwise.
func (r *relay) handleDisconnect() {
	r.ticket.Cancelled()
	r.x.recordOutcome(classifier.CallerDisconnected)
	for _, att := range r.pendingAttempts {
		r.lastTarget = att.target
	}
	if !r.x.headerSent || !r.request.Stream {
		r.cancelAll()
		return
	}
	r.dropAllExcept(nil)
	r.cancelSuperseded(r.lastTarget)
	r.x.server.Disconnects.CallerDisconnected(r.lastTarget, r.x.id.Stream)
}

// cancelAll cancels the request at every engine that may be running it.
func (r *relay) cancelAll() {
	if r.lastTarget.Address.IsValid() {
		r.toCancel = append(r.toCancel, r.lastTarget)
	}
	r.dropAllExcept(nil)
	r.cancelSuperseded(generator.Target{})
}

// dropAllExcept cancels all attempts that have no chunk so far, except for one.
func (r *relay) dropAllExcept(except *attempt) {
	for _, att := range r.pendingAttempts {
		if att != except {
			r.dropAttempt(att)
		}
	}
}

// dropAttempt cancels an attempt that has no chunk so far.
func (r *relay) dropAttempt(att *attempt) {
	delete(r.pendingAttempts, att.number)
	att.cancel()
	r.toCancel = append(r.toCancel, att.target)
	r.mayHaveRun = true
}

// cancelSuperseded cancels earlier attempts at their engines, except for the engine of the next attempt: that
// engine ends its earlier attempt itself, and the cancellation could end the new one.
func (r *relay) cancelSuperseded(except generator.Target) {
	for _, target := range r.toCancel {
		if target.Endpoint != except.Endpoint {
			r.x.server.cancel(target, r.x.id.Stream)
		}
	}
	r.toCancel = nil
}

// cancel cancels a stream at an engine in the background.
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
	r.failWithRetryAfter(outcome, message, defaultRetryAfter)
}

// failWithRetryAfter ends the request with an outcome: by an error response if nothing has been sent, and by
// aborting the response otherwise. An outcome that says "not-run" is replaced if an engine may have executed
// the request, at least partly.
func (r *relay) failWithRetryAfter(outcome classifier.Outcome, message string, retryAfter time.Duration) {
	r.cancelAll()
	if r.mayHaveRun && outcome.Class().Execution == classifier.NotRun {
		outcome = classifier.EndpointFailed
	}
	if !r.x.headerSent {
		r.x.refuseWithRetryAfter(outcome, message, retryAfter)
		return
	}
	r.x.abortResponse(outcome, message)
}
