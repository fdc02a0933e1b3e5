package placer

import (
	"math"
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/throttler"
)

// The rate limit that an endpoint states holds over all daemons. The first daemon in rank for the endpoint, whose ledger
// grants reservations too, has the bucket; the others ask it before they send a request. While it doesn't respond, they
// use their shares, also where another daemon grants reservations.

// observeLimit records what a response says about the rate limit of its endpoint, and tells the other daemons if the
// endpoint has become limited or unlimited. A new rate reaches the owner with the next request for a permit.
func (c *Core) observeLimit(now namer.Seconds, event decider.Event) {
	e := c.knownEndpoint(event.Endpoint)
	if e == nil || event.Limit.State == decider.LimitInvalid {
		return
	}
	limited := e.limit.Limited()
	c.updateLimit(e, throttler.Statement{
		Limited: event.Limit.State == decider.LimitStated, Rate: event.Limit.Rate, RequestedAt: c.seconds(event.RequestedAt), ReceivedAt: now,
	})
	if e.limit.Limited() != limited {
		c.broadcast(Message{Limit: e.limitNotice(now)})
	}
}

// updateLimit applies a statement of an endpoint and reports a change.
func (c *Core) updateLimit(e *endpoint, s throttler.Statement) {
	if !e.limit.Update(s) {
		return
	}
	report := decider.Action{Kind: decider.ActionReport, Report: decider.EndpointUnlimited, Endpoint: e.view.Name}
	if s.Limited {
		report.Report, report.Limit = decider.EndpointLimited, s.Rate
	}
	c.actions = append(c.actions, report)
}

// limitNotice returns what other daemons have to know of the endpoint's limit, or nil if there has been none.
func (e *endpoint) limitNotice(now namer.Seconds) *LimitNotice {
	if !e.limit.Known() {
		return nil
	}
	s := e.limit.Statement()
	return &LimitNotice{
		Endpoint: e.view.Name, Incarnation: e.view.Incarnation, Limited: s.Limited, Rate: s.Rate,
		RequestedAge: max(0, now-s.RequestedAt), ReceivedAge: max(0, now-s.ReceivedAt),
	}
}

// receiveLimit applies what another daemon knows of an endpoint's limit. The notice may be nil.
func (c *Core) receiveLimit(now namer.Seconds, n *LimitNotice) {
	if n == nil {
		return
	}
	if e := c.knownEndpoint(n.Endpoint); e != nil && e.view.Incarnation == n.Incarnation {
		c.updateLimit(e, throttler.Statement{Limited: n.Limited, Rate: n.Rate, RequestedAt: now - n.RequestedAge, ReceivedAt: now - n.ReceivedAge})
	}
}

// sharePhase returns the phase of this daemon's shares of an endpoint.
func (c *Core) sharePhase(name namer.Endpoint) float64 {
	return float64(rendezvous(0, string(name)+"/"+string(c.Self))) / math.MaxUint64
}

// limitOwner returns the daemon that has the bucket of an endpoint.
func (c *Core) limitOwner(e *endpoint) *member {
	return c.firstInRank(e, func(*member) bool { return true })
}

func urgencyOf(class int) throttler.Urgency {
	if class < classesPerRank {
		return throttler.Urgent
	}
	return throttler.Ordinary
}

// full reports whether the rate limit of an endpoint is known to have no room for a request.
func (e *endpoint) full(now namer.Seconds, q *request) bool {
	return e.limit.Limited() && now < e.fullUntil[urgencyOf(q.class())]
}

// open reports whether an endpoint may be asked to take a request now.
func (c *Core) open(now namer.Seconds, q *request, e *endpoint) bool {
	return e.usable(now, q.Idempotent) && !e.full(now, q) && e.fits(q) && q.compatible(e) && c.mayBegin(now, q, e)
}

