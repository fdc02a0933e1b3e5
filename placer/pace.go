package placer

import (
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/pacer"
)

// The pace of an endpoint that has started or recovered. For an engine, the owner of its ledger applies it when it grants
// reservations; the others learn the window from the summaries and send the owner what they observe. For a plain endpoint,
// each daemon applies its share, and those that bound it tell each other what they observe.

// paced is this daemon's part of the pace of an endpoint.
type paced struct {
	pace       pacer.Pace
	paceShare  pacer.Share // plain endpoints
	unanswered int         // requests of this daemon without a first event, since the endpoint was last bounded
	boundAt    namer.Seconds
	byAll      bool // all daemons have learned of the endpoint at the same time
	// others are the daemons that bound a plain endpoint after an ejection, with the time at which each was last heard.
	others map[namer.Host]namer.Seconds
}

// pacingTTL is the time for which a daemon counts among those that bound an endpoint, after it was heard.
const pacingTTL = 5 * maxEjection

// PaceNotice tells the other daemons that the sender bounds a plain endpoint, and how the endpoint has answered, if it has.
type PaceNotice struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    namer.Endpoint
	Incarnation namer.Incarnation
	Answer      *pacer.Answer
}

// kindOf distinguishes the endpoints of a pool that are compared.
func (e *endpoint) kindOf() namer.Role {
	if e.view.Role == namer.RolePrefill {
		return namer.RolePrefill
	}
	return ""
}

// usual returns how long endpoints of e's kind take.
func (p *pool) usual(e *endpoint) *pacer.Usual {
	kind := e.kindOf()
	if p.usuals[kind] == nil {
		if p.usuals == nil {
			p.usuals = map[namer.Role]*pacer.Usual{}
		}
		p.usuals[kind] = &pacer.Usual{}
	}
	return p.usuals[kind]
}

// proved returns the endpoints of e's kind that have no bound and are not new, without e.
func (p *pool) proved(e *endpoint) []*endpoint {
	var found []*endpoint
	for _, other := range p.endpoints {
		if other != e && other.kindOf() == e.kindOf() && !other.leaving() && !other.pace.Bounded() && !other.byAll {
			found = append(found, other)
		}
	}
	return found
}

// kind returns what other endpoints of e's kind do.
func (c *Core) kind(now namer.Seconds, e *endpoint) pacer.Kind {
	k := pacer.Kind{Slots: e.view.Concurrency}
	proved := e.pool(c).proved(e)
	for _, other := range proved {
		n := other.unanswered * len(c.members)
		if !e.pool(c).plain {
			n = other.awaiting(now)
		}
		k.Carried += float64(n) / float64(len(proved))
	}
	return k
}

// awaiting estimates the requests of all daemons at an engine that have no first event.
func (e *endpoint) awaiting(now namer.Seconds) int {
	if !e.current(now) {
		return e.unanswered
	}
	return max(0, e.load.Running-e.load.Generating)
}

// beginPaces bounds endpoints that are new; created has them with the endpoints that they replace, or nil. An endpoint is
// only compared with others that have been here and have answered: a daemon that is new bounds nothing, and neither does
// one whose endpoints are all new.
func (c *Core) beginPaces(now namer.Seconds, created map[*endpoint]*endpoint) {
	for e := range created {
		e.byAll = true
	}
	type group struct {
		pool *pool
		kind namer.Role
	}
	groups := map[group][]*endpoint{}
	for e := range created {
		g := group{e.pool(c), e.kindOf()}
		groups[g] = append(groups[g], e)
	}
	for g, members := range groups {
		if !g.pool.usual(members[0]).Known() || len(g.pool.proved(members[0])) < len(members) {
			continue
		}
		k := c.kind(now, members[0])
		for _, e := range members {
			if earlier := created[e]; earlier != nil {
				e.pace = earlier.pace
			}
			k.Slots = e.view.Concurrency
			e.pace.Begin(k, e.view.WarmupLeft > 0)
			c.begun = append(c.begun, e)
		}
	}
	for e := range created {
		e.byAll = e.pace.Bounded()
	}
}

// reportBegun reports the endpoints that have been bounded without a report.
func (c *Core) reportBegun(now namer.Seconds) {
	for _, e := range c.begun {
		if c.endpoints[e.view.Name] == e && e.pace.Bounded() && (e.byAll || e.pool(c).plain) {
			c.reportPace(now, e)
		}
	}
	c.begun = nil
}

// reportPace reports that an endpoint has become bounded or unbounded, at the daemon that decides it.
func (c *Core) reportPace(now namer.Seconds, e *endpoint) {
	report := decider.EndpointPaced
	if !e.pace.Bounded() {
		report, e.byAll, e.others = decider.EndpointProved, false, nil
		if l := c.ledgers[e.view.Name]; l != nil {
			l.rate, l.lateness = rateEstimate{}, latenessEstimate{}
		}
	}
	if e.pool(c).plain || c.ledgerOwner(now, e).Host == c.Self {
		c.actions = append(c.actions, decider.Action{Kind: decider.ActionReport, Report: report, Endpoint: e.view.Name, Window: e.pace.Window()})
	}
}

