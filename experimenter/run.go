package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

const (
	// localDistance is the one-way delay inside a data centre.
	localDistance = 100 * time.Microsecond
	// reportPeriod is the time between two load reports of an engine, as polled by a daemon.
	reportPeriod = time.Second
	// tickPeriod is the time between two ticks of a policy.
	tickPeriod = 20 * time.Millisecond
	// disseminationTime is how long gossip takes to tell every host that an engine changes its role.
	disseminationTime = 500 * time.Millisecond
	// cacheLag is the age of cache events when they reach the hosts.
	cacheLag = 2 * time.Second
	// cacheLoss is the part of the cache events that is lost.
	cacheLoss = 0.02
)

// epoch is the time of day at which every run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// run is one schedule under one policy.
type run struct {
	clock
	schedule Schedule
	engines  map[namer.Endpoint]*engine
	names    []namer.Endpoint
	hosts    []*host
	requests map[namer.StreamID]*request // without an outcome
	result   *Result
	random   *rand.Rand // of losses and of the durations of role changes
	balancer *rand.Rand
	planner  Planner
	cut      namer.DataCentre // partitioned from the others; empty when there is none
}

// engine is a modelled engine in its place.
type engine struct {
	modeler.Engine
	placed     Placed
	dataCentre namer.DataCentre
	wake       time.Duration     // of the earliest pending timer; below 0 when there is none
	inbound    map[*request]bool // whose KV caches other engines prepare for this one
	leaving    bool              // as disseminated
	role       namer.Role        // as disseminated
	next       namer.Role        // the role that a drain prepares; empty when there is none
	onChange   func()            // runs when the next role change begins
	cacheLost  bool
	changes    int // role changes since the last shift of the mix
}

// host is a deciding host in its place.
type host struct {
	policy     Policy
	dataCentre namer.DataCentre
}

// Run plays a schedule under a policy and returns what was measured.
func Run(s Schedule, c Contender) *Result {
	r := newRun(s, c)
	r.runUntil(s.Length + s.Site.Service.Deadline + time.Second)
	r.shift()
	for _, q := range r.requests {
		r.result.add(q)
	}
	return r.result
}

// newRun sets up a run with everything that the schedule brings.
func newRun(s Schedule, c Contender) *run {
	r := &run{
		schedule: s,
		engines:  map[namer.Endpoint]*engine{},
		requests: map[namer.StreamID]*request{},
		result:   newResult(s, c),
		random:   rand.New(rand.NewPCG(s.Seed, 5)),
		balancer: rand.New(rand.NewPCG(s.Seed, 2)),
	}
	r.place(c)
	for n, a := range s.Arrivals {
		stream := namer.StreamID(fmt.Sprintf("%032x", n))
		r.at(a.At, func() { r.ask(&request{stream: stream, arrival: a}) })
	}
	for _, name := range r.names {
		r.at(r.engines[name].placed.From, func() { r.report(r.engines[name]) })
	}
	for _, h := range r.hosts {
		r.at(0, func() { r.tick(h) })
	}
	for _, f := range s.Faults {
		r.plan(f)
	}
	for _, shift := range s.Shifts {
		r.at(shift, r.shift)
	}
	if c.Planner != nil {
		r.planner = c.Planner()
		r.at(planPeriod, r.planRoles)
	}
	return r
}

// place sets up engines and hosts, spread over the data centres.
func (r *run) place(c Contender) {
	site := r.schedule.Site
	for n, p := range site.Engines {
		e := &engine{placed: p, dataCentre: site.DataCentres[n%len(site.DataCentres)], wake: -1, inbound: map[*request]bool{}}
		e.Name, e.Class, e.Role = site.name(n), p.Class, namer.RoleMixed
		if c.Roles != nil {
			e.Role = c.Roles(site, n)
		}
		e.role = e.Role
		r.engines[e.Name] = e
		r.names = append(r.names, e.Name)
	}
	for n := range site.Hosts {
		h := &host{policy: c.New(r.schedule.Seed + uint64(n)), dataCentre: site.DataCentres[n%len(site.DataCentres)]}
		r.hosts = append(r.hosts, h)
	}
	r.configure()
	for _, p := range site.Engines {
		if p.From > 0 {
			r.at(p.From, r.configure)
		}
	}
}

