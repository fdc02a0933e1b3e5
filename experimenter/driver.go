package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotspool/classifier"
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
	requests map[namer.StreamID]*request
	result   *Result
}

// engine is a modelled engine in its place.
type engine struct {
	modeler.Engine
	dataCentre namer.DataCentre
	wake       time.Duration // of the earliest pending timer; below 0 when there is none
}

// host is a deciding host in its place.
type host struct {
	policy     Policy
	dataCentre namer.DataCentre
}

// request is one request on its way.
type request struct {
	arrival     Arrival
	host        *host
	first, last time.Duration // as seen by the host
	output      namer.Tokens
	outcome     classifier.Outcome
}

// Run plays a schedule under a policy and returns what was measured.
func Run(s Schedule, c Contender) *Result {
	r := &run{
		schedule: s,
		engines:  map[namer.Endpoint]*engine{},
		requests: map[namer.StreamID]*request{},
		result:   newResult(s, c.Name),
	}
	r.place(c)
	balancer := rand.New(rand.NewPCG(s.Seed, 2))
	for n, a := range s.Arrivals {
		stream := namer.StreamID(fmt.Sprintf("%032x", n))
		h := r.hosts[balancer.IntN(len(r.hosts))]
		r.at(a.At, func() { r.arrive(stream, a, h) })
	}
	for _, name := range r.names {
		r.at(0, func() { r.report(r.engines[name]) })
	}
	for _, h := range r.hosts {
		r.at(0, func() { r.tick(h) })
	}
	r.runUntil(s.Length + s.Site.Service.Deadline)
	for _, q := range r.requests {
		r.result.add(q)
	}
	return r.result
}

// place sets up engines and hosts, spread over the data centres.
func (r *run) place(c Contender) {
	site := r.schedule.Site
	for n := range site.Engines {
		name := namer.Endpoint(fmt.Sprintf("engine-%d", n))
		e := &engine{dataCentre: site.DataCentres[n%len(site.DataCentres)], wake: -1}
		e.Name, e.Class = name, site.Class
		r.engines[name] = e
		r.names = append(r.names, name)
	}
	for n := range site.Hosts {
		h := &host{policy: c.New(r.schedule.Seed + uint64(n)), dataCentre: site.DataCentres[n%len(site.DataCentres)]}
		h.policy.Configure(r.time(), r.fleet(h))
		r.hosts = append(r.hosts, h)
	}
}

// fleet returns what the configuration says to a host.
func (r *run) fleet(h *host) decider.Fleet {
	site := r.schedule.Site
	fleet := decider.Fleet{DataCentre: h.dataCentre, Hosts: site.Hosts, Services: []decider.ServiceView{site.Service}}
	for _, name := range r.names {
		e := r.engines[name]
		fleet.Endpoints = append(fleet.Endpoints, decider.EndpointView{
			Name: name, Service: service, Models: []namer.Model{model}, DataCentre: e.dataCentre,
			Distance: r.distance(h, e), Role: namer.RoleMixed, Concurrency: e.Class.MaxSequences,
			PrefillRate: e.Class.PrefillRate(), DecodeRate: e.Class.DecodeRate(),
		})
	}
	return fleet
}

func (r *run) time() time.Time { return epoch.Add(r.now) }

func (r *run) distance(h *host, e *engine) time.Duration {
	if h.dataCentre == e.dataCentre {
		return localDistance
	}
	return r.schedule.Site.Distance
}

func (r *run) arrive(stream namer.StreamID, a Arrival, h *host) {
	r.requests[stream] = &request{arrival: a, host: h}
	r.act(h, h.policy.Arrive(r.time(), decider.Request{
		ID: stream, Caller: namer.Caller(a.Workload.Rank), Service: service, Model: model, Rank: a.Workload.Rank,
		Idempotent: true, PromptTokens: a.Prompt, MaxTokens: answerLimit * a.Output,
		Deadline: r.time().Add(r.schedule.Site.Service.Deadline),
	}))
}

func (r *run) tick(h *host) {
	r.act(h, h.policy.Tick(r.time()))
	r.at(r.now+tickPeriod, func() { r.tick(h) })
}

// report sends an engine's load to all hosts; it arrives with the schedule's lag.
func (r *run) report(e *engine) {
	load := e.Load(r.now)
	event := decider.Event{Kind: decider.EventLoad, Endpoint: e.Name, Load: decider.Load{
		At: epoch.Add(load.At), Running: load.Running, Waiting: load.Waiting,
		WaitingPrefill: load.WaitingPrefill, KVUsed: load.KVUsed, Role: load.Role,
	}}
	for _, h := range r.hosts {
		r.at(r.now+r.distance(h, e)+r.schedule.ReportLag, func() { r.observe(h, event) })
	}
	r.at(r.now+reportPeriod, func() { r.report(e) })
}

func (r *run) observe(h *host, e decider.Event) {
	r.act(h, h.policy.Observe(r.time(), e))
}

// act carries out a host's decisions.
func (r *run) act(h *host, actions []decider.Action) {
	for _, action := range actions {
		q := r.requests[action.Request]
		if action.Kind == decider.ActionRefuse {
			q.outcome = action.Outcome
			continue
		}
		e := r.engines[action.Endpoint]
		r.at(r.now+r.distance(h, e), func() {
			if action.Kind == decider.ActionCancel {
				e.Cancel(r.now, action.Request)
				return
			}
			r.submit(e, q, action)
		})
	}
}

func (r *run) submit(e *engine, q *request, action decider.Action) {
	accepted := e.Submit(r.now, modeler.Job{
		Stream: action.Request, Attempt: action.Attempt, Prompt: q.arrival.Prompt,
		Output: q.arrival.Output, Priority: action.Priority,
	})
	if !accepted {
		refused := decider.Event{
			Kind: decider.EventFailed, Request: action.Request, Attempt: action.Attempt, Endpoint: e.Name,
			Reason: classifier.RetryEndpointRefused, NotRun: true,
		}
		r.at(r.now+r.distance(q.host, e), func() { r.observe(q.host, refused) })
		return
	}
	r.follow(e)
}

// follow delivers an engine's events and wakes it up at its next change.
func (r *run) follow(e *engine) {
	for _, event := range e.Advance(r.now) {
		q := r.requests[event.Stream]
		r.at(event.At+r.distance(q.host, e), func() { r.deliver(e, q, event) })
	}
	next, busy := e.Next()
	if !busy || next == e.wake {
		return
	}
	e.wake = next
	r.at(next, func() {
		e.wake = -1
		r.follow(e)
	})
}

// deliver tells the host about its request.
func (r *run) deliver(e *engine, q *request, event modeler.Event) {
	news := decider.Event{Request: event.Stream, Attempt: event.Attempt, Endpoint: e.Name, OutputTokens: event.Output}
	switch event.Kind {
	case modeler.JobStarted:
		news.Kind = decider.EventStarted
		q.first = r.now
	case modeler.JobFinished:
		news.Kind = decider.EventFinished
		q.last, q.output, q.outcome = r.now, event.Output, classifier.Served
	}
	r.observe(q.host, news)
}
