package decider

import (
	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/retrier"
	"apricotspool/router"
)

const (
	// A first token so many times later than predicted, and slowMin later, speaks against the endpoint.
	slowFactor               = 4
	slowMin    namer.Seconds = 1
	// paceTokens is the least output from which the time between tokens is learned.
	paceTokens = 8
)

// started learns from a first token.
func (c *Core) started(at namer.Seconds, t *tracked) {
	if t.state != sent {
		return
	}
	t.state, t.startAt = running, at
	c.unstarted.remove(t)
	t.pool.settle(t)
	target := namer.SecondsOf(t.pool.service.Ranks[t.rank].FirstToken)
	t.pool.slack[t.rank].learn(at-t.sentAt, t.choice.FirstToken, target)
	t.pool.windows[t.rank].learn(at-t.sentAt-t.choice.FirstToken, target)
	c.router.Heard(at, t.slot)
	t.pool.misses.add(at, at > t.firstBy)
	took := at - t.sentAt
	if took > slowFactor*t.choice.FirstToken+slowMin {
		c.router.Slow(at, t.slot)
	}
	if t.pool.Plain {
		return
	}
	processor := t.slot
	if t.prefill != router.None {
		processor = t.prefill
		c.router.Ended(at, t.prefill, t.class, 0)
	}
	c.router.Cache(processor, t.request.Prefix, nil, false)
	c.learnPrefill(t, processor, took)
	t.prefill = router.None
}

// learnPrefill learns only where the request's own prompt was most of the work: the queue before it
// and what the cache holds are known from late reports.
func (c *Core) learnPrefill(t *tracked, s router.Slot, took namer.Seconds) {
	own := t.choice.Uncached
	if own < float64(t.request.PromptTokens)/2 {
		return
	}
	rates := c.router.Rates(s)
	if c.router.Role(s) == namer.RolePrefill {
		rates.LearnFaster(own, t.load, took-2*c.router.Distance(s))
	}
	if t.choice.Ahead > own/2 {
		return
	}
	took -= 2 * c.router.Distance(s)
	if s == t.slot {
		took -= rates.Token(t.load)
	}
	rates.LearnPrefill(own+t.choice.Ahead, t.load, took)
}

// finished learns from a whole answer.
func (c *Core) finished(at namer.Seconds, t *tracked, e Event) {
	if t.state == sent {
		c.started(at, t)
	}
	load := (t.load + c.router.Running(t.slot)) / 2
	c.router.Heard(at, t.slot)
	c.router.Succeeded(t.slot)
	t.pool.budgets[t.rank].Succeeded(at)
	switch {
	case t.pool.Plain:
		rates := c.router.Rates(t.slot)
		took := at - t.sentAt - 2*c.router.Distance(t.slot)
		rates.LearnPrefill(1, load, took)
		c.router.Paced(at, t.slot, float64(took/(plainSlowdown*rates.Prefill(1, 0))), load, 0)
	case e.OutputTokens >= paceTokens:
		between := (at - t.startAt) / namer.Seconds(e.OutputTokens-1)
		c.router.Rates(t.slot).LearnDecode(load, between)
		if target := t.pool.pace(at); target > 0 {
			sustainable := c.router.Rates(t.slot).Batch(target * targetMargin)
			c.router.Paced(at, t.slot, float64(between/target), load, sustainable)
		}
	}
	if !t.pool.Plain {
		c.estimates.LearnOutput(t.request.Caller, t.request.Service, e.OutputTokens)
	}
	c.release(at, t)
	c.forget(t)
	c.pump(at, t.pool)
}

// plainSlowdown is the rise of a plain service's latency over its idle one that counts as overload.
const plainSlowdown = 3

// settle takes an attempt out of the window of its rank.
func (p *pool) settle(t *tracked) {
	w := &p.windows[t.rank]
	w.pending = max(0, w.pending-t.pending)
	t.pending = 0
}

// release takes the current attempt off its endpoints.
func (c *Core) release(at namer.Seconds, t *tracked) {
	unprocessed := 0.0
	if t.state == sent {
		c.unstarted.remove(t)
		t.pool.settle(t)
		if !t.pool.Plain {
			unprocessed = t.choice.Uncached
		}
	}
	if t.prefill != router.None {
		c.router.Ended(at, t.prefill, t.class, unprocessed)
		unprocessed = 0
	}
	c.router.Ended(at, t.slot, t.class, unprocessed)
	t.pool.running[t.rank]--
	t.state, t.slot, t.prefill = waiting, router.None, router.None
}

// cancelled forgets a request whose caller is gone.
func (c *Core) cancelled(at namer.Seconds, t *tracked) {
	if t.state == waiting {
		t.pool.queue.Remove(t.rank, t.request.ID)
	} else {
		c.release(at, t)
	}
	c.forget(t)
	c.pump(at, t.pool)
}

// failed repeats a failed attempt if that is safe, useful and paid for, and else ends the request.
func (c *Core) failed(at namer.Seconds, t *tracked, e Event) {
	slot := t.slot
	if t.prefill != router.None && e.Endpoint == c.router.Name(t.prefill) {
		slot = t.prefill
	}
	c.blame(at, slot, e.Reason)
	c.release(at, t)
	failure := retrier.Failure{
		Reason: e.Reason, Attempt: t.attempt, Idempotent: t.request.Idempotent, NotRun: e.NotRun, Refused: t.refused,
		Remaining: t.deadline - at, Need: t.choice.FirstToken,
	}
	t.mayHaveRun = t.mayHaveRun || !e.NotRun
	t.refused = t.refused || e.Reason == classifier.RetryEndpointRefused
	budget := &t.pool.budgets[t.rank]
	if !failure.Repeatable() || !budget.Available(at) {
		c.refuse(at, t, classifier.EndpointRefused)
		c.pump(at, t.pool)
		return
	}
	budget.Spend(at)
	t.retry, t.reason = true, e.Reason
	t.exclude = router.None
	if len(t.pool.Members()) > 1 {
		t.exclude = slot
	}
	t.startBy = t.deadline - t.choice.FirstToken
	c.offer(at, t)
	c.pump(at, t.pool)
}

// blame accounts for a failure at its endpoint. A refusal is overload and not a fault.
func (c *Core) blame(at namer.Seconds, s router.Slot, reason classifier.RetryReason) {
	switch reason {
	case classifier.RetryEndpointRefused:
		c.router.Refused(at, s)
	case classifier.RetryEndpointLeaving:
		c.router.Leave(s, true) // until the endpoint's next report
	case classifier.RetryConnectFailed:
		c.router.Unreachable(at, s)
	default:
		c.router.Failed(at, s)
	}
}
