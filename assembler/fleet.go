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

// fleetUpdateInterval is how often membership changes are passed to the decision core. It is short compared
// with the 3 s within which a leaving endpoint must stop receiving new work.
const fleetUpdateInterval = 200 * time.Millisecond

// fleetUpdater passes the fleet and the load reports to the decision core when the configuration or the
// membership changes. Only Run's goroutine uses its mutable fields.
type fleetUpdater struct {
	dataCentre  namer.DataCentre
	distributor *distributor.Distributor
	gossiper    *gossiper.Gossiper
	dispatcher  *dispatcher.Dispatcher

	snapshot     *configurer.Snapshot // as of the last update
	view         *gossiper.View       // as of the last update
	leaving      map[namer.Endpoint]bool
	roles        map[namer.Endpoint]namer.Role
	hosts        int
	lastReported map[namer.Endpoint]time.Time
}

// Run keeps the core up to date until ctx ends.
func (u *fleetUpdater) Run(ctx context.Context) error {
	u.lastReported = map[namer.Endpoint]time.Time{}
	ticker := time.NewTicker(fleetUpdateInterval)
	defer ticker.Stop()
	for {
		changed := u.distributor.Changed()
		if err := u.update(ctx); err != nil {
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

func (u *fleetUpdater) update(ctx context.Context) error {
	snapshot := u.distributor.Snapshot()
	if snapshot == nil {
		return nil
	}
	view := u.gossiper.View()
	if snapshot == u.snapshot && view == u.view {
		return nil // both are immutable, so equal pointers mean no change
	}
	if u.needsNewFleet(snapshot, view) {
		if err := u.dispatcher.Configure(ctx, buildFleet(snapshot, view, u.dataCentre)); err != nil {
			return errors.Wrap(err, "configure the decision core")
		}
	}
	for name, load := range view.Loads {
		if !load.At.After(u.lastReported[name]) {
			continue
		}
		u.lastReported[name] = load.At
		u.dispatcher.Report(decider.Event{Kind: decider.EventLoad, Endpoint: name, Load: decider.Load{
			At: load.At, Running: load.Running, Waiting: load.Waiting, WaitingPrefill: load.WaitingPrefill,
			KVUsed: load.KVUsed, Role: load.Role, Leaving: view.Leaving(snapshot, name),
		}})
	}
	return nil
}

// needsNewFleet reports whether the core needs a new fleet and records the inputs of the current one.
func (u *fleetUpdater) needsNewFleet(snapshot *configurer.Snapshot, view *gossiper.View) bool {
	hosts := regionHosts(snapshot, view, u.dataCentre)
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
	same := u.snapshot == snapshot && u.hosts == hosts && maps.Equal(u.leaving, leaving) && maps.Equal(u.roles, roles)
	u.snapshot, u.view, u.hosts, u.leaving, u.roles = snapshot, view, hosts, leaving, roles
	return !same
}

// buildFleet converts the configuration and the membership to the core's representation of the fleet.
func buildFleet(snapshot *configurer.Snapshot, view *gossiper.View, own namer.DataCentre) decider.Fleet {
	document := snapshot.Document()
	fleet := decider.Fleet{DataCentre: own, Hosts: regionHosts(snapshot, view, own)}
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

// regionHosts returns the number of daemons that schedule work on the same endpoints. These are the daemons
// of the region, since requests rarely leave it.
func regionHosts(snapshot *configurer.Snapshot, view *gossiper.View, own namer.DataCentre) int {
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
