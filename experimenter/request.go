package experimenter

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

const (
	// connectTimeout is how long a host waits for an endpoint that doesn't answer.
	connectTimeout = time.Second
	// askAgainAfter is the time in which an impatient caller sends a refused request again.
	askAgainAfter = 50 * time.Millisecond
	// askAgainLimit bounds how often a caller asks again.
	askAgainLimit = 100
)

// request is one request on its way.
type request struct {
	stream      namer.StreamID
	arrival     Arrival
	host        *host
	asked       int
	attempts    []decider.Action
	delivered   namer.Tokens  // of the answer, to the host
	first, last time.Duration // as seen by the host
	outcome     classifier.Outcome
}

// ask lets a caller send its request to the host that the balancer selects.
func (r *run) ask(q *request) {
	q.host = r.hosts[r.balancer.IntN(len(r.hosts))]
	if q.asked == 0 {
		r.at(q.arrival.At+r.schedule.Site.Service.Deadline, func() { r.abandon(q) })
	}
	q.asked++
	q.attempts = nil
	r.requests[q.stream] = q
	a := q.arrival
	r.act(q.host, q.host.policy.Arrive(r.time(), decider.Request{
		ID: q.stream, Caller: a.Caller, Service: service, Model: a.Model, Rank: a.Workload.Rank,
		Idempotent: true, PromptTokens: a.Prompt, MaxTokens: answerLimit * a.Output, Prefix: a.Prefix(),
		Deadline: epoch.Add(a.At + r.schedule.Site.Service.Deadline),
	}))
}

// answerLimit is the caller's limit on the output as a multiple of the output; callers set it generously.
const answerLimit = 2

// end records the outcome of a request.
func (r *run) end(q *request, outcome classifier.Outcome) {
	q.outcome = outcome
	r.close(q)
	r.result.add(q)
}

// close forgets a request's attempts.
func (r *run) close(q *request) {
	delete(r.requests, q.stream)
	for _, action := range q.attempts {
		r.arrived(q, action)
	}
}

// arrived ends the wait of the decoding engine for a KV cache, which came or will not come.
func (r *run) arrived(q *request, action decider.Action) {
	e := r.engines[action.Endpoint]
	if action.Prefill != "" && e.inbound[q] {
		delete(e.inbound, q)
		r.follow(e)
	}
}

// abandon ends a request at its deadline.
func (r *run) abandon(q *request) {
	if q.outcome != "" {
		return
	}
	r.observe(q.host, decider.Event{Kind: decider.EventCancelled, Request: q.stream, Attempt: namer.Attempt(len(q.attempts))})
	for _, action := range q.attempts {
		r.cancel(q, action)
	}
	if q.outcome == "" {
		r.end(q, classifier.CallerDisconnected)
	}
}

// act carries out a host's decisions. Decisions about requests that have ended have no effect.
func (r *run) act(h *host, actions []decider.Action) {
	for _, action := range actions {
		q, open := r.requests[action.Request]
		if !open || q.host != h {
			continue
		}
		switch action.Kind {
		case decider.ActionRefuse:
			r.refuse(q, action.Outcome)
		case decider.ActionCancel:
			r.cancel(q, action)
		case decider.ActionDispatch:
			q.attempts = append(q.attempts, action)
			r.dispatch(q, action)
		}
	}
}

func (r *run) refuse(q *request, outcome classifier.Outcome) {
	r.result.refused(q, r.anyIdle(q.arrival.Model))
	if !r.schedule.AskAgain || q.asked >= askAgainLimit {
		r.end(q, outcome)
		return
	}
	r.close(q)
	r.at(r.now+askAgainAfter, func() {
		if q.outcome == "" {
			r.ask(q)
		}
	})
}

// anyIdle reports whether an engine that could take the work has none at all.
func (r *run) anyIdle(m namer.Model) bool {
	for _, name := range r.names {
		e := r.engines[name]
		if e.placed.Model == m && e.placed.From <= r.now && e.Role == namer.RoleMixed && !e.Down() && !e.Leaving() && e.Idle() {
			return true
		}
	}
	return false
}

func (r *run) cancel(q *request, action decider.Action) {
	r.arrived(q, action)
	for _, name := range []namer.Endpoint{action.Endpoint, action.Prefill} {
		if e, ok := r.engines[name]; ok {
			r.send(q.host.dataCentre, e.dataCentre, 0, func() {
				r.follow(e)
				e.Cancel(r.now, q.stream)
				r.follow(e)
			})
		}
	}
}

