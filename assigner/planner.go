// Package assigner adapts the roles of engines to the mix of prompts and outputs: engines that process prompts
// for others, and engines that generate. Planner decides and does no I/O; Assigner carries its decisions out.
// Only the holder of a lease for the whole fleet sends commands.
package assigner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"apricotspool/namer"
)

// Engine is the state of an engine of one service.
type Engine struct {
	Name       namer.Endpoint
	DataCentre namer.DataCentre
	Role       namer.Role
	Slots      int
	Usable     bool    // takes new requests
	Generating int     // requests whose prompt has been processed
	Inflow     float64 // prompt tokens per second that have been placed on it
	Rate       float64 // prompt tokens per second that it processes
	Answering  bool    // it isn't ejected
	LoadKnown  bool    // Generating and Inflow are recent
}

// Change is a decision to give an engine another role.
type Change struct {
	Endpoint namer.Endpoint
	Role     namer.Role
	Basis    Basis
}

// Basis explains a change: the engines of each role before it, and the peaks of the load.
type Basis struct {
	Prefill, Generate int
	Generating        float64 // requests
	Inflow            float64 // prompt tokens per second
}

const (
	// observeFor is how long the planner observes a load, or the lack of one, before its first decision.
	observeFor = 3 * time.Second
	// minGenerateShare is the part of the engines that always generate, and all that do before any load is known:
	// while nothing runs, a change costs nothing. Engines that generate process prompts, too, and receive the
	// KV caches of all prompts over their links.
	minGenerateShare = 0.4
	minGenerate      = 2
	// minSlots is the number of slots from which roles change. Outputs fill engines with fewer slots before the
	// load summaries show it, so that processed prompts are refused there.
	minSlots = 32
	// idleFill is the part of the engines' rate up to which they count as idle.
	idleFill = 0.01
	// persistFor is how long engines must be wanted in another role under load. Engines that crash are often
	// back within seconds, and a change takes its engine away for as long.
	persistFor = 5 * time.Second
	// peakTime is the time constant with which the peaks of the load decay. Mixes swing within minutes, bursts
	// within seconds.
	peakTime = 20 * time.Second
	// recentTime is the time constant of the moving average of the load.
	recentTime = 2 * time.Second
	// generateFill is the part of the slots of generating engines that the peak may take after a change, and
	// maxGenerateFill the part that the average may take before more engines have to generate.
	generateFill    = 0.35
	maxGenerateFill = 0.8
	// prefillFill is the part of the rate of prefill engines that the peak may take. Bursts of several times the
	// usual load come faster than roles can change, and prompts differ in length by a factor of ten.
	prefillFill = 0.1
	// changeCooldown is the shortest time between two changes of one engine. It exceeds the time after which
	// a command that got no response may still be carried out.
	changeCooldown = 20 * time.Second
	// maxChangingShare is the part of the engines that may change at a time.
	maxChangingShare = 0.25
)

// Planner plans the roles of the engines of one service. The zero value has observed nothing. Set Ordered before the first call.
type Planner struct {
	// Ordered says that engines come and go by orders of the daemons, so that they may lack a role.
	Ordered bool

	original     map[namer.Endpoint]bool // engines of the first observation
	prefillShare float64                 // their part that processed prompts for others; 0 if unknown

	created   time.Time // first observation
	started   time.Time // first observation of a load
	updatedAt time.Time
	generate  float64 // peak of the requests that generate
	recent    float64 // their moving average
	inflow    float64 // peak of the prompt tokens per second
	changes   map[namer.Endpoint]recentChange
	// Since when more or fewer engines have been wanted to generate; zero if neither.
	moreSince, fewerSince time.Time
}

type recentChange struct {
	role namer.Role
	at   time.Time
}

// recentChange returns the role that an engine was given within the cooldown.
func (p *Planner) recentChange(now time.Time, name namer.Endpoint) (namer.Role, bool) {
	recent, known := p.changes[name]
	return recent.role, known && now.Sub(recent.at) < changeCooldown
}

// Observe records the load of the engines.
func (p *Planner) Observe(now time.Time, engines []Engine) {
	generating, inflow, rate := 0.0, 0.0, 0.0
	for _, e := range engines {
		rate += e.Rate
		generating += float64(e.Generating)
		inflow += e.Inflow
	}
	if p.created.IsZero() {
		p.created = now
	}
	if p.Ordered {
		p.observeOrdered(engines)
	}
	if p.started.IsZero() {
		if inflow <= idleFill*rate && generating <= idleFill*meanSlots(engines)*float64(len(engines)) {
			return
		}
		p.started, p.updatedAt = now, now
	}
	decay := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(peakTime))
	p.recent += (1 - math.Exp(-float64(now.Sub(p.updatedAt))/float64(recentTime))) * (generating - p.recent)
	p.generate, p.inflow = max(generating, decay*p.generate), max(inflow, decay*p.inflow)
	p.updatedAt = now
}

