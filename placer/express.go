package placer

import (
	"cmp"
	"math"
	"slices"

	"apricotspool/namer"
)

const (
	// expressShare is the fraction of a pool's engines of each role that receive no long prompts. Engines
	// finish what they have begun, so that without them a burst of long prompts delays all urgent ones.
	expressShare = 1.0 / 3
	// expressPromptShare is the longest processing time there, relative to the target of more urgent prompts.
	expressPromptShare = 1.5
	// targetTTL is how long a target counts after the last request that had it.
	targetTTL namer.Seconds = 10
)

// targets holds the latency targets of a pool's recent requests by priority.
type targets map[int]recentTarget

type recentTarget struct {
	target namer.Seconds
	seenAt namer.Seconds
}

// longestExpress returns the longest processing time that an express engine accepts for a request.
func (p *pool) longestExpress(now namer.Seconds, q *request) namer.Seconds {
	shortest := namer.Seconds(math.Inf(1))
	for priority, t := range p.targets {
		if priority < q.Priority && now-t.seenAt < targetTTL {
			shortest = min(shortest, t.target)
		}
	}
	return expressPromptShare * shortest
}

func (p *pool) recordTarget(now namer.Seconds, q *request) {
	if q.Target > 0 {
		p.targets[q.Priority] = recentTarget{namer.SecondsOf(q.Target), now}
	}
}

// chooseExpress chooses the express engines, the same ones at every daemon.
func (p *pool) chooseExpress() {
	byRole := map[bool][]*endpoint{}
	for _, e := range p.endpoints {
		e.express = false
		if !e.view.Leaving {
			prefill := e.view.Role == namer.RolePrefill
			byRole[prefill] = append(byRole[prefill], e)
		}
	}
	for _, engines := range byRole {
		slices.SortFunc(engines, func(a, b *endpoint) int {
			return cmp.Compare(rendezvous(expressSeed, string(a.view.Name)), rendezvous(expressSeed, string(b.view.Name)))
		})
		for _, e := range engines[:int(expressShare*float64(len(engines)))] {
			e.express = true
		}
	}
}

// expressSeed makes the choice independent of the stream order.
const expressSeed = 1
