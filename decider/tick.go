package decider

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/retrier"
)

// Tick decides what time alone makes due: refusals of requests that can't be dispatched in time,
// dispatches to endpoints that have become free by the estimates, and moves of hanging attempts.
func (c *Core) Tick(now time.Time) []Action {
	c.actions = c.actions[:0]
	at := c.seconds(now)
	for _, p := range c.pools {
		c.pump(at, p)
		c.expire(at, p)
	}
	c.moveHanging(at)
	return c.actions
}

func (c *Core) expire(at namer.Seconds, p *pool) {
	usable := c.usable(p)
	for rank := range p.service.Ranks {
		for {
			e, expired := p.queue.Expire(at, rank)
			if !expired && !usable && p.queue.WaitingOf(rank) > 0 {
				e = p.queue.Head(rank)
				p.queue.Remove(rank, e.ID)
			} else if !expired {
				break
			}
			c.refuse(at, c.requests[e.ID], c.expiry(at, c.requests[e.ID], usable))
		}
	}
}

// expiry names the reason for which a request could not be dispatched.
func (c *Core) expiry(at namer.Seconds, t *tracked, usable bool) classifier.Outcome {
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

// moveHanging cancels attempts without a first token that hang and starts them elsewhere. Unlike a
// second attempt beside the first one this adds no load for an answer that nobody reads.
func (c *Core) moveHanging(at namer.Seconds) {
	last := c.unstarted.last
	for t := c.unstarted.first; t != nil; {
		next := t.next
		c.moveIfHanging(at, t)
		if t == last {
			return
		}
		t = next
	}
}

func (c *Core) moveIfHanging(at namer.Seconds, t *tracked) {
	waited := at - t.sentAt
	budget := &t.pool.budgets[t.rank]
	if !t.request.Idempotent || waited < retrier.HangAfter(t.choice.FirstToken) || !budget.Available(at) {
		return
	}
	old := t.exclude
	t.exclude = t.slot
	choice, ok := c.pick(at, t, t.class, true, t.deadline-at)
	hang := retrier.Hang{Idempotent: true, Attempt: t.attempt, Waited: waited, Silent: at - c.router.HeardAt(t.slot), Predicted: t.choice.FirstToken, Remaining: t.deadline - at}
	if !ok || !hang.Pays(choice.FirstToken) {
		t.exclude = old
		return
	}
	budget.Spend(at)
	c.router.Slow(at, t.slot)
	c.actions = append(c.actions, Action{Kind: ActionCancel, Request: t.request.ID, Attempt: t.attempt, Endpoint: c.router.Name(t.slot)})
	c.release(at, t)
	t.mayHaveRun, t.retry, t.reason = true, true, classifier.RetryHedged
	c.dispatch(at, t, choice, t.class)
}
