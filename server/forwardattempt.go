package server

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/forwarder"
)

// awaitAdmission submits the call and waits until the core dispatches it. It refuses the request and returns
// false if the core does not.
func (f *forwardedCall) awaitAdmission(ctx context.Context) bool {
	ticket, err := f.x.server.Dispatcher.Submit(ctx, decider.Request{
		ID: f.x.id.Stream, Caller: f.x.callerName, Weight: f.x.caller.Weight, Service: f.name, Rank: f.rank, Idempotent: !f.nonRetryable, Deadline: f.deadline,
	})
	if err != nil {
		f.x.refuse(classifier.Draining, "")
		return false
	}
	f.ticket = ticket
	outcome, retryAfter := f.awaitDispatch(ctx)
	if outcome == "" {
		return true
	}
	f.closeTicket()
	f.x.refuseWithRetryAfter(outcome, "", retryAfter)
	return false
}

// awaitDispatch waits for the next decision of the core. It sets f.next, or returns the outcome of the request
// and the delay after which the caller may retry.
func (f *forwardedCall) awaitDispatch(ctx context.Context) (classifier.Outcome, time.Duration) {
	for {
		select {
		case a, ok := <-f.ticket.Actions():
			switch {
			case !ok:
				return classifier.Draining, defaultRetryAfter
			case a.Kind == decider.ActionRefuse:
				f.refusedByCore = true
				return a.Outcome, a.RetryAfter
			case a.Kind == decider.ActionDispatch:
				f.next = &a
				return "", 0
			}
		case <-f.ticket.Stopped():
			return classifier.Draining, defaultRetryAfter
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return classifier.DeadlineExceeded, defaultRetryAfter
			}
			return classifier.CallerDisconnected, defaultRetryAfter
		}
	}
}

// sendWithRetries sends the call to the endpoints that the core chooses until one responds. A non-retryable
// call is sent again only if nothing of it has been sent.
func (f *forwardedCall) sendWithRetries(ctx context.Context) (*forwarder.Response, classifier.Outcome) {
	mayHaveRun := false
	for {
		if f.next == nil {
			if outcome, _ := f.awaitDispatch(ctx); outcome != "" {
				return nil, f.executionOutcome(outcome, mayHaveRun)
			}
		}
		f.current, f.next = *f.next, nil
		asserter.Check(!mayHaveRun || !f.nonRetryable, "a call that must not be retried is sent once", "%+v", f.current)
		response, err := f.send(ctx)
		if err == nil {
			f.responded = true
			f.ticket.Started(f.current.Attempt, f.current.Endpoint)
			return response, classifier.Served
		}
		f.x.server.Log.Warn().Err(err).Str("stream", string(f.x.id.Stream)).Int("attempt", int(f.current.Attempt)).Msg("attempt-failed")
		if errors.Is(err, forwarder.ErrTooLarge) {
			return nil, f.executionOutcome(classifier.TooLarge, mayHaveRun)
		}
		notRun := errors.Is(err, forwarder.ErrNotSent)
		mayHaveRun = mayHaveRun || !notRun
		if ctx.Err() != nil || errors.Is(err, forwarder.ErrAbandoned) || (f.streamedBody != nil && f.streamedBody.wasRead()) {
			return nil, f.outcomeWithoutRetry(ctx, mayHaveRun)
		}
		reason := classifier.RetryStreamBroken
		if notRun {
			reason = classifier.RetryConnectFailed
		}
		f.ticket.Failed(f.current.Attempt, f.current.Endpoint, reason, notRun, 0)
	}
}

// outcomeWithoutRetry returns the outcome of a failed call that can't be retried.
func (f *forwardedCall) outcomeWithoutRetry(ctx context.Context, mayHaveRun bool) classifier.Outcome {
	outcome := classifier.EndpointRefused
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		outcome = classifier.DeadlineExceeded
	} else if ctx.Err() != nil || f.x.callerLeft() {
		outcome = classifier.CallerDisconnected
	}
	return f.executionOutcome(outcome, mayHaveRun)
}

// executionOutcome returns the outcome to report, which must not say "not-run" if an endpoint may have executed
// the call.
func (f *forwardedCall) executionOutcome(outcome classifier.Outcome, mayHaveRun bool) classifier.Outcome {
	switch {
	case !mayHaveRun || (outcome.Class().Execution != classifier.NotRun && !f.nonRetryable):
		return outcome
	case f.nonRetryable:
		return classifier.OutcomeUnknown
	}
	return classifier.EndpointFailed
}

func (f *forwardedCall) send(ctx context.Context) (*forwarder.Response, error) {
	target, known := f.x.target(f.current.Endpoint)
	if !known {
		return nil, errors.Wrapf(forwarder.ErrNotSent, "endpoint %q is not configured", f.current.Endpoint)
	}
	if f.x.id.Endpoint == "" {
		f.x.id.Endpoint = target.Endpoint
	}
	call := f.call
	call.Body = f.bodyReader()
	return f.x.server.Forwarder.Forward(ctx, forwarder.Target{Endpoint: target.Endpoint, Address: target.Address}, call)
}

// closeTicket tells the core that the request has ended, unless the core has refused it.
func (f *forwardedCall) closeTicket() {
	switch {
	case f.refusedByCore:
	case f.responded:
		f.ticket.Finished(f.current.Attempt, f.current.Endpoint, 0)
	default:
		f.ticket.Cancelled()
	}
}
