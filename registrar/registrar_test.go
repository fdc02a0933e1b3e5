package registrar_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/follower"
	"apricotspool/namer"
	"apricotspool/registrar"
	"apricotspool/storer"
)

// fakeSource is a registrar.ListingSource whose listing is set by a test.
type fakeSource struct {
	mu      sync.Mutex
	away    time.Time // since when the object API confirms nothing; zero if it does
	current *follower.Listing
	changed chan struct{}
}

func (s *fakeSource) Listing() *follower.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *fakeSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeSource) Confirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.away.IsZero() {
		return s.away
	}
	return time.Now()
}

// goAway makes the object API confirm nothing more.
func (s *fakeSource) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = time.Now()
}

// set publishes a listing of entries written as NAME=STATE, and waits until it has been applied.
func (s *fakeSource) set(outageEnd time.Time, entries ...string) {
	next := &follower.Listing{Objects: map[string]storer.Object{}, OutageEnd: outageEnd}
	for i, entry := range entries {
		name, state, _ := strings.Cut(entry, "=")
		next.Objects[name] = storer.Object{Key: name, Version: storer.Version(len(state)*100 + i + 1), Value: []byte(state)}
	}
	s.mu.Lock()
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	synctest.Wait()
}

func decode(key string, value []byte) (registrar.Entry, error) {
	if string(value) == "?" {
		return registrar.Entry{}, errors.New("invalid entry")
	}
	state, incarnation, _ := strings.Cut(string(value), "@")
	return registrar.Entry{Name: namer.Endpoint(key), Leaving: state == "draining", Incarnation: namer.Incarnation(len(incarnation))}, nil
}

func start(t *testing.T) (*fakeSource, *registrar.Registrar) {
	source := &fakeSource{changed: make(chan struct{})}
	r := &registrar.Registrar{Source: source, Decode: decode}
	ctx, stop := context.WithCancel(t.Context())
	go r.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-r.Done()
	})
	return source, r
}

func usable(r *registrar.Registrar) string {
	var names []string
	for _, e := range r.Entries() {
		if !e.Leaving {
			names = append(names, string(e.Name))
		}
	}
	return strings.Join(names, " ")
}

// Guards against use of endpoints that are draining, or whose entry is missing or invalid.
func TestLeavingEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, r := start(t)
		source.set(time.Time{}, "a=ready", "b=ready", "c=ready", "d=?")
		is.Equal(usable(r), "a b c")
		changed := r.Changed()
		source.set(time.Time{}, "a=draining", "c=?", "d=?")
		is.Equal(usable(r), "")
		<-changed
		source.set(time.Time{}, "c=ready", "d=ready")
		is.Equal(usable(r), "c d")
	})
}

// Guards against the removal of live endpoints whose entries expired during an outage of the object
// API. Live endpoints write their entries again within two seconds of its end.
func TestExpiredEntriesAreKeptAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, r := start(t)
		source.set(time.Time{}, "a=ready", "b=ready", "c=draining")
		time.Sleep(10 * time.Second)
		source.set(time.Now())
		is.Equal(usable(r), "a b") // c was draining before the outage
		time.Sleep(1900 * time.Millisecond)
		end := source.Listing().OutageEnd
		source.set(end, "a=ready")
		is.Equal(usable(r), "a b")
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		is.Equal(usable(r), "a") // b did not register again
	})
}

// Guards against requests to an endpoint whose entry was removed shortly after the end of an outage. A
// daemon that had been partitioned sent a request 2.3 s after the removal, where at most 2 s are
// allowed (seen in the case DRAIN of igisasu-ops scale-2).
func TestEntryRemovedAfterOutageIsRemovedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, r := start(t)
		source.set(time.Time{}, "a=ready", "b=ready")
		time.Sleep(10 * time.Second)
		end := time.Now()
		source.set(end, "a=ready", "b=ready")
		time.Sleep(500 * time.Millisecond)
		source.set(end, "b=ready")
		is.Equal(usable(r), "b")
	})
}

// Guards against an entry that expires in two successive outages and is kept forever, or not at all.
func TestTwoOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, r := start(t)
		source.set(time.Time{}, "a=ready")
		time.Sleep(time.Second)
		source.set(time.Now())
		time.Sleep(time.Second)
		source.set(time.Now()) // end of a second outage
		is.Equal(usable(r), "a")
		time.Sleep(2 * time.Second) // live endpoints have registered again by then
		synctest.Wait()
		is.Equal(usable(r), "a")
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		is.Equal(usable(r), "")
	})
}

// Guards against a log line for each version of an odd entry whose writer writes it again and again, and against an odd
// entry that is not counted or not logged at all.
func TestRefusedEntryIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		refused := 0
		source := &fakeSource{changed: make(chan struct{})}
		r := &registrar.Registrar{Source: source, Decode: decode, OnRefused: func() { refused++ }, Log: zerolog.New(&log)}
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx)
		lines := func() int { return strings.Count(log.String(), `"key":"a"`) }
		source.set(time.Time{}, "a=ready", "b=ready")
		source.set(time.Time{}, "a=?", "b=ready")
		is.Equal(usable(r), "b")
		source.set(time.Time{}, "b=ready", "a=?") // another version
		is.Equal([]int{lines(), refused}, []int{1, 2})
		source.set(time.Time{}, "a=ready", "b=ready")
		is.Equal(usable(r), "a b")
		source.set(time.Time{}, "a=?", "b=ready")
		is.Equal([]int{lines(), refused}, []int{2, 3})
		stop()
		<-r.Done()
	})
}
