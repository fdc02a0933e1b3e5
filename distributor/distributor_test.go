package distributor_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/configurer"
	"apricotspool/distributor"
	"apricotspool/namer"
	"apricotspool/storer"
)

func allEnabled(*daemon) {}

// settleTime is long enough for the daemons to start and discover each other.
const settleTime = 15 * time.Second

// run starts a cluster in virtual time, waits for settleTime and runs a test on it.
func run(t *testing.T, n, centres int, prepare func(*daemon), test func(*is.I, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n, centres, prepare)
		defer c.stop()
		time.Sleep(settleTime)
		test(is.New(t), c)
		c.checkMonotonic()
	})
}

// Guards against wrong results reported to an operator, and against a head that cannot be read back.
func TestPatchResults(t *testing.T) {
	run(t, 2, 1, allEnabled, func(is *is.I, c *cluster) {
		d := c.daemons[0]
		patch := func(id string, base namer.ConfigVersion, merge string) distributor.PatchReply {
			time.Sleep(time.Second)
			return d.Patch(c.t.Context(), distributor.Patch{ID: distributor.PatchID(id), Base: base, Merge: []byte(merge), By: "op"})
		}
		is.Equal(d.version(), namer.ConfigVersion(0)) // an empty store is version 0
		is.Equal(patch("a", 0, `{"data-centres": {"x": {"region": "r"}}}`), distributor.PatchReply{Result: distributor.Applied, Version: 1})
		is.Equal(patch("b", 1, `{}`), distributor.PatchReply{Result: distributor.Applied, Version: 2}) // changes nothing, but creates a version
		is.Equal(patch("a", 0, `{"data-centres":{"x":{"region":"r"}}}`), distributor.PatchReply{Result: distributor.Applied, Version: 1})
		stale := patch("c", 1, `{"data-centres":{"y":{"region":"r"}}}`)
		is.Equal(stale.Result, distributor.Stale)
		is.Equal(stale.Version, namer.ConfigVersion(2))
		is.Equal(patch("d", 0, `{}`).Changes, []configurer.Change{{Path: "/data-centres/x", After: `{"region":"r"}`}})
		is.Equal(patch("a", 0, `{}`).Result, distributor.Invalid) // ID of a different patch
		is.Equal(patch("", 2, `{}`).Result, distributor.Invalid)
		is.Equal(patch("e", 2, `{"data-centres":{"x":{"region":""}}}`).Faults[0].Path, "/data-centres/x/region")
		is.Equal(patch("f", 9, `{}`).Result, distributor.NotApplied) // a version that does not exist
		is.Equal(c.timeToReach(2, time.Second, c.daemons...), time.Duration(0))
	})
}

// Guards against errors when the tail is moved to a history segment and a snapshot: versions, history and
// documents must survive many commits, large patches and restarts, and old snapshot objects must not
// accumulate.
func TestManyCommits(t *testing.T) {
	run(t, 2, 1, allEnabled, func(is *is.I, c *cluster) {
		const commits = 110
		large := fmt.Sprintf(`{"models":{"m":{"version":"1","context":1,"adapters":["%s"]}}}`, strings.Repeat("x", 70_000))
		for i := range commits {
			time.Sleep(2 * time.Second)
			d, merge := c.daemons[i%2], regionPatch(i)
			if i%40 == 20 {
				merge = []byte(large)
			}
			reply := d.Patch(c.t.Context(), distributor.Patch{ID: distributor.PatchID(fmt.Sprint(i)), Base: namer.ConfigVersion(i), Merge: merge})
			is.Equal(reply, distributor.PatchReply{Result: distributor.Applied, Version: namer.ConfigVersion(i + 1)})
		}
		time.Sleep(time.Second)
		is.True(c.converged())
		fresh := c.restart(0)
		time.Sleep(5 * time.Second)
		is.Equal(fresh.version(), namer.ConfigVersion(commits))
		is.True(c.converged())
		for _, after := range []namer.ConfigVersion{0, 31, 32, 50, 109} {
			history, err := fresh.History(c.t.Context(), after, 1000)
			is.NoErr(err)
			is.Equal(len(history), commits-int(after))
			for i, e := range history {
				is.Equal(e.Version, after+namer.ConfigVersion(i+1))
				is.Equal(string(e.ID), fmt.Sprint(int(after)+i))
			}
			time.Sleep(2 * time.Second)
		}
		reply := fresh.Patch(c.t.Context(), distributor.Patch{ID: "3", Base: 3, Merge: regionPatch(3)})
		is.Equal(reply, distributor.PatchReply{Result: distributor.Applied, Version: 4}) // found in the history
		snapshots, err := c.store.List(c.t.Context(), "configuration/snapshot/", "", 0)
		is.NoErr(err)
		is.True(len(snapshots.Objects) <= 3)
	})
}

