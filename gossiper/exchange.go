package gossiper

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"apricotspool/namer"
)

// roundsPerSeed is the number of rounds between exchanges with a seed that is not a known peer. These
// exchanges reconnect partitions of a data centre whose members have dropped each other.
const roundsPerSeed = 4

// Target is the peer to open an exchange with.
type Target struct {
	Address    netip.AddrPort
	DataCentre namer.DataCentre // empty for a seed
}

func comparePeers(a, b Peer) int { return strings.Compare(string(a.Host), string(b.Host)) }

func sortPeers(peers []Peer) { slices.SortFunc(peers, comparePeers) }

// StartRound returns the peers to exchange with in this period: a member of the local data centre or
// the unresponsive ones that need a probe, a contact of the next remote data centre in round-robin
// order, a contact of a data centre whose last exchange failed, and every roundsPerSeed rounds a seed.
func (t *Table) StartRound(now time.Time) []Target {
	t.ensureInit(now)
	t.round++
	var targets []Target
	others := slices.DeleteFunc(t.live(now, false), func(p Peer) bool { return p.Host == t.Self.Host })
	for _, m := range t.partners(now, others) {
		m.lastProbe = now
		targets = append(targets, Target{m.info.Peer.Address, m.info.Peer.DataCentre})
	}
	targets = append(targets, t.remoteTargets()...)
	seeds := 0
	switch {
	case len(others) == 0:
		seeds = maxProbes
	case t.round%roundsPerSeed == 0:
		seeds = 1
	}
	for _, seed := range sample(t.Random, t.unknownSeeds(others), seeds) {
		targets = append(targets, Target{Address: seed})
	}
	return targets
}

// maxProbes bounds the unresponsive members probed in one round, and the seeds contacted while no
// other member is known.
const maxProbes = 6

// partners returns the members of the local data centre to exchange with in this round: the longest
// unresponsive one, if any, with all that are close to being suspected, and otherwise a random one.
func (t *Table) partners(now time.Time, others []Peer) []*member {
	var unresponsive []*member
	for _, m := range t.members {
		if m != t.self && now.Sub(m.lastAdvance) > preferAfter && now.Sub(m.lastProbe) > probeInterval-Period/2 {
			unresponsive = append(unresponsive, m)
		}
	}
	slices.SortFunc(unresponsive, func(a, b *member) int {
		return cmp.Or(a.lastAdvance.Compare(b.lastAdvance), cmp.Compare(a.id, b.id))
	})
	for i, m := range unresponsive {
		if i > 0 && (i >= maxProbes || now.Sub(m.lastAdvance) < probeAfter) {
			return unresponsive[:i]
		}
	}
	if len(unresponsive) > 0 {
		return unresponsive
	}
	for _, p := range sample(t.Random, others, 1) {
		for _, m := range t.members {
			if m.info.Peer == p {
				return []*member{m}
			}
		}
	}
	return nil
}

func (t *Table) unknownSeeds(others []Peer) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(t.Seeds), func(seed netip.AddrPort) bool {
		return seed == t.Self.Address || t.isContact(seed) ||
			slices.ContainsFunc(others, func(p Peer) bool { return p.Address == seed })
	})
}

// OpenExchange returns the first message of an exchange with a target.
func (t *Table) OpenExchange(now time.Time, to Target) *Exchange {
	t.ensureInit(now)
	message := &Exchange{From: t.Self, Config: t.configVersion(), NoticesHash: t.noticesHash, StaleSummaries: t.staleSummaries(now)}
	if to.DataCentre == t.Self.DataCentre || to.DataCentre == "" {
		if len(t.recentVersions) == recentVersionCount {
			message.SinceVersion = t.recentVersions[0]
		}
		message.Self = t.delta(now, t.self, message.SinceVersion)
		message.Digest = make([]uint64, 0, 2*len(t.members))
		for id, m := range t.members {
			message.Digest = append(message.Digest, id, m.version)
		}
	}
	if to.DataCentre != t.Self.DataCentre {
		summary := t.summarise(now)
		message.Summary = &summary
	}
	return message
}

