package assembler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotspool/announcer"
	"apricotspool/assigner"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/placer"
)

// fleetCandidates is the number of daemons that compete for a lease of the whole fleet.
const fleetCandidates = 3

// competes reports whether this daemon is one of those whose host names have the highest hashes.
func competes(self namer.Host, members []announcer.Member) bool {
	own, higher := xxhash.Sum64String(string(self)), 0
	for _, m := range members {
		if m.Host != self && xxhash.Sum64String(string(m.Host)) > own {
			higher++
		}
	}
	return len(members) > 0 && higher < fleetCandidates
}

// candidates returns the daemons that compete, by the list of one of them.
func candidates(members []announcer.Member) []announcer.Member {
	hash := func(m announcer.Member) uint64 { return xxhash.Sum64String(string(m.Host)) }
	sorted := slices.SortedFunc(slices.Values(members), func(a, b announcer.Member) int { return cmp.Compare(hash(b), hash(a)) })
	return sorted[:min(len(sorted), fleetCandidates)]
}

// gatewayEngines gives the assigner the view of the decision core.
type gatewayEngines struct {
	core       *placer.Core
	dispatcher *dispatcher.Dispatcher
}

var _ assigner.Fleet = (*gatewayEngines)(nil)

// Engines implements assigner.Fleet.
func (g *gatewayEngines) Engines(ctx context.Context) (map[namer.Service][]assigner.Engine, error) {
	var services map[namer.Service][]assigner.Engine
	err := g.dispatcher.Query(ctx, func(now time.Time) { services = g.core.Engines(now) })
	return services, err
}

// Announce implements assigner.Fleet.
func (g *gatewayEngines) Announce(endpoint namer.Endpoint, length time.Duration) {
	g.dispatcher.Act(func(now time.Time) []decider.Action { return slices.Clone(g.core.Pause(now, endpoint, length)) })
}

// connectRoles builds the components that change the roles of engines.
func (g *Gateway) connectRoles(core *placer.Core) {
	g.roleLease = &leaser.Leaser{
		Store: g.announcer.Store, Name: leaser.Roles, Log: g.Log.Events,
		Process:  namer.Process{Host: g.Settings.Host, Address: g.Settings.Peers, Incarnation: namer.Incarnation(time.Now().UnixNano())},
		Eligible: func() bool { return !g.draining.Load() && competes(g.Settings.Host, g.announcer.Members()) },
	}
	g.assigner = &assigner.Assigner{
		Host: g.Settings.Host, Authority: g.roleLease, Fleet: &gatewayEngines{core, g.dispatcher},
		Commander:   g.Platform.NewCommander(g.endpoints, g.fleet.Target),
		HandoverGap: g.Settings.CommandGap.Std(), Ordered: g.ordersEngines, Log: g.Log.Events,
	}
}