// recordDeclined records that an endpoint's ledger, or its rate limit, has no room for a request.
func (c *Core) recordDeclined(now namer.Seconds, q *request, e *endpoint, wait namer.Seconds) {
	if wait <= 0 {
		q.declined = append(q.declined, e)
		return
	}
	for u := urgencyOf(q.class()); u < throttler.Urgencies; u++ {
		e.fullUntil[u] = max(e.fullUntil[u], now+wait)
	}
}

// takeShare uses this daemon's share of a rate limit if the owner of the limit doesn't respond. It reports whether the
// request may go on.
func (c *Core) takeShare(now namer.Seconds, q *request, found *choice, responsive *member) bool {
	e := found.endpoint
	if !e.limit.Limited() || responsive == c.limitOwner(e) {
		return true
	}
	if wait := e.share.Take(now, e.limit.Statement(), len(c.members)); wait > 0 {
		c.recordDeclined(now, q, e, wait)
		return false
	}
	found.permitted = true
	return true
}

// permit is the result of a request for room in a rate limit.
type permit int

const (
	permitGranted permit = iota
	permitDeclined
	permitPending // the owner of the limit has been asked
)

// requestPermit asks for room in the rate limit of an endpoint, if it has one. Requests that need a reservation get both
// with it.
func (c *Core) requestPermit(now namer.Seconds, q *request, found *choice) permit {
	e := found.endpoint
	if !e.limit.Limited() {
		return permitGranted
	}
	owner := c.ledgerOwner(now, e)
	found.permitOnly = true
	switch {
	case !c.takeShare(now, q, found, owner):
		return permitDeclined
	case found.permitted:
		return permitGranted
	case owner.Host != c.Self:
		c.requestReservation(now, q, *found, owner)
		return permitPending
	}
	if wait := e.bucket.Take(now, e.limit.Statement(), urgencyOf(q.class())); wait > 0 {
		c.recordDeclined(now, q, e, wait)
		return permitDeclined
	}
	found.permitted = true
	return permitGranted
}

// chargeLimit counts a call that is sent without a permit against the endpoint's rate limit.
func (c *Core) chargeLimit(now namer.Seconds, e *endpoint) {
	if !e.limit.Limited() {
		return
	}
	switch owner := c.ledgerOwner(now, e); {
	case owner != c.limitOwner(e):
		e.share.Take(now, e.limit.Statement(), len(c.members))
	case owner.Host == c.Self:
		e.bucket.Charge(now, e.limit.Statement())
	default:
		c.send(owner.Host, Message{Charge: &LimitCharge{Limit: *e.limitNotice(now)}})
	}
}

// rateLimited reports whether only rate limits keep a request from all usable endpoints, or from those that generate.
func (c *Core) rateLimited(now namer.Seconds, q *request, generating bool) bool {
	limited := false
	for _, e := range q.pool.endpoints {
		if !e.usable(now, q.Idempotent) || q.hasTried(e) || (generating && e.view.Role == namer.RolePrefill) {
			continue
		}
		if !e.full(now, q) {
			return false
		}
		limited = true
	}
	return limited
}

// returns spreads the times at which refused callers come back over the rate that this daemon can serve.
type returns struct{ next namer.Seconds }

// limitRetryAfter returns when the rate limits of a service will have room for a request.
func (c *Core) limitRetryAfter(now namer.Seconds, q *request) time.Duration {
	earliest, rate := namer.Seconds(math.Inf(1)), namer.Rate(0)
	for _, e := range q.pool.endpoints {
		if e.full(now, q) {
			earliest = min(earliest, e.fullUntil[urgencyOf(q.class())])
			rate += e.limit.Statement().Rate
		}
	}
	next := &q.pool.returns.next
	*next = max(*next, earliest)
	wait := min(*next-now, maxBusyRetry)
	*next = min(*next+namer.Seconds(float64(len(c.members))/max(float64(rate), minReturnRate)), now+maxBusyRetry)
	return max(busyRetry, wait.Duration())
}

// minReturnRate is the rate at which callers come back at least.
const minReturnRate = 0.1
