package director_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/director"
	"apricotspool/imitator"
)

// Bounds the load on the object API: calls per hour of a lease holder and of a candidate, calls of
// one takeover and calls of each change. The object API scales more slowly than the fleet. With -v
// the test prints the figures.
func TestObjectCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		w := newCluster(true, false, true, false)
		var recordCalls, leaseCalls atomic.Int64
		w.store.Fault = func(ctx context.Context, _, key string) imitator.Fault {
			_, bounded := ctx.Deadline() // reads by the fake engine itself have no deadline
			switch {
			case strings.HasPrefix(key, "authority/"):
				leaseCalls.Add(1)
			case bounded:
				recordCalls.Add(1)
			}
			return imitator.Fault{}
		}
		calls := func(counter *atomic.Int64, during func()) int64 {
			before := counter.Load()
			during()
			return counter.Load() - before
		}
		var p *process
		takeover := calls(&recordCalls, func() {
			p = w.start(ctx, 0)
			is.True(w.awaitHolder(10*time.Second) == p)
			time.Sleep(1500 * time.Millisecond)
		})
		holder := calls(&leaseCalls, func() { time.Sleep(time.Hour) })
		w.start(ctx, 1)
		candidate := calls(&leaseCalls, func() { time.Sleep(time.Hour) }) - holder
		t.Logf("object API calls: holder %d per hour, candidate %d per hour, takeover of %d endpoints %d", holder, candidate, len(w.engines), takeover)
		is.Equal(takeover, int64(2*len(w.engines))) // one read and one write per record
		is.True(holder <= 1800)
		is.True(candidate <= 1800) // one every 2 to 4 s
		for _, e := range w.engines {
			n := calls(&recordCalls, func() { is.Equal(p.apply(decodeRoleChange(e.name)), []director.Outcome{director.Done}) })
			t.Logf("object API calls: role change with %d commands %d (fencing %v)", len(e.effects), n, e.fencing)
			is.Equal(len(e.effects), 3)
			is.Equal(n, int64(5)) // one read, one write per command, one write at the end
		}
	})
}
