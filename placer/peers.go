package placer

import (
	"cmp"
	"slices"
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
)

// member is a daemon.
type member struct {
	decider.MemberView
	// unresponsiveUntil is the time until which the daemon is not used as a ledger owner, after it failed to
	// respond.
	unresponsiveUntil namer.Seconds
	backoff           namer.Seconds
}

const (
	// reserveTimeout is the time after which a reservation request counts as lost. A response takes 2 ms
	// between data centres, and longer from a busy daemon.
	reserveTimeout namer.Seconds = 0.015
	// Backoff of a daemon that did not respond. It doubles with each timeout.
	minPeerBackoff namer.Seconds = 0.25
	maxPeerBackoff namer.Seconds = 4
)

// setMembers replaces the members and keeps the state of those that remain.
func (c *Core) setMembers(views []decider.MemberView) {
	old := c.members
	c.members = nil
	views = append(slices.Clone(views), decider.MemberView{Host: c.Self, DataCentre: c.DataCentre})
	slices.SortStableFunc(views, func(a, b decider.MemberView) int { return cmp.Compare(a.Host, b.Host) })
	for _, view := range slices.CompactFunc(views, func(a, b decider.MemberView) bool { return a.Host == b.Host }) {
		m := &member{}
		if i := slices.IndexFunc(old, func(m *member) bool { return m.Host == view.Host }); i >= 0 {
			m = old[i]
		}
		m.MemberView = view
		c.members = append(c.members, m)
	}
	c.setScopes()
}

// ledgerOwner returns the daemon that owns the ledger of an engine, among the responsive ones. It prefers
// daemons in the engine's data centre, so that a network partition cuts off both.
func (c *Core) ledgerOwner(now namer.Seconds, e *endpoint) *member {
	// Never nil: this daemon is always responsive.
	return c.firstInRank(e, func(m *member) bool { return now >= m.unresponsiveUntil })
}

// firstInRank returns the eligible daemon with the highest rank for an engine.
func (c *Core) firstInRank(e *endpoint, eligible func(*member) bool) *member {
	var best *member
	var most uint64
	for _, m := range c.members {
		if !eligible(m) {
			continue
		}
		weight := rendezvous(0, string(m.Host)+"/"+string(e.view.Name)) >> 1
		if m.DataCentre == e.view.DataCentre {
			weight |= 1 << 63
		}
		if best == nil || weight > most {
			best, most = m, weight
		}
	}
	return best
}

// recordResponse ends the backoff of a daemon that has responded.
func (c *Core) recordResponse(host namer.Host) {
	for _, m := range c.members {
		if m.Host == host && m.backoff > 0 {
			m.backoff, m.unresponsiveUntil = 0, 0
			c.actions = append(c.actions, decider.Action{Kind: decider.ActionReport, Report: decider.DaemonResponsive, To: host})
		}
	}
}

// recordTimeout starts or doubles the backoff of a daemon that has not responded.
func (c *Core) recordTimeout(now namer.Seconds, m *member) {
	if now < m.unresponsiveUntil {
		return
	}
	m.backoff = min(max(2*m.backoff, minPeerBackoff), maxPeerBackoff)
	m.unresponsiveUntil = now + m.backoff
	c.actions = append(c.actions, decider.Action{
		Kind: decider.ActionReport, Report: decider.DaemonUnresponsive, To: m.Host, ReportDuration: m.backoff.Duration(),
	})
}

func (c *Core) send(to namer.Host, message Message) {
	c.actions = append(c.actions, decider.Action{Kind: decider.ActionSend, To: to, Message: message})
}

