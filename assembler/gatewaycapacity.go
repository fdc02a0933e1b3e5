package assembler

import (
	"context"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"apricotspool/assigner"
	"apricotspool/leaser"
	"apricotspool/loader"
	"apricotspool/namer"
	"apricotspool/placer"
	"apricotspool/provisioner"
	"apricotspool/registrar"
	"apricotspool/supervisor"
)

// gatewayCapacity orders engines. It is empty if the platform expects no orders.
type gatewayCapacity struct {
	provisioner *provisioner.Provisioner
}

// orderedEngines gives the provisioner the view of the decision core and the entries of the engines.
type orderedEngines struct {
	gatewayEngines
	fleet     *gatewayFleet
	registrar *registrar.Registrar
}

var _ provisioner.Fleet = (*orderedEngines)(nil)

// Engines implements provisioner.Fleet.
func (o *orderedEngines) Engines(ctx context.Context) (map[namer.Service]provisioner.Service, error) {
	table := o.fleet.activator.Table()
	services := map[namer.Service]provisioner.Service{}
	if table == nil || !o.fleet.Ready() {
		return services, nil
	}
	for name, s := range table.Services {
		if s.Scaling != nil && s.Engine != nil {
			services[name] = provisioner.Service{Scaling: *s.Scaling}
		}
	}
	if len(services) == 0 {
		return services, nil
	}
	loads, err := o.gatewayEngines.Engines(ctx)
	if err != nil {
		return nil, err
	}
	entries := map[namer.Endpoint]registrar.Entry{}
	for _, e := range o.registrar.Entries() {
		entries[e.Name] = e
	}
	for name, service := range services {
		for _, e := range loads[name] {
			engine := provisioner.Engine{
				Name: e.Name, DataCentre: e.DataCentre, Leaving: !e.Usable, LeavesIn: entries[e.Name].LeavesIn, Answering: e.Answering, LoadKnown: e.LoadKnown,
				Slots: e.Slots, Generating: e.Generating, Inflow: e.Inflow, Rate: promptRate(e, loads[name]),
			}
			if entries[e.Name].Preemptible {
				engine.Kind = provisioner.Preemptible
			}
			service.Engines = append(service.Engines, engine)
		}
		services[name] = service
	}
	return services, nil
}

// ordersEngines reports whether the daemons order the engines of a service.
func (g *Gateway) ordersEngines(service namer.Service) bool {
	table := g.fleet.activator.Table()
	return table != nil && table.Services[service].Scaling != nil && g.Settings.PlatformAPI.Has(loader.DutyAutoscale)
}

// generatingRateShare is the prompt rate of an engine that generates, relative to one that only processes prompts.
const generatingRateShare = 0.5

// promptRate returns the prompt tokens per second that an engine can process. The measured rate of an engine that generates
// is often far lower, because it processes a few short prompts beside its streams: at 24,000 instead of 100,000 a burst
// that spilled to such engines looked like eight engines' work.
func promptRate(e assigner.Engine, engines []assigner.Engine) float64 {
	rate := e.Rate
	for i := range engines {
		if e.Role != namer.RolePrefill && engines[i].Role == namer.RolePrefill {
			rate = max(rate, generatingRateShare*engines[i].Rate)
		}
	}
	return rate
}

// connectCapacity builds the component that orders engines under the lease of duties.
func (g *Gateway) connectCapacity(core *placer.Core, lease *leaser.Leaser) {
	if lease == nil || !g.Settings.PlatformAPI.Has(loader.DutyAutoscale) {
		return
	}
	g.capacity.provisioner = &provisioner.Provisioner{
		Host: g.Settings.Host, Authority: lease, Eligible: lease.Eligible,
		Fleet: &orderedEngines{gatewayEngines{core, g.dispatcher}, g.fleet, g.registrar},
		Orderer: g.Platform.NewOrderer(g.Settings.PlatformAPI.Address, func(kind string) {
			g.metrics.Counter(fmt.Sprintf(`apricotspool_platform_calls_total{kind=%q}`, kind)).Inc()
		}),
		CallsPerSecond: g.Settings.PlatformAPI.CallsPerSecond, Log: g.Log.Events,
		OnOrder: func(r provisioner.Result) {
			g.metrics.Counter(fmt.Sprintf(`apricotspool_engine_orders_total{result=%q}`, r.String())).Inc()
		},
	}
	g.metrics.Collect(g.capacity.writeGauges)
}

// writeGauges writes the state of the engines that are ordered; nothing unless this daemon holds the lease.
func (c *gatewayCapacity) writeGauges(w io.Writer) {
	for service, groups := range c.provisioner.Counts() {
		for group, count := range groups {
			for state, value := range map[string]int{"wanted": count.Wanted, "present": count.Present, "booting": count.Booting, "leaving": count.Leaving} {
				metrics.WriteGaugeUint64(w, fmt.Sprintf(`apricotspool_engines{service=%q,data_centre=%q,kind=%q,state=%q}`,
					string(service), string(group.DataCentre), group.Kind.String(), state), uint64(max(0, value)))
			}
		}
	}
}

// children returns the components for the supervisor.
func (c *gatewayCapacity) children() []supervisor.Child {
	if c.provisioner == nil {
		return nil
	}
	return []supervisor.Child{{Name: "provisioner", Part: c.provisioner}}
}
