package assembler

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"apricotspool/activator"
	"apricotspool/announcer"
	"apricotspool/archivist"

	"github.com/rs/zerolog"

	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/follower"
	"apricotspool/forwarder"
	"apricotspool/loader"
	"apricotspool/matcher"
	"apricotspool/namer"
	"apricotspool/placer"
	"apricotspool/registrar"
	"apricotspool/timekeeper"
)

// gatewayFleet publishes the active routing table and the endpoints' addresses, and passes the fleet to the
// decision core when either changes. All mutable fields but targets belong to Run's goroutine.
type gatewayFleet struct {
	settings   *loader.GatewaySettings
	config     *follower.Follower
	activator  *activator.Activator
	entries    *follower.Follower
	registrar  *registrar.Registrar
	announcer  *announcer.Announcer
	archivist  *archivist.Archivist
	dispatcher *dispatcher.Dispatcher
	core       *placer.Core // used on the dispatcher's goroutine only
	log        zerolog.Logger

	targets    atomic.Pointer[map[namer.Endpoint]forwarder.Target]
	built      atomic.Pointer[builtFrom]
	configured atomic.Bool // the core has received the fleet
	listed     atomic.Bool // and the lists of builds, before which no stream begins
	// configuredAt is when configured was set; used by Run only.
	configuredAt time.Time
	// ownEntryRead is set when the core has received this daemon's own entry, which may be from an earlier start.
	ownEntryRead atomic.Bool
}

// builtFrom says what a fleet was built from.
type builtFrom struct {
	fleet, entries, lists uint64 // generations
}

// confirmPeriod is how often the core is told how current the fleet is.
const confirmPeriod = 200 * time.Millisecond

// Target returns the address of an endpoint.
func (f *gatewayFleet) Target(name namer.Endpoint) (forwarder.Target, bool) {
	targets := f.targets.Load()
	if targets == nil {
		return forwarder.Target{}, false
	}
	target, known := (*targets)[name]
	return target, known
}

// Ready reports whether the routing table, the endpoints and the lists of builds are known. Without the lists the daemon serves
// what doesn't need them after a while.
func (f *gatewayFleet) Ready() bool { return f.configured.Load() && f.listed.Load() }

// checkListed sets listed if the lists of builds have been read, or not for too long.
func (f *gatewayFleet) checkListed() {
	if f.listed.Load() || !f.configured.Load() {
		return
	}
	if f.configuredAt.IsZero() {
		f.configuredAt = time.Now()
	}
	_, known := f.severalBuilds()
	limit := cmp.Or(f.settings.StalenessBounds.Endpoints.Std(), follower.DefaultStalenessBound)
	if (known && f.Confirmation().Known) || time.Since(f.configuredAt) > limit {
		f.listed.Store(true)
	}
}

// Run applies changes of the configuration, the endpoints and the membership until ctx ends.
func (f *gatewayFleet) Run(ctx context.Context) error {
	confirm := time.NewTicker(confirmPeriod)
	defer confirm.Stop()
	for {
		config, entries, members, builds := f.config.Changed(), f.registrar.Changed(), f.announcer.Changed(), f.archivist.Changed()
		if err := f.update(ctx); err != nil {
			return err
		}
		for unchanged := true; unchanged; {
			f.activator.Confirm()
			f.confirm()
			f.checkListed()
			select {
			case <-confirm.C:
				continue
			case <-ctx.Done():
				return ctx.Err()
			case <-config:
			case <-entries:
			case <-members:
			case <-builds:
			}
			unchanged = false
		}
	}
}

// nextBuild returns what the next fleet is built from, as of before it is read.
func (f *gatewayFleet) nextBuild() builtFrom {
	next := builtFrom{fleet: 1}
	if last := f.built.Load(); last != nil {
		next.fleet = last.fleet + 1
	}
	next.entries, _ = f.registrar.Generation()
	next.lists, _ = f.archivist.Generation()
	return next
}

// confirm tells the core how current the fleet is.
func (f *gatewayFleet) confirm() {
	f.dispatcher.Act(func(now time.Time) []decider.Action {
		f.core.Confirm(now, f.Confirmation())
		return nil
	})
}

