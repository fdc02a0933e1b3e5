package follower_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/follower"
	"apricotspool/imitator"
	"apricotspool/storer"
)

// Guards against watched changes that are published only after the next list.
func TestWatchedChangeIsPublishedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFaultyStore()
		f := &follower.Follower{Source: store, Prefix: prefix, StalenessBound: 3 * time.Hour}
		run(t, f)
		time.Sleep(time.Second)
		changed := f.Changed()
		store.put(t, "a")
		synctest.Wait()
		is.Equal(objectCount(f.Listing()), 1)
		<-changed
		store.remove(t, "a")
		synctest.Wait()
		is.Equal(objectCount(f.Listing()), 0)
	})
}

// Guards against taking a watch that returns nothing as proof that nothing has changed: a compaction can
// make watches miss changes.
func TestPollCoversSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFaultyStore()
		store.set(true, nil)
		f := &follower.Follower{Source: store, Prefix: prefix}
		run(t, f)
		time.Sleep(3 * time.Second)
		store.put(t, "a")
		time.Sleep(stalenessBound / 2)
		is.Equal(objectCount(f.Listing()), 1)
		store.remove(t, "a")
		time.Sleep(stalenessBound / 2)
		is.Equal(objectCount(f.Listing()), 0)
	})
}

// Guards against changes that arrive after the configured staleness bound, and against more calls than the
// bound requires.
func TestChangesArriveWithinStalenessBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newFaultyStore()
				store.set(true, nil)
				f := &follower.Follower{Source: store, Prefix: prefix, StalenessBound: bound}
				run(t, f)
				for range 5 {
					store.put(t, "a")
					time.Sleep(bound)
					is.Equal(objectCount(f.Listing()), 1)
					store.remove(t, "a")
					time.Sleep(bound)
					is.Equal(objectCount(f.Listing()), 0)
				}
				is.True(store.count() <= 10*4) // at most 4 lists and watches per staleness bound
			})
		})
	}
}

// Guards against missing the changes in a history that the store has compacted.
func TestHistoryGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFaultyStore()
		store.put(t, "a")
		f := &follower.Follower{Source: store, Prefix: prefix, StalenessBound: 3 * time.Hour}
		run(t, f)
		time.Sleep(time.Second)
		is.Equal(objectCount(f.Listing()), 1)
		store.remove(t, "a")
		store.put(t, "b")
		store.put(t, "c")
		store.Compact()
		time.Sleep(time.Second)
		is.Equal(objectCount(f.Listing()), 2)
	})
}

// Guards against an outage that empties the replica, that is not recognised, or whose end is taken from a
// call that hung on an old connection.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFaultyStore()
		store.put(t, "a")
		f := &follower.Follower{Source: store, Prefix: prefix}
		run(t, f)
		time.Sleep(time.Second)
		is.True(f.Listing().OutageEnd.IsZero())
		store.set(false, storer.ErrUnavailable)
		time.Sleep(5 * time.Second)
		is.Equal(objectCount(f.Listing()), 1)
		store.set(false, nil)
		restored := time.Now()
		time.Sleep(stalenessBound)
		is.Equal(objectCount(f.Listing()), 1)
		end := f.Listing().OutageEnd
		is.True(!end.Before(restored) && end.Sub(restored) < stalenessBound)
		time.Sleep(10 * time.Second)
		is.Equal(f.Listing().OutageEnd, end)
	})
}

// Guards against a daemon that sees no changes for a second after a network partition because an earlier
// call still hangs. The registrar keeps missing entries for two seconds after an outage, and from three
// seconds after the partition no request may go to an endpoint that has left (igisasu-ops scale-2 --seed
// 9920131240, DRAIN).
func TestChangesArriveAfterPartition(t *testing.T) {
	for _, length := range []time.Duration{10 * time.Second, 10300 * time.Millisecond, 10600 * time.Millisecond, 10900 * time.Millisecond, 11200 * time.Millisecond, 11500 * time.Millisecond} {
		t.Run(length.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newFaultyStore()
				store.set(true, nil)
				store.put(t, "a")
				f := &follower.Follower{Source: store, Prefix: prefix}
				run(t, f)
				time.Sleep(time.Second)
				store.partition(true)
				store.remove(t, "a")
				time.Sleep(length)
				store.partition(false)
				time.Sleep(850 * time.Millisecond)
				is.Equal(objectCount(f.Listing()), 0)
			})
		})
	}
}

// Guards against a replica of a reader's replica that is late or incomplete, or keeps deleted objects.
func TestFollowsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store, unused := newFaultyStore(), newFaultyStore()
		reader := &follower.Follower{Source: store, Prefix: prefix}
		run(t, reader)
		time.Sleep(time.Second)
		store.put(t, "a")
		peers := &fakeReaders{reader: reader}
		f := &follower.Follower{Source: unused, Prefix: prefix, Readers: peers}
		run(t, f)
		time.Sleep(time.Second)
		is.Equal(objectCount(f.Listing()), 1)
		store.put(t, "b")
		synctest.Wait()
		is.Equal(objectCount(f.Listing()), 2)
		store.remove(t, "a")
		synctest.Wait()
		is.Equal(objectCount(f.Listing()), 1)
		time.Sleep(20 * time.Second)
		is.Equal(unused.count(), 0) // it never reads the object API itself, not even at its start
	})
}