// recordAwaiting records that a request has been sent to its endpoint, which has so many prompt tokens to process.
func (c *Core) recordAwaiting(now namer.Seconds, q *request, tokens float64) {
	e := q.endpoint
	e.unanswered++
	q.overdueAt = now
	q.awaiting, q.answer, q.expected, q.boundAt = true, nil, 0, e.boundAt
	if q.pool.plain {
		return
	}
	// The rate of the kind: a slow engine isn't excused by its own queue.
	kindRate := q.pool.prefillRate(e.view.Role)
	q.expected = e.queueDelay(now, q.class())*namer.Seconds(min(1, e.load.Rate/kindRate)) + namer.Seconds(tokens/kindRate)
}

// expectedTokens returns the prompt tokens that the endpoint of a choice probably processes.
func (q *request) expectedTokens(now namer.Seconds, found choice) float64 {
	tokens := float64(q.PromptTokens) + q.deliveredTokens
	switch {
	case found.fromBackup:
		return 0
	case found.prefixFetched || found.endpoint.holds(now, q.prefix()):
		return tokens - q.prefixTokens()
	}
	return tokens
}

// endAwaiting removes a request from those without a first event.
func (q *request) endAwaiting() {
	if q.awaiting && q.boundAt == q.endpoint.boundAt {
		q.endpoint.unanswered--
	}
	q.awaiting = false
}

// recordAnswer judges the first event of a response, or what has come in its place.
func (c *Core) recordAnswer(now namer.Seconds, q *request, verdict pacer.Verdict) {
	e, first := q.endpoint, q.awaiting
	q.endAwaiting()
	if c.endpoints[e.view.Name] != e || (!first && verdict != pacer.Failed) {
		return
	}
	a := pacer.Answer{Verdict: verdict, Took: max(0, now-q.suspicion.dispatchedAt)}
	if verdict == pacer.Good {
		usual := q.pool.usual(e)
		if usual.Late(a.Took, q.expected) {
			a.Verdict = pacer.Late
		}
		if !q.late && (!e.pace.Bounded() || !usual.Known()) {
			usual.Observe(a.Took, q.expected)
		}
		if q.late && a.Verdict == pacer.Late {
			return // it has waited behind others
		}
	}
	switch {
	case q.pool.plain && e.pace.Bounded():
		c.sharePace(now, e, a)
	case !q.pool.plain && (e.pace.Bounded() || a.Verdict == pacer.Failed):
		q.answer = &a
	}
}

// judgeOverdue tells of requests at endpoints with a bound that should have been answered, and again when they have taken
// twice as long.
func (c *Core) judgeOverdue(now namer.Seconds) {
	for _, q := range c.requests {
		if !q.awaiting || now <= q.overdueAt || q.late || !q.endpoint.pace.Bounded() || c.endpoints[q.endpoint.view.Name] != q.endpoint {
			continue
		}
		a := pacer.Answer{Verdict: pacer.Overdue, Took: now - q.suspicion.dispatchedAt}
		if !q.pool.usual(q.endpoint).Late(a.Took, q.expected) {
			continue
		}
		q.overdueAt = now + a.Took
		if q.pool.plain {
			c.sharePace(now, q.endpoint, a)
		} else {
			c.reportProgress(now, q.endpoint, q.reservation, ProgressUpdate{Progress: Awaiting, Answer: &a})
		}
	}
}

// sharePace applies an answer of a plain endpoint and tells it the other daemons.
func (c *Core) sharePace(now namer.Seconds, e *endpoint, a pacer.Answer) {
	c.broadcast(Message{Pace: &PaceNotice{Endpoint: e.view.Name, Incarnation: e.view.Incarnation, Answer: &a}})
	c.observePace(now, e, a)
}

// recordFailedAnswer judges the failure of an attempt.
func (c *Core) recordFailedAnswer(now namer.Seconds, q *request, reason classifier.RetryReason) {
	switch reason {
	case classifier.RetryConnectFailed, classifier.RetryStreamBroken, classifier.RetryEndpointUnresponsive:
		c.recordAnswer(now, q, pacer.Failed)
	case classifier.RetryEndpointRefused, classifier.RetryEndpointFailed, classifier.RetryResponseLost:
		if !q.endpoint.limit.Limited() {
			c.recordAnswer(now, q, pacer.Refused)
		}
	}
	q.endAwaiting()
}

// takeAnswer returns what the owner of the engine's ledger has to know.
func (q *request) takeAnswer() *pacer.Answer {
	a := q.answer
	q.answer = nil
	return a
}

// observePace applies an answer to the pace of an endpoint. Failures don't bound it if too few others could take its work.
func (c *Core) observePace(now namer.Seconds, e *endpoint, a pacer.Answer) {
	if !e.pace.Bounded() && a.Verdict != pacer.Good && !c.boundable(e) {
		return
	}
	if e.pace.Observe(now, a, c.kind(now, e)) {
		if e.pace.Bounded() {
			e.bound(now)
		}
		c.reportPace(now, e)
	}
}

