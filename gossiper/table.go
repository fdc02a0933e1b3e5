// Package gossiper disseminates membership, endpoint loads and notices on leaving endpoints between
// daemons by push-pull gossip. Table is the state machine, which does no I/O and takes the time as an
// argument. Gossiper runs a Table and owns the daemon's membership state. The transport is a thin
// layer of Connect calls.
//
// Every daemon owns one record: its description and the loads of the endpoints that it polls. Each
// change increments the version of the record. The version grows at least once per second and so also
// serves as heartbeat. Daemons exchange digests of versions and send each other newer records.
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

// Protocol timing.
const (
	Period       = time.Second      // between two rounds of exchanges
	SuspectAfter = 5 * time.Second  // without a new version
	DropAfter    = 15 * time.Second // without a new version
	// preferAfter is the time without a new version after which a member is preferred as the partner
	// of a round, and probeAfter the time after which it is contacted in addition to the partner.
	// With random partners alone, gaps exceeded SuspectAfter: at 32 members 0.2% of live members
	// were suspected.
	preferAfter = 2500 * time.Millisecond
	probeAfter  = 3500 * time.Millisecond
	// probeInterval is the minimum time between two probes of an unresponsive member, so that dead
	// members don't take up every round.
	probeInterval = 2 * time.Second
	// tombstoneTTL is how long the last version of a dropped member is kept, so that a peer that
	// drops it later doesn't reintroduce it.
	tombstoneTTL = 2 * time.Minute
	// pauseThreshold is the gap between two ticks above which this process is taken to have been
	// paused. Such a gap is not counted against other members.
	pauseThreshold = 3 * time.Second
	loadExpiry     = time.Minute
	// recentVersionCount is the number of periods for which a daemon pushes the changes of its own
	// record. It spans at least two polls, so that each load is pushed several times.
	recentVersionCount = 10
)

// Peer identifies a daemon and its peer address.
type Peer struct {
	_          struct{} `cbor:",toarray"`
	Host       namer.Host
	DataCentre namer.DataCentre
	Address    netip.AddrPort // peer listener
}

// Table is the membership state of one daemon. It is not safe for concurrent use. Set the exported
// fields before the first call.
type Table struct {
	Self        Peer
	Incarnation namer.Incarnation
	Seeds       []netip.AddrPort // peers to contact while no other is known; may be in other data centres
	Random      *rand.Rand

	initialized    bool
	members        map[uint64]*member // of the local data centre, including this daemon; by id
	self           *member
	tombstones     map[uint64]tombstone
	remotes        map[namer.DataCentre]*remoteDataCentre
	notices        map[Subject]Notice
	noticesHash    uint64 // XOR of the hashes of notices
	snapshot       *configurer.Snapshot
	endpoints      endpointIndex
	lastTick       time.Time // time of the last Tick
	round          int
	recentVersions []uint64 // own versions at the last recentVersionCount ticks, oldest first
}

type member struct {
	id          uint64
	info        Info
	version     uint64
	infoVersion uint64 // version of the last change of info
	loads       map[namer.Endpoint]timedLoad
	lastAdvance time.Time // when this daemon last saw the version grow
	lastProbe   time.Time // when this daemon last opened an exchange with the member
}

type tombstone struct {
	version uint64
	at      time.Time
}

func idOf(host namer.Host, incarnation namer.Incarnation) uint64 {
	h := xxhash.New()
	h.WriteString(string(host))
	var raw [9]byte // the first byte, 0, terminates the name
	for i := range 8 {
		raw[i+1] = byte(incarnation >> (8 * i))
	}
	h.Write(raw[:])
	return h.Sum64()
}

