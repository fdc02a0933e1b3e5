// Package placer is the decision core for requests of routes: it decides which endpoint gets a
// request, and which requests are refused. It is pure: time and news are passed in as values, and
// decisions come out as values. One goroutine owns a Core.
//
// Every engine has a keeper among the daemons, chosen by rendezvous hashing. The keeper's core holds
// the ledger of what all daemons have placed on the engine, and a place for a prompt is granted there.
// The other daemons know the ledgers from summaries, which are good enough to choose whom to ask.
package placer

import (
	"math/rand/v2"
	"time"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Core decides about requests. Set the exported fields before the first call. The slices of actions
// that its methods return are valid until the next call.
type Core struct {
	Self namer.Host
	Seed uint64 // of the random choices
	// Retries bounds the repeated sendings of all daemons together.
	Retries Retries

	epoch     time.Time
	random    *rand.Rand
	members   []*member // all daemons, this one included
	endpoints map[namer.Endpoint]*endpoint
	pools     map[namer.Service]*pool
	requests  map[namer.StreamID]*request
	actions   []decider.Action

	ledgers map[namer.Endpoint]*ledger
	asks    map[Reservation]*request // that wait for an answer
	last    Reservation
	told    namer.Seconds // when the last summaries went out
}

// pool is the endpoints of one service.
type pool struct {
	service   namer.Service
	plain     bool
	backups   bool
	perEvent  float64     // tokens in one event of a stream
	endpoints []*endpoint // in the order of their names
	rates     map[namer.Role]float64
	budget    budget
}

// request is a request without a final action.
type request struct {
	decider.Request
	pool     *pool
	arrived  namer.Seconds
	deadline namer.Seconds
	attempt  namer.Attempt
	sends    int  // sendings that an endpoint may have seen
	read     bool // an engine has got the prompt to process for another one
	seen     bool // an endpoint has got the request, so that the next one that gets it repeats it
	paid     bool // the budget has been charged for the next sending
	noReader bool // nothing is left to pay another reader with
	handled  bool // an engine keeps the processed prompt for the one that generates
	mayRun   bool
	passed   float64   // tokens that the caller has got
	backup   *endpoint // gets a copy of the current attempt's memory
	reason   classifier.RetryReason
	tried    []*endpoint // that failed
	declined []*endpoint // whose ledgers had no place

	// While a ledger is asked.
	asking *choice
	asked  namer.Seconds
	keeper *member

	// The current attempt.
	stage       stage
	at          *endpoint
	reservation Reservation
	late        bool
	begun       bool // the first event has come
}

// stage is where a request is on its way.
type stage int

const (
	waiting    stage = iota // no endpoint has it
	prefilling              // an engine processes the prompt for another one
	running                 // the endpoint that answers has it
)

func (c *Core) start(now time.Time) {
	if c.requests != nil {
		return
	}
	c.epoch = now
	c.random = rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15))
	c.requests = map[namer.StreamID]*request{}
	c.endpoints = map[namer.Endpoint]*endpoint{}
	c.pools = map[namer.Service]*pool{}
	c.ledgers = map[namer.Endpoint]*ledger{}
	c.asks = map[Reservation]*request{}
}

func (c *Core) seconds(now time.Time) namer.Seconds { return namer.SecondsOf(now.Sub(c.epoch)) }

// Configure replaces the fleet. What has been learned about endpoints that stay is kept.
func (c *Core) Configure(now time.Time, fleet decider.Fleet) {
	c.start(now)
	c.join(fleet.Members)
	for _, p := range c.pools {
		p.endpoints = p.endpoints[:0]
	}
	old := c.endpoints
	c.endpoints = make(map[namer.Endpoint]*endpoint, len(fleet.Endpoints))
	for _, s := range fleet.Services {
		if c.pools[s.Name] == nil {
			c.pools[s.Name] = &pool{service: s.Name, rates: map[namer.Role]float64{}}
		}
		p := c.pools[s.Name]
		p.plain, p.backups, p.perEvent = s.Plain, s.Backups, float64(s.EventTokens)
	}
	for _, view := range fleet.Endpoints {
		p := c.pools[view.Service]
		if p == nil {
			continue // no route leads there
		}
		e := old[view.Name]
		if e == nil || e.view.Incarnation != view.Incarnation || e.view.Service != view.Service {
			e = &endpoint{}
			delete(c.ledgers, view.Name)
		}
		e.view = view
		c.endpoints[view.Name] = e
		p.endpoints = append(p.endpoints, e)
	}
	for name := range c.ledgers {
		if c.endpoints[name] == nil {
			delete(c.ledgers, name)
		}
	}
	for _, p := range c.pools {
		p.arrange()
	}
}

// Arrive decides about a new request.
func (c *Core) Arrive(now time.Time, r decider.Request) []decider.Action {
	c.start(now)
	c.actions = c.actions[:0]
	asserter.Check(c.requests[r.ID] == nil, "a request arrives once", "request %s", r.ID)
	at := c.seconds(now)
	q := &request{Request: r, pool: c.pools[r.Service], arrived: at, deadline: c.seconds(r.Deadline)}
	c.requests[r.ID] = q
	if q.pool == nil {
		c.refuse(at, q, classifier.NoEndpoint, noEndpointRetry)
		return c.actions
	}
	q.pool.budget.arrived(at, c.Retries)
	c.place(at, q)
	return c.actions
}

const (
	// noEndpointRetry is when a request without an endpoint may come back.
	noEndpointRetry = 300 * time.Millisecond
	// busyRetry is when a request that met busy endpoints may come back.
	busyRetry = 300 * time.Millisecond
	// refusedRetry is when a request that endpoints refused may come back.
	refusedRetry = 200 * time.Millisecond
)

// refuse ends a request. An outcome that says "not-run" is only given when no endpoint can have run it.
func (c *Core) refuse(now namer.Seconds, q *request, outcome classifier.Outcome, retryAfter time.Duration) {
	asserter.Check(q.stage == waiting, "only a request without an attempt is refused", "request %s", q.ID)
	if q.mayRun {
		outcome = classifier.EndpointFailed
	}
	c.actions = append(c.actions, decider.Action{
		Kind: decider.ActionRefuse, Request: q.ID, Outcome: outcome,
		RetryAfter: time.Duration(float64(retryAfter) * (0.75 + 0.5*c.random.Float64())),
		Basis:      decider.Basis{Declined: len(q.declined), Usable: c.usable(now, q), Late: q.late},
	})
	c.forget(q)
}

// usable counts the endpoints that could take a request.
func (c *Core) usable(now namer.Seconds, q *request) int {
	n := 0
	if q.pool != nil {
		for _, e := range q.pool.endpoints {
			if e.usable(now, q.Idempotent) {
				n++
			}
		}
	}
	return n
}

func (c *Core) forget(q *request) {
	delete(c.asks, q.reservation)
	delete(c.requests, q.ID)
}

// latePriority is the priority at the engine of requests that can't be on time. They use what the
// others leave.
const latePriority = 9

func (q *request) class() int {
	if q.late {
		return latePriority
	}
	return min(q.Priority, latePriority-1)
}
