// Package placer selects the endpoint for each request of a route, or refuses the request. It does no
// I/O and reads no clock: time and events are passed in as values, and decisions are returned as
// values. A Core is owned by one goroutine.
//
// One daemon owns the ledger of each engine, chosen by rendezvous hashing. The ledger records what all
// daemons have placed on the engine, and its owner grants reservations for prompts. The other daemons
// receive periodic load summaries, which are accurate enough to choose an engine to ask for.
package placer

import (
	"math/rand/v2"
	"time"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/historian"
	"apricotspool/namer"
	"apricotspool/pacer"
)

// Core places requests on endpoints. Set the exported fields before the first call. The action slices
// returned by its methods are valid until the next call.
type Core struct {
	Self       namer.Host
	DataCentre namer.DataCentre // of Self, while its own entry is not known
	Seed       uint64           // of the random number generator
	// Retries limits the retries of all daemons together.
	Retries Retries
	// Learning says that LearnStreams will be called, so that streams which aren't known yet may become known.
	Learning bool

	epoch     time.Time
	random    *rand.Rand
	members   []*member // all daemons, including this one
	byScope   [scopes][]*member
	endpoints map[namer.Endpoint]*endpoint
	departed  departed
	replaced  []ProcessEnd // by processes with another build, and not told to the others yet
	pools     map[namer.Service]*pool
	requests  map[namer.StreamID]*request
	actions   []decider.Action

	ledgers             map[namer.Endpoint]*ledger
	pendingReservations map[ReservationID]*request // awaiting a response
	lastReservation     ReservationID
	lastSummaryAt       [scopes]namer.Seconds
	quarantine          quarantine
	originAsks          map[originAsk][]*request // that wait for the origin of their stream
	learned             bool
	begun               []*endpoint // may be bounded, and not reported yet

	generation   uint64 // of the fleet
	confirmation decider.Confirmation
	confirmedAt  namer.Seconds // when it was passed
}

// pool holds the endpoints of one service.
type pool struct {
	service        namer.Service
	plain          bool
	backups        bool
	tokensPerEvent float64       // output tokens in one stream event
	kvTransfer     namer.Seconds // of one token within a data centre
	endpoints      []*endpoint   // in name order
	prefillRates   map[namer.Role]float64
	retryBudget    retryBudget
	targets        targets
	returns        returns
	builds         historian.Builds
	origins        historian.Origins
	usuals         map[namer.Role]*pacer.Usual
	only           bool                  // all streams are known to have one build
	originsUntold  bool                  // they no longer are
	unsettled      bool                  // see decider.Confirmation
	retracted      []historian.StreamKey // whose build is uncertain, and that the others may have been told of
}

// request is a request that has not been refused, finished or cancelled.
type request struct {
	decider.Request
	pool             *pool
	arrived          namer.Seconds
	deadline         namer.Seconds
	firstEventBy     namer.Seconds // when the caller gives up without a first event
	attempt          namer.Attempt
	attemptsReceived int  // attempts that an endpoint may have received
	prefillAttempted bool // a prefill engine has received the prompt
	received         bool // an endpoint has received the request, so the next attempt is a retry
	retryCharged     bool // the retry budget has been charged for the next attempt
	skipPrefill      bool // the retry budget does not permit another prefill attempt
	prefilled        bool // a prefill engine holds the KV cache of the prompt for the decode engine
	mayHaveRun       bool
	deliveredTokens  float64   // output tokens that the caller has received
	backup           *endpoint // receives a copy of the current attempt's KV cache
	reason           classifier.RetryReason
	tried            []*endpoint // endpoints of failed attempts
	declined         []*endpoint // endpoints whose ledger declined the reservation, in the current placement
	turns            int         // of the current placement

	// Set while a reservation request is pending.
	pendingChoice *choice
	reserveSentAt namer.Seconds
	ledgerOwner   *member

	// The current attempt.
	stage       stage
	endpoint    *endpoint
	reservation ReservationID
	late        bool
	started     bool // the first event has arrived
	suspicion   suspicion
	awaiting    bool          // the endpoint has answered nothing
	expected    namer.Seconds // until the first event, at the speed of the endpoint's kind
	boundAt     namer.Seconds // when the endpoint was last bounded, as of the attempt
	overdueAt   namer.Seconds // when the missing answer is judged
	answer      *pacer.Answer // for the owner of the engine's ledger

	unresponsive bool // its endpoint has been reported as unresponsive
	delivered    bool // the caller has received a part of the response
	// abandoned is the last attempt at an unresponsive endpoint that the core has ended; 0 if there is none.
	abandoned namer.Attempt
	// proposed is the engine that is being checked, so that the request may go on there.
	proposed *endpoint
	// replacement is the engine at which the request goes on after an attempt that the core has ended.
	replacement *endpoint

	attemptBuild namer.Build   // of the current attempt's endpoint when the attempt was sent
	build        namer.Build   // that began the stream; empty before its first event
	origin       *endpoint     // that wrote the first event in this response
	originAt     namer.Seconds // when it arrived
	originLost   bool          // the build of origin isn't certain any more

	// Set while other daemons are asked for the stream's origin.
	originAskedAt namer.Seconds
	originAnswers int // that are missing
}

