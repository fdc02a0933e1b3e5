package assembler

import (
	"apricotspool/archivist"
	"apricotspool/namer"
	"apricotspool/storer"
)

// connectArchivist builds the component that lists the builds of services whose streams callers can take up.
func (g *Gateway) connectArchivist() {
	g.archivist = &archivist.Archivist{
		Store: g.announcer.Store, Services: g.fleet.resumableServices, ServicesChanged: g.registrar.Changed,
		Settling: g.Settings.StalenessBounds.Endpoints.Std(), Log: g.Log.Events,
		Writes: func() bool { return competesForRoles(g.Settings.Host, g.announcer.Members()) },
	}
	g.fleet.archivist = g.archivist
}

// resumableServices returns the services whose streams callers can take up, with the builds of their endpoints, and the era
// of the object API that these were read in.
func (f *gatewayFleet) resumableServices() (map[namer.Service]archivist.Service, storer.Era) {
	table, listing := f.table.Load(), f.entries.Listing()
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