// Plan returns the changes to make now. The caller makes all of them or calls Plan again later.
func (p *Planner) Plan(now time.Time, engines []Engine) []Change {
	var prefill, generate []Engine
	changing := 0
	for _, e := range engines {
		recent, isRecent := p.recentChange(now, e.Name)
		if isRecent && recent != e.Role {
			changing++
			e.Role = recent
		} else if !e.Usable {
			continue
		}
		if e.Role == namer.RolePrefill {
			prefill = append(prefill, e)
		} else {
			generate = append(generate, e)
		}
	}
	limit := max(1, int(maxChangingShare*float64(len(engines)))) - changing
	if p.Ordered {
		if changes := p.repair(now, prefill, generate, limit); len(changes) > 0 {
			return changes
		}
	}
	if !p.informed(now) || len(prefill)+len(generate) < 2*minGenerate || !hasBothRoles(engines) || meanSlots(engines) < minSlots {
		return nil
	}
	wanted := p.wantedGenerate(prefill, generate)
	if !p.persists(now, wanted-len(generate)) {
		return nil
	}
	var changes []Change
	for len(changes) < limit && len(generate) != wanted {
		from, to, role := generate, prefill, namer.RolePrefill
		if len(generate) < wanted {
			from, to, role = prefill, generate, namer.RoleDecode
		}
		at := p.choose(now, from, to)
		if at < 0 {
			break
		}
		chosen := from[at]
		changes = append(changes, Change{chosen.Name, role, Basis{len(prefill), len(generate), p.generate, p.inflow}})
		p.record(now, changes[len(changes)-1])
		from = slices.Delete(slices.Clone(from), at, at+1)
		to = append(slices.Clone(to), chosen)
		if generate, prefill = from, to; role == namer.RoleDecode {
			generate, prefill = to, from
		}
	}
	return changes
}

// persists reports whether more engines, or fewer, have been wanted for long enough. An idle fleet need not wait.
func (p *Planner) persists(now time.Time, more int) bool {
	since := func(at *time.Time, wanted bool) time.Time {
		switch {
		case !wanted:
			*at = time.Time{}
		case at.IsZero():
			*at = now
		}
		return *at
	}
	moreSince, fewerSince := since(&p.moreSince, more > 0), since(&p.fewerSince, more < 0)
	if p.started.IsZero() {
		return true
	}
	return (more > 0 && now.Sub(moreSince) >= persistFor) || (more < 0 && now.Sub(fewerSince) >= persistFor)
}

// informed reports whether the planner has observed for long enough.
func (p *Planner) informed(now time.Time) bool {
	since := p.started
	if since.IsZero() {
		since = p.created
	}
	return !since.IsZero() && now.Sub(since) >= observeFor
}

// hasBothRoles reports whether the service separates the roles at all.
func hasBothRoles(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool { return e.Role == namer.RolePrefill }) &&
		slices.ContainsFunc(engines, func(e Engine) bool { return e.Role == namer.RoleDecode })
}

func (p *Planner) record(now time.Time, c Change) {
	if p.changes == nil {
		p.changes = map[namer.Endpoint]recentChange{}
	}
	p.changes[c.Endpoint] = recentChange{c.Role, now}
}

// wantedGenerate returns the number of engines that should generate. It changes nothing while the present
// ones suffice for both kinds of work.
func (p *Planner) wantedGenerate(prefill, generate []Engine) int {
	all := slices.Concat(prefill, generate)
	if p.started.IsZero() {
		return min(len(generate), minimumGenerate(len(all)))
	}
	slots := meanSlots(all)
	if needed := min(max(minGenerate, int(math.Ceil(p.recent/(maxGenerateFill*slots)))), len(all)-1); len(generate) < needed {
		return needed
	}
	needed := max(minimumGenerate(len(all)), int(math.Ceil(p.generate/(generateFill*slots))))
	if len(generate) <= needed {
		return len(generate)
	}
	rate := 0.0
	for _, e := range prefill {
		rate += e.Rate
	}
	if len(prefill) > 0 && p.inflow <= prefillFill*rate {
		return len(generate)
	}
	if len(prefill) == 0 || rate <= 0 {
		return len(generate) - 1
	}
	neededPrefill := int(math.Ceil(p.inflow / (prefillFill * rate / float64(len(prefill)))))
	return max(needed, len(all)-max(neededPrefill, len(prefill)))
}

// minimumGenerate returns the number of engines that always generate.
func minimumGenerate(engines int) int {
	return max(minGenerate, int(math.Ceil(minGenerateShare*float64(engines))))
}

func meanSlots(engines []Engine) float64 {
	slots := 0
	for _, e := range engines {
		slots += max(1, e.Slots)
	}
	return float64(slots) / float64(max(1, len(engines)))
}

// choose returns the index of the engine to change: in the data centre that keeps the most engines of the old
// role for each one of the new role, the one with the least work in progress. It returns -1 if there is none.
func (p *Planner) choose(now time.Time, from, to []Engine) int {
	balance := map[namer.DataCentre]int{}
	for _, e := range from {
		balance[e.DataCentre]++
	}
	for _, e := range to {
		balance[e.DataCentre]--
	}
	best := -1
	for i, e := range from {
		if _, isRecent := p.recentChange(now, e.Name); isRecent {
			continue
		}
		if best < 0 || compareChoice(e, from[best], balance) < 0 {
			best = i
		}
	}
	return best
}

func compareChoice(a, b Engine, balance map[namer.DataCentre]int) int {
	return cmp.Or(
		cmp.Compare(balance[b.DataCentre], balance[a.DataCentre]), cmp.Compare(a.Generating, b.Generating), cmp.Compare(a.Inflow, b.Inflow),
		cmp.Compare(a.Name, b.Name),
	)
}
