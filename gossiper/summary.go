package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"apricotspool/namer"
)

// contactCount is the number of peers that a summary names for other data centres to talk to.
const contactCount = 3

// staleAfter is the age from which a daemon also asks the peers of its own data centre for a newer
// summary. It is above the time in which a daemon goes through 13 data centres.
const staleAfter = 15 * time.Second

// remote is what a daemon knows of another data centre. It is kept when the data centre can't be
// reached, so that its contacts are tried again.
type remote struct {
	summary Summary
	at      time.Time // when the summary was made, on this daemon's clock
	failed  bool      // the last exchange with a contact failed
}

// summarise describes the own data centre.
func (t *Table) summarise(now time.Time) Summary {
	s := Summary{DataCentre: t.Self.DataCentre, Config: t.config()}
	live := t.live(now, true)
	s.Hosts = len(live)
	t.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	s.Contacts = live[:min(contactCount, len(live))]
	loads := t.loads()
	for _, p := range t.places.own {
		i := slices.IndexFunc(s.Services, func(sum ServiceSummary) bool { return sum.Service == p.service })
		if i < 0 {
			i = len(s.Services)
			s.Services = append(s.Services, ServiceSummary{Service: p.service})
		}
		sum := &s.Services[i]
		sum.Endpoints++
		if t.endpointLeaves(p.name) {
			sum.Leaving++
		}
		if r, ok := loads[p.name]; ok {
			sum.Reported++
			sum.Running += r.load.Running
			sum.Waiting += r.load.Waiting
			sum.WaitingPrefill += r.load.WaitingPrefill
		}
	}
	slices.SortFunc(s.Services, func(a, b ServiceSummary) int { return strings.Compare(string(a.Service), string(b.Service)) })
	return s
}

func (t *Table) mergeSummary(now time.Time, s Summary) {
	if s.DataCentre == t.Self.DataCentre {
		for _, p := range s.Contacts {
			t.seed(p.Address)
		}
		return
	}
	at := now.Add(-s.Age.std())
	known, ok := t.remote[s.DataCentre]
	if !ok {
		known = &remote{}
		t.remote[s.DataCentre] = known
	}
	if !ok || at.After(known.at) {
		known.summary, known.at = s, at
	}
}

// stale lists the data centres of the configuration of which a newer summary is wanted.
func (t *Table) stale(now time.Time) []Known {
	var wanted []Known
	for name, r := range t.remote {
		if age := now.Sub(r.at); age > staleAfter {
			wanted = append(wanted, Known{DataCentre: name, Age: ageOf(age)})
		}
	}
	if t.snapshot == nil {
		return wanted
	}
	for name := range t.snapshot.Document().DataCentres {
		if _, ok := t.remote[name]; !ok && name != t.Self.DataCentre {
			wanted = append(wanted, Known{DataCentre: name, Age: unknown})
		}
	}
	return wanted
}

func (t *Table) newerSummaries(now time.Time, in *Exchange) []Summary {
	var newer []Summary
	for _, k := range in.Stale {
		r, ok := t.remote[k.DataCentre]
		if !ok {
			continue
		}
		s := r.summary
		s.Age = ageOf(now.Sub(r.at))
		if s.Age < k.Age {
			newer = append(newer, s)
		}
	}
	return newer
}

// remoteTargets returns a contact of the next data centre in turn, and one of a data centre whose
// last contact failed, so that the return of a partitioned one is seen within a Period.
func (t *Table) remoteTargets() []Target {
	names := slices.Sorted(maps.Keys(t.remote))
	if len(names) == 0 {
		return nil
	}
	turn := (t.round + int(t.self.id%uint64(len(names)))) % len(names)
	targets := t.contact(names[turn])
	for i := range names {
		name := names[(turn+1+i)%len(names)]
		if t.remote[name].failed && name != names[turn] {
			return append(targets, t.contact(name)...)
		}
	}
	return targets
}

func (t *Table) contact(name namer.DataCentre) []Target {
	contacts := t.remote[name].summary.Contacts
	if len(contacts) == 0 {
		return nil
	}
	p := contacts[t.Random.IntN(len(contacts))]
	return []Target{{p.Address, name}}
}

func (t *Table) answered(to Target) {
	if r, ok := t.remote[to.DataCentre]; ok {
		r.failed = false
	}
}

// Failed takes into account that an exchange got no answer.
func (t *Table) Failed(to Target) {
	if r, ok := t.remote[to.DataCentre]; ok {
		r.failed = true
	}
}

func (t *Table) isContact(address netip.AddrPort) bool {
	for _, r := range t.remote {
		if slices.ContainsFunc(r.summary.Contacts, func(p Peer) bool { return p.Address == address }) {
			return true
		}
	}
	return false
}
