package gossiper

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"apricotspool/namer"
)

// seedRounds is how often, in rounds, a seed that is not among the known peers is asked. It joins
// parts of a data centre that have dropped each other.
const seedRounds = 4

// Target is a peer that an exchange goes to.
type Target struct {
	Address    netip.AddrPort
	DataCentre namer.DataCentre // empty for a seed
}

func comparePeers(a, b Peer) int { return strings.Compare(string(a.Host), string(b.Host)) }

func sortPeers(peers []Peer) { slices.SortFunc(peers, comparePeers) }

// Round returns the peers to exchange with in this period: one of the own data centre and those that
// were silent for a while, one of another data centre in turn, one of a data centre whose last
// contact failed, and now and then a seed.
func (t *Table) Round(now time.Time) []Target {
	t.start(now)
	t.round++
	var targets []Target
	others := slices.DeleteFunc(t.live(now, false), func(p Peer) bool { return p.Host == t.Self.Host })
	for _, m := range t.partners(now, others) {
		m.asked = now
		targets = append(targets, Target{m.info.Peer.Address, m.info.Peer.DataCentre})
	}
	targets = append(targets, t.remoteTargets()...)
	seeds := 0
	switch {
	case len(others) == 0:
		seeds = maxAsked
	case t.round%seedRounds == 0:
		seeds = 1
	}
	for _, seed := range sample(t.Random, t.unknownSeeds(others), seeds) {
		targets = append(targets, Target{Address: seed})
	}
	return targets
}

// maxAsked bounds the silent members, and the seeds while no member is known, that are asked in one round.
const maxAsked = 6

// partners returns the members of the own data centre to exchange with in this round: the one that
// was silent longest or a random one, and all that are close to being suspected.
func (t *Table) partners(now time.Time, others []Peer) []*member {
	var silent []*member
	for _, m := range t.members {
		if m != t.self && now.Sub(m.advanced) > preferAfter && now.Sub(m.asked) > askAgain-Period/2 {
			silent = append(silent, m)
		}
	}
	slices.SortFunc(silent, func(a, b *member) int {
		return cmp.Or(a.advanced.Compare(b.advanced), cmp.Compare(a.id, b.id))
	})
	for i, m := range silent {
		if i > 0 && (i >= maxAsked || now.Sub(m.advanced) < askAfter) {
			return silent[:i]
		}
	}
	if len(silent) > 0 {
		return silent
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

// Open returns the message that opens an exchange with a target.
func (t *Table) Open(now time.Time, to Target) *Exchange {
	t.start(now)
	message := &Exchange{From: t.Self, Config: t.config(), Notices: t.hash, Stale: t.stale(now)}
	if to.DataCentre == t.Self.DataCentre || to.DataCentre == "" {
		if len(t.marks) == markCount {
			message.Since = t.marks[0]
		}
		message.Self = t.delta(now, t.self, message.Since)
		message.Digest = make([]uint64, 0, 2*len(t.members))
		for id, m := range t.members {
			message.Digest = append(message.Digest, id, m.beat)
		}
	}
	if to.DataCentre != t.Self.DataCentre {
		summary := t.summarise(now)
		message.Summary = &summary
	}
	return message
}

// Receive takes an exchange that a peer has opened and returns the answer.
func (t *Table) Receive(now time.Time, in *Exchange) *Reply {
	t.start(now)
	reply := &Reply{Config: t.config(), Hash: t.hash}
	if in.Notices != t.hash {
		reply.Notices = t.allNotices()
	}
	if in.From.DataCentre == t.Self.DataCentre {
		if m, known := t.members[in.Self.ID]; in.Since == 0 || (known && m.beat >= in.Since) {
			t.merge(now, in.Self)
		} else {
			reply.Lacks = !known // a member that only lags gets the rest in its own exchanges
		}
		reply.Deltas = t.deltasFor(now, in)
	} else {
		if in.Summary != nil {
			if r, ok := t.remote[in.Summary.DataCentre]; ok && in.Summary.Hosts <= 1 {
				reply.Summaries = append(reply.Summaries, r.summary) // its contacts, for a sender that is alone
			}
			t.mergeSummary(now, *in.Summary)
		}
		reply.Summaries = append(reply.Summaries, t.summarise(now))
	}
	reply.Summaries = append(reply.Summaries, t.newerSummaries(now, in)...)
	return reply
}

func (t *Table) deltasFor(now time.Time, in *Exchange) []Delta {
	has := make(map[uint64]uint64, len(in.Digest)/2)
	for i := 0; i+1 < len(in.Digest); i += 2 {
		has[in.Digest[i]] = in.Digest[i+1]
	}
	var deltas []Delta
	for id, m := range t.members {
		if id != in.Self.ID && m.beat > has[id] {
			deltas = append(deltas, t.delta(now, m, has[id]))
		}
	}
	return deltas
}

// Absorb takes the answer to an exchange. It returns the own notices when the peer lacks some.
func (t *Table) Absorb(now time.Time, to Target, reply *Reply) (fresh, missing []Notice) {
	t.start(now)
	for _, d := range reply.Deltas {
		t.merge(now, d)
	}
	for _, s := range reply.Summaries {
		t.mergeSummary(now, s)
	}
	fresh = t.Notify(now, reply.Notices)
	if t.hash != reply.Hash {
		missing = t.allNotices()
	}
	if reply.Lacks {
		t.marks = nil // the next exchanges carry the complete record
	}
	t.answered(to)
	return fresh, missing
}

// delta returns what of a record is newer than a beat.
func (t *Table) delta(now time.Time, m *member, since uint64) Delta {
	d := Delta{ID: m.id, Beat: m.beat}
	if m.infoBeat > since {
		info := m.info
		info.Back = m.beat - m.infoBeat
		d.Info = &info
	}
	for _, r := range m.loads {
		if r.beat > since {
			l := r.load
			l.Age, l.Back = ageOf(now.Sub(r.at)), m.beat-r.beat
			d.Loads = append(d.Loads, l)
		}
	}
	return d
}

// merge takes a delta into the table. A delta that comes late is ignored. A delta between two beats
// is complete for every receiver at or above the first, so it never leaves a gap.
func (t *Table) merge(now time.Time, d Delta) {
	if d.ID == t.self.id {
		return
	}
	m, known := t.members[d.ID]
	switch {
	case known && d.Beat <= m.beat, !known && d.Beat <= t.forgotten[d.ID].beat:
		return
	case !known && (d.Info == nil || !t.admit(now, d)):
		return
	case !known:
		m = &member{id: d.ID, loads: map[namer.Endpoint]report{}}
		t.members[d.ID] = m
		delete(t.forgotten, d.ID)
	}
	m.beat, m.advanced = d.Beat, now
	if d.Info != nil {
		m.info, m.infoBeat = *d.Info, d.Beat-d.Info.Back
	}
	for _, l := range d.Loads {
		m.loads[l.Endpoint] = report{load: l, at: now.Add(-l.Age.std()), beat: d.Beat - l.Back}
	}
}

// admit decides about a member that is new here. A later incarnation of a host replaces the earlier.
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

// maxSeeds bounds the seeds that the host list adds to.
const maxSeeds = 4096

func (t *Table) seed(address netip.AddrPort) {
	if len(t.Seeds) < maxSeeds && !slices.Contains(t.Seeds, address) {
		t.Seeds = append(t.Seeds, address)
	}
}
