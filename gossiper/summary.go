package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"apricotspool/namer"
)

// contactsPerSummary is the number of peers in a summary that other data centres can contact.
const contactsPerSummary = 3

// summaryStaleAfter is the age after which a daemon also requests a summary from peers of its own data
// centre. It exceeds the time a daemon needs to contact 13 data centres in turn.
const summaryStaleAfter = 15 * time.Second

// remoteDataCentre is the state of another data centre. It is kept while the data centre is
// unreachable, so that its contacts are retried.
type remoteDataCentre struct {
	summary Summary
	at      time.Time // when the summary was made, on this daemon's clock
	failed  bool      // the last exchange with a contact failed
}

// summarise returns the summary of the local data centre.
func (t *Table) summarise(now time.Time) Summary {
	s := Summary{DataCentre: t.Self.DataCentre, Config: t.configVersion()}
	live := t.live(now, true)
	s.Hosts = len(live)
	t.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	s.Contacts = live[:min(contactsPerSummary, len(live))]
	loads := t.newestLoads()
	for _, p := range t.endpoints.local {
		i := slices.IndexFunc(s.Services, func(sum ServiceSummary) bool { return sum.Service == p.service })
		if i < 0 {
			i = len(s.Services)
			s.Services = append(s.Services, ServiceSummary{Service: p.service})
		}
		sum := &s.Services[i]
		sum.Endpoints++
		if t.endpointLeaving(p.name) {
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
			t.addSeed(p.Address)
		}
		return
	}
	at := now.Add(-s.Age.duration())
	known, ok := t.remotes[s.DataCentre]
	if !ok {
		known = &remoteDataCentre{}
		t.remotes[s.DataCentre] = known
	}
	if !ok || at.After(known.at) {
		known.summary, known.at = s, at
	}
}

// staleSummaries lists the data centres whose summary is outdated or missing.
func (t *Table) staleSummaries(now time.Time) []SummaryAge {
	var wanted []SummaryAge
	for name, r := range t.remotes {
		if age := now.Sub(r.at); age > summaryStaleAfter {
			wanted = append(wanted, SummaryAge{DataCentre: name, Age: ageOf(age)})
		}
	}
	if t.snapshot == nil {
		return wanted
	}
	for name := range t.snapshot.Document().DataCentres {
		if _, ok := t.remotes[name]; !ok && name != t.Self.DataCentre {
			wanted = append(wanted, SummaryAge{DataCentre: name, Age: ageUnknown})
		}
	}
	return wanted
}

func (t *Table) newerSummaries(now time.Time, in *Exchange) []Summary {
	var newer []Summary
	for _, k := range in.StaleSummaries {
		r, ok := t.remotes[k.DataCentre]
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

// remoteTargets returns a contact of the next data centre in round-robin order, and one of a data
// centre whose last exchange failed, so that the end of a partition is noticed within a Period.
func (t *Table) remoteTargets() []Target {
	names := slices.Sorted(maps.Keys(t.remotes))
	if len(names) == 0 {
		return nil
	}
	next := (t.round + int(t.self.id%uint64(len(names)))) % len(names)
	targets := t.randomContact(names[next])
	for i := range names {
		name := names[(next+1+i)%len(names)]
		if t.remotes[name].failed && name != names[next] {
			return append(targets, t.randomContact(name)...)
		}
	}
	return targets
}

func (t *Table) randomContact(name namer.DataCentre) []Target {
	contacts := t.remotes[name].summary.Contacts
	if len(contacts) == 0 {
		return nil
	}
	p := contacts[t.Random.IntN(len(contacts))]
	return []Target{{p.Address, name}}
}

func (t *Table) exchangeSucceeded(to Target) {
	if r, ok := t.remotes[to.DataCentre]; ok {
		r.failed = false
	}
}

// ExchangeFailed records that an exchange got no reply.
func (t *Table) ExchangeFailed(to Target) {
	if r, ok := t.remotes[to.DataCentre]; ok {
		r.failed = true
	}
}

func (t *Table) isContact(address netip.AddrPort) bool {
	for _, r := range t.remotes {
		if slices.ContainsFunc(r.summary.Contacts, func(p Peer) bool { return p.Address == address }) {
			return true
		}
	}
	return false
}
