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

// States of a daemon in its status.
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateDraining = "draining"
)

// status shows a daemon to operators.
type status struct {
	daemon *Daemon
	parts  *parts
}

var _ administrator.Daemon = (*status)(nil)

// Ready reports whether the balancer should send requests here.
func (s *status) Ready() bool { return s.parts.server.Ready() }

// Drain starts a graceful shutdown.
func (s *status) Drain() { s.daemon.Drain() }

// WriteMetrics writes the metrics in the Prometheus text format.
func (s *status) WriteMetrics(w io.Writer) { s.parts.metrics.Write(w) }

// Release drops the binding of an endpoint that ignores fencing numbers.
func (s *status) Release(ctx context.Context, endpoint namer.Endpoint, stopped namer.Process) error {
	return s.parts.director.ReleaseBinding(ctx, endpoint, stopped)
}

// Status returns what the daemon knows.
func (s *status) Status() administrator.Status {
	p := s.parts
	view := p.gossiper.View()
	out := administrator.Status{
		Host: s.daemon.Settings.Host, DataCentre: s.daemon.Settings.DataCentre, Version: s.daemon.Version,
		State: s.state(), Requests: p.server.Held(), Authority: s.authority(), Peers: peerStatus(view), Endpoints: []administrator.EndpointStatus{},
	}
	if snapshot := p.distributor.Snapshot(); snapshot != nil {
		out.Configuration = snapshot.Version()
		out.Endpoints = endpointStatus(snapshot, view, time.Now())
	}
	return out
}

func (s *status) state() string {
	select {
	case <-s.daemon.drain:
		return stateDraining
	default:
	}
	if s.Ready() {
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

// authority reports whether this daemon commands the endpoints of its data centre now.
func (s *status) authority() bool {
	_, ok := s.parts.lease.Endpoints(s.daemon.Settings.DataCentre)
	return ok
}
