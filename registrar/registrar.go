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

// returnTime is the time after an outage of the object API in which live endpoints write their lapsed
// entries again. Until then a missing entry does not say that its endpoint is gone.
const returnTime = 2100 * time.Millisecond

// Listings is where the entries come from; a follower.Follower is one.
type Listings interface {
	Listing() *follower.Listing
	Changed() <-chan struct{}
}

// Registrar keeps the registered endpoints. Set the exported fields before Run.
type Registrar struct {
	Listings Listings
	// Decode reads an entry. An entry that it refuses names no endpoint.
	Decode func(key string, value []byte) (Entry, error)
	Log    zerolog.Logger

	once    sync.Once
	done    chan struct{}
	current atomic.Pointer[[]Entry]

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change

	set set // owned by Run
}

func (r *Registrar) init() {
	r.once.Do(func() {
		r.done = make(chan struct{})
		r.changed = make(chan struct{})
	})
}

// Done closes when Run has returned.
func (r *Registrar) Done() <-chan struct{} {
	r.init()
	return r.done
}

// Entries returns the registered endpoints in the order of their names, or nil before the first
// list. The slice is shared and must not be changed.
func (r *Registrar) Entries() []Entry {
	if entries := r.current.Load(); entries != nil {
		return *entries
	}
	return nil
}

// Changed returns a channel that closes at the next change of Entries.
func (r *Registrar) Changed() <-chan struct{} {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Run follows the listings until ctx ends.
func (r *Registrar) Run(ctx context.Context) error {
	r.init()
	defer close(r.done)
	for {
		changed := r.Listings.Changed()
		var again <-chan time.Time
		if listing := r.Listings.Listing(); listing != nil {
			recheck := r.set.update(time.Now(), listing, r.decode)
			r.publish()
			if recheck > 0 {
				again = time.After(recheck)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-again:
		}
	}
}

func (r *Registrar) decode(o storer.Object) (Entry, bool) {
	entry, err := r.Decode(o.Key, o.Value)
	if err != nil {
		r.Log.Warn().Err(err).Str("key", o.Key).Msg("endpoint-entry-refused")
		return Entry{}, false
	}
	return entry, true
}

func (r *Registrar) publish() {
	entries := slices.SortedFunc(maps.Values(r.set.entries), func(a, b Entry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if old := r.current.Load(); old != nil && slices.EqualFunc(*old, entries, Entry.equal) {
		return
	}
	r.logChanges(entries)
	r.current.Store(&entries)
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.changed)
	r.changed = make(chan struct{})
}

// logChanges writes which endpoints have come, gone or changed.
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
		e.ColdLeft == other.ColdLeft && e.Incarnation == other.Incarnation && e.Role == other.Role
}

// set is the decision which entries count. It is pure.
type set struct {
	entries map[namer.Endpoint]Entry
	decoded map[string]storer.Version // versions that entries were decoded from, by key
	names   map[string]namer.Endpoint // by key
	// held are the keys that were missing at the end of an outage. Entries lapse while the object API
	// is away, and those that are missing later were removed.
	held   map[string]bool
	outage time.Time // the end of the last outage
}

// update takes a listing. It returns after what time to look again, or 0.
func (s *set) update(now time.Time, listing *follower.Listing, decode func(storer.Object) (Entry, bool)) time.Duration {
	if s.entries == nil {
		s.entries, s.decoded, s.names = map[namer.Endpoint]Entry{}, map[string]storer.Version{}, map[string]namer.Endpoint{}
	}
	for key, object := range listing.Objects {
		if s.decoded[key] == object.Version {
			continue
		}
		s.forget(key)
		s.decoded[key] = object.Version
		if entry, ok := decode(object); ok {
			s.entries[entry.Name], s.names[key] = entry, entry.Name
		}
	}
	returned := !listing.OutageEnd.Equal(s.outage)
	if returned {
		s.outage, s.held = listing.OutageEnd, map[string]bool{}
	}
	wait := returnTime - now.Sub(s.outage)
	recheck := time.Duration(0)
	for key := range s.decoded {
		if _, present := listing.Objects[key]; present {
			delete(s.held, key)
			continue
		}
		if returned {
			s.held[key] = true
		}
		if s.held[key] && wait > 0 {
			recheck = wait
			continue
		}
		s.forget(key)
	}
	return recheck
}

func (s *set) forget(key string) {
	delete(s.held, key)
	delete(s.decoded, key)
	if name, known := s.names[key]; known {
		delete(s.names, key)
		delete(s.entries, name)
	}
}
