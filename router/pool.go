package router

import (
	"cmp"
	"math"
	"slices"

	"apricotspool/namer"
)

// Pool is a set of endpoints that serve the same requests.
type Pool struct {
	Plain bool
	// TransferTime is the time to move the KV cache of one token between engines.
	TransferTime namer.Seconds

	members           []Slot // nearest first
	nearCount         int    // number of members within nearBand of the nearest
	hasPrefillEngines bool   // some members run only prefill
	ejectedCount      int    // number of ejected members

	groupSizes    [groupCount]int              // members by group
	localTokens   [groupCount][Classes]float64 // prompt tokens sent by this host, decayed
	remoteRate    [groupCount][Classes]float64 // estimated prompt tokens per second that other hosts send to one member
	localTokensAt namer.Seconds
}

// nearBand is the difference in distance within which members count as in the nearest data centre.
const nearBand namer.Seconds = 0.0005

// SetMembers replaces the members of a pool.
func (r *Router) SetMembers(p *Pool, members []Slot) {
	p.members = members
	slices.SortStableFunc(members, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(r.endpoints[a].Distance, r.endpoints[b].Distance), cmp.Compare(a, b))
	})
	p.nearCount = 0
	for _, s := range members {
		if r.endpoints[s].Distance <= r.endpoints[members[0]].Distance+nearBand {
			p.nearCount++
		}
	}
	for s := range r.endpoints {
		e := &r.endpoints[s]
		e.pools = slices.DeleteFunc(e.pools, func(other *Pool) bool { return other == p })
	}
	for _, s := range members {
		r.endpoints[s].pools = append(r.endpoints[s].pools, p)
	}
	r.UpdateRoles(p)
	r.countEjected(p)
}

// UpdateRoles recomputes the state that depends on the members' roles.
func (r *Router) UpdateRoles(p *Pool) {
	p.groupSizes = [groupCount]int{}
	for _, s := range p.members {
		p.groupSizes[groupOf(r.endpoints[s].Role)]++
	}
	p.hasPrefillEngines = p.groupSizes[prefillGroup] > 0
}

// Members returns the members, nearest first.
func (p *Pool) Members() []Slot { return p.members }

// groupCount is the number of groups of engines: prefill-only engines are counted apart from the
// others, since they get a different share of the prompts.
const groupCount = 2

// prefillGroup is the group of the prefill-only engines.
const prefillGroup = 1

func groupOf(role namer.Role) int {
	if role == namer.RolePrefill {
		return prefillGroup
	}
	return 0
}

// tokenTimeConstant, in seconds, smooths the rate of prompt tokens sent.
const tokenTimeConstant = 5.0

func (p *Pool) recordTokens(now namer.Seconds, hosts, group, class int, tokens float64) {
	decay := math.Exp(-float64(now-p.localTokensAt) / tokenTimeConstant)
	p.localTokensAt = now
	p.localTokens[group][class] += tokens / decay
	for g := range p.localTokens {
		for c := range p.localTokens[g] {
			p.localTokens[g][c] *= decay
			p.remoteRate[g][c] = p.localTokens[g][c] / tokenTimeConstant * float64(hosts-1) / float64(max(1, p.groupSizes[g]))
		}
	}
}

// lowestClass returns the least urgent class in use.
func (p *Pool) lowestClass() int {
	for c := Classes - 1; c > 0; c-- {
		for g := range p.localTokens {
			if p.localTokens[g][c] > 1 {
				return c
			}
		}
	}
	return 0
}
