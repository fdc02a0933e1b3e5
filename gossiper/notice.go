package gossiper

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotspool/namer"
)

// noticeExpiry is how long a notice is kept that withdraws an earlier one, is about a host, or is
// about an endpoint that the configuration doesn't list. It far exceeds the usual duration of a
// partition, so that a withdrawal reaches all daemons.
const noticeExpiry = 10 * time.Minute

// refreshAfter is the age at which a notice on a host that is still leaving is renewed, before it expires.
const refreshAfter = noticeExpiry / 2

// maxNotices bounds the notices in a table. It exceeds the endpoints and hosts of the largest fleet.
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

// supersedes reports whether n replaces other. The fencing token goes first, so that a former lease
// holder can't clear its successor's notice. With equal stamps "leaving" wins, since sending new work
// to a leaving endpoint is the greater harm.
func (n Notice) supersedes(other Notice) bool {
	if n.Fencing != other.Fencing {
		return n.Fencing > other.Fencing
	}
	return n.Stamp > other.Stamp || (n.Stamp == other.Stamp && n.Leaving && !other.Leaving)
}

// Observe records whether this daemon has seen a subject leaving. It returns the notice to announce
// if that changes the table or the notice needs a refresh.
func (t *Table) Observe(now time.Time, subject Subject, leaving bool) []Notice {
	t.ensureInit(now)
	known, ok := t.notices[subject]
	refresh := leaving && subject.Kind == KindHost && now.Sub(time.UnixMicro(int64(known.Stamp))) > refreshAfter
	if known.Leaving == leaving && (ok || !leaving) && !refresh {
		return nil
	}
	stamp := max(uint64(now.UnixMicro()), known.Stamp+1)
	return t.MergeNotices(now, []Notice{{Subject: subject, Stamp: stamp, Leaving: leaving}})
}

// MergeNotices adds notices to the table and returns those that were new.
func (t *Table) MergeNotices(now time.Time, notices []Notice) []Notice {
	t.ensureInit(now)
	var fresh []Notice
	for _, n := range notices {
		known, ok := t.notices[n.Subject]
		if !n.valid() || t.noticeExpired(now, n) || (ok && !n.supersedes(known)) || (!ok && len(t.notices) >= maxNotices) {
			continue
		}
		if ok {
			t.noticesHash ^= known.hash()
		}
		t.notices[n.Subject] = n
		t.noticesHash ^= n.hash()
		fresh = append(fresh, n)
	}
	return fresh
}

func (t *Table) noticeExpired(now time.Time, n Notice) bool {
	_, listed := t.endpoints.addresses[namer.Endpoint(n.Subject.Name)]
	// A planned change ends within noticeExpiry; the notice must not outlive a process that exits during the change.
	if n.Leaving && n.Subject.Kind == KindEndpoint && listed && n.Subject.Source != SourceChange {
		return false
	}
	return now.Sub(time.UnixMicro(int64(n.Stamp))) > noticeExpiry
}

func (t *Table) expireNotices(now time.Time) {
	for subject, n := range t.notices {
		if t.noticeExpired(now, n) {
			delete(t.notices, subject)
			t.noticesHash ^= n.hash()
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

// endpointLeaving reports whether a notice from any source says that an endpoint is leaving.
func (t *Table) endpointLeaving(name namer.Endpoint) bool {
	for _, source := range []Source{SourceState, SourceHostList, SourceChange} {
		if t.notices[Subject{Kind: KindEndpoint, Name: string(name), Source: source}].Leaving {
			return true
		}
	}
	return false
}
