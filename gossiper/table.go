// Package gossiper keeps the membership, the endpoints' loads and the notices on leaving endpoints
// that daemons exchange. Table is the state machine, without I/O and with time passed in; Gossiper
// runs it and owns the daemon's membership state; the transport is a thin layer of connect calls.
//
// Every daemon owns one record: its description and the loads of the endpoints that it polls. A
// counter, the beat, numbers the changes of the record and grows at least once a second, so it is
// also the heartbeat. Daemons send each other digests of beats and get what is newer.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotspool/asserter"
	"apricotspool/configurer"
	"apricotspool/namer"
)

// Times of the protocol.
const (
	Period       = time.Second      // between two exchanges that a daemon opens
	SuspectAfter = 5 * time.Second  // without a new beat
	DropAfter    = 15 * time.Second // without a new beat
	// preferAfter is the silence after which a member is preferred as the partner of a round, and
	// askAfter that after which it is asked besides. Beats that arrive only over random partners
	// left gaps above SuspectAfter: 0.2% of live members were suspected at 32 members.
	preferAfter = 2500 * time.Millisecond
	askAfter    = 3500 * time.Millisecond
	// askAgain is the time until a member that was asked is preferred again, so that dead members
	// don't take every round.
	askAgain = 2 * time.Second
	// forgetAfter is how long the last beat of a dropped member is remembered, so that a peer that
	// drops it a little later doesn't bring it back.
	forgetAfter = 2 * time.Minute
	// pausedAfter is the gap between two beats from which the process itself was paused; its own
	// silence says nothing about others.
	pausedAfter = 3 * time.Second
	loadExpiry  = time.Minute
	// markCount is the number of periods over which a daemon pushes the changes of its own record.
	// It spans at least two polls, so that each load report is pushed several times.
	markCount = 10
)

// Peer is a daemon as others reach it.
type Peer struct {
	_          struct{} `cbor:",toarray"`
	Host       namer.Host
	DataCentre namer.DataCentre
	Address    netip.AddrPort // peer listener
}

// Table is the state of one daemon's membership. It is not safe for concurrent use. Set the exported
// fields before the first call.
type Table struct {
	Self        Peer
	Incarnation namer.Incarnation
	Seeds       []netip.AddrPort // peers to ask when none is known, also in other data centres
	Random      *rand.Rand

	started   bool
	members   map[uint64]*member // of the own data centre, this daemon included
	self      *member
	forgotten map[uint64]forgotten
	remote    map[namer.DataCentre]*remote
	notices   map[Subject]Notice
	hash      uint64 // over notices
	snapshot  *configurer.Snapshot
	places    places
	last      time.Time // last beat
	round     int
	marks     []uint64 // own beats at the last periods, the oldest first
}

type member struct {
	id       uint64
	info     Info
	beat     uint64
	infoBeat uint64 // beat of the last change of info
	loads    map[namer.Endpoint]report
	advanced time.Time // when the beat last grew, as seen here
	asked    time.Time // when this daemon last opened an exchange with it
}

type forgotten struct {
	beat uint64
	at   time.Time
}

func idOf(host namer.Host, incarnation namer.Incarnation) uint64 {
	h := xxhash.New()
	h.WriteString(string(host))
	var raw [9]byte // the first byte, 0, ends the name
	for i := range 8 {
		raw[i+1] = byte(incarnation >> (8 * i))
	}
	h.Write(raw[:])
	return h.Sum64()
}

// start sets the maps up at the first call.
func (t *Table) start(now time.Time) {
	if t.started {
		return
	}
	t.started = true
	t.Seeds = slices.Clone(t.Seeds) // seeds are added; the caller may share its slice
	t.last = now
	id := idOf(t.Self.Host, t.Incarnation)
	t.self = &member{
		id: id, beat: 1, infoBeat: 1, advanced: now, loads: map[namer.Endpoint]report{},
		info: Info{Peer: t.Self, Incarnation: t.Incarnation},
	}
	t.members = map[uint64]*member{id: t.self}
	t.forgotten = map[uint64]forgotten{}
	t.remote = map[namer.DataCentre]*remote{}
	t.notices = map[Subject]Notice{}
}

// Configure takes a version of the configuration, from which endpoints and data centres are known.
func (t *Table) Configure(now time.Time, snapshot *configurer.Snapshot) {
	t.start(now)
	if snapshot == nil || snapshot == t.snapshot {
		return
	}
	asserter.Check(t.snapshot == nil || snapshot.Version() > t.snapshot.Version(), "configuration versions grow",
		"gossiper %s got %d after %d", t.Self.Host, snapshot.Version(), t.config())
	t.snapshot = snapshot
	t.places = placesOf(snapshot, t.Self.DataCentre)
	t.change(func(i *Info) { i.Config = snapshot.Version() })
}

// Leave tells the others that this daemon shuts down.
func (t *Table) Leave(now time.Time) {
	t.start(now)
	t.change(func(i *Info) { i.Leaving = true })
}

// change alters the own record.
func (t *Table) change(alter func(*Info)) {
	alter(&t.self.info)
	t.self.beat++
	t.self.infoBeat = t.self.beat
}

func (t *Table) config() namer.ConfigVersion {
	if t.snapshot == nil {
		return 0
	}
	return t.snapshot.Version()
}

// Beat advances the heartbeat and drops what is too old. It is called once a Period. It returns the
// time that this process was paused, 0 if it wasn't.
func (t *Table) Beat(now time.Time) time.Duration {
	t.start(now)
	paused := now.Sub(t.last)
	t.last = now
	if paused < pausedAfter {
		paused = 0
	}
	t.self.beat++
	t.self.advanced = now
	if t.marks = append(t.marks, t.self.beat); len(t.marks) > markCount {
		t.marks = t.marks[1:]
	}
	for id, m := range t.members {
		if m == t.self {
			continue
		}
		m.advanced = m.advanced.Add(paused)
		if now.Sub(m.advanced) > DropAfter {
			t.drop(now, id)
		}
		m.expireLoads(now)
	}
	t.self.expireLoads(now)
	for id, f := range t.forgotten {
		if now.Sub(f.at) > forgetAfter {
			delete(t.forgotten, id)
		}
	}
	t.expireNotices(now)
	return paused
}

func (t *Table) drop(now time.Time, id uint64) {
	t.forgotten[id] = forgotten{t.members[id].beat, now}
	delete(t.members, id)
}

func (t *Table) suspected(now time.Time, m *member) bool {
	return m != t.self && now.Sub(m.advanced) > SuspectAfter
}

// live returns the peers of the own data centre that are neither suspected nor, if duty is set,
// leaving; this daemon is included.
func (t *Table) live(now time.Time, duty bool) []Peer {
	peers := make([]Peer, 0, len(t.members))
	for _, m := range t.members {
		if t.suspected(now, m) || (duty && t.hostLeaves(m)) {
			continue
		}
		peers = append(peers, m.info.Peer)
	}
	sortPeers(peers)
	return peers
}

// hostLeaves reports whether a member says itself, or the host list says, that it leaves.
func (t *Table) hostLeaves(m *member) bool {
	name := string(m.info.Peer.Host)
	return m.info.Leaving || t.notices[Subject{Kind: KindHost, Name: name, Source: SourceHostList}].Leaving
}
