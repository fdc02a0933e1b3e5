// Package router chooses the endpoint for a request. It uses lagged load reports, the host's own
// dispatches since the last report, cached prefixes, distance and health. A Router is owned by one
// goroutine; Pick does not allocate.
package router

import (
	"math/rand/v2"

	"apricotspool/asserter"
	"apricotspool/estimator"
	"apricotspool/limiter"
	"apricotspool/namer"
)

// Classes is the number of priority classes with a separate backlog; lower ranks share the last.
const Classes = 4

// BlockTokens is the number of tokens in one prefix block.
const BlockTokens = 256

// Endpoint is the configuration of an endpoint.
type Endpoint struct {
	Name       namer.Endpoint
	Distance   namer.Seconds // one-way network delay
	Role       namer.Role
	Ceiling    float64 // configured concurrency
	StartLimit float64 // initial concurrency limit
	Leaving    bool
	Rates      *estimator.Rates
}

// endpoint is the configuration and estimated state of one endpoint.
type endpoint struct {
	Endpoint
	allocated         bool
	pools             []*Pool
	configuredRole    namer.Role
	configuredLeaving bool
	statedLeaving     bool // as stated by the endpoint itself
	limit             limiter.Limit
	health            health

	reportAt      namer.Seconds
	reported      float64 // requests at the endpoint at reportAt
	sinceReport   float64 // own dispatches minus own ends since reportAt
	recentChanges []change
	ownAttempts   int           // attempts of this host in flight
	ownUrgent     int           // attempts of this host in class 0
	lastProgress  namer.Seconds // last first token or end of an own attempt

	lastLoad     Load
	group        int              // derived from the role
	mixed        bool             // the role covers prefill and decode
	drainRate    float64          // prefill rate, in prompt tokens per second
	classesInUse int              // number of classes in use; advanceBacklog skips the rest
	backlog      [Classes]float64 // prompt tokens queued for prefill, at backlogAt
	backlogAt    namer.Seconds
}

// change is an own dispatch or end that the next load report may not include.
type change struct {
	at     namer.Seconds
	tokens float64
	delta  float64
}

// maxRecentChanges bounds the changes kept for an endpoint whose reports have stopped.
const maxRecentChanges = 512

// Router holds the endpoints and their estimated state.
type Router struct {
	Random *rand.Rand
	// Hosts is the number of hosts that dispatch to the same endpoints, including this one.
	Hosts int

	endpoints    []endpoint
	slots        map[namer.Endpoint]Slot
	freeSlots    []Slot
	prefixes     prefixIndex
	cachedBlocks []int32 // by slot: leading blocks of the current query's prompt in the endpoint's cache; 0 between queries
}

// Put adds an endpoint or updates its configuration; its learned state is kept.
func (r *Router) Put(now namer.Seconds, view Endpoint) Slot {
	if r.slots == nil {
		r.slots = map[namer.Endpoint]Slot{}
	}
	if view.Role == "" {
		view.Role = namer.RoleMixed
	}
	if s, ok := r.slots[view.Name]; ok {
		e := &r.endpoints[s]
		role := e.Role // the reported role, unless the configured one has changed
		if view.Role != e.configuredRole {
			role = view.Role
		}
		if now-e.reportAt > reportTimeout {
			e.statedLeaving = false
		}
		e.Endpoint, e.configuredRole, e.configuredLeaving = view, view.Role, view.Leaving
		e.Leaving = e.configuredLeaving || e.statedLeaving
		e.setRole(role)
		e.updateDrainRate()
		e.limit.SetCeiling(view.Ceiling)
		return s
	}
	fresh := endpoint{Endpoint: view, allocated: true, limit: limiter.New(view.StartLimit, view.Ceiling), reportAt: now, backlogAt: now, classesInUse: 1}
	fresh.configuredRole, fresh.configuredLeaving = view.Role, view.Leaving
	fresh.setRole(view.Role)
	fresh.updateDrainRate()
	var s Slot
	if n := len(r.freeSlots); n > 0 {
		s, r.freeSlots = r.freeSlots[n-1], r.freeSlots[:n-1]
		r.endpoints[s] = fresh
	} else {
		s = Slot(len(r.endpoints))
		r.endpoints = append(r.endpoints, fresh)
		r.cachedBlocks = append(r.cachedBlocks, 0)
	}
	r.slots[view.Name] = s
	r.prefixes.grow(len(r.endpoints))
	return s
}

