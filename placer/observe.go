package placer

import (
	"slices"
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/pacer"
)

// Observe handles an event of a request.
func (c *Core) Observe(now time.Time, e decider.Event) []decider.Action {
	c.actions = c.actions[:0]
	if e.Kind == decider.EventLeaving {
		if announcing := c.knownEndpoint(e.Endpoint); announcing != nil {
			announcing.announcedLeaving = true
		}
		return c.actions
	}
	if e.Kind == decider.EventLimit {
		c.observeLimit(c.seconds(now), e)
		return c.actions
	}
	if e.Kind == decider.EventCalled {
		if called := c.endpoints[e.Endpoint]; called != nil {
			c.chargeLimit(c.seconds(now), called)
		}
		return c.actions
	}
	q := c.requests[e.Request]
	if q == nil || (e.Attempt != 0 && e.Attempt != q.attempt) {
		return c.actions
	}
	at := c.seconds(now)
	switch e.Kind {
	case decider.EventPrefilled:
		if q.stage == prefilling {
			c.recordEndpointSuccess(q.endpoint)
			c.recordAnswer(at, q, pacer.Good)
			q.endpoint.recordPrefix(at, q.prefix(), true)
			c.releaseEndpoint(at, q)
			q.prefillAttempted, q.prefilled = true, true
			c.dispatchDecode(at, q)
		}
	case decider.EventStarted:
		c.recordStarted(at, q)
		if q.stage == running && q.endpoint.health.ejectionPeriod > 0 {
			c.recordEndpointSuccess(q.endpoint) // the rest of the response may take long
		}
	case decider.EventFinished:
		if q.endpoint != nil && e.Reason != "" {
			c.recordFailedAnswer(at, q, e.Reason)
		}
		c.recordStarted(at, q)
		if q.endpoint != nil && e.Reason == "" {
			c.recordEndpointSuccess(q.endpoint)
			c.recordFinished(at, q)
		} else if q.endpoint != nil {
			c.recordEndpointFailure(at, q.endpoint, e.Reason)
		}
		c.releaseEndpoint(at, q)
		c.removeRequest(q)
	case decider.EventCancelled:
		c.releaseEndpoint(at, q)
		c.removeRequest(q)
	case decider.EventUnresponsive:
		c.handleUnresponsive(at, q, e)
	case decider.EventHealth:
		c.handleProbe(at, q, e)
	case decider.EventFailed:
		if q.stage != waiting {
			c.handleFailure(at, q, e)
		}
	}
	return c.actions
}

// recordStarted handles the first event of a response.
func (c *Core) recordStarted(now namer.Seconds, q *request) {
	if q.stage == running && !q.started {
		q.started, q.delivered = true, true
		c.recordOrigin(now, q)
		c.recordGenerating(now, q)
		q.endpoint.recordPrefix(now, q.prefix(), true)
		c.recordAnswer(now, q, pacer.Good)
		c.reportProgress(now, q.endpoint, q.reservation, ProgressUpdate{Progress: Prefilled, Answer: q.takeAnswer()})
	}
}

// releaseEndpoint removes the current attempt from its endpoint.
func (c *Core) releaseEndpoint(now namer.Seconds, q *request) {
	if q.stage == waiting {
		return
	}
	if q.stage == prefilling {
		c.reportProgress(now, q.endpoint, q.reservation, ProgressUpdate{Progress: Prefilled, Answer: q.takeAnswer()})
	}
	c.reportProgress(now, q.endpoint, q.reservation, ProgressUpdate{Progress: Ended, Answer: q.takeAnswer()})
	q.endAwaiting()
	q.endpoint.running--
	q.endpoint.health.endProbe()
	q.stage, q.endpoint = waiting, nil
}

// handleFailure retries a failed attempt if that is safe and within the retry budget, or refuses the request.
func (c *Core) handleFailure(now namer.Seconds, q *request, e decider.Event) {
	if q.abandoned != q.attempt { // otherwise it was recorded before
		c.recordEndpointFailure(now, q.endpoint, e.Reason)
	}
	c.recordFailedAnswer(now, q, e.Reason)
	if e.Ended {
		c.recordProcessEnd(now, q.endpoint)
	}
	if e.RetryAfter > 0 {
		q.endpoint.turnsAwayUntil = max(q.endpoint.turnsAwayUntil, now+namer.SecondsOf(e.RetryAfter))
	}
	q.tried = append(q.tried, q.endpoint)
	started, backup := q.started, q.backup
	abandon := c.recordPromptFailure(now, q, e)
	q.recordFailure(e)
	c.releaseEndpoint(now, q)
	if abandon {
		c.refuse(now, q, classifier.EndpointFailed, 0)
		return
	}
	if c.refuseBlocked(now, q) {
		return
	}
	retryPermitted := c.retryPermitted(now, q)
	q.skipPrefill = q.prefillAttempted && !retryPermitted
	replacement := q.replacement
	q.replacement = nil
	switch {
	case replacement != nil && replacement.accepts(now) && c.endpoints[replacement.view.Name] == replacement:
		c.dispatch(now, q, continueAt(now, q, replacement, started && replacement == backup), false)
	case retryPermitted && started && !e.NotRun && c.backupUsable(now, q, backup):
		// The request resumes on the engine that has a copy of its KV cache, so it still runs only once.
		c.dispatch(now, q, choice{endpoint: backup, fromBackup: true}, false)
	case q.mayHaveRun && !q.Idempotent:
		c.refuse(now, q, classifier.EndpointFailed, 0)
	case len(q.tried) > q.endpointLimit() || (q.received && !retryPermitted) || q.attemptsReceived >= max(1, q.Attempts):
		c.refuse(now, q, classifier.EndpointRefused, refusedRetry)
	case q.prefilled:
		q.attempt++
		c.dispatchDecode(now, q)
	default:
		if q.received {
			c.chargeBeforehand(now, q)
		}
		q.declined, q.late = nil, false
		c.place(now, q)
	}
}

