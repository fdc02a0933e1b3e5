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
	// targetMargin is the part of a first-token target that admission plans with; the rest covers
	// errors of the prediction.
	targetMargin = 0.9
	// idleMargin times the time on an idle endpoint is always granted: a target that not even an
	// idle endpoint can meet says nothing about load.
	idleMargin = 1.25
)

// Arrive decides about a new request.
func (c *Core) Arrive(now time.Time, r Request) []Action {
	c.actions = c.actions[:0]
	at := c.seconds(now)
	p, known := c.byKey[poolKey{r.Service, r.Model}]
	if !known || !c.usable(p) {
		c.actions = append(c.actions, Action{Kind: ActionRefuse, Request: r.ID, Outcome: classifier.NoEndpoint, RetryAfter: c.jitter(noEndpointRetry)})
		return c.actions
	}
	asserter.Check(c.requests[r.ID] == nil, "a request arrives once", "request %s", r.ID)
	t := c.track(at, p, r)
	p.seen[t.rank] = at
	p.demand.add(at, float64(r.PromptTokens), t.output, 1)
	if t.deadline <= at {
		c.refuse(at, t, classifier.DeadlineExceeded)
		return c.actions
	}
	if p.queue.MayPass(t.rank) && c.place(at, t, false) {
		p.queue.Pass(at, t.rank, t.entry())
		return c.actions
	}
	c.offer(at, t)
	c.pump(at, p)
	return c.actions
}

// noEndpointRetry is about the time in which a restarted endpoint comes back.
const noEndpointRetry = 2 * time.Second

// jitter spreads a retry time over half to one and a half of it.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.random.Float64()))
}

// usable reports whether any endpoint of the pool may take work, now or after a probe.
func (c *Core) usable(p *pool) bool {
	for _, s := range p.Members() {
		if !c.router.Leaving(s) {
			return true
		}
	}
	return false
}

// fresh returns a record, used before if there is one, so that steady traffic allocates little.
func (c *Core) fresh() *tracked {
	n := len(c.spare)
	if n == 0 {
		return &tracked{}
	}
	t := c.spare[n-1]
	c.spare = c.spare[:n-1]
	return t
}

// track predicts the cost of a request and sets its limits in time.
func (c *Core) track(at namer.Seconds, p *pool, r Request) *tracked {
	t := c.fresh()
	*t = tracked{request: r, pool: p, rank: p.rank(r.Rank), arrived: at, slot: router.None, prefill: router.None, exclude: router.None}
	nearest := p.Members()[0]
	rates := c.router.Rates(nearest)
	idle := 2 * c.router.Distance(nearest)
	if p.Plain {
		t.request.PromptTokens, t.output = 1, 0
		t.cost = rates.Prefill(1, 0)
		idle += t.cost
	} else {
		t.output = float64(c.estimates.Output(r.Caller, r.Service, r.MaxTokens))
		prefill := rates.Prefill(float64(r.PromptTokens), 0)
		batch := c.router.Limit(nearest)
		// A stream takes its part of the engine's batch.
		t.cost = prefill + namer.Seconds(t.output)*rates.Token(batch)/namer.Seconds(batch)
		idle += prefill + rates.Token(1)
	}
	t.deadline = at + namer.Seconds(time.Hour.Seconds())
	if !r.Deadline.IsZero() {
		t.deadline = c.seconds(r.Deadline)
	}
	target := namer.SecondsOf(p.service.Ranks[t.rank].FirstToken) * targetMargin
	t.firstBy = min(at+max(target, idleMargin*idle), t.deadline)
	t.startBy = max(at, t.firstBy-idle)
	c.requests[r.ID] = t
	return t
}

func (t *tracked) entry() admitter.Entry {
	return admitter.Entry{
		ID: t.request.ID, Caller: t.request.Caller, Weight: float64(max(1, t.request.Weight)),
		Cost: t.cost, StartBy: t.startBy, Forced: t.retry,
	}
}

// offer queues a request or refuses it, or another one that gives way.
func (c *Core) offer(at namer.Seconds, t *tracked) {
	verdict := t.pool.queue.Offer(at, t.rank, t.entry())
	if !verdict.Accepted {
		c.refuse(at, t, verdict.Outcome)
		return
	}
	if verdict.Evicted.ID != "" {
		c.refuse(at, c.requests[verdict.Evicted.ID], classifier.RateLimited)
	}
}

