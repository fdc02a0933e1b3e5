package placer

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Observe takes news into account.
func (c *Core) Observe(now time.Time, e decider.Event) []decider.Action {
	c.actions = c.actions[:0]
	q := c.requests[e.Request]
	if q == nil || (e.Attempt != 0 && e.Attempt != q.attempt) {
		return c.actions
	}
	at := c.seconds(now)
	switch e.Kind {
	case decider.EventPrefilled:
		if q.stage == prefilling {
			c.praise(q.at)
			c.release(at, q)
			q.read, q.handled = true, true
			c.generate(at, q)
		}
	case decider.EventStarted:
		c.began(at, q)
	case decider.EventFinished:
		c.began(at, q)
		if q.at != nil && e.Reason == "" {
			c.praise(q.at)
		} else if q.at != nil {
			c.blame(at, q.at, e.Reason)
		}
		c.release(at, q)
		c.forget(q)
	case decider.EventCancelled:
		c.release(at, q)
		c.forget(q)
	case decider.EventFailed:
		if q.stage != waiting {
			c.failed(at, q, e)
		}
	}
	return c.actions
}

// began accounts for the first event of an answer.
func (c *Core) began(now namer.Seconds, q *request) {
	if q.stage == running && !q.begun {
		q.begun = true
		c.note(now, q.at, q.reservation, Note{Progress: Processed})
	}
}

// release takes the current attempt off its endpoint.
func (c *Core) release(now namer.Seconds, q *request) {
	if q.stage == waiting {
		return
	}
	if q.stage == prefilling {
		c.note(now, q.at, q.reservation, Note{Progress: Processed})
	}
	c.note(now, q.at, q.reservation, Note{Progress: Ended})
	q.at.running--
	q.at.health.ended()
	q.stage, q.at = waiting, nil
}

// failed repeats a failed attempt if that is safe and paid for, or ends the request.
func (c *Core) failed(now namer.Seconds, q *request, e decider.Event) {
	c.blame(now, q.at, e.Reason)
	q.tried = append(q.tried, q.at)
	begun, backup := q.begun, q.backup
	q.learn(e)
	c.release(now, q)
	paid := q.paid || c.pays(now, q)
	q.noReader = q.read && !paid
	switch {
	case paid && begun && !e.NotRun && backup != nil && backup.usable(now, true) && c.endpoints[backup.view.Name] == backup:
		// The request goes on where its memory was copied to; it runs only once.
		c.commit(now, q, choice{at: backup, fromBackup: true}, false)
	case q.mayRun && !q.Idempotent:
		c.refuse(now, q, classifier.EndpointFailed, 0)
	case len(q.tried) > maxTries || (q.seen && !paid) || q.sends >= max(1, q.Attempts):
		c.refuse(now, q, classifier.EndpointRefused, refusedRetry)
	case q.handled:
		q.attempt++
		c.generate(now, q)
	default:
		if q.seen && !q.paid { // at once, since many requests fail together and wait for their next place
			q.pool.budget.spend(now, c.Retries)
			q.paid = true
		}
		q.declined, q.late = nil, false
		c.place(now, q)
	}
}

// learn takes note of how the current attempt failed.
func (q *request) learn(e decider.Event) {
	q.mayRun = q.mayRun || !e.NotRun
	q.passed = float64(e.OutputTokens) * q.pool.perEvent
	q.reason = e.Reason
	unsent := e.Reason == classifier.RetryConnectFailed
	q.handled = q.handled && unsent // or the engine may have taken the processed prompt
	switch {
	case unsent:
	case q.stage == prefilling:
		q.read = true
		q.seen = q.seen || e.Reason != classifier.RetryEndpointSilent // which still processes the prompt
	default:
		q.sends++
		q.seen = true
	}
}

// maxTries bounds the endpoints that one request is tried at, those included that could not be reached.
const maxTries = 4

// praise accounts for a success at its endpoint.
func (c *Core) praise(e *endpoint) {
	if e.health.succeeded() {
		c.actions = append(c.actions, decider.Action{Kind: decider.ActionReport, Report: decider.EndpointReturned, Endpoint: e.view.Name})
	}
}

// blame accounts for a failure at its endpoint.
func (c *Core) blame(now namer.Seconds, e *endpoint, reason classifier.RetryReason) {
	var ejected bool
	switch reason {
	case classifier.RetryConnectFailed, classifier.RetryEndpointLeaving, classifier.RetryEndpointSilent:
		ejected = e.health.eject(now)
	case classifier.RetryEndpointRefused, classifier.RetryEndpointFailed:
		ejected = e.health.failed(now, 0.5)
	default:
		ejected = e.health.failed(now, 1)
	}
	if ejected {
		c.actions = append(c.actions, decider.Action{
			Kind: decider.ActionReport, Report: decider.EndpointEjected, Endpoint: e.view.Name, Retry: reason, Lasting: e.health.period.Duration(),
		})
	}
}

// Tick decides what time alone makes due: asks without an answer, and summaries.
func (c *Core) Tick(now time.Time) []decider.Action {
	c.start(now)
	c.actions = c.actions[:0]
	at := c.seconds(now)
	for reservation, q := range c.asks {
		if at-q.asked < askTimeout {
			continue
		}
		c.silent(at, q.keeper)
		delete(c.asks, reservation)
		q.asking = nil
		c.place(at, q)
	}
	c.summarise(at)
	return c.actions
}
