package assembler

import (
	"context"
	"io"
	"maps"
	"slices"
	"time"

	"apricotspool/administrator"
	"apricotspool/configurer"
	"apricotspool/gossiper"
	"apricotspool/namer"
)

// Values of administrator.Status.State.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateDraining = "draining"
)

// adminAdapter implements administrator.Daemon for a Daemon.
type adminAdapter struct {
	daemon     *Daemon
	components *components
}

var _ administrator.Daemon = (*adminAdapter)(nil)

// Ready reports whether the load balancer should send requests to this daemon.
func (a *adminAdapter) Ready() bool { return a.components.server.Ready() }

// Drain starts a graceful shutdown.
func (a *adminAdapter) Drain() { a.daemon.Drain() }

// WriteMetrics writes the metrics in the Prometheus text format.
func (a *adminAdapter) WriteMetrics(w io.Writer) { a.components.metrics.Write(w) }

// Release removes the binding of an endpoint that does not check fencing tokens to a stopped process.
func (a *adminAdapter) Release(ctx context.Context, endpoint namer.Endpoint, stopped namer.Process) error {
	return a.components.director.ReleaseBinding(ctx, endpoint, stopped)
}

// Status returns the state of the daemon, its peers and the endpoints.
func (a *adminAdapter) Status() administrator.Status {
	c := a.components
	view := c.gossiper.View()
	out := administrator.Status{
		Host: a.daemon.Settings.Host, DataCentre: a.daemon.Settings.DataCentre, Version: a.daemon.Version,
		State: a.state(), Requests: c.server.InFlight(), Authority: a.hasAuthority(), Peers: peerStatus(view), Endpoints: []administrator.EndpointStatus{},
	}
	if snapshot := c.distributor.Snapshot(); snapshot != nil {
		out.Configuration = snapshot.Version()
		out.Endpoints = endpointStatus(snapshot, view, time.Now())
	}
	return out
}

func (a *adminAdapter) state() string {
	select {
	case <-a.daemon.drain:
		return stateDraining
	default:
	}
	if a.Ready() {
		return stateReady
	}
	return stateStarting
}

func peerStatus(view *gossiper.View) []administrator.PeerStatus {
	peers := []administrator.PeerStatus{}
	for _, m := range view.Members {
		state := "alive"
		switch {
		case m.Leaving:
			state = "leaving"
		case m.Suspected:
			state = "suspected"
		}
		peers = append(peers, administrator.PeerStatus{Host: m.Peer.Host, DataCentre: m.Peer.DataCentre, State: state, Configuration: m.Config})
	}
	return peers
}

func endpointStatus(snapshot *configurer.Snapshot, view *gossiper.View, now time.Time) []administrator.EndpointStatus {
	document := snapshot.Document()
	endpoints := []administrator.EndpointStatus{}
	for _, name := range slices.Sorted(maps.Keys(document.Endpoints)) {
		e := document.Endpoints[name]
		entry := administrator.EndpointStatus{Name: name, Service: e.Service, DataCentre: e.DataCentre, State: "active", Role: e.Role}
		if view.Leaving(snapshot, name) {
			entry.State = "leaving"
		}
		if load, ok := view.Loads[name]; ok {
			entry.Running, entry.Waiting = load.Running, load.Waiting
			entry.ReportAge = namer.Duration(now.Sub(load.At))
			if load.Role != "" {
				entry.Role = load.Role
			}
		}
		endpoints = append(endpoints, entry)
	}
	return endpoints
}

// hasAuthority reports whether this daemon currently holds the lease for the endpoints of its data centre.
func (a *adminAdapter) hasAuthority() bool {
	_, ok := a.components.lease.Endpoints(a.daemon.Settings.DataCentre)
	return ok
}
