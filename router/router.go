// Package router chooses the endpoint of a request from lagged load reports, the host's own
// dispatches since, cached prefixes, distance and health. A Router belongs to one goroutine; a
// choice allocates nothing.
package router

import (
	"math/rand/v2"

	"apricotspool/asserter"
	"apricotspool/estimator"
	"apricotspool/limiter"
	"apricotspool/namer"
)

// Classes is the number of priorities that backlogs are told apart by; lower ranks share the last.
const Classes = 4

// BlockTokens is the length of one block of a prefix, in tokens.
const BlockTokens = 256

// Endpoint describes an endpoint to the router.
type Endpoint struct {
	Name       namer.Endpoint
	Distance   namer.Seconds // one way
	Role       namer.Role
	Ceiling    float64 // configured concurrency
	StartLimit float64 // concurrency before anything has been measured
	Leaving    bool
	Rates      *estimator.Rates
}

// endpoint is the router's knowledge about one endpoint.
type endpoint struct {
	Endpoint
	used              bool
	pools             []*Pool
	configured        namer.Role
	configuredLeaving bool
	saidLeaving       bool // by the endpoint itself
	limit             limiter.Limit
	health            health

	reportAt namer.Seconds
	reported float64 // requests at the endpoint at reportAt
	since    float64 // own dispatches less own ends since reportAt
	recent   []change
	own      int           // own attempts in flight
	urgent   int           // those of class 0
	heardAt  namer.Seconds // last first token or end of an own attempt

	last      Load
	group     int              // of the role
	mixed     bool             // the role serves both phases
	drain     float64          // prompt tokens a second that it works off
	classes   int              // classes in use; the routing path skips the rest
	backlog   [Classes]float64 // prompt tokens that wait for prefill, at backlogAt
	backlogAt namer.Seconds
}

// change is an own dispatch or end that the next report may not know yet.
type change struct {
	at     namer.Seconds
	tokens float64
	delta  float64
}

// maxRecent bounds the changes kept for an endpoint whose reports have stopped.
const maxRecent = 512

// Router holds the endpoints and what is known about them.
type Router struct {
	Random *rand.Rand
	// Hosts is the number of hosts that decide about the same endpoints, this one included.
	Hosts int

	endpoints []endpoint
	slots     map[namer.Endpoint]Slot
	free      []Slot
	prefixes  prefixes
	depth     []int32 // by slot: cached blocks of the current query's prompt; 0 between queries
}

// Put adds an endpoint or changes its settings; what has been learned about it stays.
func (r *Router) Put(now namer.Seconds, view Endpoint) Slot {
	if r.slots == nil {
		r.slots = map[namer.Endpoint]Slot{}
	}
	if view.Role == "" {
		view.Role = namer.RoleMixed
	}
	if s, ok := r.slots[view.Name]; ok {
		e := &r.endpoints[s]
		role := e.Role // as reported, unless the configuration has changed since
		if view.Role != e.configured {
			role = view.Role
		}
		if now-e.reportAt > staleReport {
			e.saidLeaving = false
		}
		e.Endpoint, e.configured, e.configuredLeaving = view, view.Role, view.Leaving
		e.Leaving = e.configuredLeaving || e.saidLeaving
		e.setRole(role)
		e.setDrain()
		e.limit.SetCeiling(view.Ceiling)
		return s
	}
	fresh := endpoint{Endpoint: view, used: true, limit: limiter.New(view.StartLimit, view.Ceiling), reportAt: now, backlogAt: now, classes: 1}
	fresh.configured, fresh.configuredLeaving = view.Role, view.Leaving
	fresh.setRole(view.Role)
	fresh.setDrain()
	var s Slot
	if n := len(r.free); n > 0 {
		s, r.free = r.free[n-1], r.free[:n-1]
		r.endpoints[s] = fresh
	} else {
		s = Slot(len(r.endpoints))
		r.endpoints = append(r.endpoints, fresh)
		r.depth = append(r.depth, 0)
	}
	r.slots[view.Name] = s
	r.prefixes.grow(len(r.endpoints))
	return s
}

// Sweep marks the endpoints for which keep is false as leaving and frees those without own attempts.
func (r *Router) Sweep(keep func(namer.Endpoint) bool) {
	for s := range r.endpoints {
		e := &r.endpoints[s]
		if !e.used || keep(e.Name) {
			continue
		}
		e.configuredLeaving, e.Leaving = true, true
		if e.own == 0 {
			r.prefixes.reset(Slot(s))
			delete(r.slots, e.Name)
			e.used = false
			r.free = append(r.free, Slot(s))
		}
	}
}

// Slot returns the slot of an endpoint.
func (r *Router) Slot(name namer.Endpoint) (Slot, bool) {
	s, ok := r.slots[name]
	return s, ok
}

