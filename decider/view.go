package decider

import (
	"math"
	"time"

	"apricotspool/namer"
	"apricotspool/planner"
)

// EngineSet is this host's view of a set of interchangeable engines.
type EngineSet struct {
	Service namer.Service
	Model   namer.Model
	View    planner.View
}

// EngineSets returns the planner's view of the engines of every model. The demand of the
// fleet is estimated as this host's demand times the number of hosts, since the load balancer
// distributes callers evenly. The caller sets Changing on engines with a command in progress.
func (c *Core) EngineSets(now time.Time) []EngineSet {
	at := c.seconds(now)
	var sets []EngineSet
	for _, p := range c.pools {
		if p.Plain || len(p.Members()) == 0 {
			continue
		}
		decay := math.Exp(-float64(at-p.demand.at) / demandTimeConstant)
		scale := decay * float64(c.router.Hosts) / demandTimeConstant
		sets = append(sets, EngineSet{Service: p.key.service, Model: p.key.model, View: planner.View{
			Engines: c.engines(p), Prompt: p.demand.prompt * scale, Output: p.demand.output * scale, Missed: p.missRate.fraction(),
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
			PrefillRate: rates.PrefillRate(0), DecodeRate: 1 / float64(rates.TokenInterval(0)), Concurrency: int(c.router.Ceiling(s)),
		})
	}
	return engines
}
