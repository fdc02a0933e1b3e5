package decider

import (
	"math"
	"time"

	"apricotspool/namer"
	"apricotspool/planner"
)

// EngineSet is a set of interchangeable engines as this host sees it.
type EngineSet struct {
	Service namer.Service
	Model   namer.Model
	View    planner.View
}

// EngineSets returns a planner's view of the engines of every model. The demand is this host's own
// times the number of hosts, which the load balancer spreads callers over. The caller sets Changing
// of engines with a command in progress.
func (c *Core) EngineSets(now time.Time) []EngineSet {
	at := c.seconds(now)
	var sets []EngineSet
	for _, p := range c.pools {
		if p.Plain || len(p.Members()) == 0 {
			continue
		}
		keep := math.Exp(-float64(at-p.demand.at) / demandTime)
		scale := keep * float64(c.router.Hosts) / demandTime
		sets = append(sets, EngineSet{Service: p.key.service, Model: p.key.model, View: planner.View{
			Engines: c.engines(p), Prompt: p.demand.prompt * scale, Output: p.demand.output * scale, Missed: p.misses.part(),
		}})
	}
	return sets
}

func (c *Core) engines(p *pool) []planner.Engine {
	engines := make([]planner.Engine, 0, len(p.Members()))
	for _, s := range p.Members() {
		rates, load := c.router.Rates(s), c.router.LastLoad(s)
		engines = append(engines, planner.Engine{
			Name: c.router.Name(s), Role: c.router.Role(s), Leaving: c.router.Leaving(s),
			Running: int(load.Requests), WaitingPrefill: namer.Tokens(load.Prefill), KVUsed: load.KVUsed,
			PrefillRate: rates.PrefillRate(0), DecodeRate: 1 / float64(rates.Token(0)), Concurrency: int(c.router.Ceiling(s)),
		})
	}
	return engines
}
