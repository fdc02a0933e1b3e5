package registrar

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/follower"
	"apricotspool/namer"
	"apricotspool/storer"
)

// reregistrationGrace is the time that live endpoints need after an outage of the object API to write
// their expired entries again. Until it has passed, a missing entry is no evidence that its endpoint
// is gone.
const reregistrationGrace = 2100 * time.Millisecond

// confirmationPoll is how often it is checked whether the object API has confirmed entries that contradict what is known.
const confirmationPoll = 50 * time.Millisecond

// ListingSource provides listings of the entries. follower.Follower implements it.
type ListingSource interface {
	Listing() *follower.Listing
	Changed() <-chan struct{}
	// Confirmed returns the time as of which the object API last confirmed the listing.
	Confirmed() time.Time
}

// Registrar maintains the set of registered endpoints. Set the exported fields before Run.
type Registrar struct {
	Source ListingSource
	// Decode decodes an entry. Entries that it rejects are ignored.
	Decode func(key string, value []byte) (Entry, error)
	// OnRefused, if set, is called for each version of an entry that Decode has rejected.
	OnRefused func()
	Log       zerolog.Logger

	once    sync.Once
	done    chan struct{}
	current atomic.Pointer[[]Entry]

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced on each change
	generation uint64        // of the entries; counts the changes
	applied    uint64        // follower.Listing.Changes of the listing that they come from

	set     entrySet        // used only by Run
	refused map[string]bool // keys whose last version was rejected; used only by Run
}

func (r *Registrar) init() {
	r.once.Do(func() {
		r.done = make(chan struct{})
		r.changed = make(chan struct{})
	})
}

// Done returns a channel that is closed when Run has returned.
func (r *Registrar) Done() <-chan struct{} {
	r.init()
	return r.done
}

// Entries returns the registered endpoints sorted by name, or nil before the first listing. The slice
// is shared and must not be modified.
func (r *Registrar) Entries() []Entry {
	if entries := r.current.Load(); entries != nil {
		return *entries
	}
	return nil
}

// Generation returns the number of changes of Entries, and the count of changes of the listing that they come from.
func (r *Registrar) Generation() (generation, applied uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation, r.applied
}

