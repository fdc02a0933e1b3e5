package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/follower"
	"apricotspool/storer"
)

// restore publishes a listing of a later era than the one before, with entries by the revision of their last change.
func (s *fakeSource) restore(era storer.Era, outageEnd time.Time, entries map[string]uint64, states map[string]string) {
	next := &follower.Listing{Objects: map[string]storer.Object{}, OutageEnd: outageEnd, Version: storer.NewVersion(era, 1000)}
	for name, revision := range entries {
		next.Objects[name] = storer.Object{Key: name, Version: storer.NewVersion(era, revision), Value: []byte(states[name])}
	}
	s.mu.Lock()
	s.current = next
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	synctest.Wait()
}

// Guards against the use of endpoints that have left or are draining, as a restored store lists them before that is written
// again (review/7), and against leaving out endpoints that still serve.
func TestRestoredStoreBringsBackNoDepartedEndpoint(t *testing.T) {
	ready := map[string]string{"gone": "ready", "draining": "ready", "serves": "ready", "back": "ready"}
	before := func(t *testing.T) (*fakeSource, func() string) {
		source, r := start(t)
		source.restore(1, time.Time{}, map[string]uint64{"gone": 11, "draining": 12, "serves": 13, "back": 14}, ready)
		time.Sleep(time.Second)
		source.restore(1, time.Time{}, map[string]uint64{"draining": 15, "serves": 13}, map[string]string{"draining": "draining", "serves": "ready"})
		time.Sleep(3 * time.Second)
		return source, func() string { return usable(r) }
	}
	restored := map[string]uint64{"gone": 11, "draining": 12, "serves": 13, "back": 1001} // "back" has been written since

	t.Run("until it is written again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			source, used := before(t)
			is.Equal(used(), "serves")
			end := time.Now()
			source.restore(2, end, restored, ready)
			is.Equal(used(), "back serves")
			time.Sleep(1200 * time.Millisecond)
			source.restore(2, end, map[string]uint64{"draining": 1002, "serves": 13, "back": 1001}, map[string]string{"draining": "draining", "serves": "ready", "back": "ready"})
			is.Equal(used(), "back serves")
			time.Sleep(3 * time.Second)
			is.Equal(used(), "back serves")
		})
	})
	t.Run("an entry that stays is believed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			source, used := before(t)
			source.restore(2, time.Now(), restored, ready)
			time.Sleep(2200 * time.Millisecond)
			synctest.Wait()
			is.Equal(used(), "back draining gone serves")
		})
	})
	t.Run("it isn't believed in the next outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			source, used := before(t)
			source.restore(2, time.Now(), restored, ready)
			time.Sleep(1500 * time.Millisecond)
			source.goAway()
			time.Sleep(5 * time.Second)
			is.Equal(used(), "back serves")
		})
	})
	t.Run("an entry that is removed later is gone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			source, used := before(t)
			end := time.Now()
			source.restore(2, end, restored, ready)
			time.Sleep(2200 * time.Millisecond)
			source.restore(2, end, map[string]uint64{"serves": 13}, ready)
			is.Equal(used(), "serves")
		})
	})
}

// Guards against an entry of a process that has ended, as a restored store lists it until the process in its place has written its
// own again: streams would go on there at another software version, and requests reach it although it is leaving.
func TestRestoredStoreBringsBackNoEarlierProcess(t *testing.T) {
	for name, c := range map[string]struct {
		known, restored string // with one character for each process under the name
		at, later       int    // incarnation that is used just after the restore, and after the grace
		usable          bool
	}{
		"started again":             {"ready@22", "ready@1", 2, 1, true},
		"started again and leaving": {"draining@22", "ready@1", 2, 1, false},
		"the same process":          {"ready@1", "ready@1", 1, 1, true},
		"a later process":           {"ready@1", "ready@22", 2, 2, true},
		"start unknown":             {"ready@22", "ready", 0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				source, r := start(t)
				source.restore(1, time.Time{}, map[string]uint64{"a": 11}, map[string]string{"a": "ready@1"})
				time.Sleep(time.Second)
				source.restore(1, time.Time{}, map[string]uint64{"a": 12}, map[string]string{"a": c.known})
				time.Sleep(3 * time.Second)
				source.restore(2, time.Now(), map[string]uint64{"a": 11}, map[string]string{"a": c.restored})
				is.Equal(int(r.Entries()[0].Incarnation), c.at)
				is.Equal(usable(r) == "a", c.usable)
				time.Sleep(2200 * time.Millisecond)
				synctest.Wait()
				is.Equal(int(r.Entries()[0].Incarnation), c.later)
			})
		})
	}
}