// dispatch sends an attempt to its first engine.
func (r *run) dispatch(q *request, action decider.Action) {
	e, phase := r.engines[action.Endpoint], modeler.PhaseAll
	if action.Prefill != "" {
		e.inbound[q] = true
		e, phase = r.engines[action.Prefill], modeler.PhasePrefill
	}
	if !r.reachable(q.host.dataCentre, e.dataCentre) {
		r.at(r.now+connectTimeout, func() { r.fail(e, q, action, phase, 0, classifier.RetryConnectFailed) })
		return
	}
	r.send(q.host.dataCentre, e.dataCentre, 0, func() { r.submit(e, q, action, phase) })
}

func (r *run) submit(e *engine, q *request, action decider.Action, phase modeler.Phase) {
	if phase == modeler.PhaseDecode {
		defer r.arrived(q, action)
	}
	if q.outcome != "" {
		return
	}
	a := q.arrival
	accepted := e.Submit(r.now, modeler.Job{
		Stream: q.stream, Attempt: action.Attempt, Prompt: a.Prompt, Output: a.Output, Delivered: q.delivered,
		Priority: action.Priority, Prefix: a.Prefix(), Phase: phase,
	})
	if accepted {
		r.follow(e)
		return
	}
	if phase == modeler.PhaseDecode {
		r.result.Broken++
	}
	reason := classifier.RetryEndpointRefused
	if e.Down() {
		reason = classifier.RetryConnectFailed
	}
	r.send(e.dataCentre, q.host.dataCentre, 0, func() { r.fail(e, q, action, phase, 0, reason) })
}

// follow delivers an engine's events and wakes it up at its next change.
func (r *run) follow(e *engine) {
	for _, event := range e.Advance(r.now) {
		q, open := r.requests[event.Stream]
		if !open || int(event.Attempt) > len(q.attempts) {
			continue // abandoned, or refused and asked again
		}
		r.deliver(e, q, q.attempts[event.Attempt-1], event)
	}
	r.drained(e)
	next, busy := e.Next()
	if !busy || next == e.wake {
		return
	}
	e.wake = next
	r.at(next, func() {
		e.wake = -1
		r.follow(e)
	})
}

// deliver sends news of an attempt to its host, or its KV cache to the engine that decodes.
func (r *run) deliver(e *engine, q *request, action decider.Action, event modeler.Event) {
	if event.Kind == modeler.JobExported {
		target := r.engines[action.Endpoint]
		if !r.reachable(e.dataCentre, target.dataCentre) {
			r.at(r.now+connectTimeout, func() { r.fail(target, q, action, modeler.PhasePrefill, 0, classifier.RetryConnectFailed) })
			return
		}
		r.send(e.dataCentre, target.dataCentre, 0, func() { r.submit(target, q, action, modeler.PhaseDecode) })
		return
	}
	if !r.reachable(e.dataCentre, q.host.dataCentre) {
		r.at(r.now+connectTimeout, func() { r.fail(e, q, action, modeler.PhaseAll, 0, classifier.RetryStreamBroken) })
		return
	}
	r.send(e.dataCentre, q.host.dataCentre, 0, func() { r.receive(e, q, action, event) })
}

// receive lets a host see news of an attempt.
func (r *run) receive(e *engine, q *request, action decider.Action, event modeler.Event) {
	if q.outcome != "" {
		return
	}
	news := decider.Event{Request: q.stream, Attempt: event.Attempt, Endpoint: e.Name, OutputTokens: event.Output}
	switch event.Kind {
	case modeler.JobStarted:
		news.Kind = decider.EventStarted
		if q.first == 0 {
			q.first = r.now
		}
	case modeler.JobFinished:
		news.Kind = decider.EventFinished
		q.last = r.now
		r.end(q, classifier.Served)
	case modeler.JobFailed:
		r.result.Broken++
		phase := modeler.PhaseAll
		if action.Prefill == e.Name {
			phase = modeler.PhasePrefill
		}
		r.fail(e, q, action, phase, event.Output, classifier.RetryStreamBroken)
		return
	}
	r.observe(q.host, news)
}

// fail tells the host that an attempt has failed at an engine.
func (r *run) fail(e *engine, q *request, action decider.Action, phase modeler.Phase, delivered namer.Tokens, reason classifier.RetryReason) {
	if phase == modeler.PhasePrefill {
		r.arrived(q, action)
	}
	if q.outcome != "" {
		return
	}
	q.delivered = max(q.delivered, delivered)
	r.observe(q.host, decider.Event{
		Kind: decider.EventFailed, Request: q.stream, Attempt: action.Attempt, Endpoint: e.Name,
		OutputTokens: q.delivered, Reason: reason, NotRun: reason != classifier.RetryStreamBroken && phase != modeler.PhaseDecode,
	})
}
