package assembler

import (
	"context"
	"time"

	"apricotspool/archivist"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/placer"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// connectArchivist builds the component that lists the builds of services whose streams callers can take up.
func (g *Gateway) connectArchivist(core *placer.Core) {
	g.archivist = &archivist.Archivist{
		Store: g.announcer.Store, Services: g.fleet.resumableServices, ServicesChanged: g.registrar.Changed,
		Settling: g.Settings.StalenessBounds.Endpoints.Std(), Confirmation: g.entries.Confirmation, Clock: timekeeper.Now, Log: g.Log.Events,
		Writes: func() bool { return competes(g.Settings.Host, g.announcer.Members()) },
	}
	g.fleet.archivist = g.archivist
	core.Learning = true
	g.streams = &archivist.Streams{
		Store: g.announcer.Store, Host: g.Settings.Host, Log: g.Log.Events,
		InProgress: func(ctx context.Context) (begun archivist.Begun, err error) {
			err = g.dispatcher.Query(ctx, func(now time.Time) { begun = core.StreamsInProgress(now) })
			return begun, err
		},
		Learn: func(begun archivist.Begun) {
			g.dispatcher.Act(func(now time.Time) []decider.Action { return core.LearnStreams(now, begun) })
		},
		Several: g.fleet.severalBuilds,
		Period: func() time.Duration {
			return max(keptStreamsPeriod, time.Duration(len(g.announcer.Members()))*keptStreamsSpacing)
		},
	}
}

const (
	// keptStreamsPeriod is the shortest period at which streams in progress are written.
	keptStreamsPeriod = time.Second
	// keptStreamsSpacing is the time between two writes of all daemons together.
	keptStreamsSpacing = 10 * time.Millisecond
)

// severalBuilds reports whether the object API lists several builds for any service whose streams callers can take up. The
// decision core knows the services by then.
func (f *gatewayFleet) severalBuilds() (several, known bool) {
	services, _ := f.resumableServices()
	for name := range services {
		listed := f.archivist.Listed(name)
		if listed == nil {
			return false, false
		}
		several = several || len(listed) > 1
	}
	return several, f.configured.Load()
}

// resumableServices returns the services whose streams callers can take up, with the builds of their endpoints, and the era
// of the object API that these were read in.
func (f *gatewayFleet) resumableServices() (map[namer.Service]archivist.Service, storer.Era) {
	table, listing := f.activator.Table(), f.entries.Listing()
	if table == nil || listing == nil {
		return nil, 0
	}
	services := map[namer.Service]archivist.Service{}
	for _, e := range f.registrar.Entries() {
		lifetime := table.StreamLifetime(e.Service)
		if lifetime == 0 {
			continue
		}
		s, known := services[e.Service]
		if !known {
			s = archivist.Service{Builds: map[namer.Build]bool{}, Lifetime: lifetime}
			services[e.Service] = s
		}
		s.Builds[e.Build] = true
	}
	return services, listing.Version.Era()
}
