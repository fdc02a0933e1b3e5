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

	flow   [Classes]float64 // own prompt tokens sent, decayed
	others [Classes]float64 // prompt tokens a second that other hosts send to one member
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
	p.split = false
	for _, s := range p.members {
		p.split = p.split || r.endpoints[s].Role == namer.RolePrefill
	}
}

// Members returns the members, nearest first.
func (p *Pool) Members() []Slot { return p.members }

const flowTime = 5.0

func (p *Pool) sent(now namer.Seconds, hosts, class int, tokens float64) {
	keep := math.Exp(-float64(now-p.flowAt) / flowTime)
	p.flowAt = now
	for c := range p.flow {
		p.flow[c] *= keep
		if c == class {
			p.flow[c] += tokens
		}
		p.others[c] = p.flow[c] / flowTime * float64(hosts-1) / float64(max(1, len(p.members)))
	}
}

func (p *Pool) lowest() int {
	for c := Classes - 1; c > 0; c-- {
		if p.others[c] > 0 || p.flow[c] > 1 {
			return c
		}
	}
	return 0
}
