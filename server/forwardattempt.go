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

// arrive waits until the core has admitted the call. It answers the caller when it has not.
func (f *forwarding) arrive(ctx context.Context) bool {
	ticket, err := f.x.server.Dispatcher.Submit(ctx, decider.Request{
		ID: f.x.id.Stream, Caller: f.x.name, Weight: f.x.caller.Weight, Service: f.name, Rank: f.rank, Idempotent: !f.once, Deadline: f.deadline,
	})
	if err != nil {
		f.x.refuse(classifier.Draining, "")
		return false
	}
	f.ticket = ticket
	outcome, retryAfter := f.await(ctx)
	if outcome == "" {
		return true
	}
	f.release()
	f.x.refuseFor(outcome, "", retryAfter)
	return false
}

// await waits for the next decision of the core. It sets f.next, or returns the outcome to answer with.
func (f *forwarding) await(ctx context.Context) (classifier.Outcome, time.Duration) {
	for {
		select {
		case a, ok := <-f.ticket.Actions():
			switch {
			case !ok:
				return classifier.Draining, defaultRetryAfter
			case a.Kind == decider.ActionRefuse:
				f.ended = true
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

// attempts sends the call where the core says until an endpoint answers. A call that must not be
// repeated is sent again only when nothing of it has left.
func (f *forwarding) attempts(ctx context.Context) (*forwarder.Response, classifier.Outcome) {
	ran := false
	for {
		if f.next == nil {
			if outcome, _ := f.await(ctx); outcome != "" {
				return nil, f.truth(outcome, ran)
			}
		}
		f.current, f.next = *f.next, nil
		asserter.Check(!ran || !f.once, "a call that must not be repeated is sent once", "%+v", f.current)
		answer, err := f.send(ctx)
		if err == nil {
			f.answered = true
			f.ticket.Started(f.current.Attempt, f.current.Endpoint)
			return answer, classifier.Served
		}
		f.x.server.Log.Warn().Err(err).Str("stream", string(f.x.id.Stream)).Int("attempt", int(f.current.Attempt)).Msg("attempt-failed")
		if errors.Is(err, forwarder.ErrTooLarge) {
			return nil, f.truth(classifier.TooLarge, ran)
		}
		notRun := errors.Is(err, forwarder.ErrNotSent)
		ran = ran || !notRun
		if ctx.Err() != nil || (f.body != nil && f.body.touched()) {
			return nil, f.unsent(ctx, ran)
		}
		reason := classifier.RetryStreamBroken
		if notRun {
			reason = classifier.RetryConnectFailed
		}
		f.ticket.Failed(f.current.Attempt, f.current.Endpoint, reason, notRun, 0)
	}
}

// unsent returns the outcome of a call that can't be sent again.
func (f *forwarding) unsent(ctx context.Context, ran bool) classifier.Outcome {
	outcome := classifier.EndpointRefused
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		outcome = classifier.DeadlineExceeded
	} else if ctx.Err() != nil {
		outcome = classifier.CallerDisconnected
	}
	return f.truth(outcome, ran)
}

// truth replaces an outcome that says "not-run" when an endpoint may have executed the call.
func (f *forwarding) truth(outcome classifier.Outcome, ran bool) classifier.Outcome {
	switch {
	case !ran || (outcome.Class().Execution != classifier.NotRun && !f.once):
		return outcome
	case f.once:
		return classifier.OutcomeUnknown
	}
	return classifier.EndpointFailed
}

func (f *forwarding) send(ctx context.Context) (*forwarder.Response, error) {
	target, known := f.x.target(f.current.Endpoint)
	if !known {
		return nil, errors.Wrapf(forwarder.ErrNotSent, "endpoint %q is not configured", f.current.Endpoint)
	}
	if f.x.id.Endpoint == "" {
		f.x.id.Endpoint = target.Endpoint
	}
	call := f.call
	call.Body = f.bodyReader()
	return f.x.server.Service.Forward(ctx, forwarder.Target{Endpoint: target.Endpoint, Address: target.Address}, call)
}

// release returns the request to the core.
func (f *forwarding) release() {
	switch {
	case f.ended:
	case f.answered:
		f.ticket.Finished(f.current.Attempt, f.current.Endpoint, 0)
	default:
		f.ticket.Cancelled()
	}
}
