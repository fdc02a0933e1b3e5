package gossiper

import (
	"net/netip"
	"time"

	"apricotspool/configurer"
	"apricotspool/namer"
)

// report is a load with the time of its figures on this daemon's clock.
type report struct {
	load Load
	at   time.Time
	beat uint64 // of the owner's record when the load was added
}

func (m *member) expireLoads(now time.Time) {
	for name, r := range m.loads {
		if now.Sub(r.at) > loadExpiry {
			delete(m.loads, name)
		}
	}
}

// place is an endpoint of the own data centre.
type place struct {
	name    namer.Endpoint
	service namer.Service
	address netip.AddrPort
	engine  bool
}

// places holds what the table needs of the configuration.
type places struct {
	own []place
	all map[namer.Endpoint]netip.AddrPort
}

func placesOf(s *configurer.Snapshot, own namer.DataCentre) places {
	d := s.Document()
	p := places{all: make(map[namer.Endpoint]netip.AddrPort, len(d.Endpoints))}
	for service := range d.Services {
		for _, name := range s.Endpoints(service) {
			e := d.Endpoints[name]
			p.all[name] = e.Address
			if e.DataCentre == own {
				p.own = append(p.own, place{name, service, e.Address, d.Services[service].Kind == configurer.KindModel})
			}
		}
	}
	return p
}

// Duty is an endpoint whose load this daemon polls.
type Duty struct {
	Endpoint namer.Endpoint
	Address  netip.AddrPort
	Engine   bool // a model engine rather than a plain service
}

// Duties returns the endpoints that this daemon polls: those of its data centre for which it ranks
// first among the live members. Its reports of endpoints that it no longer polls stay in its record
// until they expire; readers take the newest report of all members.
func (t *Table) Duties(now time.Time) []Duty {
	t.start(now)
	live := t.live(now, true)
	var duties []Duty
	for _, p := range t.places.own {
		if peer, ok := first(string(p.name), live); ok && peer.Host == t.Self.Host {
			duties = append(duties, Duty{p.name, p.address, p.engine})
		}
	}
	return duties
}

// clockTolerance is how much later than a notice a load report must be to withdraw it. It covers the
// difference between the clocks of two hosts.
const clockTolerance = time.Second

// Report adds a load report that this daemon has polled. It returns the notice that follows from a
// change of the endpoint's own state, if any.
func (t *Table) Report(now time.Time, l Load) []Notice {
	t.start(now)
	t.self.beat++
	t.self.loads[l.Endpoint] = report{load: l, at: now.Add(-l.Age.std()), beat: t.self.beat}
	subject := Subject{Kind: KindEndpoint, Name: string(l.Endpoint), Source: SourceState}
	if known := t.notices[subject]; known.Leaving && !now.Add(-l.Age.std()).After(time.UnixMicro(int64(known.Stamp)).Add(clockTolerance)) {
		return nil // the report lags behind the notice
	}
	return t.Found(now, subject, l.Leaving)
}

// loads returns the newest report of each endpoint over all members that have polled it.
func (t *Table) loads() map[namer.Endpoint]report {
	newest := make(map[namer.Endpoint]report, len(t.places.own))
	for _, m := range t.members {
		for name, r := range m.loads {
			if known, ok := newest[name]; !ok || r.at.After(known.at) {
				newest[name] = r
			}
		}
	}
	return newest
}
