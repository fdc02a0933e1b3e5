package placer

import (
	"time"

	"apricotspool/assigner"
	"apricotspool/namer"
)

// Engines returns the engines of each service as this daemon knows them.
func (c *Core) Engines(now time.Time) map[namer.Service][]assigner.Engine {
	c.ensureInit(now)
	at := c.seconds(now)
	services := map[namer.Service][]assigner.Engine{}
	for _, p := range c.pools {
		if p.plain {
			continue
		}
		for _, e := range p.endpoints {
			engine := assigner.Engine{
				Name: e.view.Name, DataCentre: e.view.DataCentre, Role: e.view.Role, Slots: e.view.Concurrency, Usable: !e.leaving(),
				Rate: p.prefillRate(e.view.Role), Answering: e.health.ejectionPeriod == 0,
				// An idle engine is reported once.
				LoadKnown: e.current(at) || e.load.Running == 0,
			}
			if e.current(at) {
				engine.Generating, engine.Inflow = e.load.Generating, e.load.Inflow
			}
			services[p.service] = append(services[p.service], engine)
		}
	}
	return services
}
