package assigner

import (
	"math"
	"slices"
	"time"

	"apricotspool/namer"
)

// defaultPrefillShare is the part of the engines that process prompts for others if all generate and no other part has been
// observed.
const defaultPrefillShare = 0.25

// observeOrdered records the engines of a service whose engines are ordered: which ones are new, and the part that processes
// prompts for others as long as no new ones have come.
func (p *Planner) observeOrdered(engines []Engine) {
	if p.original == nil {
		p.original = map[namer.Endpoint]bool{}
		for _, e := range engines {
			p.original[e.Name] = true
		}
		if hasBothRoles(engines) {
			p.prefillShare = share(engines)
		}
	}
}

func share(engines []Engine) float64 {
	prefill := 0
	for _, e := range engines {
		if e.Role == namer.RolePrefill {
			prefill++
		}
	}
	return float64(prefill) / float64(max(1, len(engines)))
}

// repair returns the changes that give a service whose engines are ordered both roles, and new engines their role. It
// doesn't wait for observations: without engines that generate nothing is served, and new engines have no work to lose.
func (p *Planner) repair(now time.Time, prefill, generate []Engine, limit int) []Change {
	all := len(prefill) + len(generate)
	switch {
	case all == 0:
		return nil
	case len(generate) == 0:
		return p.assign(now, prefill, generate, namer.RoleDecode, min(minimumGenerate(all), max(1, all/2)))
	}
	wanted := p.wantedShare(prefill, generate)
	if wanted == 0 || all < 2*minGenerate || (len(prefill) > 0 && meanSlots(slices.Concat(prefill, generate)) >= minSlots) {
		return nil // Plan decides by load
	}
	goal := min(max(1, int(math.Round(wanted*float64(all)))), all-1)
	isNew := func(engines []Engine) []Engine {
		return slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return p.original[e.Name] })
	}
	if missing := goal - len(prefill); missing > 0 {
		from := isNew(generate)
		if len(prefill) == 0 {
			from = generate
		}
		return p.assign(now, from, prefill, namer.RolePrefill, min(missing, limit))
	}
	return p.assign(now, isNew(prefill), generate, namer.RoleDecode, min(len(prefill)-goal, limit))
}

// wantedShare returns the part of the engines that should process prompts for others; 0 if the roles aren't separated.
func (p *Planner) wantedShare(prefill, generate []Engine) float64 {
	if p.prefillShare > 0 {
		return p.prefillShare
	}
	mixed := slices.ContainsFunc(generate, func(e Engine) bool { return e.Role != namer.RoleDecode })
	if mixed || len(prefill) > 0 {
		return 0
	}
	return defaultPrefillShare
}

// assign gives a number of engines a role.
func (p *Planner) assign(now time.Time, from, to []Engine, role namer.Role, count int) []Change {
	var changes []Change
	basis := Basis{len(from), len(to), p.generate, p.inflow}
	if role == namer.RolePrefill {
		basis.Prefill, basis.Generate = len(to), len(from)
	}
	from, to = slices.Clone(from), slices.Clone(to)
	for range count {
		at := p.choose(now, from, to)
		if at < 0 {
			break
		}
		changes = append(changes, Change{from[at].Name, role, basis})
		p.record(now, changes[len(changes)-1])
		to = append(to, from[at])
		from = slices.Delete(from, at, at+1)
	}
	return changes
}