// Receive handles a message from another daemon's core.
func (c *Core) Receive(now time.Time, from namer.Host, message Message) []decider.Action {
	c.ensureInit(now)
	c.actions = c.actions[:0]
	at := c.seconds(now)
	switch {
	case message.ReserveRequest != nil:
		granted, wait := c.handleReserve(at, from, message.ReserveRequest)
		response := &ReserveResponse{
			ReservationID: message.ReserveRequest.ReservationID, Granted: granted, Wait: wait,
			Load: Load{Endpoint: message.ReserveRequest.Endpoint},
		}
		if e := c.endpoints[message.ReserveRequest.Endpoint]; e != nil {
			response.Limit = e.limitNotice(at)
			if !e.pool(c).plain {
				response.Load = c.loadSummary(at, e)
			}
		}
		c.send(from, Message{ReserveResponse: response})
	case message.ReserveResponse != nil:
		c.handleReserveResponse(at, from, message.ReserveResponse)
	case message.ProgressUpdate != nil:
		c.handleProgress(at, from, message.ProgressUpdate)
	case message.Pause != nil:
		c.pause(at, message.Pause)
	case message.Limit != nil:
		c.receiveLimit(at, message.Limit)
	case message.Charge != nil:
		c.receiveLimit(at, &message.Charge.Limit)
		if e := c.endpoints[message.Charge.Limit.Endpoint]; e != nil {
			e.bucket.Charge(at, e.limit.Statement())
		}
	case message.Pace != nil:
		c.receivePace(at, from, message.Pace)
	case message.Origins != nil:
		c.receiveOrigins(at, from, message.Origins)
	case message.ProcessEnd != nil:
		c.receiveProcessEnd(at, message.ProcessEnd)
	case message.Quarantine != nil:
		c.receiveQuarantine(at, from, message.Quarantine)
	default:
		for _, load := range message.Loads {
			c.updateLoad(at, load)
		}
	}
	return c.actions
}

// Pause gives an endpoint no new work for a time, and tells the other daemons.
func (c *Core) Pause(now time.Time, endpoint namer.Endpoint, length time.Duration) []decider.Action {
	c.ensureInit(now)
	c.actions = c.actions[:0]
	pause := &Pause{Endpoint: endpoint, Length: namer.SecondsOf(length)}
	if e := c.endpoints[endpoint]; e != nil {
		pause.Life = LifeOf(e.view.Incarnation)
		c.chargeLimit(c.seconds(now), e) // the order that is the reason
	}
	c.pause(c.seconds(now), pause)
	for _, m := range c.members {
		if m.Host != c.Self {
			c.send(m.Host, Message{Pause: pause})
		}
	}
	return c.actions
}

func (c *Core) pause(now namer.Seconds, p *Pause) {
	if e := c.endpoints[p.Endpoint]; e != nil && e.lives(p.Life) {
		e.turnsAwayUntil = max(e.turnsAwayUntil, now+min(p.Length, maxPause))
	}
}

// maxPause bounds the time for which another daemon can pause an endpoint.
const maxPause namer.Seconds = 30

// handleReserve grants a reservation, or declines it. wait is the time until the rate limit has room, if that is the
// reason.
func (c *Core) handleReserve(now namer.Seconds, from namer.Host, r *ReserveRequest) (granted bool, wait namer.Seconds) {
	c.receiveLimit(now, r.Limit)
	e := c.endpoints[r.Endpoint]
	if e == nil || e.leaving() {
		return false, 0
	}
	limited := e.limit.Limited() && !r.Permitted
	if limited {
		if wait = e.bucket.Wait(now, e.limit.Statement(), urgencyOf(r.Work.Class)); wait > 0 {
			return false, wait
		}
	}
	if !r.PermitOnly && (!c.withinPace(now, e) || !c.ledger(e).reserve(now, reservationKey{from, r.ReservationID}, r, e.view.Concurrency)) {
		return false, 0
	}
	if limited {
		e.bucket.Charge(now, e.limit.Statement())
	}
	return true, 0
}

func (c *Core) handleProgress(now namer.Seconds, from namer.Host, u *ProgressUpdate) {
	if e := c.endpoints[u.Endpoint]; e != nil && e.lives(u.Life) && !e.pool(c).plain {
		c.ledger(e).update(now, reservationKey{from, u.ReservationID}, u)
		c.observeProgress(now, e, u)
	}
}

// reportProgress reports the progress of a request to the owner of the engine's ledger.
func (c *Core) reportProgress(now namer.Seconds, e *endpoint, reservation ReservationID, u ProgressUpdate) {
	if c.endpoints[e.view.Name] != e || e.pool(c).plain {
		return
	}
	u.ReservationID, u.Endpoint, u.Life = reservation, e.view.Name, LifeOf(e.view.Incarnation)
	owner := c.ledgerOwner(now, e)
	if owner.Host == c.Self {
		c.handleProgress(now, c.Self, &u)
		return
	}
	c.send(owner.Host, Message{ProgressUpdate: &u})
}

