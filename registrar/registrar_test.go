package registrar_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/follower"
	"apricotspool/namer"
	"apricotspool/registrar"
	"apricotspool/storer"
)

// listings is a source of listings that a test sets.
type listings struct {
	mu      sync.Mutex
	current *follower.Listing
	changed chan struct{}
}

func (l *listings) Listing() *follower.Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func (l *listings) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// set publishes a listing of entries written as name=state, and waits until it has been taken.
func (l *listings) set(outageEnd time.Time, entries ...string) {
	next := &follower.Listing{Objects: map[string]storer.Object{}, OutageEnd: outageEnd}
	for i, entry := range entries {
		name, state, _ := strings.Cut(entry, "=")
		next.Objects[name] = storer.Object{Key: name, Version: storer.Version(len(state)*100 + i + 1), Value: []byte(state)}
	}
	l.mu.Lock()
	l.current = next
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	synctest.Wait()
}

func decode(key string, value []byte) (registrar.Entry, error) {
	if string(value) == "?" {
		return registrar.Entry{}, errors.New("can't be read")
	}
	return registrar.Entry{Name: namer.Endpoint(key), Leaving: string(value) == "draining"}, nil
}

func start(t *testing.T) (*listings, *registrar.Registrar) {
	l := &listings{changed: make(chan struct{})}
	r := &registrar.Registrar{Listings: l, Decode: decode}
	ctx, stop := context.WithCancel(t.Context())
	go r.Run(ctx)
	t.Cleanup(func() {
		stop()
		<-r.Done()
	})
	return l, r
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

// Guards against work for endpoints that say that they leave, whose entry is gone, or can't be read.
func TestLeavingEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, r := start(t)
		l.set(time.Time{}, "a=ready", "b=ready", "c=ready", "d=?")
		is.Equal(usable(r), "a b c")
		changed := r.Changed()
		l.set(time.Time{}, "a=draining", "c=?", "d=?")
		is.Equal(usable(r), "")
		<-changed
		l.set(time.Time{}, "c=ready", "d=ready")
		is.Equal(usable(r), "c d")
	})
}

// Guards against endpoints that are given up because their entries lapsed while the object API was
// away: the live ones write them again within two seconds of its return.
func TestLapsedEntriesAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, r := start(t)
		l.set(time.Time{}, "a=ready", "b=ready", "c=draining")
		time.Sleep(10 * time.Second)
		l.set(time.Now())
		is.Equal(usable(r), "a b") // c left before the outage and stays out
		time.Sleep(1900 * time.Millisecond)
		end := l.Listing().OutageEnd
		l.set(end, "a=ready")
		is.Equal(usable(r), "a b")
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		is.Equal(usable(r), "a") // b has not come back
	})
}

// Guards against work for an endpoint whose entry was removed soon after an outage had ended. A daemon
// that had been cut off sent to one 2.3 s after its removal, where 2 s are allowed (igisasu-ops
// scale-2, DRAIN).
func TestEntryRemovedAfterAnOutageIsGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, r := start(t)
		l.set(time.Time{}, "a=ready", "b=ready")
		time.Sleep(10 * time.Second)
		end := time.Now()
		l.set(end, "a=ready", "b=ready")
		time.Sleep(500 * time.Millisecond)
		l.set(end, "b=ready")
		is.Equal(usable(r), "b")
	})
}

// Guards against an entry that lapsed twice and is held for ever, or not at all.
func TestTwoOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l, r := start(t)
		l.set(time.Time{}, "a=ready")
		time.Sleep(time.Second)
		l.set(time.Now())
		time.Sleep(time.Second)
		l.set(time.Now()) // the object API was away once more
		is.Equal(usable(r), "a")
		time.Sleep(2 * time.Second) // live endpoints are back by then
		synctest.Wait()
		is.Equal(usable(r), "a")
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		is.Equal(usable(r), "")
	})
}
