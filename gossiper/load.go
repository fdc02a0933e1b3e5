package gossiper

import (
	"net/netip"
	"time"

	"apricotspool/configurer"
	"apricotspool/namer"
)

// timedLoad is a load with its measurement time on this daemon's clock.
type timedLoad struct {
	load    Load
	at      time.Time
	version uint64 // of the polling member's record when the load was added
}

func (m *member) expireLoads(now time.Time) {
	for name, r := range m.loads {
		if now.Sub(r.at) > loadExpiry {
			delete(m.loads, name)
		}
	}
}

// endpointInfo describes an endpoint of the local data centre.
type endpointInfo struct {
	name    namer.Endpoint
	service namer.Service
	address netip.AddrPort
	engine  bool
}

// endpointIndex holds the endpoints of a configuration.
type endpointIndex struct {
	local     []endpointInfo
	addresses map[namer.Endpoint]netip.AddrPort
}

func newEndpointIndex(s *configurer.Snapshot, local namer.DataCentre) endpointIndex {
	d := s.Document()
	index := endpointIndex{addresses: make(map[namer.Endpoint]netip.AddrPort, len(d.Endpoints))}
	for service := range d.Services {
		for _, name := range s.Endpoints(service) {
			e := d.Endpoints[name]
			index.addresses[name] = e.Address
			if e.DataCentre == local {
				index.local = append(index.local, endpointInfo{name, service, e.Address, d.Services[service].Kind == configurer.KindModel})
			}
		}
	}
	return index
}

// PollTarget is an endpoint whose load this daemon polls.
type PollTarget struct {
	Endpoint namer.Endpoint
	Address  netip.AddrPort
	Engine   bool // a model engine rather than a plain service
}

// PollTargets returns the endpoints that this daemon polls: those of its data centre that rendezvous
// hashing over the live members assigns to it. Loads of endpoints that it no longer polls stay in its
// record until they expire; readers take the newest load over all members.
func (t *Table) PollTargets(now time.Time) []PollTarget {
	t.ensureInit(now)
	live := t.live(now, true)
	var targets []PollTarget
	for _, p := range t.endpoints.local {
		if peer, ok := chooseFirst(string(p.name), live); ok && peer.Host == t.Self.Host {
			targets = append(targets, PollTarget{p.name, p.address, p.engine})
		}
	}
	return targets
}

// clockTolerance is how much later than a notice a load report must be to withdraw it. It covers
// clock skew between two hosts.
const clockTolerance = time.Second

// AddLoad adds the load of an endpoint that this daemon has polled. If the endpoint's leaving state
// has changed, it returns the notice to announce.
func (t *Table) AddLoad(now time.Time, l Load) []Notice {
	t.ensureInit(now)
	t.self.version++
	t.self.loads[l.Endpoint] = timedLoad{load: l, at: now.Add(-l.Age.duration()), version: t.self.version}
	subject := Subject{Kind: KindEndpoint, Name: string(l.Endpoint), Source: SourceState}
	if known := t.notices[subject]; known.Leaving && !now.Add(-l.Age.duration()).After(time.UnixMicro(int64(known.Stamp)).Add(clockTolerance)) {
		return nil // the load may have been measured before the notice
	}
	return t.Observe(now, subject, l.Leaving)
}

// newestLoads returns the newest load of each endpoint over all members that have polled it.
func (t *Table) newestLoads() map[namer.Endpoint]timedLoad {
	newest := make(map[namer.Endpoint]timedLoad, len(t.endpoints.local))
	for _, m := range t.members {
		for name, r := range m.loads {
			if known, ok := newest[name]; !ok || r.at.After(known.at) {
				newest[name] = r
			}
		}
	}
	return newest
}
