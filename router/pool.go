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

	members []Slot // nearest first
	near    int    // members at about the least distance
	split   bool   // some members process only prompts
	ejected int    // members that are ejected

	groups [groups]int              // members that process only prompts, and others
	flow   [groups][Classes]float64 // own prompt tokens sent, decayed
	others [groups][Classes]float64 // prompt tokens a second that other hosts send to one member
	flowAt namer.Seconds
}

// nearBand is the distance that still counts as the same data centre.
const nearBand namer.Seconds = 0.0005

// SetMembers replaces the members of a pool.
func (r *Router) SetMembers(p *Pool, members []Slot) {
	p.members = members
	slices.SortStableFunc(members, func(a, b Slot) int {
		return cmp.Or(cmp.Compare(r.endpoints[a].Distance, r.endpoints[b].Distance), cmp.Compare(a, b))
	})
	p.near = 0
	for _, s := range members {
		if r.endpoints[s].Distance <= r.endpoints[members[0]].Distance+nearBand {
			p.near++
		}
	}
	for s := range r.endpoints {
		e := &r.endpoints[s]
		e.pools = slices.DeleteFunc(e.pools, func(other *Pool) bool { return other == p })
	}
	for _, s := range members {
		r.endpoints[s].pools = append(r.endpoints[s].pools, p)
	}
	r.Roles(p)
	r.countEjected(p)
}

// Roles updates what depends on the members' roles.
func (r *Router) Roles(p *Pool) {
	p.groups = [groups]int{}
	for _, s := range p.members {
		p.groups[group(r.endpoints[s].Role)]++
	}
	p.split = p.groups[prefillGroup] > 0
}

// Members returns the members, nearest first.
func (p *Pool) Members() []Slot { return p.members }

// groups tells engines that process only prompts from others, since their share of the prompts differs.
const groups = 2

// prefillGroup is the group of engines that process only prompts.
const prefillGroup = 1

func group(role namer.Role) int {
	if role == namer.RolePrefill {
		return prefillGroup
	}
	return 0
}

const flowTime = 5.0

func (p *Pool) sent(now namer.Seconds, hosts, group, class int, tokens float64) {
	keep := math.Exp(-float64(now-p.flowAt) / flowTime)
	p.flowAt = now
	p.flow[group][class] += tokens / keep
	for g := range p.flow {
		for c := range p.flow[g] {
			p.flow[g][c] *= keep
			p.others[g][c] = p.flow[g][c] / flowTime * float64(hosts-1) / float64(max(1, p.groups[g]))
		}
	}
}

// lowest returns the least urgent class in use.
func (p *Pool) lowest() int {
	for c := Classes - 1; c > 0; c-- {
		for g := range p.flow {
			if p.flow[g][c] > 1 {
				return c
			}
		}
	}
	return 0
}