// recordFailure records how the current attempt failed.
func (q *request) recordFailure(e decider.Event) {
	q.mayHaveRun = q.mayHaveRun || !e.NotRun
	q.deliveredTokens = float64(e.OutputTokens) * q.pool.tokensPerEvent
	q.reason = e.Reason
	unsent := e.Reason == classifier.RetryConnectFailed
	q.prefilled = q.prefilled && unsent // otherwise the engine may have fetched the KV cache
	switch {
	case unsent:
	case q.stage == prefilling:
		q.prefillAttempted = true
		q.received = q.received || e.Reason != classifier.RetryEndpointUnresponsive // an unresponsive engine is still processing the prompt
	default:
		if !e.NotRun || !q.mustContinue() {
			q.attemptsReceived++
		}
		q.received = true
	}
}

// endpointLimit returns the number of endpoints after which a request is refused.
func (q *request) endpointLimit() int {
	if q.mustContinue() {
		return maxEndpointsTriedBegun
	}
	return maxEndpointsTried
}

// Limits of the endpoints tried for one request, including those that could not be reached. A refusal would cut a
// response that has begun, so more are tried for it.
const (
	maxEndpointsTried      = 4
	maxEndpointsTriedBegun = 8
)

// recordEndpointSuccess records a success and reports the end of an ejection.
func (c *Core) recordEndpointSuccess(e *endpoint) {
	if e.health.recordSuccess() {
		c.actions = append(c.actions, decider.Action{Kind: decider.ActionReport, Report: decider.EndpointReturned, Endpoint: e.view.Name})
		c.begun = append(c.begun, e)
	}
}

// Reasons that eject an endpoint at once, and those that count half, since a sound endpoint has them as well.
var (
	ejectingReasons = []classifier.RetryReason{classifier.RetryConnectFailed, classifier.RetryEndpointLeaving, classifier.RetryEndpointUnresponsive}
	mildReasons     = []classifier.RetryReason{classifier.RetryEndpointRefused, classifier.RetryEndpointFailed, classifier.RetryResponseLost}
)

// recordEndpointFailure records a failure and reports an ejection.
func (c *Core) recordEndpointFailure(now namer.Seconds, e *endpoint, reason classifier.RetryReason) {
	var ejected bool
	switch {
	case reason == classifier.RetryEndpointRefused && e.limit.Limited():
		return // it has more work than it takes, and says so
	case reason == classifier.RetryEndpointUnresponsive && e.pool(c).plain:
		// Only its silence speaks against it: a sound endpoint is silent during its longest calls.
		ejected = e.health.recordFailure(now, 1)
	case slices.Contains(ejectingReasons, reason):
		ejected = e.health.eject(now)
	case slices.Contains(mildReasons, reason):
		ejected = e.health.recordFailure(now, 0.5)
	default:
		ejected = e.health.recordFailure(now, 1)
	}
	if ejected {
		c.paceEjected(now, e)
		c.actions = append(c.actions, decider.Action{
			Kind: decider.ActionReport, Report: decider.EndpointEjected, Endpoint: e.view.Name, Retry: reason, ReportDuration: e.health.ejectionPeriod.Duration(),
		})
	}
}

// Tick handles reservation requests that have timed out, broadcasts load summaries and updates the quarantine.
func (c *Core) Tick(now time.Time) []decider.Action {
	c.ensureInit(now)
	c.actions = c.actions[:0]
	at := c.seconds(now)
	for reservation, q := range c.pendingReservations {
		if at-q.reserveSentAt < reserveTimeout {
			continue
		}
		c.recordTimeout(at, q.ledgerOwner)
		delete(c.pendingReservations, reservation)
		c.placeAgain(at, q)
	}
	c.reportBegun(at)
	c.judgeOverdue(at)
	c.checkBuilds(at)
	c.tellOrigins(at)
	c.expireOriginAsks(at)
	c.broadcastLoads(at)
	c.updateQuarantine(at)
	return c.actions
}
