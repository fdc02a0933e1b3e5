package gossiper

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"apricotspool/configurer"
	"apricotspool/namer"
)

// View is an immutable snapshot of membership and load.
type View struct {
	Self    Peer
	Members []Member // of the local data centre, including this daemon; sorted by host
	Loads   map[namer.Endpoint]LoadAt
	Remote  []RemoteView // other data centres, sorted by name

	leaving   map[namer.Endpoint]bool
	changing  map[namer.Endpoint]bool // a planned change is in progress
	live      []Peer                  // eligible for assignments: neither suspected nor leaving
	pushPeers []Peer                  // targets of pushes: not suspected, without this daemon
}

// Member is a daemon of the local data centre.
type Member struct {
	Peer        Peer                `json:"peer"`
	Incarnation namer.Incarnation   `json:"incarnation"`
	Config      namer.ConfigVersion `json:"config"`
	Leaving     bool                `json:"leaving"`
	Suspected   bool                `json:"suspected"`
}

// LoadAt is the load of an endpoint with its measurement time on this daemon's clock.
type LoadAt struct {
	At             time.Time
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
	KVUsed         float64
	Role           namer.Role
	Leaving        bool
}

// RemoteView is the state of another data centre.
type RemoteView struct {
	Summary   Summary
	At        time.Time // when the summary was made
	Reachable bool      // the last exchange with one of its contacts succeeded
}

// View returns a snapshot of the table.
func (t *Table) View(now time.Time) *View {
	t.ensureInit(now)
	v := &View{Self: t.Self, Loads: map[namer.Endpoint]LoadAt{}, leaving: map[namer.Endpoint]bool{}, changing: map[namer.Endpoint]bool{}}
	for _, m := range t.members {
		v.Members = append(v.Members, Member{
			Peer: m.info.Peer, Incarnation: m.info.Incarnation, Config: m.info.Config,
			Leaving: t.hostLeaving(m), Suspected: t.suspected(now, m),
		})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return comparePeers(a.Peer, b.Peer) })
	v.live = t.live(now, true)
	v.pushPeers = slices.DeleteFunc(t.live(now, false), func(p Peer) bool { return p.Host == t.Self.Host })
	for name, r := range t.newestLoads() {
		l := r.load
		at := LoadAt{At: r.at, Running: l.Running, Waiting: l.Waiting, WaitingPrefill: l.WaitingPrefill, KVUsed: float64(l.KVUsed) / 255, Leaving: l.Leaving}
		if int(l.Role) < len(roles) {
			at.Role = roles[l.Role]
		}
		v.Loads[name] = at
	}
	for subject, n := range t.notices {
		if n.Leaving && subject.Kind == KindEndpoint {
			v.leaving[namer.Endpoint(subject.Name)] = true
			if subject.Source == SourceChange {
				v.changing[namer.Endpoint(subject.Name)] = true
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.remotes)) {
		r := t.remotes[name]
		v.Remote = append(v.Remote, RemoteView{Summary: r.summary, At: r.at, Reachable: !r.failed})
	}
	return v
}

// Live returns the members of the local data centre that are neither suspected nor leaving, including
// this daemon.
func (v *View) Live() []Peer { return v.live }

// Chosen reports whether this daemon is among the n highest-ranked live members for a key.
func (v *View) Chosen(key string, n int) bool {
	return slices.ContainsFunc(Choose(key, v.live, n), func(p Peer) bool { return p.Host == v.Self.Host })
}

// Leaving reports whether an endpoint must not get new work, according to any of the configuration,
// the notices and the endpoint's own state.
func (v *View) Leaving(s *configurer.Snapshot, name namer.Endpoint) bool {
	return v.leaving[name] || v.Loads[name].Leaving || s.Document().Endpoints[name].State == configurer.StateDraining
}

// Changing reports whether a planned change of an endpoint is in progress.
func (v *View) Changing(name namer.Endpoint) bool { return v.changing[name] }

// Hosts returns the number of live daemons in the local data centre and in those other data centres
// for which include is true.
func (v *View) Hosts(include func(namer.DataCentre) bool) int {
	hosts := max(1, len(v.live))
	for _, r := range v.Remote {
		if include(r.Summary.DataCentre) {
			hosts += r.Summary.Hosts
		}
	}
	return hosts
}

// PushTargets returns the targets of an epidemic push: local members of this data centre, and one contact
// in each of remote other data centres, or in all of them if remote is negative. One of the members is
// the successor of this daemon in host order and the others are random; with four random members
// alone, a push misses about 2% of the members.
func (v *View) PushTargets(random *rand.Rand, local, remote int) []Peer {
	next, _ := slices.BinarySearchFunc(v.pushPeers, v.Self, comparePeers)
	peers := make([]Peer, 0, local)
	if n := len(v.pushPeers); n > 0 && local > 0 {
		next %= n
		peers = append(peers, v.pushPeers[next])
		others := append(slices.Clone(v.pushPeers[:next]), v.pushPeers[next+1:]...)
		peers = append(peers, sample(random, others, local-1)...)
	}
	others := v.Remote
	if remote >= 0 {
		others = sample(random, v.Remote, remote)
	}
	for _, r := range others {
		peers = append(peers, sample(random, r.Summary.Contacts, 1)...)
	}
	return peers
}

// sample returns up to n random elements.
func sample[T any](random *rand.Rand, from []T, n int) []T {
	n = min(n, len(from))
	chosen := make([]T, 0, n)
	for _, i := range random.Perm(len(from))[:n] {
		chosen = append(chosen, from[i])
	}
	return chosen
}
