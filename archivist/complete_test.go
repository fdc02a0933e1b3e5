package archivist_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/archivist"
	"apricotspool/attester"
	"apricotspool/follower"
	"apricotspool/imitator"
	"apricotspool/namer"
	"apricotspool/storer"
)

// startSettling starts an Archivist that knows after a time that nothing is missing any more.
func (s *site) startSettling(t *testing.T, store archivist.Store, after time.Duration) *archivist.Archivist {
	begun := clock()
	c := follower.Confirmation{Known: true, At: begun, UnbrokenSince: begun, SettledAt: begun.Add(after)}
	s.mu.Lock()
	s.stale = &c
	s.mu.Unlock()
	return s.start(t, store, true)
}

// record returns what a process knows that has read the store in an era.
func record(era storer.Era) (r attester.Record) {
	r.Begin(era, clock())
	return r
}

// Guards against a list of builds that is taken for complete though a restore of the store may have lost a build (review/8),
// against one that each restart distrusts again, and against a list of another writer that claims to be of a later era.
func TestListIsCompleteOnceNothingIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store imitator.Store
		store.Restore(store.Backup())
		s := newSite("v1")
		s.era = store.Era()
		first := s.startSettling(t, &store, 4*time.Second)
		time.Sleep(3 * time.Second)
		is.Equal(first.Listed("llm"), []namer.Build{"v1"})
		is.True(!first.Attested(record(store.Era())))
		time.Sleep(1100 * time.Millisecond)
		is.True(first.Attested(record(store.Era())))

		restarted := s.startSettling(t, &store, 4*time.Second)
		time.Sleep(100 * time.Millisecond)
		is.True(restarted.Attested(record(store.Era())))

		store.Restore(store.Backup())
		s.mu.Lock()
		s.era = store.Era()
		s.mu.Unlock()
		afterRestore := s.startSettling(t, &store, 4*time.Second)
		time.Sleep(100 * time.Millisecond)
		is.Equal(afterRestore.Listed("llm"), []namer.Build{"v1"})
		is.True(!afterRestore.Attested(record(store.Era())))

		listed, err := store.Get(t.Context(), archivist.Prefix+"llm")
		is.NoErr(err)
		_, err = store.Put(t.Context(), listed.Key, []byte(`{"builds":["v1"],"complete-in":9}`), listed.Version)
		is.NoErr(err)
		odd := s.startSettling(t, &store, 4*time.Second)
		time.Sleep(100 * time.Millisecond)
		for _, era := range []storer.Era{store.Era(), 9} {
			is.True(!odd.Attested(record(era)))
		}
	})
}
