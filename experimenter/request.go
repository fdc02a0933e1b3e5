package experimenter

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

const (
	// connectTimeout is the time after which a connection to an unreachable endpoint fails.
	connectTimeout = time.Second
	// callerRetryDelay is the delay before a caller that ignores Retry-After resends a refused request.
	callerRetryDelay = 50 * time.Millisecond
	// maxCallerTries is the maximum number of times a caller sends the same request.
	maxCallerTries = 100
)

// request is the state of one request.
type request struct {
	stream      namer.StreamID
	arrival     Arrival
	host        *host
	callerTries int
	attempts    []decider.Action
	delivered   namer.Tokens  // output tokens delivered to the host
	first, last time.Duration // arrival of the first and last token at the host
	outcome     classifier.Outcome
}

// submitRequest sends a caller's request to a host chosen at random, as by a load balancer.
func (r *run) submitRequest(q *request) {
	q.host = r.hosts[r.loadBalancerRandom.IntN(len(r.hosts))]
	if q.callerTries == 0 {
		r.at(q.arrival.At+r.schedule.Site.Service.Deadline, func() { r.expire(q) })
	}
	q.callerTries++
	q.attempts = nil
	r.requests[q.stream] = q
	a := q.arrival
	r.act(q.host, q.host.policy.Arrive(r.time(), decider.Request{
		ID: q.stream, Caller: a.Caller, Service: service, Model: a.Model, Rank: a.Workload.Rank,
		Idempotent: true, PromptTokens: a.Prompt, MaxTokens: maxTokensFactor * a.Output, Prefix: a.Prefix(),
		Deadline: epoch.Add(a.At + r.schedule.Site.Service.Deadline),
	}))
}

// maxTokensFactor is the ratio of the caller's limit on output tokens to the actual output. Callers set
// generous limits.
const maxTokensFactor = 2

// finish records the outcome of a request.
func (r *run) finish(q *request, outcome classifier.Outcome) {
	q.outcome = outcome
	r.dropAttempts(q)
	r.result.add(q)
}

// dropAttempts closes a request and ends the wait of its attempts for KV caches.
func (r *run) dropAttempts(q *request) {
	delete(r.requests, q.stream)
	for _, action := range q.attempts {
		r.releaseInbound(q, action)
	}
}

// releaseInbound ends the wait of the decode engine for a KV cache that has arrived or will not arrive.
func (r *run) releaseInbound(q *request, action decider.Action) {
	e := r.engines[action.Endpoint]
	if action.Prefill != "" && e.inbound[q] {
		delete(e.inbound, q)
		r.advanceEngine(e)
	}
}

// expire ends a request at its deadline.
func (r *run) expire(q *request) {
	if q.outcome != "" {
		return
	}
	r.observe(q.host, decider.Event{Kind: decider.EventCancelled, Request: q.stream, Attempt: namer.Attempt(len(q.attempts))})
	for _, action := range q.attempts {
		r.cancel(q, action)
	}
	if q.outcome == "" {
		r.finish(q, classifier.CallerDisconnected)
	}
}

// act executes a host's actions. Actions on requests that have ended are ignored.
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
	r.result.countRefusal(q, r.hasIdleEngine(q.arrival.Model))
	if !r.schedule.CallersRetry || q.callerTries >= maxCallerTries {
		r.finish(q, outcome)
		return
	}
	r.dropAttempts(q)
	r.at(r.now+callerRetryDelay, func() {
		if q.outcome == "" {
			r.submitRequest(q)
		}
	})
}

// hasIdleEngine reports whether an engine that could serve the model has no work.
func (r *run) hasIdleEngine(m namer.Model) bool {
	for _, name := range r.names {
		e := r.engines[name]
		if e.spec.Model == m && e.spec.JoinsAt <= r.now && e.Role == namer.RoleMixed && !e.Down() && !e.Leaving() && e.Idle() {
			return true
		}
	}
	return false
}