// boundable reports whether at least half of the endpoints of e's kind stay without a bound if e gets one.
func (c *Core) boundable(e *endpoint) bool {
	bounded := 1
	for _, other := range e.pool(c).endpoints {
		if other != e && other.kindOf() == e.kindOf() && other.pace.Bounded() {
			bounded++
		}
	}
	return len(e.pool(c).proved(e)) >= bounded
}

// bound begins to count the requests without an answer. Earlier ones may never get one, and would keep others from an
// endpoint that works again.
func (e *endpoint) bound(now namer.Seconds) { e.boundAt, e.unanswered = now, 0 }

// observeProgress applies what the progress of a request says about its engine.
func (c *Core) observeProgress(now namer.Seconds, e *endpoint, u *ProgressUpdate) {
	switch {
	case u.Answer != nil:
		c.observePace(now, e, *u.Answer)
	case u.Progress == Prefilled && !e.pace.Bounded():
		e.pace.Observe(now, pacer.Answer{}, pacer.Kind{}) // ends a row of failures
	}
}

// paceEjected bounds a plain endpoint that has been ejected. It is reported when the endpoint returns.
func (c *Core) paceEjected(now namer.Seconds, e *endpoint) {
	if !e.pool(c).plain || e.pace.Bounded() || !c.boundable(e) {
		return
	}
	e.pace.Begin(c.kind(now, e), true)
	e.bound(now)
	c.broadcast(Message{Pace: &PaceNotice{Endpoint: e.view.Name, Incarnation: e.view.Incarnation}})
}

// receivePace applies what another daemon that bounds a plain endpoint tells about it.
func (c *Core) receivePace(now namer.Seconds, from namer.Host, n *PaceNotice) {
	e := c.endpoints[n.Endpoint]
	if e == nil || e.view.Incarnation != n.Incarnation || !e.pool(c).plain {
		return
	}
	if e.others == nil {
		e.others = map[namer.Host]namer.Seconds{}
	}
	e.others[from] = now
	if n.Answer != nil && e.pace.Bounded() {
		c.observePace(now, e, *n.Answer)
	}
}

// adoptPace takes over the window that the owner of an engine's ledger has found.
func (c *Core) adoptPace(now namer.Seconds, e *endpoint, found *LoadPace) {
	switch {
	case found == nil && !e.pace.Bounded():
	case c.ledgerOwner(now, e).Host == c.Self: // another daemon knows less, or of the instance before
	case found != nil:
		e.pace.Adopt(found.Window, c.kind(now, e))
	default:
		e.pace.Adopt(0, pacer.Kind{})
	}
}

// paceUnknown reports whether the owner of a bounded engine's ledger tells nothing any more. Another daemon takes over when
// requests are sent there.
func (e *endpoint) paceUnknown(now namer.Seconds) bool { return e.pace.Bounded() && !e.current(now) }

// paceFull reports whether an engine is known to have no room in its window until it answers.
func (e *endpoint) paceFull(now namer.Seconds) bool {
	return e.pace.Bounded() && e.current(now) && e.load.Pace != nil && !e.pace.Admits(e.load.Pace.Unanswered) && e.inProgress(now) > 0
}

// withinPace reports whether an engine's window has room for another reservation.
func (c *Core) withinPace(now namer.Seconds, e *endpoint) bool {
	c.ledger(e).presumed = e.pace.Presumed(now)
	return !e.pace.Bounded() || e.pace.Admits(c.ledger(e).unanswered(now, e.boundAt))
}

// unanswered counts the requests at the engine without a first event that were placed from a time on.
func (l *ledger) unanswered(now, from namer.Seconds) int {
	l.expire(now)
	n := 0
	for _, r := range l.reservations {
		if !r.prefilled && r.placedAt >= from {
			n++
		}
	}
	return n
}

// takePace takes a place in the window of a plain endpoint.
func (c *Core) takePace(now namer.Seconds, e *endpoint) bool {
	if !e.pace.Bounded() {
		return true
	}
	daemons := len(c.members)
	if !e.byAll {
		daemons = 1
		for _, heard := range e.others {
			if now-heard < pacingTTL {
				daemons++
			}
		}
	}
	return e.paceShare.Take(now, &e.pace, e.pool(c).usual(e).Time(), daemons, e.unanswered)
}

// pickBeyondPace returns the endpoint with the fewest requests among those that only the pace keeps a request from. It is
// used if no other endpoint takes the request, since a refusal would be worse.
func (c *Core) pickBeyondPace(now namer.Seconds, q *request) *endpoint {
	var least lowestScore
	for _, e := range q.declined {
		if e.pace.Bounded() && c.open(now, q, e) && !e.limit.Limited() {
			least.consider(e, namer.Seconds(e.running))
		}
	}
	return least.endpoint
}
