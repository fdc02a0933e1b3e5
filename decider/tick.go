package decider

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/retrier"
)

// Tick takes the time-driven decisions: it refuses requests that can't be dispatched in time,
// dispatches to endpoints that are estimated to have become free, and moves hung attempts.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = c.actions[:0]
	at := c.seconds(now)
	for _, p := range c.pools {
		c.dispatchWaiting(at, p)
		c.expire(at, p)
	}
	c.moveHungAttempts(at)
	return c.actions
}

func (c *Core) expire(at namer.Seconds, p *pool) {
	usable := c.usable(p)
	for rank := range p.service.Ranks {
		for {
			e, expired := p.queue.Expire(at, rank)
			if !expired && !usable && p.queue.WaitingInRank(rank) > 0 {
				e = p.queue.Head(rank)
				p.queue.Remove(rank, e.ID)
			} else if !expired {
				break
			}
			c.refuse(at, c.requests[e.ID], c.expiryOutcome(at, c.requests[e.ID], usable))
		}
	}
}

// expiryOutcome returns the outcome of a request that could not be dispatched in time.
func (c *Core) expiryOutcome(at namer.Seconds, t *tracked, usable bool) classifier.Outcome {
	switch {
	case !usable:
		return classifier.NoEndpoint
	case t.refused:
		return classifier.EndpointRefused
	case t.deadline <= at:
		return classifier.DeadlineExceeded
	}
	return classifier.TargetUnreachable
}

// moveHungAttempts cancels hung attempts without a first token and restarts them on other endpoints.
// Unlike hedging with a concurrent second attempt, this generates no response that nobody reads.
func (c *Core) moveHungAttempts(at namer.Seconds) {
	last := c.awaitingFirstToken.last
	for t := c.awaitingFirstToken.first; t != nil; {
		next := t.next
		c.moveIfHung(at, t)
		if t == last {
			return
		}
		t = next
	}
}

func (c *Core) moveIfHung(at namer.Seconds, t *tracked) {
	waited := at - t.sentAt
	budget := &t.pool.budgets[t.rank]
	if !t.request.Idempotent || waited < retrier.HangThreshold(t.choice.FirstToken) || !budget.Available(at) {
		return
	}
	old := t.excluded
	t.excluded = t.slot
	choice, ok := c.pick(at, t, t.class, true, t.deadline-at)
	hang := retrier.Hang{Idempotent: true, Attempt: t.attempt, Waited: waited, UnresponsiveFor: at - c.router.LastHeard(t.slot), Predicted: t.choice.FirstToken, Remaining: t.deadline - at}
	if !ok || !hang.ShouldMove(choice.FirstToken) {
		t.excluded = old
		return
	}
	budget.Spend(at)
	c.router.Slow(at, t.slot)
	c.actions = append(c.actions, Action{Kind: ActionCancel, Request: t.request.ID, Attempt: t.attempt, Endpoint: c.router.Name(t.slot)})
	c.releaseAttempt(at, t)
	t.mayHaveRun, t.retry, t.reason = true, true, classifier.RetryHedged
	c.dispatch(at, t, choice, t.class)
}
