package assembler

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/distributor"
	"apricotspool/gossiper"
	"apricotspool/namer"
)

// fleetPeriod is how often the membership is compared with what the core knows. It is short against
// the 3 s within which a leaving endpoint gets no new work.
const fleetPeriod = 200 * time.Millisecond

// fleetKeeper gives the decision core the fleet and the load reports as configuration and membership
// change. Run owns its fields.
type fleetKeeper struct {
	dataCentre  namer.DataCentre
	distributor *distributor.Distributor
	gossiper    *gossiper.Gossiper
	dispatcher  *dispatcher.Dispatcher

	snapshot *configurer.Snapshot // of the last comparison
	view     *gossiper.View       // of the last comparison
	leaving  map[namer.Endpoint]bool
	roles    map[namer.Endpoint]namer.Role
	hosts    int
	reported map[namer.Endpoint]time.Time
}

// Run keeps the core up to date until ctx ends.
func (k *fleetKeeper) Run(ctx context.Context) error {
	k.reported = map[namer.Endpoint]time.Time{}
	ticker := time.NewTicker(fleetPeriod)
	defer ticker.Stop()
	for {
		changed := k.distributor.Changed()
		if err := k.update(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (k *fleetKeeper) update(ctx context.Context) error {
	snapshot := k.distributor.Snapshot()
	if snapshot == nil {
		return nil
	}
	view := k.gossiper.View()
	if snapshot == k.snapshot && view == k.view {
		return nil // both are immutable, so nothing in them is new
	}
	if k.changed(snapshot, view) {
		if err := k.dispatcher.Configure(ctx, buildFleet(snapshot, view, k.dataCentre)); err != nil {
			return errors.Wrap(err, "configure the decision core")
		}
	}
	for name, load := range view.Loads {
		if !load.At.After(k.reported[name]) {
			continue
		}
		k.reported[name] = load.At
		k.dispatcher.Report(decider.Event{Kind: decider.EventLoad, Endpoint: name, Load: decider.Load{
			At: load.At, Running: load.Running, Waiting: load.Waiting, WaitingPrefill: load.WaitingPrefill,
			KVUsed: load.KVUsed, Role: load.Role, Leaving: view.Leaving(snapshot, name),
		}})
	}
	return nil
}

// changed reports whether the core needs a new fleet, and remembers what this one is built from.
func (k *fleetKeeper) changed(snapshot *configurer.Snapshot, view *gossiper.View) bool {
	hosts := hostsOf(snapshot, view, k.dataCentre)
	leaving := map[namer.Endpoint]bool{}
	roles := map[namer.Endpoint]namer.Role{}
	for name := range snapshot.Document().Endpoints {
		if view.Leaving(snapshot, name) {
			leaving[name] = true
		}
		if role := view.Loads[name].Role; role != "" {
			roles[name] = role
		}
	}
	same := k.snapshot == snapshot && k.hosts == hosts && maps.Equal(k.leaving, leaving) && maps.Equal(k.roles, roles)
	k.snapshot, k.view, k.hosts, k.leaving, k.roles = snapshot, view, hosts, leaving, roles
	return !same
}

// buildFleet turns the configuration and the membership into the core's view of them.
func buildFleet(snapshot *configurer.Snapshot, view *gossiper.View, own namer.DataCentre) decider.Fleet {
	document := snapshot.Document()
	fleet := decider.Fleet{DataCentre: own, Hosts: hostsOf(snapshot, view, own)}
	for _, name := range slices.Sorted(maps.Keys(document.Services)) {
		fleet.Services = append(fleet.Services, serviceView(name, document.Services[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(document.Models)) {
		fleet.Models = append(fleet.Models, decider.ModelView{Name: name, KVBytes: document.Models[name].KVBytes})
	}
	for _, name := range slices.Sorted(maps.Keys(document.Endpoints)) {
		e := document.Endpoints[name]
		role := e.Role
		if reported := view.Loads[name].Role; reported != "" {
			role = reported
		}
		if role == "" {
			role = namer.RoleMixed
		}
		concurrency := e.Concurrency
		if concurrency == 0 {
			concurrency = configurer.DefaultConcurrency
		}
		fleet.Endpoints = append(fleet.Endpoints, decider.EndpointView{
			Name: name, Service: e.Service, Models: e.Models, DataCentre: e.DataCentre,
			Distance: snapshot.Distance(own, e.DataCentre), Role: role, Concurrency: concurrency,
			PrefillRate: e.PrefillRate, DecodeRate: e.DecodeRate, Leaving: view.Leaving(snapshot, name),
		})
	}
	return fleet
}

// hostsOf returns the number of daemons that decide over the same endpoints: those of the region,
// since work hardly goes to another region.
func hostsOf(snapshot *configurer.Snapshot, view *gossiper.View, own namer.DataCentre) int {
	centres := snapshot.Document().DataCentres
	return view.Hosts(func(other namer.DataCentre) bool { return centres[other].Region == centres[own].Region })
}

func serviceView(name namer.Service, s configurer.Service) decider.ServiceView {
	view := decider.ServiceView{Name: name, Plain: s.Kind == configurer.KindPlain, Deadline: s.Deadline.Std()}
	ranks := slices.SortedFunc(maps.Keys(s.Ranks), func(a, b namer.Rank) int { return s.Ranks[a].Order - s.Ranks[b].Order })
	for _, name := range ranks {
		r := s.Ranks[name]
		limit := r.QueueLimit
		if limit == 0 {
			limit = configurer.DefaultQueueLimit
		}
		view.Ranks = append(view.Ranks, decider.RankView{
			Name: name, FirstToken: r.FirstToken.Std(), BetweenTokens: r.BetweenTokens.Std(), Share: r.Share, QueueLimit: limit,
		})
	}
	return view
}