// Retain marks the endpoints for which keep is false as leaving and frees those without own attempts.
func (r *Router) Retain(keep func(namer.Endpoint) bool) {
	for s := range r.endpoints {
		e := &r.endpoints[s]
		if !e.allocated || keep(e.Name) {
			continue
		}
		e.configuredLeaving, e.Leaving = true, true
		if e.ownAttempts == 0 {
			r.prefixes.reset(Slot(s))
			delete(r.slots, e.Name)
			e.allocated = false
			r.freeSlots = append(r.freeSlots, Slot(s))
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

// Distance returns the one-way network delay to the endpoint in a slot.
func (r *Router) Distance(s Slot) namer.Seconds { return r.endpoints[s].Distance }

// Leaving reports whether the endpoint in a slot gets no new requests.
func (r *Router) Leaving(s Slot) bool { return r.endpoints[s].Leaving }

// Running estimates the current number of requests at an endpoint.
func (r *Router) Running(s Slot) float64 { return r.endpoints[s].running(r.Hosts) }

// RecordProgress records that an attempt of this host has received its first token or has finished.
func (r *Router) RecordProgress(now namer.Seconds, s Slot) { r.endpoints[s].lastProgress = now }

// LastHeard returns the time of the last progress of an own attempt or the last load report.
func (r *Router) LastHeard(s Slot) namer.Seconds {
	return max(r.endpoints[s].lastProgress, r.endpoints[s].reportAt)
}

// LastLoad returns the last report of an endpoint.
func (r *Router) LastLoad(s Slot) Load { return r.endpoints[s].lastLoad }

// Ceiling returns the configured concurrency of an endpoint.
func (r *Router) Ceiling(s Slot) float64 { return r.endpoints[s].Endpoint.Ceiling }

// Limit returns the concurrency limit of an endpoint.
func (r *Router) Limit(s Slot) float64 { return r.endpoints[s].limit.Value() }

// herdFactor is the fraction of the other hosts that is assumed to dispatch to the same endpoint on
// the same load report. With 0, eight hosts overload the endpoint that the report shows as idle.
const herdFactor = 1.0

func (e *endpoint) running(hosts int) float64 {
	since := e.sinceReport
	if since > 0 {
		since *= 1 + herdFactor*float64(hosts-1)
	}
	return max(float64(e.ownAttempts), e.reported+since)
}

// Load is an endpoint's load report.
type Load struct {
	At       namer.Seconds
	Requests float64 // running and queued
	Prefill  float64 // prompt tokens queued for prefill
	KVUsed   float64 // fraction of the KV cache memory in use
	Role     namer.Role
	Leaving  bool
}

// Report applies a load report sampled at load.At. It returns whether the role or the leaving state
// has changed.
func (r *Router) Report(now namer.Seconds, s Slot, p *Pool, load Load) bool {
	e := &r.endpoints[s]
	if load.At < e.reportAt {
		return false
	}
	r.advanceBacklog(now, e, p)
	known := e.backlog
	defer e.updateDrainRate()
	e.lastLoad, e.reportAt, e.reported, e.sinceReport = load, load.At, load.Requests, 0
	total := load.Prefill - float64(now-load.At)*e.Rates.PrefillRate(load.Requests)
	kept := e.recentChanges[:0]
	for _, c := range e.recentChanges {
		if c.at+e.Distance <= load.At {
			continue
		}
		kept = append(kept, c)
		e.sinceReport += c.delta
		total += c.tokens
	}
	e.recentChanges = kept
	// The report has no figures by class: the classes get what this host estimated for them, most
	// urgent first, and the rest is assigned to the lowest class in use.
	total = max(0, total)
	for c := range known {
		e.backlog[c] = min(known[c], total)
		total -= e.backlog[c]
	}
	lowest := p.lowestClass()
	e.classesInUse = max(e.classesInUse, lowest+1)
	e.backlog[lowest] += total
	wasLeaving := e.Leaving
	e.setLeaving(load.Leaving)
	changed := (load.Role != "" && load.Role != e.Role) || wasLeaving != e.Leaving
	if load.Role != "" {
		e.setRole(load.Role)
	}
	return changed
}

// SetLeaving records the leaving state that an endpoint states itself.
func (r *Router) SetLeaving(s Slot, leaving bool) { r.endpoints[s].setLeaving(leaving) }

func (e *endpoint) setLeaving(leaving bool) {
	e.statedLeaving = leaving
	e.Leaving = e.configuredLeaving || leaving
}

// reportTimeout is the age beyond which the last load report no longer keeps an endpoint leaving: the
// next configuration update clears the leaving state stated by the endpoint. Otherwise an endpoint that
// stopped reporting would stay unused.
const reportTimeout namer.Seconds = 30

// advanceBacklog brings the backlog estimate up to now: it subtracts processed tokens, most urgent
// class first, and adds what other hosts are assumed to have sent, each as much as this host sends to
// an average endpoint.
func (r *Router) advanceBacklog(now namer.Seconds, e *endpoint, p *Pool) {
	elapsed := float64(now - e.backlogAt)
	if elapsed <= 0 {
		return
	}
	e.backlogAt = now
	done := elapsed * e.drainRate
	others := &p.remoteRate[e.group]
	for c := range e.classesInUse {
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

// setRole sets the role and the values derived from it for the routing path.
func (e *endpoint) setRole(role namer.Role) {
	e.Role, e.group, e.mixed = role, groupOf(role), role == namer.RoleMixed
}

// updateDrainRate caches the prefill rate, which changes slowly, for the routing path.
func (e *endpoint) updateDrainRate() { e.drainRate = e.Rates.PrefillRate(e.reported) }

// Dispatched records an attempt that is sent to an endpoint.
func (r *Router) Dispatched(now namer.Seconds, s Slot, p *Pool, class int, tokens float64) {
	e := &r.endpoints[s]
	if e.Leaving { // an unconditional check would allocate its arguments
		asserter.Check(false, "no dispatch to a leaving endpoint", "endpoint %s", e.Name)
	}
	r.advanceBacklog(now, e, p)
	e.classesInUse = max(e.classesInUse, min(class, Classes-1)+1)
	e.backlog[min(class, Classes-1)] += tokens
	e.ownAttempts++
	if class == 0 {
		e.ownUrgent++
	}
	if e.health.probing {
		e.health.probesInFlight++
	}
	e.recordChange(change{now, tokens, 1})
	p.recordTokens(now, r.Hosts, e.group, min(class, Classes-1), tokens)
}

func (e *endpoint) recordChange(c change) {
	if len(e.recentChanges) == maxRecentChanges {
		e.recentChanges = e.recentChanges[:copy(e.recentChanges, e.recentChanges[maxRecentChanges/2:])]
	}
	e.recentChanges = append(e.recentChanges, c)
	e.sinceReport += c.delta
}

// Ended records that an attempt is no longer at the endpoint and removes its unprocessed prompt tokens
// from the backlog.
func (r *Router) Ended(now namer.Seconds, s Slot, class int, unprocessed float64) {
	e := &r.endpoints[s]
	e.ownAttempts--
	if e.ownAttempts < 0 {
		asserter.Check(false, "no attempt ends twice", "endpoint %s has %d attempts", e.Name, e.ownAttempts)
	}
	if class == 0 {
		e.ownUrgent--
	}
	c := min(class, Classes-1)
	e.backlog[c] = max(0, e.backlog[c]-unprocessed)
	e.health.probesInFlight = max(0, e.health.probesInFlight-1)
	e.recordChange(change{now, -unprocessed, -1})
}

// Succeeded records a success in the endpoint's health.
func (r *Router) Succeeded(s Slot) {
	e := &r.endpoints[s]
	wasEjected := e.health.ejected
	e.health.succeeded()
	r.updateEjectedCounts(e, wasEjected)
}

// Failed records a failure in the endpoint's health.
func (r *Router) Failed(now namer.Seconds, s Slot) { r.recordFailure(now, s, 1) }

// Unreachable records a failed connection, which ejects the endpoint at once: unlike other failures
// it is hardly ever caused by a single request.
func (r *Router) Unreachable(now namer.Seconds, s Slot) { r.recordFailure(now, s, ejectionThreshold) }

// Slow records a first token far later than predicted in the endpoint's health.
func (r *Router) Slow(now namer.Seconds, s Slot) { r.recordFailure(now, s, slowFailureWeight) }

func (r *Router) recordFailure(now namer.Seconds, s Slot, amount float64) {
	e := &r.endpoints[s]
	wasEjected := e.health.ejected
	e.health.failed(now, amount, r.Random)
	r.updateEjectedCounts(e, wasEjected)
}

// SetReachable applies the result of a health check: an unreachable endpoint is ejected at once, and
// an ejected endpoint that is reachable may be probed at once.
func (r *Router) SetReachable(now namer.Seconds, s Slot, reachable bool) {
	e := &r.endpoints[s]
	if reachable {
		e.health.ejectedUntil = min(e.health.ejectedUntil, now)
		return
	}
	wasEjected := e.health.ejected
	e.health.eject(now, r.Random)
	r.updateEjectedCounts(e, wasEjected)
}

// Ejected reports whether an endpoint is ejected after failures.
func (r *Router) Ejected(s Slot) bool { return r.endpoints[s].health.ejected }

func (r *Router) updateEjectedCounts(e *endpoint, wasEjected bool) {
	if e.health.ejected == wasEjected {
		return
	}
	for _, p := range e.pools {
		r.countEjected(p)
	}
}

func (r *Router) countEjected(p *Pool) {
	p.ejectedCount = 0
	for _, s := range p.members {
		if r.endpoints[s].health.ejected {
			p.ejectedCount++
		}
	}
}

// Refused lowers the endpoint's concurrency limit after an overload refusal.
func (r *Router) Refused(now namer.Seconds, s Slot) { r.endpoints[s].limit.Refused(now) }

// ObserveLatency updates the endpoint's concurrency limit from the latency of a response relative to
// its target.
func (r *Router) ObserveLatency(now namer.Seconds, s Slot, latencyRatio, running, sustainable float64) {
	r.endpoints[s].limit.Observe(now, latencyRatio, running, sustainable)
}

// UpdateCache applies changes of the prefix blocks that an endpoint caches.
func (r *Router) UpdateCache(s Slot, added, dropped []uint64, reset bool) {
	if reset {
		r.prefixes.reset(s)
	}
	for _, hash := range dropped {
		r.prefixes.remove(hash, s)
	}
	for _, hash := range added {
		r.prefixes.add(hash, s)
	}
}
