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
	// silentUntil is the time before which the daemon is not asked, after it has not answered.
	silentUntil namer.Seconds
	silence     namer.Seconds
}

const (
	// askTimeout is the time after which an ask counts as lost. An answer takes two milliseconds
	// between data centres, and some more while a daemon is busy.
	askTimeout namer.Seconds = 0.015
	// A daemon that did not answer is left out for a time that doubles.
	minSilence namer.Seconds = 0.25
	maxSilence namer.Seconds = 4
)

// join replaces the members.
func (c *Core) join(views []decider.MemberView) {
	old := c.members
	c.members = nil
	views = append(slices.Clone(views), decider.MemberView{Host: c.Self})
	slices.SortStableFunc(views, func(a, b decider.MemberView) int { return cmp.Compare(a.Host, b.Host) })
	for _, view := range slices.CompactFunc(views, func(a, b decider.MemberView) bool { return a.Host == b.Host }) {
		m := &member{}
		if i := slices.IndexFunc(old, func(m *member) bool { return m.Host == view.Host }); i >= 0 {
			m = old[i]
		}
		m.MemberView = view
		c.members = append(c.members, m)
	}
}

// keeper returns the daemon that keeps the ledger of an engine: of those that answer, one of the
// engine's data centre, so that it is cut off together with the engine.
func (c *Core) keeper(now namer.Seconds, e *endpoint) *member {
	var best *member
	var most uint64
	for _, m := range c.members {
		if now < m.silentUntil {
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
	return best // this daemon is never silent to itself
}

// alive takes note of a daemon's answer.
func (c *Core) alive(host namer.Host) {
	for _, m := range c.members {
		if m.Host == host && m.silence > 0 {
			m.silence, m.silentUntil = 0, 0
			c.actions = append(c.actions, decider.Action{Kind: decider.ActionReport, Report: decider.DaemonAnswers, To: host})
		}
	}
}

// silent takes note of a daemon that hasn't answered.
func (c *Core) silent(now namer.Seconds, m *member) {
	if now < m.silentUntil {
		return
	}
	m.silence = min(max(2*m.silence, minSilence), maxSilence)
	m.silentUntil = now + m.silence
	c.actions = append(c.actions, decider.Action{
		Kind: decider.ActionReport, Report: decider.DaemonSilent, To: m.Host, Lasting: m.silence.Duration(),
	})
}

func (c *Core) send(to namer.Host, message Message) {
	c.actions = append(c.actions, decider.Action{Kind: decider.ActionSend, To: to, Message: message})
}

// Receive takes a message of another daemon's core.
func (c *Core) Receive(now time.Time, from namer.Host, message Message) []decider.Action {
	c.start(now)
	c.actions = c.actions[:0]
	at := c.seconds(now)
	switch {
	case message.Ask != nil:
		granted := c.serveAsk(at, from, message.Ask)
		answer := &Answer{Reservation: message.Ask.Reservation, Granted: granted, Load: Load{Endpoint: message.Ask.Endpoint}}
		if e := c.endpoints[message.Ask.Endpoint]; e != nil {
			answer.Load = c.ledgerLoad(at, e)
		}
		c.send(from, Message{Answer: answer})
	case message.Answer != nil:
		c.answered(at, from, message.Answer)
	case message.Note != nil:
		c.serveNote(at, from, message.Note)
	default:
		for _, load := range message.Loads {
			c.learnLoad(at, load)
		}
	}
	return c.actions
}

func (c *Core) serveAsk(now namer.Seconds, from namer.Host, a *Ask) bool {
	e := c.endpoints[a.Endpoint]
	if e == nil || e.view.Leaving {
		return false
	}
	return c.ledger(e).ask(now, itemKey{from, a.Reservation}, a, e.view.Concurrency, e.pool(c).rate(e.view.Role))
}

func (c *Core) serveNote(now namer.Seconds, from namer.Host, n *Note) {
	if e := c.endpoints[n.Endpoint]; e != nil {
		c.ledger(e).note(now, itemKey{from, n.Reservation}, n)
	}
}

// note tells the keeper of an engine's ledger about a request.
func (c *Core) note(now namer.Seconds, e *endpoint, reservation Reservation, n Note) {
	if c.endpoints[e.view.Name] != e || e.pool(c).plain {
		return
	}
	n.Reservation, n.Endpoint = reservation, e.view.Name
	keeper := c.keeper(now, e)
	if keeper.Host == c.Self {
		c.serveNote(now, c.Self, &n)
		return
	}
	c.send(keeper.Host, Message{Note: &n})
}

func (e *endpoint) pool(c *Core) *pool { return c.pools[e.view.Service] }

func (c *Core) ledger(e *endpoint) *ledger {
	l := c.ledgers[e.view.Name]
	if l == nil {
		l = &ledger{}
		c.ledgers[e.view.Name] = l
	}
	return l
}

func (c *Core) ledgerLoad(now namer.Seconds, e *endpoint) Load {
	return c.ledger(e).load(now, e.view.Name, e.pool(c).rate(e.view.Role))
}

// learnLoad takes a summary of a ledger.
func (c *Core) learnLoad(now namer.Seconds, load Load) {
	e := c.endpoints[load.Endpoint]
	if e == nil || load.Rate <= 0 {
		return
	}
	e.load, e.loadAt = load, now
	p := e.pool(c)
	p.rates[e.view.Role] += rateStep * (load.Rate - p.rates[e.view.Role])
	if p.rates[e.view.Role] < load.Rate*rateStep*1.01 {
		p.rates[e.view.Role] = load.Rate // the first one
	}
}

// Summaries go out as often as each daemon gets about so many messages a second.
const (
	summaryRate                    = 100.0
	minSummaryPeriod namer.Seconds = 0.03
)

// summarise sends the loads of the ledgers that this daemon keeps to all others.
func (c *Core) summarise(now namer.Seconds) {
	period := max(minSummaryPeriod, namer.Seconds(float64(len(c.members))/summaryRate))
	if now-c.told < period || len(c.members) < 2 {
		return
	}
	c.told = now
	var loads []Load
	for name, l := range c.ledgers {
		e := c.endpoints[name]
		if e == nil || c.keeper(now, e).Host != c.Self {
			continue
		}
		l.expire(now)
		load := c.ledgerLoad(now, e)
		c.learnLoad(now, load)
		if l.told && len(l.items) == 0 {
			continue // nothing new to tell
		}
		l.told = len(l.items) == 0
		loads = append(loads, load)
	}
	if len(loads) == 0 {
		return
	}
	for _, m := range c.members {
		if m.Host != c.Self {
			c.send(m.Host, Message{Loads: loads})
		}
	}
}
