package gossiper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotspool/namer"
)

// noticeExpiry is how long a notice stays that nobody needs any more: one that withdraws an earlier
// one, one on a host, or one on an endpoint that the configuration doesn't list. It is far longer
// than a partition usually lasts, so that a withdrawal reaches everyone.
const noticeExpiry = 10 * time.Minute

// refreshAfter is when a notice on a host that is still leaving is written again, before it expires.
const refreshAfter = noticeExpiry / 2

// maxNotices bounds the table; it is above the largest number of endpoints and hosts of a fleet.
const maxNotices = 20_000

func (n Notice) hash() uint64 {
	h := xxhash.New()
	leaving := byte(0)
	if n.Leaving {
		leaving = 1
	}
	raw := []byte{byte(n.Subject.Kind), byte(n.Subject.Source), leaving}
	raw = binary.LittleEndian.AppendUint64(raw, n.Stamp)
	raw = binary.LittleEndian.AppendUint64(raw, uint64(n.Fencing))
	h.Write(raw)
	h.WriteString(n.Subject.Name)
	return h.Sum64()
}

func (n Notice) valid() bool {
	return n.Subject.Kind <= KindHost && n.Subject.Source <= SourceChange && n.Subject.Name != "" && len(n.Subject.Name) <= namer.MaxNameLength
}

// newer reports whether n replaces other. A former lease holder can't clear its successor's mark. Of two notices with one stamp the one that says "leaving"
// stands, since new work for a leaving endpoint is the greater harm.
func (n Notice) newer(other Notice) bool {
	if n.Fencing != other.Fencing {
		return n.Fencing > other.Fencing
	}
	return n.Stamp > other.Stamp || (n.Stamp == other.Stamp && n.Leaving && !other.Leaving)
}

// Found takes what this daemon has found out about a subject itself and returns the notice to
// announce when that is new.
func (t *Table) Found(now time.Time, subject Subject, leaving bool) []Notice {
	t.start(now)
	known, ok := t.notices[subject]
	refresh := leaving && subject.Kind == KindHost && now.Sub(time.UnixMicro(int64(known.Stamp))) > refreshAfter
	if known.Leaving == leaving && (ok || !leaving) && !refresh {
		return nil
	}
	stamp := max(uint64(now.UnixMicro()), known.Stamp+1)
	return t.Notify(now, []Notice{{Subject: subject, Stamp: stamp, Leaving: leaving}})
}

// Notify takes notices from another daemon and returns those that are new here.
func (t *Table) Notify(now time.Time, notices []Notice) []Notice {
	t.start(now)
	var fresh []Notice
	for _, n := range notices {
		known, ok := t.notices[n.Subject]
		if !n.valid() || t.expired(now, n) || (ok && !n.newer(known)) || (!ok && len(t.notices) >= maxNotices) {
			continue
		}
		if ok {
			t.hash ^= known.hash()
		}
		t.notices[n.Subject] = n
		t.hash ^= n.hash()
		fresh = append(fresh, n)
	}
	return fresh
}

func (t *Table) expired(now time.Time, n Notice) bool {
	_, listed := t.places.all[namer.Endpoint(n.Subject.Name)]
	// A planned change ends within noticeExpiry; the mark of a process that ended meanwhile must not stay.
	if n.Leaving && n.Subject.Kind == KindEndpoint && listed && n.Subject.Source != SourceChange {
		return false
	}
	return now.Sub(time.UnixMicro(int64(n.Stamp))) > noticeExpiry
}

func (t *Table) expireNotices(now time.Time) {
	for subject, n := range t.notices {
		if t.expired(now, n) {
			delete(t.notices, subject)
			t.hash ^= n.hash()
		}
	}
}

// allNotices returns the notices in a stable order.
func (t *Table) allNotices() []Notice {
	all := make([]Notice, 0, len(t.notices))
	for _, n := range t.notices {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b Notice) int {
		return cmp.Or(cmp.Compare(a.Subject.Kind, b.Subject.Kind), cmp.Compare(a.Subject.Name, b.Subject.Name), cmp.Compare(a.Subject.Source, b.Subject.Source))
	})
	return all
}

// endpointLeaves reports whether a notice says that an endpoint leaves.
func (t *Table) endpointLeaves(name namer.Endpoint) bool {
	for _, source := range []Source{SourceState, SourceHostList, SourceChange} {
		if t.notices[Subject{Kind: KindEndpoint, Name: string(name), Source: source}].Leaving {
			return true
		}
	}
	return false
}