// ensureInit initialises the table on the first call.
func (t *Table) ensureInit(now time.Time) {
	if t.initialized {
		return
	}
	t.initialized = true
	t.Seeds = slices.Clone(t.Seeds) // addSeed appends, and the caller may share its slice
	t.lastTick = now
	id := idOf(t.Self.Host, t.Incarnation)
	t.self = &member{
		id: id, version: 1, infoVersion: 1, lastAdvance: now, loads: map[namer.Endpoint]timedLoad{},
		info: Info{Peer: t.Self, Incarnation: t.Incarnation},
	}
	t.members = map[uint64]*member{id: t.self}
	t.tombstones = map[uint64]tombstone{}
	t.remotes = map[namer.DataCentre]*remoteDataCentre{}
	t.notices = map[Subject]Notice{}
}

// Configure sets the active configuration, which lists the endpoints and data centres.
func (t *Table) Configure(now time.Time, snapshot *configurer.Snapshot) {
	t.ensureInit(now)
	if snapshot == nil || snapshot == t.snapshot {
		return
	}
	asserter.Check(t.snapshot == nil || snapshot.Version() > t.snapshot.Version(), "configuration versions grow",
		"gossiper %s got %d after %d", t.Self.Host, snapshot.Version(), t.configVersion())
	t.snapshot = snapshot
	t.endpoints = newEndpointIndex(snapshot, t.Self.DataCentre)
	t.change(func(i *Info) { i.Config = snapshot.Version() })
}

// Leave marks this daemon as shutting down in its record.
func (t *Table) Leave(now time.Time) {
	t.ensureInit(now)
	t.change(func(i *Info) { i.Leaving = true })
}

// change applies alter to this daemon's info and increments the version.
func (t *Table) change(alter func(*Info)) {
	alter(&t.self.info)
	t.self.version++
	t.self.infoVersion = t.self.version
}

func (t *Table) configVersion() namer.ConfigVersion {
	if t.snapshot == nil {
		return 0
	}
	return t.snapshot.Version()
}

// Tick advances the heartbeat and removes expired members, loads and notices. It is called once per
// Period. It returns how long this process was paused, or 0.
func (t *Table) Tick(now time.Time) time.Duration {
	t.ensureInit(now)
	paused := now.Sub(t.lastTick)
	t.lastTick = now
	if paused < pauseThreshold {
		paused = 0
	}
	t.self.version++
	t.self.lastAdvance = now
	if t.recentVersions = append(t.recentVersions, t.self.version); len(t.recentVersions) > recentVersionCount {
		t.recentVersions = t.recentVersions[1:]
	}
	for id, m := range t.members {
		if m == t.self {
			continue
		}
		m.lastAdvance = m.lastAdvance.Add(paused)
		if now.Sub(m.lastAdvance) > DropAfter {
			t.drop(now, id)
		}
		m.expireLoads(now)
	}
	t.self.expireLoads(now)
	for id, f := range t.tombstones {
		if now.Sub(f.at) > tombstoneTTL {
			delete(t.tombstones, id)
		}
	}
	t.expireNotices(now)
	return paused
}

func (t *Table) drop(now time.Time, id uint64) {
	t.tombstones[id] = tombstone{t.members[id].version, now}
	delete(t.members, id)
}

func (t *Table) suspected(now time.Time, m *member) bool {
	return m != t.self && now.Sub(m.lastAdvance) > SuspectAfter
}

// live returns the peers of the local data centre, including this daemon, that are not suspected. With
// excludeLeaving set it also omits leaving ones.
func (t *Table) live(now time.Time, excludeLeaving bool) []Peer {
	peers := make([]Peer, 0, len(t.members))
	for _, m := range t.members {
		if t.suspected(now, m) || (excludeLeaving && t.hostLeaving(m)) {
			continue
		}
		peers = append(peers, m.info.Peer)
	}
	sortPeers(peers)
	return peers
}

// hostLeaving reports whether a member is leaving according to its own record or the host list.
func (t *Table) hostLeaving(m *member) bool {
	name := string(m.info.Peer.Host)
	return m.info.Leaving || t.notices[Subject{Kind: KindHost, Name: name, Source: SourceHostList}].Leaving
}
