package decider

import (
	"math/rand/v2"
	"time"

	"apricotspool/asserter"
	"apricotspool/estimator"
	"apricotspool/namer"
	"apricotspool/router"
)

// Core admits, orders, routes and retries requests. Set the exported fields before the first call.
// The action slices that its methods return are valid until the next call.
type Core struct {
	Seed uint64 // seeds the random choices between endpoints

	epoch              time.Time
	random             *rand.Rand
	fleet              Fleet
	estimates          estimator.Estimator
	router             router.Router
	pools              []*pool
	byKey              map[poolKey]*pool
	requests           map[namer.StreamID]*tracked
	freeTracked        []*tracked // records of ended requests, for reuse
	awaitingFirstToken attemptList
	actions            []Action
	query              router.Query
}

// Configure replaces the fleet. Learned estimates and requests in progress are kept.
func (c *Core) Configure(now time.Time, fleet Fleet) {
	if c.requests == nil {
		c.epoch = now
		c.random = rand.New(rand.NewPCG(c.Seed, 0x9e3779b97f4a7c15))
		c.router.Random = c.random
		c.byKey = map[poolKey]*pool{}
		c.requests = map[namer.StreamID]*tracked{}
	}
	c.fleet = fleet
	c.router.Hosts = max(1, fleet.Hosts)
	at := c.seconds(now)
	present := make(map[namer.Endpoint]bool, len(fleet.Endpoints))
	for i := range fleet.Endpoints {
		present[fleet.Endpoints[i].Name] = true
		c.configureEndpoint(at, &fleet.Endpoints[i])
	}
	keep := func(name namer.Endpoint) bool { return present[name] }
	c.configurePools()
	c.router.Retain(keep)
	c.estimates.Retain(func(name namer.Endpoint) bool {
		_, known := c.router.Slot(name)
		return known
	})
	for _, t := range c.requests {
		t.rank = t.pool.rank(t.request.Rank)
	}
}

// seconds converts a time to the seconds since the first configuration, the clock of the pure packages.
func (c *Core) seconds(now time.Time) namer.Seconds { return namer.Seconds(now.Sub(c.epoch).Seconds()) }

func (c *Core) configureEndpoint(now namer.Seconds, view *EndpointView) {
	configured := estimator.Configured{PrefillRate: view.PrefillRate, DecodeRate: view.DecodeRate}
	if len(view.Models) > 0 {
		configured.Model = view.Models[0]
	}
	rates := c.estimates.Endpoint(view.Name, configured)
	ceiling := float64(view.Concurrency)
	if ceiling == 0 {
		ceiling = defaultConcurrency
	}
	start := ceiling
	if target := c.strictestTokenInterval(view.Service); target > 0 {
		start = rates.MaxBatch(target)
	}
	c.router.Put(now, router.Endpoint{
		Name: view.Name, Distance: namer.SecondsOf(view.Distance), Role: view.Role, Ceiling: ceiling,
		StartLimit: start, Leaving: view.Leaving, Rates: rates,
	})
}

// defaultConcurrency applies to endpoints without a configured concurrency.
const defaultConcurrency = 64

// strictestTokenInterval returns the smallest between-tokens target of a service's ranks; 0 when none
// is set.
func (c *Core) strictestTokenInterval(name namer.Service) namer.Seconds {
	least := namer.Seconds(0)
	for i := range c.fleet.Services {
		if c.fleet.Services[i].Name != name {
			continue
		}
		for _, rank := range c.fleet.Services[i].Ranks {
			target := namer.SecondsOf(rank.BetweenTokens)
			if target > 0 && (least == 0 || target < least) {
				least = target
			}
		}
	}
	return least
}

// Observe processes an event.
func (c *Core) Observe(now time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	at := c.seconds(now)
	switch e.Kind {
	case EventLoad:
		c.observeLoad(at, e)
		return c.actions
	case EventCache:
		if s, known := c.router.Slot(e.Endpoint); known {
			c.router.UpdateCache(s, e.Added, e.Dropped, e.Reset)
		}
		return c.actions
	case EventHealth:
		if s, known := c.router.Slot(e.Endpoint); known {
			c.router.SetReachable(at, s, e.Healthy)
		}
		return c.actions
	}
	t, known := c.requests[e.Request]
	if !known || (e.Attempt != 0 && e.Attempt != t.attempt) {
		return c.actions
	}
	if e.Kind == EventCancelled {
		c.requestCancelled(at, t)
		return c.actions
	}
	if t.state == stateWaiting {
		return c.actions // event of an attempt that has already ended
	}
	switch e.Kind {
	case EventStarted:
		c.attemptStarted(at, t)
	case EventFinished:
		c.attemptFinished(at, t, e)
	case EventFailed:
		c.attemptFailed(at, t, e)
	}
	return c.actions
}

func (c *Core) observeLoad(at namer.Seconds, e Event) {
	s, known := c.router.Slot(e.Endpoint)
	if !known {
		return
	}
	pools := c.poolsOf(e.Endpoint)
	if len(pools) == 0 {
		return
	}
	load := router.Load{
		At: min(c.seconds(e.Load.At), at), Requests: float64(e.Load.Running + e.Load.Waiting),
		Prefill: float64(e.Load.WaitingPrefill), KVUsed: e.Load.KVUsed, Role: e.Load.Role, Leaving: e.Load.Leaving,
	}
	changed := c.router.Report(at, s, &pools[0].Pool, load)
	for _, p := range pools {
		if changed {
			c.router.UpdateRoles(&p.Pool)
		}
		c.dispatchWaiting(at, p)
	}
}

// forget removes a request that has received its final action.
func (c *Core) forget(t *tracked) {
	asserter.Check(c.requests[t.request.ID] == t, "a request ends once", "request %s", t.request.ID)
	delete(c.requests, t.request.ID)
	c.freeTracked = append(c.freeTracked, t)
}

// Requests returns the number of waiting and running requests.
func (c *Core) Requests() int { return len(c.requests) }

// Waiting returns the number of queued requests of all services.
func (c *Core) Waiting() int {
	total := 0
	for _, p := range c.pools {
		total += p.queue.Waiting()
	}
	return total
}
