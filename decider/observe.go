package decider

import (
	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/retrier"
	"apricotspool/router"
)

const (
	// A first token that takes longer than slowFactor times the prediction plus slowMinDelay counts
	// against the endpoint's health.
	slowFactor                 = 4
	slowMinDelay namer.Seconds = 1
	// minDecodeSample is the minimum output from which the time between tokens is learned.
	minDecodeSample = 8
)

// attemptStarted updates the estimates from the first token of an attempt.
func (c *Core) attemptStarted(at namer.Seconds, t *tracked) {
	if t.state != stateSent {
		return
	}
	t.state, t.firstTokenAt = stateRunning, at
	c.awaitingFirstToken.remove(t)
	t.pool.removeFromWindow(t)
	target := namer.SecondsOf(t.pool.service.Ranks[t.rank].FirstToken)
	t.pool.lateness[t.rank].observe(at-t.sentAt, t.choice.FirstToken, target)
	t.pool.windows[t.rank].observe(at-t.sentAt-t.choice.FirstToken, target)
	c.router.RecordProgress(at, t.slot)
	t.pool.missRate.add(at, at > t.firstTokenBy)
	took := at - t.sentAt
	if took > slowFactor*t.choice.FirstToken+slowMinDelay {
		c.router.Slow(at, t.slot)
	}
	if t.pool.Plain {
		return
	}
	prefillSlot := t.slot
	if t.prefill != router.None {
		prefillSlot = t.prefill
		c.router.Ended(at, t.prefill, t.class, 0)
	}
	c.router.UpdateCache(prefillSlot, t.request.Prefix, nil, false)
	c.learnPrefill(t, prefillSlot, took)
	t.prefill = router.None
}

// learnPrefill updates the prefill estimate if the request's own prompt was most of the work: the
// queue ahead of it and the cached blocks are only known from lagged reports.
func (c *Core) learnPrefill(t *tracked, s router.Slot, took namer.Seconds) {
	own := t.choice.Uncached
	if own < float64(t.request.PromptTokens)/2 {
		return
	}
	rates := c.router.Rates(s)
	if c.router.Role(s) == namer.RolePrefill {
		rates.LearnPrefillBound(own, t.loadAtDispatch, took-2*c.router.Distance(s))
	}
	if t.choice.QueuedAhead > own/2 {
		return
	}
	took -= 2 * c.router.Distance(s)
	if s == t.slot {
		took -= rates.TokenInterval(t.loadAtDispatch)
	}
	rates.LearnPrefill(own+t.choice.QueuedAhead, t.loadAtDispatch, took)
}

// attemptFinished updates the estimates from a complete response and ends the request.
func (c *Core) attemptFinished(at namer.Seconds, t *tracked, e Event) {
	if t.state == stateSent {
		c.attemptStarted(at, t)
	}
	load := (t.loadAtDispatch + c.router.Running(t.slot)) / 2
	c.router.RecordProgress(at, t.slot)
	c.router.Succeeded(t.slot)
	t.pool.budgets[t.rank].Succeeded(at)
	switch {
	case t.pool.Plain:
		rates := c.router.Rates(t.slot)
		took := at - t.sentAt - 2*c.router.Distance(t.slot)
		rates.LearnPrefill(1, load, took)
		c.router.ObserveLatency(at, t.slot, float64(took/(plainOverloadFactor*rates.Prefill(1, 0))), load, 0)
	case e.OutputTokens >= minDecodeSample:
		between := (at - t.firstTokenAt) / namer.Seconds(e.OutputTokens-1)
		c.router.Rates(t.slot).LearnDecode(load, between)
		if target := t.pool.activeTokenInterval(at); target > 0 {
			sustainable := c.router.Rates(t.slot).MaxBatch(target * plannedTargetFraction)
			c.router.ObserveLatency(at, t.slot, float64(between/target), load, sustainable)
		}
	}
	if !t.pool.Plain {
		c.estimates.LearnOutput(t.request.Caller, t.request.Service, e.OutputTokens)
	}
	c.releaseAttempt(at, t)
	c.forget(t)
	c.dispatchWaiting(at, t.pool)
}

// plainOverloadFactor is the ratio of a plain service's latency to its idle latency that counts as
// overload.
const plainOverloadFactor = 3

// removeFromWindow removes an attempt's prefill from its rank's window.
func (p *pool) removeFromWindow(t *tracked) {
	w := &p.windows[t.rank]
	w.inFlight = max(0, w.inFlight-t.windowPrefill)
	t.windowPrefill = 0
}

// releaseAttempt removes the current attempt from the accounting of its endpoints.
func (c *Core) releaseAttempt(at namer.Seconds, t *tracked) {
	unprocessed := 0.0
	if t.state == stateSent {
		c.awaitingFirstToken.remove(t)
		t.pool.removeFromWindow(t)
		if !t.pool.Plain {
			unprocessed = t.choice.Uncached
		}
	}
	if t.prefill != router.None {
		c.router.Ended(at, t.prefill, t.class, unprocessed)
		unprocessed = 0
	}
	c.router.Ended(at, t.slot, t.class, unprocessed)
	t.pool.inFlight[t.rank]--
	t.state, t.slot, t.prefill = stateWaiting, router.None, router.None
}

// requestCancelled removes a request whose caller has disconnected.
func (c *Core) requestCancelled(at namer.Seconds, t *tracked) {
	if t.state == stateWaiting {
		t.pool.queue.Remove(t.rank, t.request.ID)
	} else {
		c.releaseAttempt(at, t)
	}
	c.forget(t)
	c.dispatchWaiting(at, t.pool)
}

// attemptFailed retries a failed attempt if that is safe, can finish in time and fits the retry
// budget; otherwise it ends the request.
func (c *Core) attemptFailed(at namer.Seconds, t *tracked, e Event) {
	slot := t.slot
	if t.prefill != router.None && e.Endpoint == c.router.Name(t.prefill) {
		slot = t.prefill
	}
	c.recordFailure(at, slot, e.Reason)
	c.releaseAttempt(at, t)
	failure := retrier.Failure{
		Reason: e.Reason, Attempt: t.attempt, Idempotent: t.request.Idempotent, NotRun: e.NotRun, Refused: t.refused,
		Remaining: t.deadline - at, Need: t.choice.FirstToken,
	}
	t.mayHaveRun = t.mayHaveRun || !e.NotRun
	t.refused = t.refused || e.Reason == classifier.RetryEndpointRefused
	budget := &t.pool.budgets[t.rank]
	if !failure.Retryable() || !budget.Available(at) {
		c.refuse(at, t, classifier.EndpointRefused)
		c.dispatchWaiting(at, t.pool)
		return
	}
	budget.Spend(at)
	t.retry, t.reason = true, e.Reason
	t.excluded = router.None
	if len(t.pool.Members()) > 1 {
		t.excluded = slot
	}
	t.startBy = t.deadline - t.choice.FirstToken
	c.enqueue(at, t)
	c.dispatchWaiting(at, t.pool)
}

// recordFailure updates the endpoint's health or limit after a failure. A refusal indicates overload,
// not a fault.
func (c *Core) recordFailure(at namer.Seconds, s router.Slot, reason classifier.RetryReason) {
	switch reason {
	case classifier.RetryEndpointRefused:
		c.router.Refused(at, s)
	case classifier.RetryEndpointLeaving:
		c.router.SetLeaving(s, true) // until the endpoint's next load report
	case classifier.RetryConnectFailed:
		c.router.Unreachable(at, s)
	default:
		c.router.Failed(at, s)
	}
}