// HandleExchange merges a message that opens an exchange and returns the reply.
func (t *Table) HandleExchange(now time.Time, in *Exchange) *Reply {
	t.ensureInit(now)
	reply := &Reply{Config: t.configVersion(), NoticesHash: t.noticesHash}
	if in.NoticesHash != t.noticesHash {
		reply.Notices = t.allNotices()
	}
	if in.From.DataCentre == t.Self.DataCentre {
		if m, known := t.members[in.Self.ID]; in.SinceVersion == 0 || (known && m.version >= in.SinceVersion) {
			t.mergeDelta(now, in.Self)
		} else {
			reply.WantFullRecord = !known // a receiver that only lags catches up in its own exchanges
		}
		reply.Deltas = t.deltasFor(now, in)
	} else {
		if in.Summary != nil {
			if r, ok := t.remotes[in.Summary.DataCentre]; ok && in.Summary.Hosts <= 1 {
				reply.Summaries = append(reply.Summaries, r.summary) // lets a sender without other members find contacts in its data centre
			}
			t.mergeSummary(now, *in.Summary)
		}
		reply.Summaries = append(reply.Summaries, t.summarise(now))
	}
	reply.Summaries = append(reply.Summaries, t.newerSummaries(now, in)...)
	return reply
}

func (t *Table) deltasFor(now time.Time, in *Exchange) []Delta {
	versions := make(map[uint64]uint64, len(in.Digest)/2) // known to the sender, by member id
	for i := 0; i+1 < len(in.Digest); i += 2 {
		versions[in.Digest[i]] = in.Digest[i+1]
	}
	var deltas []Delta
	for id, m := range t.members {
		if id != in.Self.ID && m.version > versions[id] {
			deltas = append(deltas, t.delta(now, m, versions[id]))
		}
	}
	return deltas
}

// HandleReply merges the reply to an exchange. It returns the notices that are new here, and all
// notices of this daemon in missing if the peer's set differs.
func (t *Table) HandleReply(now time.Time, to Target, reply *Reply) (fresh, missing []Notice) {
	t.ensureInit(now)
	for _, d := range reply.Deltas {
		t.mergeDelta(now, d)
	}
	for _, s := range reply.Summaries {
		t.mergeSummary(now, s)
	}
	fresh = t.MergeNotices(now, reply.Notices)
	if t.noticesHash != reply.NoticesHash {
		missing = t.allNotices()
	}
	if reply.WantFullRecord {
		t.recentVersions = nil // makes the next exchanges carry the full record
	}
	t.exchangeSucceeded(to)
	return fresh, missing
}

// delta returns the changes of a record after a version.
func (t *Table) delta(now time.Time, m *member, since uint64) Delta {
	d := Delta{ID: m.id, Version: m.version}
	if m.infoVersion > since {
		info := m.info
		info.VersionLag = m.version - m.infoVersion
		d.Info = &info
	}
	for _, r := range m.loads {
		if r.version > since {
			l := r.load
			l.Age, l.VersionLag = ageOf(now.Sub(r.at)), m.version-r.version
			d.Loads = append(d.Loads, l)
		}
	}
	return d
}

// mergeDelta applies a delta to the table and ignores outdated ones. A delta contains all changes
// between two versions, so a receiver at or above the first version never misses a change.
func (t *Table) mergeDelta(now time.Time, d Delta) {
	if d.ID == t.self.id {
		return
	}
	m, known := t.members[d.ID]
	switch {
	case known && d.Version <= m.version, !known && d.Version <= t.tombstones[d.ID].version:
		return
	case !known && (d.Info == nil || !t.admit(now, d)):
		return
	case !known:
		m = &member{id: d.ID, loads: map[namer.Endpoint]timedLoad{}}
		t.members[d.ID] = m
		delete(t.tombstones, d.ID)
	}
	m.version, m.lastAdvance = d.Version, now
	if d.Info != nil {
		m.info, m.infoVersion = *d.Info, d.Version-d.Info.VersionLag
	}
	for _, l := range d.Loads {
		m.loads[l.Endpoint] = timedLoad{load: l, at: now.Add(-l.Age.duration()), version: d.Version - l.VersionLag}
	}
}

// admit reports whether to add an unknown member. A later incarnation of a host replaces an earlier one.
func (t *Table) admit(now time.Time, d Delta) bool {
	if d.Info.Peer.DataCentre != t.Self.DataCentre || d.ID != idOf(d.Info.Peer.Host, d.Info.Incarnation) {
		return false
	}
	for id, m := range t.members {
		if m.info.Peer.Host != d.Info.Peer.Host {
			continue
		}
		if m == t.self || m.info.Incarnation > d.Info.Incarnation {
			return false
		}
		t.drop(now, id)
	}
	return true
}

// maxSeeds bounds the seeds, to which the host list and remote summaries add.
const maxSeeds = 4096

func (t *Table) addSeed(address netip.AddrPort) {
	if len(t.Seeds) < maxSeeds && !slices.Contains(t.Seeds, address) {
		t.Seeds = append(t.Seeds, address)
	}
}
