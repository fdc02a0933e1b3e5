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

var measure = flag.Bool("measure", false, "also run TestFleet at the larger sizes and log the figures")

// Guards against propagation times and numbers of object API calls that grow too fast with the number of
// daemons. With -measure it prints the figures in docs/measurements-membership.md:
//
//	go test ./distributor -run TestFleet -measure -v
func TestFleet(t *testing.T) {
	for _, size := range []struct{ members, centres int }{{4, 2}, {16, 4}, {64, 4}, {256, 8}, {420, 13}} {
		if size.members > 16 && !*measure {
			continue
		}
		t.Run(fmt.Sprintf("members=%d", size.members), func(t *testing.T) {
			before := heapAlloc()
			synctest.Test(t, func(t *testing.T) { measureFleet(t, size.members, size.centres, before) })
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func measureFleet(t *testing.T, members, centres int, before uint64) {
	is := is.New(t)
	c := newCluster(t, members, centres, allEnabled)
	defer c.stop()
	time.Sleep(30 * time.Second)
	calls := func() (n int) {
		for _, kind := range c.store.Calls() {
			n += kind
		}
		return n
	}
	idleCalls := calls()
	const idlePeriod = 2 * time.Minute
	time.Sleep(idlePeriod)
	idleCalls = (calls() - idleCalls) * int(time.Hour/idlePeriod)
	is.True(idleCalls <= 2*centres*(180+30))
	var slowest time.Duration
	callsPerChange := calls()
	const commits = 5
	for n := range commits {
		started := time.Now()
		version := c.commit(c.daemons[n%members], n)
		c.timeToReach(version, 3*time.Second, c.daemons...)
		slowest = max(slowest, time.Since(started))
		time.Sleep(time.Second)
	}
	callsPerChange = (calls() - callsPerChange) / commits
	is.True(slowest < 500*time.Millisecond)
	is.True(callsPerChange <= 2+2*centres+2)
	t.Logf("members %d, data centres %d: object API calls per idle hour %d (%.1f per daemon), per change %d; version active everywhere %s after the call; heap per daemon %d kB",
		members, centres, idleCalls, float64(idleCalls)/float64(members), callsPerChange, slowest, (heapAlloc()-before)/uint64(members)/1000)
}
