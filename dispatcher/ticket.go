package dispatcher

import (
	"context"
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Ticket is a request that has been submitted to the core. It is owned by one goroutine, which performs the
// actions and reports the events of the request. The last event must be Finished, FinishedWithError or Cancelled,
// unless the core has refused the request.
type Ticket struct {
	request    decider.Request
	dispatcher *Dispatcher
	actions    chan decider.Action
	decisions  chan decider.Action // on an unresponsive endpoint; the latest only
}

// Submit submits a request to the core.
func (d *Dispatcher) Submit(ctx context.Context, r decider.Request) (*Ticket, error) {
	t := &Ticket{request: r, dispatcher: d, actions: make(chan decider.Action, maxPendingActions), decisions: make(chan decider.Action, 1)}
	if err := d.send(ctx, command{arrive: t}); err != nil {
		return nil, err
	}
	return t, nil
}

// Actions returns the channel of the core's actions for the request. It is closed when the dispatcher stops.
func (t *Ticket) Actions() <-chan decider.Action { return t.actions }

// Stopped returns a channel that is closed when the dispatcher has stopped. Requests that are still in its
// inbox then receive no action, and their Actions channel stays open.
func (t *Ticket) Stopped() <-chan struct{} { return t.dispatcher.Done() }

// decide replaces the last decision on an unresponsive endpoint. It never blocks.
func (t *Ticket) decide(a decider.Action) {
	select {
	case <-t.decisions:
	default:
	}
	t.decisions <- a // only the control goroutine sends
}

// Unresponsive reports that the endpoint of an attempt sends nothing, to this attempt or at all by the reason, and
// returns whether to abandon the attempt because another one can follow. probe reports whether an endpoint responds.
// If the attempt ends meanwhile, ctx must be done.
func (t *Ticket) Unresponsive(ctx context.Context, attempt namer.Attempt, at namer.Endpoint, reason classifier.RetryReason, probe func(namer.Endpoint) bool) (abandon bool) {
	if ctx.Err() != nil {
		return false // no evidence against the endpoint: the call for its report may have ended with ctx
	}
	select {
	case <-t.decisions: // on an endpoint that responded before the decision
	default:
	}
	t.report(decider.Event{Kind: decider.EventUnresponsive, Attempt: attempt, Endpoint: at, Reason: reason})
	for {
		select {
		case a := <-t.decisions:
			switch {
			case a.Attempt != attempt:
			case a.Kind == decider.ActionProbe:
				healthy := probe(a.Endpoint)
				if ctx.Err() != nil {
					return false
				}
				t.report(decider.Event{Kind: decider.EventHealth, Attempt: attempt, Endpoint: a.Endpoint, Healthy: healthy})
			case a.Endpoint == at:
				return a.Kind == decider.ActionAbandon
			}
		case <-t.Stopped():
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// Started reports the first token or byte of an attempt.
func (t *Ticket) Started(attempt namer.Attempt, at namer.Endpoint) {
	t.report(decider.Event{Kind: decider.EventStarted, Attempt: attempt, Endpoint: at})
}

// Prefilled reports that the prefill endpoint of an attempt has processed the prompt.
func (t *Ticket) Prefilled(attempt namer.Attempt, at namer.Endpoint) {
	t.report(decider.Event{Kind: decider.EventPrefilled, Attempt: attempt, Endpoint: at})
}

// Finished reports that an attempt has delivered its complete response.
func (t *Ticket) Finished(attempt namer.Attempt, at namer.Endpoint, output namer.Tokens) {
	t.report(decider.Event{Kind: decider.EventFinished, Attempt: attempt, Endpoint: at, OutputTokens: output})
}

// FinishedWithError reports that an attempt has delivered an error response of the endpoint as the final response.
func (t *Ticket) FinishedWithError(attempt namer.Attempt, at namer.Endpoint) {
	t.report(decider.Event{Kind: decider.EventFinished, Attempt: attempt, Endpoint: at, Reason: classifier.RetryEndpointFailed})
}

// Failed reports that an attempt has failed. The core responds with an action.
func (t *Ticket) Failed(attempt namer.Attempt, at namer.Endpoint, reason classifier.RetryReason, notRun bool, output namer.Tokens) {
	t.report(decider.Event{Kind: decider.EventFailed, Attempt: attempt, Endpoint: at, Reason: reason, NotRun: notRun, OutputTokens: output})
}

// EndpointEnded reports that an attempt has failed because the process of its endpoint has ended. The core responds
// with an action.
func (t *Ticket) EndpointEnded(attempt namer.Attempt, at namer.Endpoint, reason classifier.RetryReason, output namer.Tokens) {
	t.report(decider.Event{Kind: decider.EventFailed, Attempt: attempt, Endpoint: at, Reason: reason, Ended: true, OutputTokens: output})
}

// Refused reports that an attempt has failed without executing the request. retryAfter is how long the
// endpoint wants no requests from this daemon; 0 if it does not say.
func (t *Ticket) Refused(attempt namer.Attempt, at namer.Endpoint, reason classifier.RetryReason, retryAfter time.Duration, output namer.Tokens) {
	t.report(decider.Event{
		Kind: decider.EventFailed, Attempt: attempt, Endpoint: at, Reason: reason, NotRun: true, RetryAfter: retryAfter, OutputTokens: output,
	})
}

// Leaving reports that an endpoint has announced in a response that it is leaving.
func (t *Ticket) Leaving(at namer.Endpoint) {
	t.report(decider.Event{Kind: decider.EventLeaving, Endpoint: at})
}

// Limited reports what the response to a call that was sent at a time says about the rate limit of its endpoint.
func (t *Ticket) Limited(at namer.Endpoint, requestedAt time.Time, limit decider.StatedLimit) {
	t.report(decider.Event{Kind: decider.EventLimit, Endpoint: at, RequestedAt: requestedAt, Limit: limit})
}

// Cancelled reports that the request has ended in any other way, for example because the caller has
// disconnected.
func (t *Ticket) Cancelled() { t.report(decider.Event{Kind: decider.EventCancelled}) }

func (t *Ticket) report(e decider.Event) {
	e.Request = t.request.ID
	t.dispatcher.Report(e)
}
