package decider

import (
	"time"

	"apricotspool/admitter"
	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/router"
)

const (
	// plannedTargetFraction is the fraction of a latency target that admission plans with; the rest
	// covers prediction errors.
	plannedTargetFraction = 0.9
	// idleLatencyFactor sets the minimum first-token budget as a multiple of the latency on an idle
	// endpoint: a target that not even an idle endpoint can meet says nothing about load.
	idleLatencyFactor = 1.25
)

// Arrive dispatches, queues or refuses a new request.
func (c *Core) Arrive(now time.Time, r Request) []Action {
	c.actions = c.actions[:0]
	at := c.seconds(now)
	p, known := c.byKey[poolKey{r.Service, r.Model}]
	if !known || !c.usable(p) {
		c.actions = append(c.actions, Action{Kind: ActionRefuse, Request: r.ID, Outcome: classifier.NoEndpoint, RetryAfter: c.jitter(noEndpointRetryAfter)})
		return c.actions
	}
	asserter.Check(c.requests[r.ID] == nil, "a request arrives once", "request %s", r.ID)
	t := c.newRequest(at, p, r)
	p.lastArrival[t.rank] = at
	p.demand.add(at, float64(r.PromptTokens), t.output, 1)
	if t.deadline <= at {
		c.refuse(at, t, classifier.DeadlineExceeded)
		return c.actions
	}
	if p.queue.CanBypass(t.rank) && c.tryDispatch(at, t, false) {
		p.queue.RecordBypass(at, t.rank, t.entry())
		return c.actions
	}
	c.enqueue(at, t)
	c.dispatchWaiting(at, p)
	return c.actions
}

// noEndpointRetryAfter is roughly the time that an endpoint takes to restart.
const noEndpointRetryAfter = 2 * time.Second

// jitter returns a random duration between 0.5 and 1.5 times d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.random.Float64()))
}

// usable reports whether any endpoint of the pool may take work, now or after a successful probe.
func (c *Core) usable(p *pool) bool {
	for _, s := range p.Members() {
		if !c.router.Leaving(s) {
			return true
		}
	}
	return false
}

// newTracked returns a tracked record, reusing a freed one if possible to reduce allocations.
func (c *Core) newTracked() *tracked {
	n := len(c.freeTracked)
	if n == 0 {
		return &tracked{}
	}
	t := c.freeTracked[n-1]
	c.freeTracked = c.freeTracked[:n-1]
	return t
}

// newRequest registers a request, predicts its cost and computes its latest dispatch and first-token times.
func (c *Core) newRequest(at namer.Seconds, p *pool, r Request) *tracked {
	t := c.newTracked()
	*t = tracked{request: r, pool: p, rank: p.rank(r.Rank), arrived: at, slot: router.None, prefill: router.None, excluded: router.None}
	nearest := p.Members()[0]
	rates := c.router.Rates(nearest)
	idle := 2 * c.router.Distance(nearest)
	if p.Plain {
		t.request.PromptTokens, t.output = 1, 0
		t.cost = rates.Prefill(1, 0)
		idle += t.cost
	} else {
		t.output = float64(c.estimates.ExpectedOutput(r.Caller, r.Service, r.MaxTokens))
		prefill := rates.Prefill(float64(r.PromptTokens), 0)
		batch := c.router.Limit(nearest)
		// A stream is charged for its fraction of the engine's batch.
		t.cost = prefill + namer.Seconds(t.output)*rates.TokenInterval(batch)/namer.Seconds(batch)
		idle += prefill + rates.TokenInterval(1)
	}
	t.deadline = at + namer.Seconds(time.Hour.Seconds())
	if !r.Deadline.IsZero() {
		t.deadline = c.seconds(r.Deadline)
	}
	target := namer.SecondsOf(p.service.Ranks[t.rank].FirstToken) * plannedTargetFraction
	t.firstTokenBy = min(at+max(target, idleLatencyFactor*idle), t.deadline)
	t.startBy = max(at, t.firstTokenBy-idle)
	c.requests[r.ID] = t
	return t
}

func (t *tracked) entry() admitter.Entry {
	return admitter.Entry{
		ID: t.request.ID, Caller: t.request.Caller, Weight: float64(max(1, t.request.Weight)),
		Cost: t.cost, StartBy: t.startBy, Forced: t.retry,
	}
}

// enqueue queues a request. When the queue rejects it or evicts another one, that request is refused.
func (c *Core) enqueue(at namer.Seconds, t *tracked) {
	verdict := t.pool.queue.Offer(at, t.rank, t.entry())
	if !verdict.Accepted {
		c.refuse(at, t, verdict.Outcome)
		return
	}
	if verdict.Evicted.ID != "" {
		c.refuse(at, c.requests[verdict.Evicted.ID], classifier.RateLimited)
	}
}

