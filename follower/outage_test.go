package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/follower"
	"apricotspool/imitator"
	"apricotspool/timekeeper"
)

// startPair runs a reader and a daemon that replicates from it, each with its own path to one store.
func startPair(t *testing.T) (readerPath, ownPath *faultyStore, reader, f *follower.Follower) {
	shared := &imitator.Store{}
	readerPath, ownPath = &faultyStore{Store: shared}, &faultyStore{Store: shared}
	readerPath.cut(false)
	ownPath.cut(false)
	ownPath.put(t, "a")
	reader = &follower.Follower{Source: readerPath, Prefix: prefix}
	run(t, reader)
	f = &follower.Follower{Source: ownPath, Prefix: prefix, Readers: &fakeReaders{reader: reader}}
	run(t, f)
	time.Sleep(5 * time.Second)
	return readerPath, ownPath, reader, f
}

// Guards against a reader's own cut that its followers take for an outage of the store: they would keep an endpoint that
// has left as if its entry had expired (review/6, DRAIN).
func TestCutOfReaderIsNoOutage(t *testing.T) {
	for _, length := range []time.Duration{50, 300, 700, 1600, 3000} {
		length *= time.Millisecond
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				readerPath, ownPath, _, f := startPair(t)
				readerPath.cut(true)
				time.Sleep(length / 2)
				ownPath.remove(t, "a")
				time.Sleep(length / 2)
				readerPath.cut(false)
				time.Sleep(stalenessBound - length/2)
				is.Equal(objectCount(f.Listing()), 0)
				is.True(f.Listing().OutageEnd.IsZero())
			})
		})
	}
}

// Guards against an outage of the store that followers don't notice, because their reader reads for them: they would drop
// live endpoints whose entries have expired meanwhile.
func TestFollowerNoticesOutage(t *testing.T) {
	for _, length := range []time.Duration{1200, 2400, 5000} {
		length *= time.Millisecond
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				readerPath, ownPath, reader, f := startPair(t)
				readerPath.cut(true)
				ownPath.cut(true)
				time.Sleep(length)
				shared := ownPath.Store
				expired, err := shared.Get(t.Context(), prefix+"a")
				is.NoErr(err)
				is.NoErr(shared.Delete(t.Context(), prefix+"a", expired.Version))
				readerPath.cut(false)
				ownPath.cut(false)
				returned := time.Now()
				for objectCount(f.Listing()) > 0 {
					time.Sleep(10 * time.Millisecond)
				}
				end := f.Listing().OutageEnd
				is.True(!end.Before(returned)) // known when the entry goes, not later
				time.Sleep(5 * time.Second)
				is.Equal(f.Listing().OutageEnd, end) // and it ends once
				is.True(f.Listing().OutageEnd.Sub(reader.Listing().OutageEnd).Abs() < 500*time.Millisecond)
			})
		})
	}
}

// Guards against a process that starts just after a restore of the store and takes the first state that it reads for a whole
// one (review/8), and against one that waits although the store was never restored.
func TestFirstStateOfRestoredStoreIsNotSettled(t *testing.T) {
	for name, restored := range map[string]bool{"restored": true, "never restored": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				begin := time.Now()
				clock := func() timekeeper.Instant { return timekeeper.Instant(time.Since(begin) + time.Hour) }
				store := newFaultyStore()
				store.put(t, "a")
				if restored {
					store.Restore(store.Backup())
				}
				f := &follower.Follower{Source: store, Prefix: prefix, Clock: clock}
				run(t, f)
				time.Sleep(time.Second)
				c := f.Confirmation()
				is.True(c.Known && c.UnbrokenSince <= clock())
				is.Equal(c.SettledAt > clock(), restored)
				time.Sleep(stalenessBound + 2*time.Second)
				is.True(f.Confirmation().SettledAt <= clock())
				store.Restore(store.Backup())
				time.Sleep(time.Second)
				is.True(f.Confirmation().SettledAt > clock())
			})
		})
	}
}

// Guards against a daemon that starts long after a restore and distrusts what a reader that has lived through it could vouch
// for, and against one that takes the time for which a reply was on its way as age of the era.
func TestReaderKnowsHowOldTheEraIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		clock := func() timekeeper.Instant { return timekeeper.Instant(time.Since(begin) + time.Hour) }
		store := newFaultyStore()
		store.put(t, "a")
		reader := &follower.Follower{Source: store, Prefix: prefix, Clock: clock}
		run(t, reader)
		time.Sleep(time.Second)
		store.Restore(store.Backup())
		restored := clock()
		time.Sleep(3 * time.Second)
		for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
			f := &follower.Follower{Source: store, Prefix: prefix, Clock: clock, Readers: &lateReaders{&fakeReaders{reader: reader}, delay}}
			run(t, f)
			time.Sleep(time.Second)
			by := f.Confirmation().Eras.BegunBy()
			is.True(by >= restored.Add(delay))
			is.True(by <= restored.Add(delay+100*time.Millisecond))
		}
	})
}

// lateReaders delays the replies of a reader.
type lateReaders struct {
	*fakeReaders
	delay time.Duration
}

func (r *lateReaders) Sync(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
	reply, err := r.fakeReaders.Sync(ctx, request)
	time.Sleep(r.delay)
	return reply, err
}
