package archivist_test

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/archivist"
	"apricotspool/follower"
	"apricotspool/imitator"
	"apricotspool/namer"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// site is a service whose endpoints change.
type site struct {
	mu      sync.Mutex // guards the fields below
	builds  map[namer.Build]bool
	era     storer.Era
	changed chan struct{}

	unbrokenSince timekeeper.Instant
	stale         *follower.Confirmation // if set
}

// clock is virtual in a bubble of synctest.
func clock() timekeeper.Instant { return timekeeper.Instant(time.Now().UnixNano()) }

func newSite(builds ...namer.Build) *site {
	s := &site{changed: make(chan struct{})}
	s.set(builds...)
	return s
}

func (s *site) set(builds ...namer.Build) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.builds = map[namer.Build]bool{}
	for _, b := range builds {
		s.builds[b] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *site) services() (map[namer.Service]archivist.Service, storer.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[namer.Service]archivist.Service{"llm": {Builds: s.builds, Lifetime: 10 * time.Second}}, s.era
}

func (s *site) servicesChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *site) start(t *testing.T, store archivist.Store, writes bool) *archivist.Archivist {
	a := &archivist.Archivist{
		Store: store, Services: s.services, ServicesChanged: s.servicesChanged, Settling: 2 * time.Second,
		Writes: func() bool { return writes }, Clock: clock,
		Confirmation: func() follower.Confirmation {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.stale != nil {
				return *s.stale
			}
			return follower.Confirmation{Known: true, At: clock(), UnbrokenSince: s.unbrokenSince}
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	go a.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-a.Done()
	})
	return a
}

// Guards against a list that lacks a build which may have begun streams, after a restart too, and against builds that stay
// listed for ever.
func TestBuildsAreListedWhileStreamsCanBeTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store imitator.Store
		s := newSite("v1")
		first := s.start(t, &store, true)
		other := s.start(t, &store, false)
		time.Sleep(time.Second)
		is.Equal(first.Listed("llm"), []namer.Build{"v1"})
		is.Equal(other.Listed("llm"), []namer.Build{"v1"})
		s.set("v1", "v2")
		time.Sleep(time.Second)
		is.Equal(first.Listed("llm"), []namer.Build{"v1", "v2"})
		is.Equal(other.Listed("llm"), []namer.Build{"v1", "v2"})
		s.set("v2")
		time.Sleep(11 * time.Second)
		restarted := s.start(t, &store, true) // knows only v2
		synctest.Wait()
		is.Equal(restarted.Listed("llm"), []namer.Build{"v1", "v2"})
		time.Sleep(3 * time.Second)
		is.Equal(first.Listed("llm"), []namer.Build{"v2"})
		again := s.start(t, &store, false)
		synctest.Wait()
		is.Equal(again.Listed("llm"), []namer.Build{"v2"})
	})
}

// Guards against a build that is removed from the list by a daemon which doesn't know it yet.
func TestStaleDaemonRemovesNoBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store imitator.Store
		s := newSite("v1")
		s.start(t, &store, true)
		time.Sleep(20 * time.Second) // long enough to know what has served
		s.mu.Lock()
		s.stale = &follower.Confirmation{Known: true, At: clock()}
		s.mu.Unlock()
		listed, err := store.Get(t.Context(), archivist.Prefix+"llm")
		is.NoErr(err)
		time.Sleep(time.Millisecond)
		listed, err = store.Put(t.Context(), listed.Key, []byte(`{"builds":["v1","v2"]}`), listed.Version)
		is.NoErr(err)
		s.mu.Lock()
		s.era++ // reads the list again
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		found, err := store.Get(t.Context(), archivist.Prefix+"llm")
		is.NoErr(err)
		is.Equal(buildsOf(t, found), []namer.Build{"v1", "v2"})
	})
}

// buildsOf returns the builds in a list.
func buildsOf(t *testing.T, o storer.Object) []namer.Build {
	t.Helper()
	var list struct{ Builds []namer.Build }
	is.New(t).NoErr(json.Unmarshal(o.Value, &list))
	return list.Builds
}

// Guards against a daemon that starts and takes a new build for one that all daemons know, and against one that waits for
// builds that have served for long.
func TestSettledBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store imitator.Store
		s := newSite("v1")
		s.start(t, &store, true)
		time.Sleep(20 * time.Second)
		s.set("v1", "v2")
		time.Sleep(1500 * time.Millisecond)
		started := s.start(t, &store, false)
		synctest.Wait()
		is.Equal(started.Listed("llm"), []namer.Build{"v1", "v2"})
		is.Equal(started.Settled("llm"), []namer.Build{"v1"})
		time.Sleep(3 * time.Second)
		started = s.start(t, &store, false)
		synctest.Wait()
		is.Equal(started.Settled("llm"), []namer.Build{"v1", "v2"})
		s.set("v1")
		time.Sleep(7 * time.Second) // over half of the time after which daemons forget v2
		started = s.start(t, &store, false)
		synctest.Wait()
		is.Equal(started.Listed("llm"), []namer.Build{"v1", "v2"})
		is.Equal(started.Settled("llm"), []namer.Build{"v1"})
	})
}

// Guards against a list that is taken for current after a gap in which other daemons may have changed it.
func TestListIsReadAfterGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store imitator.Store
		s := newSite("v1")
		a := s.start(t, &store, true)
		time.Sleep(5 * time.Second)
		_, before := a.Generation()
		time.Sleep(5 * time.Second)
		_, read := a.Generation()
		is.Equal(read, before)
		s.mu.Lock()
		s.unbrokenSince = clock()
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		_, read = a.Generation()
		is.True(read >= s.unbrokenSince)
	})
}

// Guards against a list that stays as a restored store has it, and against one that another writer has spoilt.
func TestListIsWrittenAgain(t *testing.T) {
	for name, value := range map[string]string{"older": `{"builds":["v1"]}`, "unreadable": `[`, "without names": `{"builds":[""]}`} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var store imitator.Store
				s := newSite("v1", "v2")
				a := s.start(t, &store, true)
				synctest.Wait()
				old, err := store.Get(t.Context(), archivist.Prefix+"llm")
				is.NoErr(err)
				_, err = store.Put(t.Context(), archivist.Prefix+"llm", []byte(value), old.Version)
				is.NoErr(err)
				s.mu.Lock()
				s.era++
				s.mu.Unlock()
				time.Sleep(2 * time.Second)
				found, err := store.Get(t.Context(), archivist.Prefix+"llm")
				is.NoErr(err)
				is.Equal(buildsOf(t, found), []namer.Build{"v1", "v2"})
				is.Equal(a.Listed("llm"), []namer.Build{"v1", "v2"})
			})
		})
	}
}

// failingStore fails its first calls.
type failingStore struct {
	archivist.Store
	left int
}

func (s *failingStore) Get(ctx context.Context, key string) (storer.Object, error) {
	if s.left--; s.left >= 0 {
		return storer.Object{}, storer.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// Guards against a build that is reported as listed before the object API has it.
func TestBuildIsListedOnlyOnceWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store imitator.Store
		s := newSite("v1")
		a := s.start(t, &failingStore{&store, 3}, true)
		synctest.Wait()
		is.True(a.Listed("llm") == nil)
		time.Sleep(3 * time.Second)
		is.True(slices.Equal(a.Listed("llm"), []namer.Build{"v1"}))
	})
}