// stage is the state of a request.
type stage int

const (
	waiting    stage = iota // not assigned to an endpoint
	prefilling              // a prefill engine processes the prompt
	running                 // assigned to the endpoint that generates the response
)

func (c *Core) ensureInit(now time.Time) {
	if c.requests != nil {
		return
	}
	c.epoch = now
	c.random = rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15))
	c.requests = map[namer.StreamID]*request{}
	c.endpoints = map[namer.Endpoint]*endpoint{}
	c.pools = map[namer.Service]*pool{}
	c.ledgers = map[namer.Endpoint]*ledger{}
	c.pendingReservations = map[ReservationID]*request{}
	c.originAsks = map[originAsk][]*request{}
}

func (c *Core) seconds(now time.Time) namer.Seconds { return namer.SecondsOf(now.Sub(c.epoch)) }

// Configure replaces the fleet. The state of endpoints that remain is kept.
func (c *Core) Configure(now time.Time, fleet decider.Fleet) {
	c.ensureInit(now)
	c.generation = fleet.Generation
	c.setMembers(fleet.Members)
	c.mergeBlocked(c.seconds(now), fleet.Members)
	for _, p := range c.pools {
		p.endpoints = p.endpoints[:0]
	}
	old, created := c.endpoints, map[*endpoint]*endpoint{}
	c.endpoints = make(map[namer.Endpoint]*endpoint, len(fleet.Endpoints))
	for _, s := range fleet.Services {
		if c.pools[s.Name] == nil {
			c.pools[s.Name] = &pool{service: s.Name, prefillRates: map[namer.Role]float64{}, targets: targets{}}
		}
		p := c.pools[s.Name]
		p.plain, p.backups, p.tokensPerEvent = s.Plain, s.Backups, float64(s.EventTokens)
		p.kvTransfer = namer.SecondsOf(s.KVTransfer)
		p.builds.Lifetime, p.builds.Settling = namer.SecondsOf(s.StreamLifetime), namer.SecondsOf(fleet.Settling)
		if s.Builds != nil {
			p.builds.SetListed(s.Builds, s.Settled)
		}
	}
	for _, view := range fleet.Endpoints {
		p := c.pools[view.Service]
		if p == nil {
			continue // not used by any route
		}
		e := old[view.Name]
		earlier := e
		if e == nil {
			earlier = c.departed.take(view.Name)
		}
		if earlier != nil && earlier.view.Build != view.Build && earlier.view.Service == view.Service {
			c.forgetOrigins(c.seconds(now), p, earlier)
		}
		if e == nil || e.view.Incarnation != view.Incarnation || e.view.Service != view.Service || e.view.Build != view.Build {
			listed := e
			e = c.newEndpoint(c.seconds(now), view, earlier)
			created[e] = listed
			delete(c.ledgers, view.Name)
		} else if e.view.Role != view.Role {
			// The engine is as fast as the others of its new role, and takes work again.
			e.load, e.turnsAwayUntil = Load{PrefixTTL: e.load.PrefixTTL}, 0
			delete(c.ledgers, view.Name)
		}
		e.view = view
		e.maxLoadAge = max(minLoadAge, maxLoadPeriods*summaryPeriod(len(c.members)))
		c.endpoints[view.Name] = e
		p.endpoints = append(p.endpoints, e)
	}
	for name := range c.ledgers {
		if c.endpoints[name] == nil {
			delete(c.ledgers, name)
		}
	}
	for name, e := range old {
		if c.endpoints[name] == nil {
			c.departed.add(e)
		}
	}
	c.observeBuilds(c.seconds(now))
	c.beginPaces(c.seconds(now), created)
	for _, p := range c.pools {
		p.orderDecodeEngines()
		p.chooseExpress()
	}
}