// configure gives every host the present configuration.
func (r *run) configure() {
	for _, h := range r.hosts {
		h.policy.Configure(r.time(), r.fleet(h))
	}
}

// fleet returns what is known to a host about the fleet apart from its load.
func (r *run) fleet(h *host) decider.Fleet {
	site := r.schedule.Site
	fleet := decider.Fleet{DataCentre: h.dataCentre, Hosts: site.Hosts, Services: []decider.ServiceView{site.Service}}
	for _, name := range r.names {
		e := r.engines[name]
		if e.placed.From > r.now {
			continue
		}
		view := decider.EndpointView{
			Name: name, Service: service, Models: []namer.Model{e.placed.Model}, DataCentre: e.dataCentre,
			Distance: r.distance(h.dataCentre, e.dataCentre), Role: e.role, Leaving: e.leaving,
			Concurrency: e.Class.MaxSequences,
		}
		if !e.placed.NoPriors {
			view.PrefillRate, view.DecodeRate = e.Class.PrefillRate(), e.Class.DecodeRate()
		}
		fleet.Endpoints = append(fleet.Endpoints, view)
	}
	return fleet
}

func (r *run) time() time.Time { return epoch.Add(r.now) }

func (r *run) distance(a, b namer.DataCentre) time.Duration {
	if a == b {
		return localDistance
	}
	return r.schedule.Site.Distance
}

// reachable reports whether messages pass between two data centres now.
func (r *run) reachable(a, b namer.DataCentre) bool {
	return a == b || (a != r.cut && b != r.cut)
}

// send runs the function at the other end after the distance, unless the message is lost.
func (r *run) send(from, to namer.DataCentre, late time.Duration, run func()) {
	if r.reachable(from, to) {
		r.at(r.now+r.distance(from, to)+late, run)
	}
}

func (r *run) tick(h *host) {
	r.act(h, h.policy.Tick(r.time()))
	r.at(r.now+tickPeriod, func() { r.tick(h) })
}

// report sends an engine's load and cache events to all hosts; the load arrives with the schedule's lag.
func (r *run) report(e *engine) {
	r.at(r.now+reportPeriod, func() { r.report(e) })
	if e.Down() {
		r.broadcast(e, 0, decider.Event{Kind: decider.EventHealth, Endpoint: e.Name})
		return
	}
	load := e.Load(r.now)
	r.broadcast(e, r.schedule.ReportLag, decider.Event{Kind: decider.EventLoad, Endpoint: e.Name, Load: decider.Load{
		At: epoch.Add(load.At), Running: load.Running, Waiting: load.Waiting,
		WaitingPrefill: load.WaitingPrefill, KVUsed: load.KVUsed, Role: load.Role, Leaving: load.Leaving,
	}})
	change := e.TakeCacheChange()
	if len(change.Added)+len(change.Dropped) == 0 && !change.Reset {
		return
	}
	if r.random.Float64() < cacheLoss {
		e.cacheLost = true
		return
	}
	r.broadcast(e, cacheLag, decider.Event{
		Kind: decider.EventCache, Endpoint: e.Name, Added: change.Added, Dropped: change.Dropped,
		Reset: change.Reset || e.cacheLost,
	})
	e.cacheLost = false
}

func (r *run) broadcast(e *engine, late time.Duration, event decider.Event) {
	for _, h := range r.hosts {
		r.send(e.dataCentre, h.dataCentre, late, func() { r.observe(h, event) })
	}
}

func (r *run) observe(h *host, e decider.Event) {
	r.act(h, h.policy.Observe(r.time(), e))
}
