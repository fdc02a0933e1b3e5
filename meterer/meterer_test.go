package meterer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/imitator"
	"apricotspool/meterer"
	"apricotspool/namer"
	"apricotspool/storer"
)

// Guards against windows that are lost, counted twice or reported late while nothing fails.
func TestWindowsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		counted := f.load(time.Minute)
		f.settle()
		f.platform.check()
		is.Equal(f.platform.counts()["w"], counted)
		_, missing := f.platform.windows()
		is.Equal(missing, 0)
		for _, r := range f.platform.reports {
			is.True(r.at.Before(time.Unix(0, (int64(r.window)+1)*int64(length)).Add(10 * time.Second))) // late
		}
		var settled struct{ Windows []any }
		object, err := f.store.Get(t.Context(), meterer.SettledKey)
		is.NoErr(err)
		is.NoErr(json.Unmarshal(object.Value, &settled))
		is.True(len(settled.Windows) <= 6) // the object doesn't grow
	})
}

// Guards, for each failure of the holder, against reports under an old token, tokens that fall, holders that alternate within
// the gap, a second report of a window with other counts, and windows that are never reported.
func TestHolderFails(t *testing.T) {
	for name, fail := range map[string]func(*fleet, *daemon){
		"killed":             func(_ *fleet, d *daemon) { d.kill() },
		"killed with answer": func(f *fleet, d *daemon) { f.platform.set(func() { f.platform.onReport = killOnce(d) }) },
		"killed after write": func(_ *fleet, d *daemon) { d.node.PauseAt("put-answer", time.Minute); d.cancel() },
		"cut from store":     func(_ *fleet, d *daemon) { d.node.SetFailureMode(imitator.Partition, time.Second) },
		"store refuses":      func(_ *fleet, d *daemon) { d.node.SetFailureMode(imitator.Outage, time.Second) },
		"cut from platform":  func(f *fleet, d *daemon) { f.platform.set(func() { f.platform.unreachable[d.Host] = true }) },
		"deaf to platform":   func(f *fleet, d *daemon) { f.platform.set(func() { f.platform.deaf[d.Host] = true }) },
		"paused in renewal":  func(_ *fleet, d *daemon) { d.node.PauseAt("put-answer", 7*time.Second) },
		"paused in report":   func(_ *fleet, d *daemon) { d.node.PauseAt("report", 7*time.Second) },
		"paused in answer":   func(_ *fleet, d *daemon) { d.node.PauseAt("report-answer", 7*time.Second) },
		"lost answers":       func(_ *fleet, d *daemon) { d.node.SetFailureMode(imitator.WriteResponseLost, time.Second) },
		"late writes":        func(_ *fleet, d *daemon) { d.node.SetFailureMode(imitator.DelayedWrite, 2*time.Second) },
		"no answers":         func(_ *fleet, d *daemon) { d.node.SetFailureMode(imitator.ResponsesLost, time.Second) },
		"released":           func(_ *fleet, d *daemon) { d.cancel() },
	} {
		for _, phase := range []time.Duration{0, 700 * time.Millisecond, 1900 * time.Millisecond, 3100 * time.Millisecond, 4300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", name, phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 3)
					f.load(20 * time.Second)
					// One datagram of three arrives from now on, so that the copies of the candidates differ.
					f.setDelivery(dropSome())
					f.load(phase)
					fail(f, f.holder())
					f.load(30 * time.Second)
					f.settle()
					f.platform.check()
					_, missing := f.platform.windows()
					is.Equal(missing, 0)
				})
			})
		}
	}
}

// Guards against a holder that sends counts whose settling write failed, or that settles a window again with later counts when
// the answer of the write was lost: the next holder would send others.
func TestSettlingWriteFails(t *testing.T) {
	for name, fault := range map[string]imitator.Fault{
		"refused":   {Err: storer.ErrUnavailable},
		"uncertain": {Err: storer.ErrUncertain},
		"lost":      {Lost: storer.ErrUncertain},
	} {
		for _, killed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, killed %t", name, killed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := &fleet{t: t, store: &imitator.Store{}, platform: newPlatform(t)}
					var failing atomic.Bool
					f.store.Fault = func(_ context.Context, kind, key string) imitator.Fault {
						if failing.Load() && kind == "put" && key == meterer.SettledKey {
							return fault
						}
						return imitator.Fault{}
					}
					for range 3 {
						f.start()
					}
					f.load(20 * time.Second)
					f.setDelivery(dropSome())
					failing.Store(true)
					f.load(12 * time.Second)
					if killed {
						f.holder().kill()
					}
					f.load(5 * time.Second)
					failing.Store(false)
					f.load(10 * time.Second)
					f.settle()
					f.platform.check()
					_, missing := f.platform.windows()
					is.Equal(missing, 0)
					is.True(time.Since(f.platform.reports[len(f.platform.reports)-1].at) <= length) // reports go on
				})
			})
		}
	}
}