// Confirmation says how current the fleet is that was last passed to the core.
func (f *gatewayFleet) Confirmation() decider.Confirmation {
	replica, instant := f.entries.Confirmation(), timekeeper.Now()
	entries, applied := f.registrar.Generation()
	lists, read := f.archivist.Generation()
	built := f.built.Load()
	if !replica.Known || applied != replica.Changes || built == nil || built.entries != entries || built.lists != lists {
		return decider.Confirmation{} // the core lacks a change
	}
	since, unsettled := replica.UnbrokenSince, false
	if !f.archivist.Attested(replica.Eras) {
		since = max(since, replica.SettledAt)
		unsettled = replica.Eras.First() && instant < replica.SettledAt
	}
	return decider.Confirmation{
		Unsettled: unsettled,
		Known:     true, Generation: built.fleet, Age: instant.Sub(replica.At), Unbroken: instant.Sub(since),
		Gaps: replica.Gaps, Gap: replica.Gap, ListAge: instant.Sub(read),
	}
}

func (f *gatewayFleet) update(ctx context.Context) error {
	f.activator.Apply()
	built := f.nextBuild()
	table, entries := f.activator.Table(), f.registrar.Entries()
	if table == nil || entries == nil {
		return nil
	}
	targets := make(map[namer.Endpoint]forwarder.Target, len(entries))
	for _, e := range entries {
		targets[e.Name] = forwarder.Target{Endpoint: e.Name, Address: e.Address, Incarnation: e.Incarnation}
	}
	f.targets.Store(&targets)
	fleet := f.buildFleet(table, entries)
	fleet.Generation = built.fleet
	f.built.Store(&built)
	if err := f.dispatcher.Configure(ctx, fleet); err != nil {
		return err
	}
	f.configured.Store(true)
	if slices.ContainsFunc(fleet.Members, func(m decider.MemberView) bool { return m.Host == f.settings.Host }) {
		f.ownEntryRead.Store(true)
	}
	return nil
}

// buildFleet converts the routing table, the endpoints and the membership to the core's representation of the fleet.
func (f *gatewayFleet) buildFleet(table *matcher.Table, entries []registrar.Entry) decider.Fleet {
	fleet := decider.Fleet{DataCentre: f.settings.DataCentre, Settling: f.settings.StalenessBounds.Endpoints.Std()}
	for _, m := range f.announcer.Members() {
		fleet.Members = append(fleet.Members, decider.MemberView{Host: m.Host, DataCentre: m.DataCentre, Blocked: m.BlockedParts})
	}
	fleet.Hosts = len(fleet.Members)
	for name, s := range table.Services {
		view := decider.ServiceView{Name: name, Plain: s.Engine == nil, StreamLifetime: table.StreamLifetime(name), Builds: f.archivist.Listed(name), Settled: f.archivist.Settled(name)}
		if s.Engine != nil {
			view.Backups, view.EventTokens, view.KVTransfer = s.Engine.Backups, s.Engine.EventTokens, s.Engine.KVTransfer
		}
		fleet.Services = append(fleet.Services, view)
	}
	for _, e := range entries {
		view := decider.EndpointView{
			Name: e.Name, Service: e.Service, Models: e.Models, DataCentre: e.DataCentre, Distance: f.distance(e.DataCentre),
			Role: e.Role, Concurrency: e.Slots, Leaving: e.Leaving, Incarnation: e.Incarnation, Build: e.Build, WarmupLeft: e.WarmupLeft,
		}
		if engine := table.Services[e.Service].Engine; engine != nil {
			view.KVTokens = engine.KVTokens
		}
		fleet.Endpoints = append(fleet.Endpoints, view)
	}
	return fleet
}

func (f *gatewayFleet) distance(to namer.DataCentre) time.Duration {
	own := f.settings.DataCentre
	switch {
	case to == own:
		return 0
	case f.settings.DataCentres[to] == f.settings.DataCentres[own]:
		return configurer.DefaultDistance
	}
	return configurer.DefaultRegionDistance
}