// Guards against two concurrent patches that are both reported as applied.
func TestExactlyOneConcurrentPatchIsApplied(t *testing.T) {
	for _, operators := range []int{2, 3, 8} {
		t.Run(fmt.Sprint(operators), func(t *testing.T) {
			run(t, 8, 2, allEnabled, func(is *is.I, c *cluster) {
				for round := range 5 {
					base := c.daemons[0].version()
					replies := make([]distributor.PatchReply, operators)
					var patches sync.WaitGroup
					for i := range operators {
						patches.Go(func() {
							p := distributor.Patch{ID: distributor.PatchID(fmt.Sprintf("%d-%d", round, i)), Base: base, Merge: regionPatch(10*round + i)}
							replies[i] = c.daemons[i].Patch(c.t.Context(), p)
						})
					}
					patches.Wait()
					applied := 0
					for _, r := range replies {
						if r.Result == distributor.Applied {
							applied++
							continue
						}
						is.Equal(r.Result, distributor.Stale)
						is.Equal(r.Version, base+1)
						is.Equal(len(r.Changes), 1)
					}
					is.Equal(applied, 1)
					time.Sleep(3 * time.Second)
					is.True(c.converged())
				}
			})
		})
	}
}

// Guards against a patch that is reported as rejected although it took or will take effect, and against
// one that is applied twice or reported as stale because of its own earlier write.
func TestLostResponses(t *testing.T) {
	for _, c := range []struct {
		name          string
		fault         fault
		during, after distributor.Result // result of the call, and of its retry on another daemon once the store has recovered
		prepare       func(*daemon)
	}{
		{"store unavailable", unavailable, distributor.NotApplied, distributor.Applied, allEnabled},
		{"store does not respond", hanging, distributor.NotApplied, distributor.Applied, allEnabled}, // the read fails before any write
		{"write applied, response lost", responseLost, distributor.Applied, distributor.Applied, allEnabled},
		{"write applied late", appliedLate, distributor.Unknown, distributor.Applied, allEnabled},
		{"write applied, response lost, without patch IDs", responseLost, distributor.Stale, distributor.Stale, func(d *daemon) { d.DisablePatchIDs() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 4, 2, c.prepare, func(is *is.I, cl *cluster) {
				d := cl.daemons[0]
				d.store.set(c.fault)
				p := distributor.Patch{ID: "p", Base: 0, Merge: regionPatch(1)}
				is.Equal(d.Patch(cl.t.Context(), p).Result, c.during)
				d.store.set(healthy)
				p.Retry = true
				is.Equal(cl.daemons[1].Patch(cl.t.Context(), p).Result, c.after)
				time.Sleep(10 * time.Second)
				is.Equal(d.version(), namer.ConfigVersion(1)) // applied once
				is.True(cl.converged())
			})
		})
	}
}

// Guards against "not-applied" for a retried call whose first write is still in flight.
func TestRetryDuringOutageIsUnknown(t *testing.T) {
	run(t, 2, 1, allEnabled, func(is *is.I, c *cluster) {
		p := distributor.Patch{ID: "p", Merge: regionPatch(1)}
		c.daemons[0].store.set(appliedLate)
		is.Equal(c.daemons[0].Patch(c.t.Context(), p).Result, distributor.Unknown)
		p.Retry = true
		c.daemons[1].store.set(unavailable)
		is.Equal(c.daemons[1].Patch(c.t.Context(), p).Result, distributor.Unknown)
		c.daemons[1].store.set(healthy)
		is.True(c.timeToReach(1, 10*time.Second, c.daemons...) < 8*time.Second) // the first write took effect
	})
}

