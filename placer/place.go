package placer

import (
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// maxAsks bounds the ledgers that are asked for one request; each takes the time of a way to another
// daemon and back.
const maxAsks = 3

// place finds an endpoint for a request and sends it there, asks a ledger for a place, or refuses
// the request.
func (c *Core) place(now namer.Seconds, q *request) {
	if q.pool.plain {
		c.placePlain(now, q)
		return
	}
	for {
		found := c.pick(now, q)
		switch {
		case found.at == nil && found.busy:
			c.refuse(now, q, classifier.TargetUnreachable, busyRetry)
			return
		case found.at == nil:
			c.refuse(now, q, classifier.NoEndpoint, noEndpointRetry)
			return
		case len(q.declined) >= maxAsks && q.late:
			c.refuse(now, q, classifier.TargetUnreachable, busyRetry)
			return
		case len(q.declined) >= maxAsks:
			// Nobody has a place in time; one more round is for what the others leave.
			q.late, q.declined = true, nil
			continue
		}
		q.late = found.late
		keeper := c.keeper(now, found.at)
		if keeper.Host != c.Self {
			c.ask(now, q, found, keeper)
			return
		}
		if c.grant(now, q, found) {
			c.commit(now, q, found, true)
			return
		}
		q.declined = append(q.declined, found.at)
	}
}

func (c *Core) placePlain(now namer.Seconds, q *request) {
	e := c.pickPlain(now, q)
	if e == nil {
		c.refuse(now, q, classifier.NoEndpoint, noEndpointRetry)
		return
	}
	c.commit(now, q, choice{at: e}, true)
}

// ask asks the keeper of an engine's ledger for a place.
func (c *Core) ask(now namer.Seconds, q *request, found choice, keeper *member) {
	c.last++
	q.reservation, q.asking, q.asked, q.keeper = c.last, &found, now, keeper
	c.asks[q.reservation] = q
	c.send(keeper.Host, Message{Ask: &Ask{
		Reservation: q.reservation, Endpoint: found.at.view.Name, Work: q.work(now, found), Budget: found.budget,
	}})
}

// grant asks a ledger of this daemon.
func (c *Core) grant(now namer.Seconds, q *request, found choice) bool {
	c.last++
	q.reservation = c.last
	a := &Ask{Reservation: q.reservation, Endpoint: found.at.view.Name, Work: q.work(now, found), Budget: found.budget}
	granted := c.serveAsk(now, c.Self, a)
	c.learnLoad(now, c.ledgerLoad(now, found.at))
	return granted
}

// work describes the request to a ledger.
func (q *request) work(now namer.Seconds, found choice) Work {
	work := Work{
		Tokens: float64(q.PromptTokens), Fetched: found.fetched, Class: q.class(), Stream: q.generative() && !found.prefill,
		Gap: namer.SecondsOf(q.TargetGap), Until: q.deadline - now,
	}
	if n := len(q.Parts); n > 1 {
		work.Part = q.Parts[n-2].ID
		work.Shared = q.shared()
		work.Tokens = max(1, work.Tokens-work.Shared)
	}
	work.Tokens += q.passed // they are processed like a part of the prompt
	if found.fromBackup {
		work.Tokens, work.Shared = 1, 0
	}
	return work
}

// answered takes the answer of a ledger's keeper.
func (c *Core) answered(now namer.Seconds, from namer.Host, a *Answer) {
	c.learnLoad(now, a.Load)
	c.alive(from)
	q := c.asks[a.Reservation]
	if q == nil {
		if a.Granted { // too late: the request went elsewhere or has ended
			c.send(from, Message{Note: &Note{Reservation: a.Reservation, Endpoint: a.Load.Endpoint, Progress: Ended}})
		}
		return
	}
	delete(c.asks, a.Reservation)
	found := *q.asking
	q.asking = nil
	if !a.Granted {
		q.declined = append(q.declined, found.at)
		c.place(now, q)
		return
	}
	if !found.at.usable(now, q.Idempotent) || c.endpoints[found.at.view.Name] != found.at {
		c.note(now, found.at, a.Reservation, Note{Progress: Ended})
		c.place(now, q)
		return
	}
	c.commit(now, q, found, true)
}

// commit sends a request to the endpoint of a choice. The ledger has granted the place or is told.
func (c *Core) commit(now namer.Seconds, q *request, found choice, granted bool) {
	e := found.at
	if !granted {
		c.last++
		q.reservation = c.last
		c.note(now, e, q.reservation, Note{Progress: Placed, Work: q.work(now, found)})
	}
	q.attempt++
	q.at, q.begun = e, false
	if q.seen || (found.prefill && q.read) {
		c.pay(now, q)
	}
	e.running++
	e.health.sent()
	action := decider.Action{
		Kind: decider.ActionDispatch, Request: q.ID, Attempt: q.attempt, Endpoint: e.view.Name, Priority: q.class(), Retry: q.reason,
		Basis: q.basis(now, found),
	}
	q.stage = running
	if found.prefill {
		q.stage = prefilling
		action.Kind = decider.ActionPrefill
	}
	if found.fetch != nil {
		action.Fetch = found.fetch.view.Name
	}
	action.FromBackup = found.fromBackup
	if q.backup = nil; q.stage == running && q.generative() && q.pool.backups && q.Priority == 0 {
		if q.backup = c.pickBackup(now, q); q.backup != nil {
			action.Backup = q.backup.view.Name
		}
	}
	action.Last = q.stage == running && q.backup == nil && (q.sends+1 >= max(1, q.Attempts) || !c.pays(now, q))
	c.actions = append(c.actions, action)
}

// pays reports whether the budget bears another repeat.
func (c *Core) pays(now namer.Seconds, q *request) bool {
	return q.pool.budget.allows(now, c.Retries, len(c.members))
}

// pay charges the budget for a repeat, once.
func (c *Core) pay(now namer.Seconds, q *request) {
	if !q.paid {
		q.pool.budget.spend(now, c.Retries)
	}
	q.paid = false
}

// generate sends a request whose prompt has been processed to an engine that generates.
func (c *Core) generate(now namer.Seconds, q *request) {
	e := c.pickGenerator(now, q)
	if e == nil {
		c.refuse(now, q, classifier.NoEndpoint, noEndpointRetry)
		return
	}
	c.last++
	q.reservation = c.last
	if q.seen {
		c.pay(now, q)
	}
	work := q.work(now, choice{})
	work.Tokens, work.Shared = 0, 0 // another engine has processed the prompt
	c.note(now, e, q.reservation, Note{Progress: Placed, Work: work})
	q.stage, q.at, q.begun = running, e, false
	e.running++
	e.health.sent()
	c.actions = append(c.actions, decider.Action{
		Kind: decider.ActionDispatch, Request: q.ID, Attempt: q.attempt, Endpoint: e.view.Name, Priority: q.class(),
		Basis: q.basis(now, choice{at: e}), Last: q.sends+1 >= max(1, q.Attempts) || !c.pays(now, q),
	})
}

// basis says what a choice rests on. The ledger's answer may have brought newer news than those that the
// choice was made with.
func (q *request) basis(now namer.Seconds, found choice) decider.Basis {
	basis := decider.Basis{Expected: found.expected.Duration(), Declined: len(q.declined), Late: q.late}
	if e := found.at; !q.pool.plain && e.load.Rate > 0 {
		basis.Waiting, basis.NewsAge = e.ahead(now, bucket(q.class())).Duration(), (now - e.loadAt).Duration()
		basis.Expected = max(basis.Expected, basis.Waiting)
	}
	return basis
}