// Arrive places or refuses a new request.
func (c *Core) Arrive(now time.Time, r decider.Request) []decider.Action {
	c.ensureInit(now)
	c.actions = c.actions[:0]
	asserter.Check(c.requests[r.ID] == nil, "request IDs are unique", "request %s", r.ID)
	at := c.seconds(now)
	q := &request{Request: r, pool: c.pools[r.Service], arrived: at, deadline: c.seconds(r.Deadline)}
	q.firstEventBy = q.deadline
	q.suspicion.parts = suspectParts(&q.Request)
	if r.Patience > 0 {
		q.firstEventBy = min(q.deadline, at+namer.SecondsOf(r.Patience))
	}
	c.requests[r.ID] = q
	if q.pool == nil {
		c.refuse(at, q, classifier.NoEndpoint, noEndpointRetry)
		return c.actions
	}
	q.pool.retryBudget.recordRequest(at, c.Retries)
	q.pool.recordTarget(at, q)
	if q.Continues {
		c.confirm(at, r.Confirmation)
	}
	if !q.Continues || c.findOrigin(at, q) {
		c.place(at, q)
	}
	return c.actions
}

const (
	// noEndpointRetry is the retry delay when no endpoint is usable.
	noEndpointRetry = 300 * time.Millisecond
	// busyRetry is the shortest retry delay when the endpoints are overloaded.
	busyRetry = 300 * time.Millisecond
	// promptTooLongRetry is the retry delay when no endpoint of the service has the memory for a prompt. Only a
	// change of the fleet helps.
	promptTooLongRetry = time.Minute
	// refusedRetry is the retry delay when the last permitted attempt has failed.
	refusedRetry = 200 * time.Millisecond
)

// refuse ends a request. An outcome of class "not-run" is replaced by EndpointFailed if an endpoint may
// have run the request.
func (c *Core) refuse(now namer.Seconds, q *request, outcome classifier.Outcome, retryAfter time.Duration) {
	asserter.Check(q.stage == waiting, "only requests without a current attempt are refused", "request %s", q.ID)
	switch {
	case q.mayHaveRun:
		outcome = classifier.EndpointFailed
	case q.build != "" && outcome == classifier.NoEndpoint && !q.buildServes():
		outcome = classifier.BuildGone
	case outcome == classifier.NoEndpoint:
		retryAfter = max(retryAfter, c.beginsIn(now, q))
	}
	c.actions = append(c.actions, decider.Action{
		Kind: decider.ActionRefuse, Request: q.ID, Outcome: outcome,
		RetryAfter: time.Duration(float64(retryAfter) * (0.75 + 0.5*c.random.Float64())),
		Basis:      decider.Basis{Declined: len(q.declined), Usable: c.usable(now, q), Late: q.late},
	})
	c.removeRequest(q)
}

// usable counts the endpoints that accept the request.
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

func (c *Core) removeRequest(q *request) {
	delete(c.pendingReservations, q.reservation)
	delete(c.requests, q.ID)
	c.endTrial(q)
}