// Guards against a version that does not reach daemons whose push was lost, or reaches them late.
func TestVersionReachesAllDaemons(t *testing.T) {
	watchOnly := func(d *daemon) { d.DisablePush(); d.DisableRepair() }
	for _, c := range []struct {
		name    string
		loss    float64
		prepare func(*daemon)
		within  func(time.Duration) bool
	}{
		{"all mechanisms", 0, allEnabled, func(d time.Duration) bool { return d < 100*time.Millisecond }},
		{"a third of messages lost", 0.33, allEnabled, func(d time.Duration) bool { return d < 3*time.Second }},
		{"without push", 0, func(d *daemon) { d.DisablePush() }, func(d time.Duration) bool { return d > 300*time.Millisecond && d < 20*time.Second }},
		{"without repair, most messages lost", 0.9, func(d *daemon) { d.DisableRepair() }, func(d time.Duration) bool { return d == 20*time.Second }},
		{"without push and repair, only watchers get the version", 0, watchOnly, func(d time.Duration) bool { return d == 20*time.Second }},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 24, 3, c.prepare, func(is *is.I, cl *cluster) {
				cl.network.SetLossRate(c.loss)
				cl.commit(cl.daemons[5], 1)
				if c.loss == 0.9 {
					time.Sleep(2 * time.Second)
					cl.network.SetLossRate(0)
				}
				took := cl.timeToReach(1, 20*time.Second, cl.daemons...)
				cl.t.Log("active everywhere after", took)
				is.True(c.within(took))
			})
		})
	}
}

// Guards against a restarted daemon that runs without a configuration or with an older version although
// a newer one is available.
func TestRestart(t *testing.T) {
	for _, c := range []struct {
		name     string
		platform fault
		peers    bool
		prepare  func(*daemon)
		want     namer.ConfigVersion
		ready    bool
	}{
		{"platform and peers", healthy, true, allEnabled, 2, true},
		{"platform only", healthy, false, allEnabled, 2, true},
		{"peers only", unavailable, true, allEnabled, 2, true},
		{"peers only, platform hangs", hanging, true, allEnabled, 2, true},
		{"peers only, without querying them at startup or fetching reported versions", unavailable, true, func(d *daemon) { d.DisableBootstrapPeers(); d.DisableRepair() }, 0, false},
		{"neither", unavailable, false, allEnabled, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 4, 1, allEnabled, func(is *is.I, cl *cluster) {
				cl.commit(cl.daemons[0], 1)
				time.Sleep(time.Second)
				cl.daemons[2].stop()
				cl.commit(cl.daemons[0], 2)
				time.Sleep(time.Second)
				for _, d := range cl.daemons[:2] {
					cl.network.SetUnreachable(d.address, !c.peers)
				}
				cl.network.SetUnreachable(cl.daemons[3].address, true)
				cl.prepare = func(d *daemon) { d.store.set(c.platform); c.prepare(d) }
				d := cl.start(2)
				time.Sleep(10 * time.Second)
				is.Equal(d.version(), c.want)
				select {
				case <-d.Ready():
					is.True(c.ready)
				default:
					is.True(!c.ready)
				}
			})
		})
	}
}

// Guards against reverting to an older configuration after the store was restored from a backup.
func TestRestoredBackupIsRejected(t *testing.T) {
	run(t, 4, 2, allEnabled, func(is *is.I, c *cluster) {
		d := c.daemons[0]
		c.commit(d, 1)
		old, err := c.store.Get(c.t.Context(), "configuration/head")
		is.NoErr(err)
		c.commit(d, 2)
		head, err := c.store.Get(c.t.Context(), "configuration/head")
		is.NoErr(err)
		_, err = c.store.Put(c.t.Context(), head.Key, old.Value, head.Version)
		is.NoErr(err)
		time.Sleep(20 * time.Second)
		for _, d := range c.daemons {
			is.Equal(d.version(), namer.ConfigVersion(2))
		}
		is.Equal(d.Patch(c.t.Context(), distributor.Patch{ID: "x", Base: 1, Merge: regionPatch(9)}).Result, distributor.NotApplied)
		fresh := c.restart(3)
		time.Sleep(5 * time.Second)
		is.Equal(fresh.version(), namer.ConfigVersion(2)) // fetched from its peers
		var metrics bytes.Buffer
		d.metrics.Write(&metrics)
		is.True(strings.Contains(metrics.String(), "apricotspool_configuration_reverts_refused_total")) // reported
	})
}