// killOnce returns a function that kills a daemon when its next report has arrived.
func killOnce(d *daemon) func(namer.Host) {
	return func(holder namer.Host) {
		if holder == d.Host {
			d.kill()
		}
	}
}

// dropSome returns a delivery that loses two of three datagrams.
func dropSome() func(from, to *daemon, pass func()) {
	n := 0
	return func(_, _ *daemon, pass func()) {
		if n++; n%3 == 0 {
			pass()
		}
	}
}

// Guards against a holder that keeps the lease although it alone can't reach the platform, and against one that gives it up
// for a few lost calls.
func TestLeaseMovesToADaemonThatReachesThePlatform(t *testing.T) {
	for cut, moves := range map[time.Duration]bool{time.Minute: true, 1500 * time.Millisecond: false} {
		t.Run(cut.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3)
				f.load(20 * time.Second)
				holder := f.holder()
				f.platform.set(func() { f.platform.unreachable[holder.Host] = true })
				f.load(cut)
				f.platform.set(func() { delete(f.platform.unreachable, holder.Host) })
				f.settle()
				f.platform.check()
				_, missing := f.platform.windows()
				is.Equal(missing, 0)
				is.Equal(len(f.platform.holders()) > 1, moves)
			})
		})
	}
}

// Guards against a second report with other counts after the store was restored from a copy that lacks settled windows,
// whether the holder lives on or not, and against a daemon that reports nothing any more.
func TestRestoredStoreReportsNothingTwice(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for _, age := range []time.Duration{time.Second, 4 * time.Second, 12 * time.Second, 40 * time.Second} {
			t.Run(fmt.Sprintf("killed %t, copy %s old", killed, age), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 3)
					f.store.Restore(f.store.Backup()) // so that the store has eras
					f.load(20 * time.Second)
					backup := f.store.Backup()
					f.setDelivery(dropSome())
					f.load(age)
					holder := f.holder()
					f.store.Restore(backup)
					if killed {
						holder.kill()
					}
					f.load(30 * time.Second)
					f.settle()
					f.platform.check()
					_, missing := f.platform.windows()
					is.True(missing <= 2) // windows that may have been settled without a trace aren't reported again
				})
			})
		}
	}
}

// Guards against a second report with other counts by a holder that has started after the store was restored: all candidates
// and the store lose power together, and the copy lacks windows that were reported (review/10). Others that live know parts of
// the counts of these windows.
func TestLossOfPowerReportsNothingTwice(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		t.Run(fmt.Sprintf("copy %s old", age), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 5)
				f.daemons[3].countsOnly.Store(true)
				f.daemons[4].countsOnly.Store(true)
				f.store.Restore(f.store.Backup()) // so that the store has eras
				f.load(22 * time.Second)
				backup := f.store.Backup()
				f.load(age)
				for _, candidate := range f.daemons[:3] {
					candidate.kill()
				}
				f.store.Restore(backup)
				time.Sleep(500 * time.Millisecond)
				restarted := time.Now()
				for range 3 {
					f.start()
				}
				f.load(30 * time.Second)
				f.settle()
				f.platform.check()
				after := 0
				for _, r := range f.platform.reports {
					if r.at.After(restarted) {
						after++
					}
				}
				is.True(after >= 6) // the windows since then are reported
			})
		})
	}
}

// Guards against windows that aren't reported after all candidates were killed, because the store was restored once, long before.
func TestKillOfAllCandidatesLosesNoWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5)
		f.daemons[3].countsOnly.Store(true)
		f.daemons[4].countsOnly.Store(true)
		f.store.Restore(f.store.Backup())
		f.load(22 * time.Second)
		for _, candidate := range f.daemons[:3] {
			candidate.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for range 3 {
			f.start()
		}
		f.load(30 * time.Second)
		f.settle()
		f.platform.check()
		_, missing := f.platform.windows()
		is.Equal(missing, 0)
	})
}

