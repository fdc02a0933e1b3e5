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
			Engines: c.engines(p), Prompt: p.demand.prompt * scale, Output: p.demand.output * scale, TransferTime: p.TransferTime,
		}})
	}
	return sets
}

func (c *Core) engines(p *pool) []planner.Engine {
	target := c.strictestPace(p.service.Name)
	engines := make([]planner.Engine, 0, len(p.Members()))
	for _, s := range p.Members() {
		rates := c.router.Rates(s)
		batch := c.router.Limit(s)
		if target > 0 {
			batch = min(batch, rates.Batch(target))
		}
		output := float64(c.estimates.Output("", p.service.Name, 0))
		engines = append(engines, planner.Engine{
			Name: c.router.Name(s), Role: c.router.Role(s), Leaving: c.router.Leaving(s),
			Drain:    namer.Seconds(min(1, c.router.Running(s))*output) * rates.Token(c.router.Running(s)),
			KVTokens: c.router.Running(s) * p.meanPrompt(), PrefillRate: rates.PrefillRate(0),
			DecodeRate: batch / float64(rates.Token(batch)),
		})
	}
	return engines
}

// meanPrompt is the mean prompt of the offered requests.
func (p *pool) meanPrompt() float64 {
	if p.demand.requests < 1e-9 {
		return 0
	}
	return p.demand.prompt / p.demand.requests
}