func (r *run) cancel(q *request, action decider.Action) {
	r.releaseInbound(q, action)
	for _, name := range []namer.Endpoint{action.Endpoint, action.Prefill} {
		if e, ok := r.engines[name]; ok {
			r.send(q.host.dataCentre, e.dataCentre, 0, func() {
				r.advanceEngine(e)
				e.Cancel(r.now, q.stream)
				r.advanceEngine(e)
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
	r.send(q.host.dataCentre, e.dataCentre, 0, func() { r.submitAttempt(e, q, action, phase) })
}

func (r *run) submitAttempt(e *engine, q *request, action decider.Action, phase modeler.Phase) {
	if phase == modeler.PhaseDecode {
		defer r.releaseInbound(q, action)
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
		r.advanceEngine(e)
		return
	}
	if phase == modeler.PhaseDecode {
		r.result.InterruptedAttempts++
	}
	reason := classifier.RetryEndpointRefused
	if e.Down() {
		reason = classifier.RetryConnectFailed
	}
	r.send(e.dataCentre, q.host.dataCentre, 0, func() { r.fail(e, q, action, phase, 0, reason) })
}

// advanceEngine delivers an engine's events and schedules its next wake-up.
func (r *run) advanceEngine(e *engine) {
	for _, event := range e.Advance(r.now) {
		q, open := r.requests[event.Stream]
		if !open || int(event.Attempt) > len(q.attempts) {
			continue // expired, or refused and sent again
		}
		r.deliver(e, q, q.attempts[event.Attempt-1], event)
	}
	r.maybeStartRoleChange(e)
	next, busy := e.Next()
	if !busy || next == e.wakeAt {
		return
	}
	e.wakeAt = next
	r.at(next, func() {
		e.wakeAt = -1
		r.advanceEngine(e)
	})
}

// deliver sends an event of an attempt to its host, or the KV cache of its prompt to the decode engine.
func (r *run) deliver(e *engine, q *request, action decider.Action, event modeler.Event) {
	if event.Kind == modeler.JobExported {
		target := r.engines[action.Endpoint]
		if !r.reachable(e.dataCentre, target.dataCentre) {
			r.at(r.now+connectTimeout, func() { r.fail(target, q, action, modeler.PhasePrefill, 0, classifier.RetryConnectFailed) })
			return
		}
		r.send(e.dataCentre, target.dataCentre, 0, func() { r.submitAttempt(target, q, action, modeler.PhaseDecode) })
		return
	}
	if !r.reachable(e.dataCentre, q.host.dataCentre) {
		r.at(r.now+connectTimeout, func() { r.fail(e, q, action, modeler.PhaseAll, 0, classifier.RetryStreamBroken) })
		return
	}
	r.send(e.dataCentre, q.host.dataCentre, 0, func() { r.receive(e, q, action, event) })
}

// receive processes an event of an attempt at its host.
func (r *run) receive(e *engine, q *request, action decider.Action, event modeler.Event) {
	if q.outcome != "" {
		return
	}
	update := decider.Event{Request: q.stream, Attempt: event.Attempt, Endpoint: e.Name, OutputTokens: event.Output}
	switch event.Kind {
	case modeler.JobStarted:
		update.Kind = decider.EventStarted
		if q.first == 0 {
			q.first = r.now
		}
	case modeler.JobFinished:
		update.Kind = decider.EventFinished
		q.last = r.now
		r.finish(q, classifier.Served)
	case modeler.JobFailed:
		r.result.InterruptedAttempts++
		phase := modeler.PhaseAll
		if action.Prefill == e.Name {
			phase = modeler.PhasePrefill
		}
		r.fail(e, q, action, phase, event.Output, classifier.RetryStreamBroken)
		return
	}
	r.observe(q.host, update)
}

// fail reports to the host that an attempt has failed at an engine.
func (r *run) fail(e *engine, q *request, action decider.Action, phase modeler.Phase, delivered namer.Tokens, reason classifier.RetryReason) {
	if phase == modeler.PhasePrefill {
		r.releaseInbound(q, action)
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