// Guards against counts that are added twice or not at all when datagrams are lost, repeated, delayed and reordered.
func TestDatagramsAreUnreliable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		sent := map[[2]*daemon]int{}
		f.setDelivery(func(from, to *daemon, pass func()) {
			sent[[2]*daemon{from, to}]++
			switch sent[[2]*daemon{from, to}] % 4 {
			case 0: // lost
			case 1:
				pass()
				pass()
			case 2:
				time.AfterFunc(1400*time.Millisecond, pass) // after the next one
			default:
				pass()
			}
		})
		counted := f.load(time.Minute)
		f.settle()
		f.platform.check()
		is.Equal(f.platform.counts()["w"], counted)
	})
}

// Guards against a daemon whose death takes more of its counts with it than those of its last second.
func TestDeadDaemonKeepsItsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4)
		counted := f.load(22 * time.Second)
		holder := f.holder()
		for _, d := range f.daemons {
			if d != holder {
				d.kill()
				break
			}
		}
		counted += f.load(10 * time.Second)
		f.settle()
		f.platform.check()
		reported := f.platform.counts()["w"]
		is.True(reported <= counted && reported+11 >= counted) // it counted ten requests in a second
	})
}

// Guards against windows that are counted twice or skipped while the time of day of one daemon, the holder or another one,
// steps and steps back.
func TestTimeOfDaySteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -20 * time.Second, -7 * time.Second, 7 * time.Second, 20 * time.Second, time.Hour} {
		for _, holds := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, holder %t", step, holds), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 3)
					counted := f.load(20 * time.Second)
					stepped := f.holder()
					for _, d := range f.daemons {
						if d.holds() != holds {
							continue
						}
						stepped = d
						break
					}
					stepped.step.Store(int64(step))
					counted += f.load(8 * time.Second)
					stepped.step.Store(0)
					counted += f.load(20 * time.Second)
					f.settle()
					f.platform.check()
					is.Equal(f.platform.counts()["w"], counted)
					_, missing := f.platform.windows()
					is.Equal(missing, 0)
				})
			})
		}
	}
}

// Guards against a holder whose clock is wrong for good: it must not settle windows that haven't ended for the others, nor
// keep the lease without settling any.
func TestClockOfHolderIsWrong(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -time.Minute, -8 * time.Second, 8 * time.Second, time.Minute, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 3)
				f.load(20 * time.Second)
				wrong := f.holder()
				wrong.step.Store(int64(step))
				f.load(2 * time.Minute)
				f.settle()
				f.platform.check()
				_, missing := f.platform.windows()
				is.Equal(missing, 0)
				for _, r := range f.platform.reports {
					is.True(r.at.After(time.Unix(0, (int64(r.window)+1)*int64(length)))) // a window that hasn't ended
				}
				last := f.platform.reports[len(f.platform.reports)-1]
				is.True(time.Since(last.at) <= length) // reports go on
			})
		})
	}
}

// Guards against reports for windows about which nobody knows anything, after all daemons were killed and started again, and
// against windows that are never reported again.
func TestAllDaemonsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		f.load(23 * time.Second)
		for _, d := range f.daemons {
			d.kill()
		}
		time.Sleep(time.Minute)
		restarted := meterer.Window(time.Now().UnixNano() / int64(length))
		for range 3 {
			f.start()
		}
		f.load(20 * time.Second)
		f.settle()
		f.platform.check()
		after := 0
		for _, r := range f.platform.reports {
			if r.at.Unix() >= int64(restarted)*5 && r.window >= restarted {
				after++
				is.True(r.counts["w"] > 0 || after > 4)
			}
		}
		is.True(after >= 4)
		_, missing := f.platform.windows()
		is.True(missing >= 11) // the windows without daemons
	})
}

// Guards against windows without requests that aren't reported.
func TestEmptyWindowsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		time.Sleep(31 * time.Second)
		reported, missing := f.platform.windows()
		is.True(reported >= 5)
		is.Equal(missing, 0)
		is.Equal(len(f.platform.counts()), 0)
	})
}

// Guards against more calls to the store than the lease and the settling of windows need: figures of docs/CAPACITY.md.
func TestCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		f.load(20 * time.Second)
		before := f.store.Calls()
		f.load(100 * time.Second)
		after := f.store.Calls()
		reads, writes := after["get"]-before["get"], after["put"]-before["put"]
		t.Logf("%d reads and %d writes in 100 s", reads, writes)
		is.True(reads <= 230)
		is.True(writes <= 160)
	})
}