// Name returns the name of the endpoint in a slot.
func (r *Router) Name(s Slot) namer.Endpoint { return r.endpoints[s].Name }

// Rates returns the rates of the endpoint in a slot.
func (r *Router) Rates(s Slot) *estimator.Rates { return r.endpoints[s].Rates }

// Role returns the role of the endpoint in a slot.
func (r *Router) Role(s Slot) namer.Role { return r.endpoints[s].Role }

// Distance returns the one-way delay to the endpoint in a slot.
func (r *Router) Distance(s Slot) namer.Seconds { return r.endpoints[s].Distance }

// Leaving reports whether the endpoint in a slot gets no new work.
func (r *Router) Leaving(s Slot) bool { return r.endpoints[s].Leaving }

// Running estimates the requests at an endpoint now.
func (r *Router) Running(s Slot) float64 { return r.endpoints[s].running(r.Hosts) }

// Heard accounts for a sign of life of an own attempt.
func (r *Router) Heard(now namer.Seconds, s Slot) { r.endpoints[s].heardAt = now }

// HeardAt returns the last sign of life of an endpoint: progress of an own attempt or a report.
func (r *Router) HeardAt(s Slot) namer.Seconds {
	return max(r.endpoints[s].heardAt, r.endpoints[s].reportAt)
}

// LastLoad returns the last report of an endpoint.
func (r *Router) LastLoad(s Slot) Load { return r.endpoints[s].last }

// Ceiling returns the configured concurrency of an endpoint.
func (r *Router) Ceiling(s Slot) float64 { return r.endpoints[s].Endpoint.Ceiling }

// Limit returns the concurrency limit of an endpoint.
func (r *Router) Limit(s Slot) float64 { return r.endpoints[s].limit.Value() }

// herd is the part of the other hosts that is expected to follow the same report to the same
// endpoint. With 0 eight hosts overfill the endpoint that the report shows as idle.
const herd = 1.0

func (e *endpoint) running(hosts int) float64 {
	since := e.since
	if since > 0 {
		since *= 1 + herd*float64(hosts-1)
	}
	return max(float64(e.own), e.reported+since)
}

// Load is an endpoint's report about itself.
type Load struct {
	At       namer.Seconds
	Requests float64 // running and waiting
	Prefill  float64 // prompt tokens that wait
	KVUsed   float64 // part of the KV memory
	Role     namer.Role
	Leaving  bool
}

// Report takes a load report, whose figures are as old as its time says. It returns whether the
// role or the leaving state has changed.
func (r *Router) Report(now namer.Seconds, s Slot, p *Pool, load Load) bool {
	e := &r.endpoints[s]
	if load.At < e.reportAt {
		return false
	}
	r.advance(now, e, p)
	known := e.backlog
	defer e.setDrain()
	e.last, e.reportAt, e.reported, e.since = load, load.At, load.Requests, 0
	total := load.Prefill - float64(now-load.At)*e.Rates.PrefillRate(load.Requests)
	kept := e.recent[:0]
	for _, c := range e.recent {
		if c.at+e.Distance <= load.At {
			continue
		}
		kept = append(kept, c)
		e.since += c.delta
		total += c.tokens
	}
	e.recent = kept
	// The report does not tell priorities apart: urgent work is what this host expects, and the
	// rest belongs to the lowest class in use.
	total = max(0, total)
	for c := range known {
		e.backlog[c] = min(known[c], total)
		total -= e.backlog[c]
	}
	lowest := p.lowest()
	e.classes = max(e.classes, lowest+1)
	e.backlog[lowest] += total
	before := e.Leaving
	e.leave(load.Leaving)
	changed := (load.Role != "" && load.Role != e.Role) || before != e.Leaving
	if load.Role != "" {
		e.setRole(load.Role)
	}
	return changed
}

// Leave takes an endpoint's own word that it is leaving.
func (r *Router) Leave(s Slot, leaving bool) { r.endpoints[s].leave(leaving) }

func (e *endpoint) leave(leaving bool) {
	e.saidLeaving = leaving
	e.Leaving = e.configuredLeaving || leaving
}

// staleReport is the age from which an endpoint's word that it is leaving no longer counts against
// the configuration; endpoints that don't report would else stay out of use.
const staleReport namer.Seconds = 30

// advance drains the backlog up to now, urgent work first, and adds what other hosts are expected
// to have sent, which is as much as this host sends to an average endpoint.
func (r *Router) advance(now namer.Seconds, e *endpoint, p *Pool) {
	elapsed := float64(now - e.backlogAt)
	if elapsed <= 0 {
		return
	}
	e.backlogAt = now
	done := elapsed * e.drain
	others := &p.others[e.group]
	for c := range e.classes {
		left := e.backlog[c] + others[c]*elapsed
		if left > done {
			e.backlog[c] = left - done
			done = 0
			continue
		}
		e.backlog[c] = 0
		done -= left
	}
}