// refuse ends a request. An outcome that says "not-run" is only given when no endpoint can have run it.
func (c *Core) refuse(at namer.Seconds, t *tracked, outcome classifier.Outcome) {
	asserter.Check(t.state == waiting, "only a waiting request is refused", "request %s", t.request.ID)
	if t.mayHaveRun {
		outcome = classifier.EndpointFailed
	}
	action := Action{Kind: ActionRefuse, Request: t.request.ID, Outcome: outcome}
	if outcome.Class().Retry {
		action.RetryAfter = t.pool.queue.RetryAfter(at, t.rank)
	}
	c.actions = append(c.actions, action)
	t.pool.misses.add(at, true)
	c.forget(t)
}

// pump dispatches waiting requests while endpoints have room.
func (c *Core) pump(at namer.Seconds, p *pool) {
	blocked := uint32(0)
	for {
		rank, owed, ok := p.queue.Next(blocked)
		if !ok {
			return
		}
		t := c.requests[p.queue.Head(rank).ID]
		if !c.place(at, t, owed) {
			blocked |= 1 << rank
			continue
		}
		p.queue.Pop(at, rank)
	}
}

// maxOwedCost is the engine time from which a request does not get the most urgent priority on its
// rank's share: urgent requests would miss their target behind a prompt of a second.
const maxOwedCost namer.Seconds = 1

// place dispatches a request if an endpoint has room for it. A request that its rank is owed runs
// with the most urgent priority, because the engine would otherwise let it wait behind the flood.
func (c *Core) place(at namer.Seconds, t *tracked, owed bool) bool {
	class := t.rank
	if owed && t.cost < maxOwedCost {
		class = 0
	}
	choice, ok := c.pick(at, t, class, owed, t.budget(at))
	if !ok {
		return false
	}
	c.dispatch(at, t, choice, class)
	return true
}

// budget is the time left to the first token; after a failed attempt only the deadline counts.
func (t *tracked) budget(at namer.Seconds) namer.Seconds {
	if t.retry {
		return t.deadline - at
	}
	return t.firstBy - at
}

func (c *Core) pick(at namer.Seconds, t *tracked, class int, owed bool, budget namer.Seconds) (router.Choice, bool) {
	q := &c.query
	*q = router.Query{
		Class: class, Prompt: float64(t.request.PromptTokens), Output: t.output, Prefix: t.request.Prefix,
		Budget: budget - t.pool.slack[t.rank].late, Exclude: t.exclude, Repeatable: t.request.Idempotent,
	}
	q.IdleOnly = t.pool.windows[t.rank].full(len(t.pool.Members()), c.router.Hosts)
	if !owed {
		q.Reserve = t.pool.reserve(at, t.rank, c.router.Hosts)
	}
	return c.router.Pick(at, &t.pool.Pool, q)
}

func (c *Core) dispatch(at namer.Seconds, t *tracked, choice router.Choice, class int) {
	t.attempt++
	t.state, t.choice, t.class, t.sentAt = sent, choice, class, at
	t.slot, t.prefill = choice.Slot, choice.Prefill
	t.load = c.router.Running(t.slot)
	action := Action{Kind: ActionDispatch, Request: t.request.ID, Attempt: t.attempt, Endpoint: c.router.Name(t.slot), Priority: class}
	tokens := choice.Uncached
	if t.pool.Plain {
		tokens = 0 // calls of plain services run side by side
	}
	if t.prefill != router.None {
		c.router.Dispatched(at, t.prefill, &t.pool.Pool, class, tokens)
		action.Prefill = c.router.Name(t.prefill)
		tokens = 0
	}
	c.router.Dispatched(at, t.slot, &t.pool.Pool, class, tokens)
	t.pool.running[t.rank]++
	if !t.pool.Plain {
		t.pending = c.router.Rates(choice.Processor()).Prefill(choice.Uncached, 0)
		t.pool.windows[t.rank].pending += t.pending
	}
	if t.retry {
		action.Retry = t.reason
	}
	c.unstarted.push(t)
	c.actions = append(c.actions, action)
}
