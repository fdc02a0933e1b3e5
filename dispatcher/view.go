package dispatcher

import (
	"cmp"
	"maps"
	"slices"

	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/generator"
	"apricotspool/namer"
)

// View is the configuration and the fleet as one daemon sees them. It is never changed after it was
// published.
type View struct {
	Snapshot   *configurer.Snapshot
	DataCentre namer.DataCentre              // of this host
	Hosts      int                           // live hosts that decide over the same endpoints, this one included
	Leaving    map[namer.Endpoint]bool       // from the host list and the endpoints themselves
	Roles      map[namer.Endpoint]namer.Role // as the engines report them; the configured role otherwise
}

// Fleet returns the values that the core decides about.
func (v *View) Fleet() decider.Fleet {
	document := v.Snapshot.Document()
	fleet := decider.Fleet{DataCentre: v.DataCentre, Hosts: max(v.Hosts, 1)}
	for _, name := range slices.Sorted(maps.Keys(document.Services)) {
		fleet.Services = append(fleet.Services, serviceView(name, document.Services[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(document.Endpoints)) {
		fleet.Endpoints = append(fleet.Endpoints, v.endpointView(name, document.Endpoints[name]))
	}
	return fleet
}

func serviceView(name namer.Service, s configurer.Service) decider.ServiceView {
	view := decider.ServiceView{Name: name, Plain: s.Kind == configurer.KindPlain, Deadline: s.Deadline.Std()}
	names := slices.SortedFunc(maps.Keys(s.Ranks), func(a, b namer.Rank) int {
		return cmp.Compare(s.Ranks[a].Order, s.Ranks[b].Order)
	})
	for _, rank := range names {
		r := s.Ranks[rank]
		view.Ranks = append(view.Ranks, decider.RankView{
			Name: rank, FirstToken: r.FirstToken.Std(), BetweenTokens: r.BetweenTokens.Std(), Share: r.Share,
			QueueLimit: cmp.Or(r.QueueLimit, configurer.DefaultQueueLimit),
		})
	}
	return view
}

func (v *View) endpointView(name namer.Endpoint, e configurer.Endpoint) decider.EndpointView {
	return decider.EndpointView{
		Name: name, Service: e.Service, Models: e.Models, DataCentre: e.DataCentre,
		Distance:    v.Snapshot.Distance(v.DataCentre, e.DataCentre),
		Role:        cmp.Or(v.Roles[name], e.Role, namer.RoleMixed),
		Concurrency: cmp.Or(e.Concurrency, configurer.DefaultConcurrency),
		PrefillRate: e.PrefillRate, DecodeRate: e.DecodeRate,
		Leaving: e.State == configurer.StateDraining || v.Leaving[name],
	}
}

// Targets returns all endpoints of a service with their addresses, leaving ones included.
func (v *View) Targets(service namer.Service) []generator.Target {
	names := v.Snapshot.Endpoints(service)
	targets := make([]generator.Target, 0, len(names))
	for _, name := range names {
		targets = append(targets, generator.Target{Endpoint: name, Address: v.Snapshot.Document().Endpoints[name].Address})
	}
	return targets
}
