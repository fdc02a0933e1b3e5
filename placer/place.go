package placer

import (
	"math"
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// maxReserveRequests limits the reservation requests for one request, since each takes a network round trip.
const maxReserveRequests = 3

// place selects an endpoint for a request. It dispatches the request, requests a reservation from the ledger's
// owner, or refuses the request.
func (c *Core) place(now namer.Seconds, q *request) {
	if c.refuseBlocked(now, q) {
		return
	}
	if q.pool.plain {
		c.placePlain(now, q)
		return
	}
	for c.nextTurn(now, q) {
		found := c.pick(now, q)
		switch {
		case found.endpoint == nil && q.exceedsMemory():
			c.refuseUnlessBegun(now, q, classifier.PromptTooLong)
			return
		case found.endpoint == nil && found.overloaded:
			c.refuseUnlessBegun(now, q, classifier.TargetUnreachable)
			return
		case found.endpoint == nil:
			c.refuseUnlessBegun(now, q, classifier.NoEndpoint)
			return
		case len(q.declined) >= maxReserveRequests && q.late:
			c.refuseUnlessBegun(now, q, classifier.TargetUnreachable)
			return
		case len(q.declined) >= maxReserveRequests:
			// No engine can meet the target. Retry once for capacity that the others leave.
			q.late, q.declined = true, nil
			continue
		}
		q.late = q.late || found.late
		owner := c.ledgerOwner(now, found.endpoint)
		if !c.takeShare(now, q, &found, owner) {
			continue
		}
		if owner.Host != c.Self {
			c.requestReservation(now, q, found, owner)
			return
		}
		granted, wait := c.reserveLocally(now, q, found)
		if granted {
			found.permitted = true
			c.dispatch(now, q, found, true)
			return
		}
		c.recordDeclined(now, q, found.endpoint, wait)
	}
}

// busyRetryAfter returns when an overloaded service will probably have room for a request: when its shortest
// queue has become short enough that the caller would wait for it.
func (c *Core) busyRetryAfter(now namer.Seconds, q *request) time.Duration {
	shortest := namer.Seconds(math.Inf(1))
	for _, e := range q.pool.endpoints {
		if e.usable(now, q.Idempotent) {
			shortest = min(shortest, e.queueDelay(now, lateClass))
		}
	}
	if math.IsInf(float64(shortest), 1) {
		return busyRetry
	}
	rest := shortest - queuePatienceShare*(q.firstEventBy-q.arrived)
	return max(busyRetry, min(rest, maxBusyRetry).Duration())
}

const (
	// queuePatienceShare is the part of a caller's patience for the queue; the rest is for its own prompt.
	queuePatienceShare = 0.5
	// maxBusyRetry bounds the retry delay of an overloaded service, whose queues are estimates.
	maxBusyRetry namer.Seconds = 3
)

func (c *Core) placePlain(now namer.Seconds, q *request) {
	for c.nextTurn(now, q) {
		found := choice{endpoint: c.pickLeastLoaded(now, q)}
		if found.endpoint == nil {
			if found.endpoint = c.pickBeyondPace(now, q); found.endpoint != nil {
				c.dispatch(now, q, found, true)
				return
			}
			c.refuseUnlessBegun(now, q, classifier.NoEndpoint)
			return
		}
		if !c.takePace(now, found.endpoint) {
			c.recordDeclined(now, q, found.endpoint, 0)
			continue
		}
		switch c.requestPermit(now, q, &found) {
		case permitGranted:
			c.dispatch(now, q, found, true)
			return
		case permitPending:
			return
		}
	}
}

// requestReservation asks the owner of an engine's ledger for a reservation.
func (c *Core) requestReservation(now namer.Seconds, q *request, found choice, owner *member) {
	c.lastReservation++
	q.reservation, q.pendingChoice, q.reserveSentAt, q.ledgerOwner = c.lastReservation, &found, now, owner
	c.pendingReservations[q.reservation] = q
	c.send(owner.Host, Message{ReserveRequest: q.reserveRequest(now, found)})
}

func (q *request) reserveRequest(now namer.Seconds, found choice) *ReserveRequest {
	r := &ReserveRequest{
		ReservationID: q.reservation, Endpoint: found.endpoint.view.Name, Work: q.work(now, found), Budget: min(found.prefillBudget, maxMessageTime),
		PermitOnly: found.permitOnly, Permitted: found.permitted, Limit: found.endpoint.limitNotice(now),
	}
	if r.PermitOnly {
		r.Work = Work{Class: q.class()}
	}
	return r
}

// reserveLocally requests a reservation from a ledger of this daemon.
func (c *Core) reserveLocally(now namer.Seconds, q *request, found choice) (granted bool, wait namer.Seconds) {
	c.lastReservation++
	q.reservation = c.lastReservation
	granted, wait = c.handleReserve(now, c.Self, q.reserveRequest(now, found))
	c.updateLoad(now, c.loadSummary(now, found.endpoint))
	return granted, wait
}

// work returns the load that the request puts on an engine.
func (q *request) work(now namer.Seconds, found choice) Work {
	work := Work{
		Tokens: float64(q.PromptTokens), Fetched: found.prefixFetched, Class: q.class(), Stream: q.decodeHeavy() && !found.prefill,
		Gap: min(namer.SecondsOf(q.TargetGap), maxMessageTime), Until: min(q.deadline-now, maxMessageTime),
	}
	if work.Prefix = q.prefix(); work.Prefix != 0 {
		work.PrefixTokens = q.prefixTokens()
		work.Tokens = max(1, work.Tokens-work.PrefixTokens)
	}
	work.Tokens += q.deliveredTokens // delivered output is processed like prompt tokens
	if found.fromBackup {
		work.Tokens, work.PrefixTokens = 1, 0
	}
	return work
}

// handleReserveResponse handles the response of a ledger's owner.
func (c *Core) handleReserveResponse(now namer.Seconds, from namer.Host, r *ReserveResponse) {
	c.updateLoad(now, r.Load)
	c.receiveLimit(now, r.Limit)
	c.recordResponse(from)
	q := c.pendingReservations[r.ReservationID]
	if q == nil {
		if r.Granted { // the request has been placed elsewhere or has ended
			c.send(from, Message{ProgressUpdate: &ProgressUpdate{ReservationID: r.ReservationID, Endpoint: r.Load.Endpoint, Life: r.Load.Life, Progress: Ended}})
		}
		return
	}
	delete(c.pendingReservations, r.ReservationID)
	found := *q.pendingChoice
	if !r.Granted {
		c.recordDeclined(now, q, found.endpoint, r.Wait)
		c.placeAgain(now, q)
		return
	}
	if !found.endpoint.usable(now, q.Idempotent) || c.endpoints[found.endpoint.view.Name] != found.endpoint || c.isBlocked(now, q) {
		if !found.permitOnly {
			c.reportProgress(now, found.endpoint, r.ReservationID, ProgressUpdate{Progress: Ended})
		}
		c.placeAgain(now, q)
		return
	}
	found.permitted = true
	q.pendingChoice = nil
	if q.prefilled {
		c.startDecode(now, q, found)
		return
	}
	c.dispatch(now, q, found, true)
}

// placeAgain continues after a reservation request that has failed.
func (c *Core) placeAgain(now namer.Seconds, q *request) {
	q.pendingChoice = nil
	if q.prefilled {
		c.dispatchDecode(now, q)
		return
	}
	c.place(now, q)
}

// dispatch sends a request to the selected endpoint. Without a granted reservation, it informs the ledger.
func (c *Core) dispatch(now namer.Seconds, q *request, found choice, granted bool) {
	e := found.endpoint
	if !found.permitted {
		c.chargeLimit(now, e)
	}
	if !granted {
		c.lastReservation++
		q.reservation = c.lastReservation
		c.reportProgress(now, e, q.reservation, ProgressUpdate{Progress: Placed, Work: q.work(now, found)})
	}
	q.attempt++
	q.endpoint, q.started, q.unresponsive, q.attemptBuild = e, false, false, e.view.Build
	q.suspicion.dispatched(now)
	if q.received || (found.prefill && q.prefillAttempted) {
		c.chargeRetry(now, q)
	}
	e.running++
	e.health.recordSent()
	c.recordAwaiting(now, q, q.expectedTokens(now, found))
	e.recordPrefix(now, q.prefix(), false)
	action := decider.Action{
		Kind: decider.ActionDispatch, Request: q.ID, Attempt: q.attempt, Endpoint: e.view.Name, Priority: q.class(), Retry: q.reason,
		Basis: q.basis(now, found), Limited: e.limit.Limited(),
	}
	q.stage = running
	if found.prefill {
		q.stage = prefilling
		action.Kind = decider.ActionPrefill
	}
	if found.fetchFrom != nil {
		action.Fetch = found.fetchFrom.view.Name
	}
	action.FromBackup = found.fromBackup
	if q.backup = nil; q.stage == running && q.decodeHeavy() && q.pool.backups && q.Priority == 0 {
		if q.backup = c.pickBackup(now, q); q.backup != nil {
			action.Backup = q.backup.view.Name
		}
	}
	action.FinalAttempt = q.stage == running && q.backup == nil && c.isFinal(q)
	c.actions = append(c.actions, action)
	q.endPlacement()
}

// isFinal reports whether no further attempt can follow if the next one fails. A retry budget that is used up has
// room again later.
func (c *Core) isFinal(q *request) bool {
	return q.attemptsReceived+1 >= max(1, q.Attempts) || (c.Retries.Ratio <= 0 && c.Retries.Slack <= 0)
}

// retryAllowed reports whether the retry budget permits another retry.
func (c *Core) retryAllowed(now namer.Seconds, q *request) bool {
	return q.pool.retryBudget.allows(now, c.Retries, len(c.members))
}

// chargeRetry charges the retry budget, unless that has been done for this attempt.
func (c *Core) chargeRetry(now namer.Seconds, q *request) {
	if !q.retryCharged {
		q.pool.retryBudget.recordRetry(now, c.Retries)
	}
	q.retryCharged = false
}

// dispatchDecode sends a request whose prompt has been processed to a decode engine.
func (c *Core) dispatchDecode(now namer.Seconds, q *request) {
	if c.refuseBlocked(now, q) {
		return
	}
	for c.nextTurn(now, q) {
		found := choice{endpoint: c.pickDecodeEngine(now, q)}
		if found.endpoint == nil {
			c.refuseUnlessBegun(now, q, classifier.NoEndpoint)
			return
		}
		switch c.requestPermit(now, q, &found) {
		case permitGranted:
			c.startDecode(now, q, found)
			return
		case permitPending:
			return
		}
	}
}

func (c *Core) startDecode(now namer.Seconds, q *request, found choice) {
	e := found.endpoint
	c.lastReservation++
	q.reservation = c.lastReservation
	if q.received {
		c.chargeRetry(now, q)
	}
	work := q.work(now, choice{})
	work.Tokens, work.PrefixTokens = 0, 0 // the prompt has been processed by a prefill engine
	c.reportProgress(now, e, q.reservation, ProgressUpdate{Progress: Placed, Work: work})
	q.stage, q.endpoint, q.started, q.unresponsive, q.attemptBuild = running, e, false, false, e.view.Build
	q.suspicion.dispatched(now)
	e.running++
	e.health.recordSent()
	c.recordAwaiting(now, q, 0)
	c.actions = append(c.actions, decider.Action{
		Kind: decider.ActionDispatch, Request: q.ID, Attempt: q.attempt, Endpoint: e.view.Name, Priority: q.class(),
		Basis: q.basis(now, choice{endpoint: e}), FinalAttempt: c.isFinal(q), Limited: e.limit.Limited(),
	})
	q.endPlacement()
}

// basis returns the estimates behind a choice. They include the load summary of the reservation response,
// which may be newer than the one that the choice was made with.
func (q *request) basis(now namer.Seconds, found choice) decider.Basis {
	basis := decider.Basis{Expected: found.expectedDelay.Duration(), Declined: len(q.declined), Late: q.late}
	if found.endpoint != nil {
		basis.Build = found.endpoint.view.Build
	}
	if e := found.endpoint; !q.pool.plain && e.load.Rate > 0 {
		basis.QueueingTime, basis.LoadAge = e.queueDelay(now, q.class()).Duration(), (now - e.loadUpdatedAt).Duration()
		basis.Expected = max(basis.Expected, basis.QueueingTime)
	}
	return basis
}
