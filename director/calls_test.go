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

// Guards the load on the object API, which grows more slowly than the fleet, and prints it with -v:
// calls per hour of a holder and of a candidate, calls of one takeover and calls of each change.
func TestObjectCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		w := newWorld(true, false, true, false)
		var records, others atomic.Int64
		w.store.Fault = func(ctx context.Context, _, key string) imitator.Fault {
			_, bounded := ctx.Deadline() // the fake engine's own reads have none
			switch {
			case strings.HasPrefix(key, "authority/"):
				others.Add(1)
			case bounded:
				records.Add(1)
			}
			return imitator.Fault{}
		}
		calls := func(counter *atomic.Int64, during func()) int64 {
			before := counter.Load()
			during()
			return counter.Load() - before
		}
		var p *process
		takeover := calls(&records, func() {
			p = w.start(ctx, 0)
			is.True(w.holder(10*time.Second) == p)
			time.Sleep(1500 * time.Millisecond)
		})
		holder := calls(&others, func() { time.Sleep(time.Hour) })
		w.start(ctx, 1)
		candidate := calls(&others, func() { time.Sleep(time.Hour) }) - holder
		t.Logf("object API calls: holder %d an hour, candidate %d an hour, takeover of %d endpoints %d", holder, candidate, len(w.engines), takeover)
		is.Equal(takeover, int64(2*len(w.engines))) // a read and a write for each record
		is.True(holder <= 1800)
		is.True(candidate <= 1800) // 2 to 4 s apart
		for _, e := range w.engines {
			n := calls(&records, func() { is.Equal(p.apply(role(e.name)), []director.Outcome{director.Done}) })
			t.Logf("object API calls: role change with %d commands %d (fencing %v)", len(e.effects), n, e.fencing)
			is.Equal(len(e.effects), 3)
			is.Equal(n, int64(5)) // a read, a write for each command, a write at the end
		}
	})
}