// refuse ends a request. An outcome with execution "not-run" is only returned when no endpoint can
// have executed the request.
func (c *Core) refuse(at namer.Seconds, t *tracked, outcome classifier.Outcome) {
	asserter.Check(t.state == stateWaiting, "only a waiting request is refused", "request %s", t.request.ID)
	if t.mayHaveRun {
		outcome = classifier.EndpointFailed
	}
	action := Action{Kind: ActionRefuse, Request: t.request.ID, Outcome: outcome}
	if outcome.Class().Retry {
		action.RetryAfter = t.pool.queue.RetryAfter(at, t.rank)
	}
	c.actions = append(c.actions, action)
	t.pool.missRate.add(at, true)
	c.forget(t)
}

// dispatchWaiting dispatches waiting requests while endpoints have free capacity.
func (c *Core) dispatchWaiting(at namer.Seconds, p *pool) {
	blocked := uint32(0)
	for {
		rank, byShare, ok := p.queue.Next(blocked)
		if !ok {
			return
		}
		t := c.requests[p.queue.Head(rank).ID]
		if !c.tryDispatch(at, t, byShare) {
			blocked |= 1 << rank
			continue
		}
		p.queue.Pop(at, rank)
	}
}

// maxPromotedCost is the engine time from which a request served on its rank's guaranteed share is
// not promoted to the most urgent priority: urgent requests would miss their target behind a prompt
// that takes a second.
const maxPromotedCost namer.Seconds = 1

// tryDispatch dispatches a request if an endpoint has capacity for it. With byShare set, the request
// is served on its rank's guaranteed share and runs with the most urgent priority, because the engine
// would otherwise schedule it after all work of more urgent ranks.
func (c *Core) tryDispatch(at namer.Seconds, t *tracked, byShare bool) bool {
	class := t.rank
	if byShare && t.cost < maxPromotedCost {
		class = 0
	}
	choice, ok := c.pick(at, t, class, byShare, t.budget(at))
	if !ok {
		return false
	}
	c.dispatch(at, t, choice, class)
	return true
}

// budget returns the time left to the first token; after a failed attempt only the deadline counts.
func (t *tracked) budget(at namer.Seconds) namer.Seconds {
	if t.retry {
		return t.deadline - at
	}
	return t.firstTokenBy - at
}

func (c *Core) pick(at namer.Seconds, t *tracked, class int, byShare bool, budget namer.Seconds) (router.Choice, bool) {
	q := &c.query
	*q = router.Query{
		Class: class, Prompt: float64(t.request.PromptTokens), Output: t.output, Prefix: t.request.Prefix,
		Budget: budget - t.pool.lateness[t.rank].quantile, Exclude: t.excluded, Idempotent: t.request.Idempotent,
	}
	q.IdleOnly = t.pool.windows[t.rank].full(len(t.pool.Members()), c.router.Hosts)
	if !byShare {
		q.Reserve = t.pool.reservedSlots(at, t.rank, c.router.Hosts)
	}
	return c.router.Pick(at, &t.pool.Pool, q)
}

func (c *Core) dispatch(at namer.Seconds, t *tracked, choice router.Choice, class int) {
	t.attempt++
	t.state, t.choice, t.class, t.sentAt = stateSent, choice, class, at
	t.slot, t.prefill = choice.Slot, choice.Prefill
	t.loadAtDispatch = c.router.Running(t.slot)
	action := Action{Kind: ActionDispatch, Request: t.request.ID, Attempt: t.attempt, Endpoint: c.router.Name(t.slot), Priority: class}
	tokens := choice.Uncached
	if t.pool.Plain {
		tokens = 0 // calls of plain services run concurrently and form no prefill backlog
	}
	if t.prefill != router.None {
		c.router.Dispatched(at, t.prefill, &t.pool.Pool, class, tokens)
		action.Prefill = c.router.Name(t.prefill)
		tokens = 0
	}
	c.router.Dispatched(at, t.slot, &t.pool.Pool, class, tokens)
	t.pool.inFlight[t.rank]++
	if !t.pool.Plain {
		t.windowPrefill = c.router.Rates(choice.PrefillEngine()).Prefill(choice.Uncached, 0)
		t.pool.windows[t.rank].inFlight += t.windowPrefill
	}
	if t.retry {
		action.Retry = t.reason
	}
	c.awaitingFirstToken.push(t)
	c.actions = append(c.actions, action)
}
