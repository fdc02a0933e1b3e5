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
	// localLatency is the one-way network delay within a data centre.
	localLatency = 100 * time.Microsecond
	// reportPeriod is the interval at which daemons poll the load of an engine.
	reportPeriod = time.Second
	// tickPeriod is the interval between ticks of a policy.
	tickPeriod = 20 * time.Millisecond
	// gossipDelay is the time until a role change has reached every host through gossip.
	gossipDelay = 500 * time.Millisecond
	// cacheLag is the delay with which cache events reach the hosts.
	cacheLag = 2 * time.Second
	// cacheLossRate is the fraction of cache events that are lost.
	cacheLossRate = 0.02
)

// epoch is the wall-clock time at which every run starts.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// run is the simulation of one schedule under one policy.
type run struct {
	clock
	schedule           Schedule
	engines            map[namer.Endpoint]*engine
	names              []namer.Endpoint
	hosts              []*host
	requests           map[namer.StreamID]*request // those without an outcome yet
	result             *Result
	random             *rand.Rand // for cache event losses and role change durations
	loadBalancerRandom *rand.Rand
	planner            Planner
	partitioned        namer.DataCentre // data centre cut off from the others; empty if none
}

// engine is a modelled engine in a data centre.
type engine struct {
	modeler.Engine
	spec             EngineSpec
	dataCentre       namer.DataCentre
	wakeAt           time.Duration     // time of the earliest pending timer; negative if none
	inbound          map[*request]bool // requests whose prefill for this engine is pending elsewhere
	publishedLeaving bool              // as known to the hosts
	publishedRole    namer.Role        // as known to the hosts
	nextRole         namer.Role        // role to change to after the drain; empty if none
	onRoleChange     func()            // called when the next role change starts
	cacheEventLost   bool
	roleChanges      int // role changes since the last shift of the mix
}

// host is a host that makes decisions, in a data centre.
type host struct {
	policy     Policy
	dataCentre namer.DataCentre
}

// Run simulates a schedule under a policy variant and returns the measurements.
func Run(s Schedule, v Variant) *Result {
	r := newRun(s, v)
	r.runUntil(s.Length + s.Site.Service.Deadline + time.Second)
	r.resetRoleChangeCounts()
	for _, q := range r.requests {
		r.result.add(q)
	}
	return r.result
}

// newRun creates a run and schedules its arrivals, faults and periodic events.
func newRun(s Schedule, v Variant) *run {
	r := &run{
		schedule:           s,
		engines:            map[namer.Endpoint]*engine{},
		requests:           map[namer.StreamID]*request{},
		result:             newResult(s, v),
		random:             rand.New(rand.NewPCG(s.Seed, 5)),
		loadBalancerRandom: rand.New(rand.NewPCG(s.Seed, 2)),
	}
	r.setUpFleet(v)
	for n, a := range s.Arrivals {
		stream := namer.StreamID(fmt.Sprintf("%032x", n))
		r.at(a.At, func() { r.submitRequest(&request{stream: stream, arrival: a}) })
	}
	for _, name := range r.names {
		r.at(r.engines[name].spec.JoinsAt, func() { r.report(r.engines[name]) })
	}
	for _, h := range r.hosts {
		r.at(0, func() { r.tick(h) })
	}
	for _, f := range s.Faults {
		r.scheduleFault(f)
	}
	for _, shift := range s.Shifts {
		r.at(shift, r.resetRoleChangeCounts)
	}
	if v.Planner != nil {
		r.planner = v.Planner()
		r.at(planPeriod, r.planRoles)
	}
	return r
}

// setUpFleet creates the engines and hosts and spreads them over the data centres.
func (r *run) setUpFleet(v Variant) {
	site := r.schedule.Site
	for n, p := range site.Engines {
		e := &engine{spec: p, dataCentre: site.DataCentres[n%len(site.DataCentres)], wakeAt: -1, inbound: map[*request]bool{}}
		e.Name, e.Class, e.Role = site.engineName(n), p.Class, namer.RoleMixed
		if v.Roles != nil {
			e.Role = v.Roles(site, n)
		}
		e.publishedRole = e.Role
		r.engines[e.Name] = e
		r.names = append(r.names, e.Name)
	}
	for n := range site.Hosts {
		h := &host{policy: v.New(r.schedule.Seed + uint64(n)), dataCentre: site.DataCentres[n%len(site.DataCentres)]}
		r.hosts = append(r.hosts, h)
	}
	r.configure()
	for _, p := range site.Engines {
		if p.JoinsAt > 0 {
			r.at(p.JoinsAt, r.configure)
		}
	}
}

// configure passes the current fleet to the policy of every host.
func (r *run) configure() {
	for _, h := range r.hosts {
		h.policy.Configure(r.time(), r.fleet(h))
	}
}

// fleet returns the fleet as known to a host, without its load.
func (r *run) fleet(h *host) decider.Fleet {
	site := r.schedule.Site
	fleet := decider.Fleet{DataCentre: h.dataCentre, Hosts: site.Hosts, Services: []decider.ServiceView{site.Service}}
	for _, name := range r.names {
		e := r.engines[name]
		if e.spec.JoinsAt > r.now {
			continue
		}
		view := decider.EndpointView{
			Name: name, Service: service, Models: []namer.Model{e.spec.Model}, DataCentre: e.dataCentre,
			Distance: r.distance(h.dataCentre, e.dataCentre), Role: e.publishedRole, Leaving: e.publishedLeaving,
			Concurrency: e.Class.MaxSequences,
		}
		if !e.spec.OmitRates {
			view.PrefillRate, view.DecodeRate = e.Class.PrefillRate(), e.Class.DecodeRate()
		}
		fleet.Endpoints = append(fleet.Endpoints, view)
	}
	return fleet
}

func (r *run) time() time.Time { return epoch.Add(r.now) }

func (r *run) distance(a, b namer.DataCentre) time.Duration {
	if a == b {
		return localLatency
	}
	return r.schedule.Site.Distance
}

// reachable reports whether two data centres can currently exchange messages.
func (r *run) reachable(a, b namer.DataCentre) bool {
	return a == b || (a != r.partitioned && b != r.partitioned)
}

// send runs a function at the destination after the network delay and an additional lag. A network
// partition drops the message.
func (r *run) send(from, to namer.DataCentre, lag time.Duration, run func()) {
	if r.reachable(from, to) {
		r.at(r.now+r.distance(from, to)+lag, run)
	}
}

func (r *run) tick(h *host) {
	r.act(h, h.policy.Tick(r.time()))
	r.at(r.now+tickPeriod, func() { r.tick(h) })
}

// report broadcasts an engine's load and cache events to all hosts. Load reports arrive with the
// schedule's report lag.
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
	if r.random.Float64() < cacheLossRate {
		e.cacheEventLost = true
		return
	}
	r.broadcast(e, cacheLag, decider.Event{
		Kind: decider.EventCache, Endpoint: e.Name, Added: change.Added, Dropped: change.Dropped,
		Reset: change.Reset || e.cacheEventLost,
	})
	e.cacheEventLost = false
}

func (r *run) broadcast(e *engine, lag time.Duration, event decider.Event) {
	for _, h := range r.hosts {
		r.send(e.dataCentre, h.dataCentre, lag, func() { r.observe(h, event) })
	}
}

func (r *run) observe(h *host, e decider.Event) {
	r.act(h, h.policy.Observe(r.time(), e))
}