func (e *endpoint) pool(c *Core) *pool { return c.pools[e.view.Service] }

func (c *Core) ledger(e *endpoint) *ledger {
	l := c.ledgers[e.view.Name]
	if l == nil {
		l = &ledger{}
		c.ledgers[e.view.Name] = l
	}
	l.defaultRate, l.cacheTokens = e.pool(c).prefillRate(e.view.Role), float64(e.view.KVTokens)
	return l
}

func (c *Core) loadSummary(now namer.Seconds, e *endpoint) Load {
	c.ledger(e).presumed = e.pace.Presumed(now)
	load := c.ledger(e).summary(now, e.view.Name)
	load.Life = LifeOf(e.view.Incarnation)
	if e.pace.Bounded() {
		load.Pace = &LoadPace{Window: e.pace.Window(), Unanswered: c.ledger(e).unanswered(now, e.boundAt)}
	}
	return load
}

// updateLoad applies a load summary.
func (c *Core) updateLoad(now namer.Seconds, load Load) {
	e := c.endpoints[load.Endpoint]
	if e == nil || load.Rate <= 0 || !e.lives(load.Life) {
		return
	}
	e.load, e.loadUpdatedAt = load, now
	c.adoptPace(now, e, load.Pace)
	for _, prefix := range load.NewPrefixes {
		e.recordPrefix(now, prefix, true)
	}
	p := e.pool(c)
	p.prefillRates[e.view.Role] += rateWeight * (load.Rate - p.prefillRates[e.view.Role])
	if p.prefillRates[e.view.Role] < load.Rate*rateWeight*1.01 {
		p.prefillRates[e.view.Role] = load.Rate // first summary
	}
}

// Each daemon receives at most maxSummaryRate summary messages per second from its own data centre, and as many
// from the others.
const (
	maxSummaryRate                 = 100.0
	minSummaryPeriod namer.Seconds = 0.03
)

// scope is a set of daemons that receive summaries at the same times.
type scope int

// The scopes. Data centres have a part of the daemons each, so that summaries within one are more frequent. They
// don't use the links between data centres either.
const (
	nearScope scope = iota // the own data centre
	farScope               // the other data centres
	scopes
)

// summaryPeriod returns the period of summaries for a number of daemons.
func summaryPeriod(daemons int) namer.Seconds {
	return max(minSummaryPeriod, namer.Seconds(float64(daemons)/maxSummaryRate))
}

// setScopes divides the daemons into the scopes.
func (c *Core) setScopes() {
	var own namer.DataCentre
	for _, m := range c.members {
		if m.Host == c.Self {
			own = m.DataCentre
		}
	}
	c.byScope = [scopes][]*member{}
	for _, m := range c.members {
		switch {
		case m.Host == c.Self:
		case m.DataCentre == own:
			c.byScope[nearScope] = append(c.byScope[nearScope], m)
		default:
			c.byScope[farScope] = append(c.byScope[farScope], m)
		}
	}
}

// broadcastLoads sends the load summaries of the ledgers that this daemon owns to all other daemons.
func (c *Core) broadcastLoads(now namer.Seconds) {
	for s, members := range c.byScope {
		if len(members) > 0 && now-c.lastSummaryAt[s] >= summaryPeriod(len(members)+1) {
			c.lastSummaryAt[s] = now
			c.sendLoads(now, scope(s))
		}
	}
}

func (c *Core) sendLoads(now namer.Seconds, s scope) {
	var loads []Load
	for name, l := range c.ledgers {
		e := c.endpoints[name]
		if e == nil || c.ledgerOwner(now, e).Host != c.Self {
			continue
		}
		l.expire(now)
		load := c.loadSummary(now, e)
		load.NewPrefixes, l.newPrefixes[s] = l.newPrefixes[s], nil
		c.updateLoad(now, load)
		if !e.pace.Bounded() && l.idleReported[s] && len(l.reservations) == 0 && len(load.NewPrefixes) == 0 {
			continue // unchanged since the last summary
		}
		l.idleReported[s] = len(l.reservations) == 0
		loads = append(loads, load)
	}
	if len(loads) == 0 {
		return
	}
	for _, m := range c.byScope[s] {
		c.send(m.Host, Message{Loads: loads})
	}
}