// Guards against a daemon that keeps a stale replica when its reader is disconnected from it or from the
// object API.
func TestFallsBackWhenReaderIsLost(t *testing.T) {
	for name, disconnect := range map[string]func(*fakeReaders, *faultyStore){
		"reader unreachable from the daemon": func(r *fakeReaders, _ *faultyStore) { r.set(nil, false, true) },
		"reader without the object API":      func(_ *fakeReaders, s *faultyStore) { s.set(true, storer.ErrUnavailable) },
		"reader throttled":                   func(_ *fakeReaders, s *faultyStore) { s.set(true, storer.ErrThrottled) },
		"reader without a replica":           func(r *fakeReaders, _ *faultyStore) { r.set(&follower.Follower{Prefix: prefix}, false, false) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				shared := &imitator.Store{}
				store, own := &faultyStore{Store: shared}, &faultyStore{Store: shared}
				reader := &follower.Follower{Source: store, Prefix: prefix}
				run(t, reader)
				peers := &fakeReaders{reader: reader}
				f := &follower.Follower{Source: own, Prefix: prefix, Readers: peers}
				run(t, f)
				time.Sleep(5 * time.Second)
				disconnect(peers, store)
				for range 5 {
					own.put(t, "a")
					time.Sleep(stalenessBound)
					is.Equal(objectCount(f.Listing()), 1)
					own.remove(t, "a")
					time.Sleep(stalenessBound)
					is.Equal(objectCount(f.Listing()), 0)
				}
			})
		})
	}
}

// Guards against every daemon polling the object API at the full rate in an outage, and against an outage
// that ends twice for a daemon: entries removed in between would be taken for expired ones.
func TestReaderPollsForAllInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := &imitator.Store{}
		store, own := &faultyStore{Store: shared}, &faultyStore{Store: shared}
		reader := &follower.Follower{Source: store, Prefix: prefix}
		run(t, reader)
		f := &follower.Follower{Source: own, Prefix: prefix, Readers: &fakeReaders{reader: reader}}
		run(t, f)
		time.Sleep(5 * time.Second)
		store.set(true, storer.ErrUnavailable)
		own.set(true, storer.ErrUnavailable)
		time.Sleep(10 * time.Second)
		is.True(own.count() <= 20) // at most one per half of the staleness bound
		store.set(false, nil)
		own.set(false, nil)
		shared.Put(t.Context(), prefix+"a", []byte("{}"), 0)
		time.Sleep(500 * time.Millisecond)
		is.Equal(objectCount(f.Listing()), 1)
		end := f.Listing().OutageEnd
		is.True(end.Sub(reader.Listing().OutageEnd).Abs() < 500*time.Millisecond)
		time.Sleep(10 * time.Second)
		is.Equal(f.Listing().OutageEnd, end)
	})
}

// Guards against a restarted reader whose older state reverts a newer replica.
func TestOlderReaderDoesNotRevertState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFaultyStore()
		store.put(t, "a")
		old := &follower.Follower{Source: newFaultyStore(), Prefix: prefix}
		run(t, old)
		peers := &fakeReaders{isReader: true}
		f := &follower.Follower{Source: store, Prefix: prefix, Readers: peers}
		run(t, f)
		time.Sleep(time.Second)
		is.Equal(objectCount(f.Listing()), 1)
		version := f.Listing().Version
		peers.set(old, false, false)
		time.Sleep(time.Second)
		is.Equal(objectCount(f.Listing()), 1)
		is.True(f.Listing().Version >= version)
	})
}

// Guards against a replica that keeps what a restored store has lost, that takes the absence of entries for
// their removal, or that returns to the era before.
func TestRestoredStoreIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFaultyStore()
		reader := &follower.Follower{Source: store, Prefix: prefix}
		run(t, reader)
		store.put(t, "a")
		backup := store.Backup()
		store.put(t, "b")
		time.Sleep(3 * time.Second)
		is.Equal(objectCount(reader.Listing()), 2)
		is.True(reader.Listing().OutageEnd.IsZero())
		old := reader.Serve(t.Context(), &follower.SyncRequest{Prefix: prefix})
		store.Restore(backup)
		time.Sleep(time.Second)
		is.Equal(objectCount(reader.Listing()), 1)
		is.True(!reader.Listing().OutageEnd.IsZero()) // entries may be missing until they are written again
		store.put(t, "b")
		synctest.Wait()
		is.Equal(objectCount(reader.Listing()), 2)

		// Another daemon, whose reader is still in the era before, follows the later one.
		readers := &fakeReaders{}
		readers.set(reader, false, false)
		other := &follower.Follower{Source: store, Prefix: prefix, Readers: readers}
		run(t, other)
		time.Sleep(time.Second)
		is.Equal(other.Listing().Version, reader.Listing().Version)
		is.True(old.Version < other.Listing().Version)
	})
}
