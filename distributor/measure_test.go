package distributor_test

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var measure = flag.Bool("measure", false, "also run TestFleet at the larger sizes; its log has the figures")

// Guards against a change that makes versions slow or calls on the object API many as a fleet grows.
// With -measure it prints the figures of docs/measurements-membership.md:
//
//	go test ./distributor -run TestFleet -measure -v
func TestFleet(t *testing.T) {
	for _, size := range []struct{ members, centres int }{{4, 2}, {16, 4}, {64, 4}, {256, 8}, {420, 13}} {
		if size.members > 16 && !*measure {
			continue
		}
		t.Run(fmt.Sprintf("members=%d", size.members), func(t *testing.T) {
			before := heapAlloc()
			synctest.Test(t, func(t *testing.T) { fleet(t, size.members, size.centres, before) })
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func fleet(t *testing.T, members, centres int, before uint64) {
	is := is.New(t)
	c := newCluster(t, members, centres, unchanged)
	defer c.stop()
	time.Sleep(30 * time.Second)
	calls := func() (n int) {
		for _, kind := range c.store.Calls() {
			n += kind
		}
		return n
	}
	quiet := calls()
	const quietTime = 2 * time.Minute
	time.Sleep(quietTime)
	quiet = (calls() - quiet) * int(time.Hour/quietTime)
	is.True(quiet <= 2*centres*(180+30))
	var slowest time.Duration
	changes := calls()
	const commits = 5
	for n := range commits {
		started := time.Now()
		version := c.commit(c.daemons[n%members], n)
		c.reachedAfter(version, 3*time.Second, c.daemons...)
		slowest = max(slowest, time.Since(started))
		time.Sleep(time.Second)
	}
	changes = (calls() - changes) / commits
	is.True(slowest < 500*time.Millisecond)
	is.True(changes <= 2+2*centres+2)
	t.Logf("members %d, data centres %d: object API calls in a quiet hour %d (%.1f for each daemon), for a change %d; version in force everywhere %s after the call; heap for each daemon %d kB",
		members, centres, quiet, float64(quiet)/float64(members), changes, slowest, (heapAlloc()-before)/uint64(members)/1000)
}