// setRole keeps what the routing path needs of the role.
func (e *endpoint) setRole(role namer.Role) {
	e.Role, e.group, e.mixed = role, group(role), role == namer.RoleMixed
}

// setDrain keeps the prefill rate, which changes slowly, for the routing path.
func (e *endpoint) setDrain() { e.drain = e.Rates.PrefillRate(e.reported) }

// Dispatched accounts for an attempt that is sent to an endpoint.
func (r *Router) Dispatched(now namer.Seconds, s Slot, p *Pool, class int, tokens float64) {
	e := &r.endpoints[s]
	if e.Leaving { // the arguments of an unconditional check would be allocated
		asserter.Check(false, "no dispatch to a leaving endpoint", "endpoint %s", e.Name)
	}
	r.advance(now, e, p)
	e.classes = max(e.classes, min(class, Classes-1)+1)
	e.backlog[min(class, Classes-1)] += tokens
	e.own++
	if class == 0 {
		e.urgent++
	}
	if e.health.probing {
		e.health.probe++
	}
	e.note(change{now, tokens, 1})
	p.sent(now, r.Hosts, e.group, min(class, Classes-1), tokens)
}

func (e *endpoint) note(c change) {
	if len(e.recent) == maxRecent {
		e.recent = e.recent[:copy(e.recent, e.recent[maxRecent/2:])]
	}
	e.recent = append(e.recent, c)
	e.since += c.delta
}

// Ended accounts for an attempt that is no longer at the endpoint. Unprocessed prompt tokens leave with it.
func (r *Router) Ended(now namer.Seconds, s Slot, class int, unprocessed float64) {
	e := &r.endpoints[s]
	e.own--
	if e.own < 0 {
		asserter.Check(false, "no attempt ends twice", "endpoint %s has %d attempts", e.Name, e.own)
	}
	if class == 0 {
		e.urgent--
	}
	c := min(class, Classes-1)
	e.backlog[c] = max(0, e.backlog[c]-unprocessed)
	e.health.probe = max(0, e.health.probe-1)
	e.note(change{now, -unprocessed, -1})
}

// Succeeded takes a success into the endpoint's health.
func (r *Router) Succeeded(s Slot) {
	e := &r.endpoints[s]
	before := e.health.ejected
	e.health.succeeded()
	r.healthChanged(e, before)
}

// Failed takes a failure into the endpoint's health.
func (r *Router) Failed(now namer.Seconds, s Slot) { r.penalise(now, s, 1) }

// Unreachable takes a failed connection, which ejects the endpoint at once: unlike other failures
// it is hardly ever due to one request.
func (r *Router) Unreachable(now namer.Seconds, s Slot) { r.penalise(now, s, ejectAt) }

// Slow takes a first token that came far later than predicted into the endpoint's health.
func (r *Router) Slow(now namer.Seconds, s Slot) { r.penalise(now, s, slowFailure) }

func (r *Router) penalise(now namer.Seconds, s Slot, amount float64) {
	e := &r.endpoints[s]
	before := e.health.ejected
	e.health.failed(now, amount, r.Random)
	r.healthChanged(e, before)
}

// Reachable takes news from outside requests: an unreachable endpoint is ejected at once, and a
// reachable one is probed at once.
func (r *Router) Reachable(now namer.Seconds, s Slot, reachable bool) {
	e := &r.endpoints[s]
	if reachable {
		e.health.until = min(e.health.until, now)
		return
	}
	before := e.health.ejected
	e.health.eject(now, r.Random)
	r.healthChanged(e, before)
}

// Ejected reports whether an endpoint is out of use after failures.
func (r *Router) Ejected(s Slot) bool { return r.endpoints[s].health.ejected }

func (r *Router) healthChanged(e *endpoint, before bool) {
	if e.health.ejected == before {
		return
	}
	for _, p := range e.pools {
		r.countEjected(p)
	}
}

func (r *Router) countEjected(p *Pool) {
	p.ejected = 0
	for _, s := range p.members {
		if r.endpoints[s].health.ejected {
			p.ejected++
		}
	}
}

// Refused takes an overload refusal into the endpoint's limit.
func (r *Router) Refused(now namer.Seconds, s Slot) { r.endpoints[s].limit.Refused(now) }

// Paced takes the pace of an answer relative to its target into the endpoint's limit.
func (r *Router) Paced(now namer.Seconds, s Slot, pace, running float64) {
	r.endpoints[s].limit.Observe(now, pace, running)
}

// Cache takes news about the blocks that an endpoint holds.
func (r *Router) Cache(s Slot, added, dropped []uint64, reset bool) {
	if reset {
		r.prefixes.reset(s)
	}
	for _, hash := range dropped {
		r.prefixes.drop(hash, s)
	}
	for _, hash := range added {
		r.prefixes.add(hash, s)
	}
}