// Guards against a data centre or a process that does not catch up after a network partition or a pause,
// and against a data centre that falls behind while only the object API is unreachable.
func TestCatchUpAfterUnreachability(t *testing.T) {
	for _, c := range []struct {
		name      string
		isolate   func(*cluster)
		reconnect func(*cluster)
		behind    bool // while isolated
	}{
		{"data centre partitioned", func(c *cluster) {
			for i := 0; i < 12; i += 3 {
				c.network.SetPartition(1, address(i))
				c.daemons[i].store.set(hanging)
			}
		}, func(c *cluster) {
			for i := 0; i < 12; i += 3 {
				c.network.SetPartition(0, address(i))
				c.daemons[i].store.set(healthy)
			}
		}, true},
		{"data centre without access to the object API", func(c *cluster) {
			for i := 0; i < 12; i += 3 {
				c.daemons[i].store.set(hanging)
			}
		}, func(c *cluster) {}, false},
		{"process paused", func(c *cluster) {
			c.network.SetUnreachable(address(3), true)
			c.daemons[3].store.set(hanging)
		}, func(c *cluster) {
			c.network.SetUnreachable(address(3), false)
			c.daemons[3].store.set(healthy)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 12, 3, allEnabled, func(is *is.I, cl *cluster) {
				c.isolate(cl)
				time.Sleep(30 * time.Second)
				for n := range 40 { // more than the tail holds, so that its entries alone are not enough
					cl.commit(cl.daemons[1], n)
					time.Sleep(time.Second)
				}
				is.Equal(cl.daemons[3].version() < 40, c.behind)
				c.reconnect(cl)
				took := cl.timeToReach(40, 10*time.Second, cl.daemons...)
				cl.t.Log("caught up after", took)
				is.True(took < 3*time.Second)
				is.True(cl.converged())
			})
		})
	}
}

// Guards against overload of the object API: without changes only the watchers call it, and during an
// outage calls are retried with backoff.
func TestStoreCallsAreFew(t *testing.T) {
	run(t, 12, 2, allEnabled, func(is *is.I, c *cluster) {
		totalCalls := func() (n int) {
			for _, calls := range c.store.Calls() {
				n += calls
			}
			return n
		}
		before := totalCalls()
		time.Sleep(10 * time.Minute)
		is.True(totalCalls()-before <= 4*(10*3+1)) // four watchers with three watches per minute each
		before = totalCalls()
		c.commit(c.daemons[0], 1)
		time.Sleep(time.Second)
		is.True(totalCalls()-before <= 2+4) // reads and writes the head, then the watchers watch again
		for _, d := range c.daemons {
			d.store.set(unavailable)
		}
		time.Sleep(time.Minute) // until open watches have ended
		failed := func() (n uint64) {
			for _, d := range c.daemons {
				n += d.metrics.Counter(`apricotspool_configuration_store_calls_total{call="watch",result="failed"}`).Get()
			}
			return n
		}
		calls := failed()
		time.Sleep(10 * time.Minute)
		is.True(failed()-calls <= 4*600/5+8) // each watcher waits for 5 to 10 s between calls
		is.True(failed()-calls >= 4*600/10-8)
	})
}

// Guards against a daemon whose rate of calls to the store is unlimited.
func TestStoreRateIsLimited(t *testing.T) {
	run(t, 1, 1, allEnabled, func(is *is.I, c *cluster) {
		for i := range 300 {
			c.daemons[0].Patch(c.t.Context(), distributor.Patch{ID: distributor.PatchID(fmt.Sprint(i)), Base: 1 << 40, Merge: []byte(`{}`)})
		}
		calls := c.store.Calls()["get"]
		is.True(calls < 60) // would be 300 without the limit
		reply := c.daemons[0].Patch(c.t.Context(), distributor.Patch{ID: "x", Merge: []byte(`{}`)})
		is.Equal(reply.Result, distributor.NotApplied)
		is.True(strings.Contains(reply.Reason, storer.ErrThrottled.Error()))
	})
}
