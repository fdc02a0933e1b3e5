package placer

import (
	"cmp"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// handleUnresponsive decides whether a request leaves an endpoint that sends nothing. A sound endpoint may be silent
// for a while, so the request leaves only if another attempt is certain to follow.
func (c *Core) handleUnresponsive(now namer.Seconds, q *request, e decider.Event) {
	if q.stage == waiting || q.endpoint.view.Name != e.Endpoint {
		return // that attempt has ended
	}
	if !q.unresponsive || !q.pool.plain {
		c.recordEndpointFailure(now, q.endpoint, e.Reason)
	}
	q.unresponsive = true
	c.proposeReplacement(now, q)
}

// handleProbe handles the result of the check of an engine at which a request could go on.
func (c *Core) handleProbe(now namer.Seconds, q *request, e decider.Event) {
	if q.stage != running {
		return // that attempt has ended
	}
	probed := q.proposed
	if probed == nil || c.endpoints[e.Endpoint] != probed || probed.view.Role == namer.RolePrefill {
		c.proposeReplacement(now, q) // the engine has changed meanwhile
		return
	}
	if !e.Healthy {
		c.recordEndpointFailure(now, probed, classifier.RetryEndpointUnresponsive)
	}
	if !e.Healthy || !probed.usable(now, true) || !c.retryPermitted(now, q) {
		c.proposeReplacement(now, q)
		return
	}
	q.replacement = probed
	c.abandonAttempt(now, q)
}

// proposeReplacement asks for a check of the engine at which the request could go on, or keeps the attempt if there
// is none. Where nothing has been sent to the caller, a check isn't worth its time. An engine that fails its check is
// ejected and not proposed again, so that the checks of an attempt end.
func (c *Core) proposeReplacement(now namer.Seconds, q *request) {
	e := c.pickReplacement(now, q)
	switch {
	case e == nil:
		c.answerUnresponsive(q, decider.ActionKeep, q.endpoint)
	case q.stage == prefilling || q.pool.plain:
		c.abandonAttempt(now, q)
	default:
		q.proposed = e
		c.answerUnresponsive(q, decider.ActionProbe, e)
	}
}

func (c *Core) abandonAttempt(now namer.Seconds, q *request) {
	q.abandoned = q.attempt
	if q.stage == running {
		c.chargeBeforehand(now, q)
	}
	c.answerUnresponsive(q, decider.ActionAbandon, q.endpoint)
}

func (c *Core) answerUnresponsive(q *request, kind decider.ActionKind, e *endpoint) {
	c.actions = append(c.actions, decider.Action{Kind: kind, Request: q.ID, Attempt: q.attempt, Endpoint: e.view.Name})
}

// pickReplacement returns an endpoint at which the request could go on, or nil.
func (c *Core) pickReplacement(now namer.Seconds, q *request) *endpoint {
	switch {
	case len(q.tried)+1 > q.endpointLimit() || !c.retryPermitted(now, q):
		return nil
	case q.stage == prefilling:
		return c.pickShortestQueue(now, q, false)
	case q.started && c.backupUsable(now, q, q.backup):
		return q.backup
	case !q.Idempotent || q.attemptsReceived+1 >= max(1, q.Attempts):
		return nil
	}
	return c.pickShortestQueue(now, q, false)
}

// retryPermitted reports whether the retry budget has been charged for the next attempt, or permits it.
func (c *Core) retryPermitted(now namer.Seconds, q *request) bool {
	return q.retryCharged || c.retryAllowed(now, q)
}

// backupUsable reports whether an engine with a copy of the request's KV cache can continue the response.
func (c *Core) backupUsable(now namer.Seconds, q *request, backup *endpoint) bool {
	return backup != nil && backup.usable(now, true) && q.compatible(backup) && !q.hasTried(backup) && c.endpoints[backup.view.Name] == backup
}

// chargeBeforehand charges the retry budget for the attempt that follows the current one. Many requests fail
// together and then wait for reservations.
func (c *Core) chargeBeforehand(now namer.Seconds, q *request) {
	if !q.retryCharged {
		q.pool.retryBudget.recordRetry(now, c.Retries)
		q.retryCharged = true
	}
}

// mustContinue reports whether a refusal would end a stream that has begun, here or at another daemon, or an attempt that
// this daemon has abandoned because another one would follow.
func (q *request) mustContinue() bool { return q.delivered || q.Continues || q.abandoned > 0 }

// refuseUnlessBegun refuses a request that no engine takes within its target. A response that must continue does so
// at the engine with the shortest queue, without a reservation.
func (c *Core) refuseUnlessBegun(now namer.Seconds, q *request, outcome classifier.Outcome) {
	if q.mustContinue() {
		// An ejection is a suspicion, and a refusal is certain to end the response.
		if e := cmp.Or(c.pickShortestQueue(now, q, false), c.pickShortestQueue(now, q, true)); e != nil {
			q.late = true
			c.dispatch(now, q, continueAt(now, q, e, false), false)
			return
		}
	}
	retryAfter := noEndpointRetry
	switch {
	case outcome == classifier.PromptTooLong:
		retryAfter = promptTooLongRetry
	case c.rateLimited(now, q, false):
		outcome, retryAfter = classifier.EndpointsLimited, c.limitRetryAfter(now, q)
	case outcome == classifier.TargetUnreachable:
		retryAfter = c.busyRetryAfter(now, q)
	}
	c.refuse(now, q, outcome, retryAfter)
}

// continueAt returns the choice of an endpoint that has no reservation for the request.
func continueAt(now namer.Seconds, q *request, e *endpoint, fromBackup bool) choice {
	if fromBackup {
		return choice{endpoint: e, fromBackup: true}
	}
	return choice{endpoint: e, expectedDelay: e.queueDelay(now, q.class())}
}

// pickShortestQueue returns the endpoint that can generate the response and has the shortest queue for the request.
// If ejected is set, endpoints that are ejected count too.
func (c *Core) pickShortestQueue(now namer.Seconds, q *request, ejected bool) *endpoint {
	var least lowestScore
	for _, e := range q.pool.endpoints {
		usable := (e.usable(now, true) && !e.full(now, q) && !e.paceFull(now)) || (ejected && e.accepts(now))
		if e.view.Role == namer.RolePrefill || !usable || e == q.endpoint || q.hasTried(e) || !q.compatible(e) || !c.mayBegin(now, q, e) {
			continue
		}
		score := e.queueDelay(now, q.class())
		if q.pool.plain {
			score = namer.Seconds(e.running)
		}
		least.consider(e, score)
	}
	return least.endpoint
}
