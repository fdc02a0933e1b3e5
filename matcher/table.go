package matcher

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"apricotspool/namer"
)

// Table is one version of the routes and services. It is immutable after New.
type Table struct {
	Version  namer.ConfigVersion
	Routes   []Route
	Services map[namer.Service]Service
	Limits   Limits
	// Workspaces own the keys that requests need, unless there are none. Set before the table is shared.
	Workspaces []Workspace

	byHost map[string][]*Route // longest prefix first
}

// New returns a table indexed by host.
func New(version namer.ConfigVersion, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{
		Version: version, Routes: routes, Limits: limits,
		Services: make(map[namer.Service]Service, len(services)), byHost: map[string][]*Route{},
	}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Match returns the route of a request: among the routes of its host, the one with the longest prefix
// of its path. A port in the host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}