// Changed returns a channel that is closed when Entries next changes.
func (r *Registrar) Changed() <-chan struct{} {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Run applies listings as they change, until ctx is done.
func (r *Registrar) Run(ctx context.Context) error {
	r.init()
	defer close(r.done)
	r.refused = map[string]bool{}
	for {
		changed := r.Source.Changed()
		var recheckTimer <-chan time.Time
		if listing := r.Source.Listing(); listing != nil {
			before := r.set.outageEnd
			recheckAfter := r.set.apply(time.Now(), r.Source.Confirmed(), listing, r.decode)
			if !r.set.outageEnd.Equal(before) {
				r.logOutage()
			}
			maps.DeleteFunc(r.refused, func(key string, _ bool) bool { _, present := listing.Objects[key]; return !present })
			r.publish(listing.Changes)
			if recheckAfter > 0 {
				recheckTimer = time.After(recheckAfter)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-recheckTimer:
		}
	}
}

func (r *Registrar) decode(o storer.Object) (Entry, bool) {
	entry, err := r.Decode(o.Key, o.Value)
	if err == nil {
		delete(r.refused, o.Key)
		return entry, true
	}
	if r.OnRefused != nil {
		r.OnRefused()
	}
	if !r.refused[o.Key] { // its writer may write it again and again
		r.refused[o.Key] = true
		r.Log.Warn().Err(err).Str("key", o.Key).Msg("endpoint-entry-refused")
	}
	return Entry{}, false
}

func (r *Registrar) publish(applied uint64) {
	entries := slices.SortedFunc(maps.Values(r.set.entries), func(a, b Entry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	old := r.current.Load()
	same := old != nil && slices.EqualFunc(*old, entries, Entry.equal)
	if !same {
		r.logChanges(entries)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = applied
	if same {
		return
	}
	r.current.Store(&entries)
	r.generation++
	close(r.changed)
	r.changed = make(chan struct{})
}

// logOutage logs the entries that an outage, or a restore of the object API, has made uncertain.
func (r *Registrar) logOutage() {
	if kept := len(r.set.expired); kept > 0 {
		r.Log.Info().Int("entries", kept).Time("outage-end", r.set.outageEnd).Msg("missing-entries-kept")
	}
	if outdated := len(r.set.departures.outdated); outdated > 0 {
		r.Log.Info().Int("entries", outdated).Msg("outdated-entries-not-used")
	}
}

// logChanges logs the endpoints that were added, changed or removed.
func (r *Registrar) logChanges(entries []Entry) {
	old := map[namer.Endpoint]Entry{}
	for _, e := range r.Entries() {
		old[e.Name] = e
	}
	for _, e := range entries {
		if before, known := old[e.Name]; !known || !before.equal(e) {
			r.Log.Info().Str("endpoint", string(e.Name)).Str("service", string(e.Service)).Stringer("address", e.Address).
				Str("role", string(e.Role)).Uint64("incarnation", uint64(e.Incarnation)).Bool("leaving", e.Leaving).Msg("endpoint-registered")
		}
		delete(old, e.Name)
	}
	for name := range old {
		r.Log.Info().Str("endpoint", string(name)).Msg("endpoint-gone")
	}
}

func (e Entry) equal(other Entry) bool {
	return slices.Equal(e.Models, other.Models) && e.Name == other.Name && e.Service == other.Service && e.Address == other.Address &&
		e.DataCentre == other.DataCentre && e.Slots == other.Slots && e.Leaving == other.Leaving &&
		e.WarmupLeft == other.WarmupLeft && e.Incarnation == other.Incarnation && e.Role == other.Role && e.Build == other.Build &&
		e.Preemptible == other.Preemptible && e.LeavesIn == other.LeavesIn
}

// entrySet decides which entries are in effect. It does no I/O and reads no clock.
type entrySet struct {
	entries  map[namer.Endpoint]Entry
	versions map[string]storer.Version // by key; the version that was last decoded
	names    map[string]namer.Endpoint // by key
	// expired holds the keys that were missing at the end of the last outage: entries expire while the
	// object API is unavailable. An entry that disappears later has been removed deliberately.
	expired    map[string]bool
	outageEnd  time.Time // end of the last outage
	departures departures
}

// apply updates the set to a listing, which the object API has confirmed as of a time. It returns the time after which to apply
// the listing again, or 0 if that is not needed.
func (s *entrySet) apply(now, confirmed time.Time, listing *follower.Listing, decode func(storer.Object) (Entry, bool)) time.Duration {
	if s.entries == nil {
		s.entries, s.versions, s.names = map[namer.Endpoint]Entry{}, map[string]storer.Version{}, map[string]namer.Endpoint{}
	}
	outageEnded := !listing.OutageEnd.Equal(s.outageEnd)
	if outageEnded {
		s.outageEnd, s.expired = listing.OutageEnd, map[string]bool{}
	}
	graceLeft := max(0, reregistrationGrace-now.Sub(s.outageEnd))
	// In another outage nothing is written again, so that what contradicts is only believed once it has stayed for so long.
	stays := confirmed.Sub(s.outageEnd) >= reregistrationGrace
	if stays {
		s.believeOutdated(listing)
	}
	s.decodeChanged(now, listing, decode, !stays)
	switch kept := s.dropMissing(now, listing, outageEnded, graceLeft > 0); {
	case len(s.departures.outdated) > 0:
		return max(graceLeft, confirmationPoll)
	case kept:
		return graceLeft
	}
	return 0
}

// believeOutdated has entries that contradicted a departure decoded again: nobody has corrected them.
func (s *entrySet) believeOutdated(listing *follower.Listing) {
	for key := range s.departures.outdated {
		if _, present := listing.Objects[key]; present {
			delete(s.versions, key)
		}
	}
	clear(s.departures.outdated)
}

// decodeChanged decodes the entries that have changed. Within the grace after an outage, an entry that undoes a departure isn't
// believed, nor one of a restored store that undoes the start of another process under the same name: the known one stays.
func (s *entrySet) decodeChanged(now time.Time, listing *follower.Listing, decode func(storer.Object) (Entry, bool), grace bool) {
	for key, object := range listing.Objects {
		if s.versions[key] == object.Version {
			continue
		}
		known, version := s.entries[s.names[key]], s.versions[key]
		s.remove(key)
		s.versions[key] = object.Version
		entry, ok := decode(object)
		if !ok {
			continue
		}
		if grace && ofEarlierProcess(entry, known) && object.Version.Era() > version.Era() {
			entry = known
			s.departures.mark(key)
		}
		switch {
		case grace && s.departures.contradicts(key, object.Version, entry.Incarnation):
			entry.Leaving = true
			s.departures.mark(key)
		case entry.Leaving:
			s.departures.record(now, key, object.Version, entry.Incarnation)
		}
		s.entries[entry.Name], s.names[key] = entry, entry.Name
	}
}

// dropMissing removes the entries that are not listed, except, within the grace, those that may have expired in the outage. It
// reports whether there are any of these.
func (s *entrySet) dropMissing(now time.Time, listing *follower.Listing, outageEnded, grace bool) (kept bool) {
	for key, version := range s.versions {
		if _, present := listing.Objects[key]; present {
			delete(s.expired, key)
			continue
		}
		if outageEnded {
			s.expired[key] = true
		}
		if s.expired[key] && grace {
			kept = true
			continue
		}
		if name, known := s.names[key]; known {
			s.departures.record(now, key, version, s.entries[name].Incarnation)
		}
		s.remove(key)
	}
	return kept
}

func (s *entrySet) remove(key string) {
	delete(s.expired, key)
	delete(s.departures.outdated, key)
	delete(s.versions, key)
	if name, known := s.names[key]; known {
		delete(s.names, key)
		delete(s.entries, name)
	}
}
