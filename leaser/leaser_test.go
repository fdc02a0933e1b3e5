package leaser_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/namer"
)

// candidate is one process that competes for a lease.
type candidate struct {
	*leaser.Leaser
	node   *imitator.Node
	cancel context.CancelFunc
}

func (c *candidate) kill() {
	c.node.Kill()
	c.cancel()
}

func (c *candidate) holds() bool {
	_, ok := c.Endpoints("west")
	return ok
}

func startCandidate(t *testing.T, store *imitator.Store, n int, clock leaser.Clock) *candidate {
	ctx, cancel := context.WithCancel(t.Context())
	node := &imitator.Node{Store: store}
	l := &leaser.Leaser{
		Store: node, Name: leaser.ForDataCentre("west"), Clock: clock,
		Process: namer.Process{Host: "h", Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", n+1)), Incarnation: 1},
	}
	go l.Run(ctx)
	t.Cleanup(func() { cancel(); <-l.Done() })
	return &candidate{Leaser: l, node: node, cancel: cancel}
}

// awaitHolder waits up to limit for a candidate with authority and returns nil if there is none.
func awaitHolder(candidates []*candidate, limit time.Duration) *candidate {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range candidates {
			if c.holds() {
				return c
			}
		}
	}
	return nil
}

// maxHolders samples for d and returns the largest number of candidates with authority at once.
func maxHolders(candidates []*candidate, d time.Duration) int {
	largest := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		holders := 0
		for _, c := range candidates {
			if c.holds() {
				holders++
			}
		}
		largest = max(largest, holders)
	}
	return largest
}

// Guards against two simultaneous holders and against a lease that no candidate takes over, for each
// pair of faults of the holder.
func TestOneHolderUnderFaults(t *testing.T) {
	faults := map[string]func(*candidate){
		"kill":            func(c *candidate) { c.kill() },
		"pause":           func(c *candidate) { c.node.Pause(40 * time.Second) },
		"pause in answer": func(c *candidate) { c.node.PauseAt("put-answer", 40*time.Second) },
		"pause in write":  func(c *candidate) { c.node.PauseAt("put", 11*time.Second) },
		"partition":       func(c *candidate) { c.node.SetFailureMode(imitator.Partition, time.Second) },
		"outage":          func(c *candidate) { c.node.SetFailureMode(imitator.Outage, time.Second) },
		"slow store":      func(c *candidate) { c.node.SetFailureMode(imitator.Slow, 9*time.Second) },
		"lost answers":    func(c *candidate) { c.node.SetFailureMode(imitator.WriteResponseLost, time.Second) },
		"late writes":     func(c *candidate) { c.node.SetFailureMode(imitator.DelayedWrite, 7*time.Second) },
		"deaf":            func(c *candidate) { c.node.SetFailureMode(imitator.ResponsesLost, time.Second) },
	}
	for first, one := range faults {
		for second, two := range faults {
			t.Run(first+" and "+second, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store := &imitator.Store{}
					candidates := []*candidate{startCandidate(t, store, 0, nil), startCandidate(t, store, 1, nil), startCandidate(t, store, 2, nil)}
					holder := awaitHolder(candidates, 10*time.Second)
					is.True(holder != nil) // no candidate acquired an available lease
					a, _ := holder.Endpoints("west")
					one(holder)
					is.True(maxHolders(candidates, 5*time.Second) <= 1)
					two(holder)
					is.True(maxHolders(candidates, 45*time.Second) <= 1)
					holder.node.SetFailureMode(imitator.Healthy, time.Second)
					next := awaitHolder(candidates, 20*time.Second)
					is.True(next != nil) // no candidate took over the lease
					b, _ := next.Endpoints("west")
					is.Equal(next != holder, b.Fencing() > a.Fencing()) // the fencing token grows if and only if the holder changes
				})
			})
		}
	}
}

// frozenClock is a Clock whose monotonic or wall clock, or both, are frozen.
type frozenClock struct{ mono, wall bool }

func (s frozenClock) Now() leaser.Reading {
	now := leaser.SystemClock{}.Now()
	if s.mono {
		now.Mono = 0
	}
	if s.wall {
		now.Wall = time.Time{}
	}
	return now
}

// Guards against a holder that relies on a single clock: the monotonic clock stops while a host is
// suspended, and a wall clock that was set back doesn't advance either. With both frozen the holder
// can't detect the expiry, and two processes have authority.
func TestOwnClockEndsAuthority(t *testing.T) {
	for clock, most := range map[frozenClock]int{{}: 1, {mono: true}: 1, {wall: true}: 1, {mono: true, wall: true}: 2} {
		t.Run(fmt.Sprintf("%+v", clock), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &imitator.Store{}
				holder := startCandidate(t, store, 0, clock)
				candidates := []*candidate{holder}
				is.True(awaitHolder(candidates, 10*time.Second) != nil)
				candidates = append(candidates, startCandidate(t, store, 1, nil))
				holder.node.Pause(time.Minute)
				is.Equal(maxHolders(candidates, 50*time.Second), most)
			})
		})
	}
}

// Guards against a holder that gives up when only the responses to its renewals are lost. When no call
// gets a response, reads included, the same holder loses its authority.
func TestLostAnswersAreResolvedByReading(t *testing.T) {
	for mode, keeps := range map[imitator.FailureMode]bool{imitator.WriteResponseLost: true, imitator.ResponsesLost: false} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				holder := startCandidate(t, &imitator.Store{}, 0, nil)
				is.True(awaitHolder([]*candidate{holder}, 10*time.Second) != nil)
				holder.node.SetFailureMode(mode, time.Second)
				time.Sleep(time.Minute)
				is.Equal(holder.holds(), keeps)
			})
		})
	}
}

// Guards against a release during a use and against a successor that waits for a released lease to
// expire.
func TestGracefulRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		candidates := []*candidate{startCandidate(t, store, 0, nil), startCandidate(t, store, 1, nil)}
		holder := awaitHolder(candidates, 10*time.Second)
		a, _ := holder.Endpoints("west")
		bounded, end, err := a.Begin(t.Context())
		is.NoErr(err)
		deadline, ok := bounded.Deadline()
		is.True(ok && time.Until(deadline) <= leaser.Duration-leaser.Margin)
		holder.cancel()
		synctest.Wait()
		is.True(awaitHolder(candidates, 4*time.Second) == nil) // the release waits for the use to end
		end()
		next := awaitHolder(candidates, leaser.PollInterval+time.Second)
		is.True(next != nil && next != holder)
		is.True(errors.Is(a.Check(), leaser.ErrNoAuthority))
	})
}

// Guards against an authority without a lease and against a lease that grants the authority of another.
func TestAuthorityNeedsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.True(errors.Is(leaser.EndpointAuthority{}.Check(), leaser.ErrNoAuthority))
		_, _, err := leaser.HousekeepingAuthority{}.Begin(t.Context())
		is.True(errors.Is(err, leaser.ErrNoAuthority))
		holder := startCandidate(t, &imitator.Store{}, 0, nil)
		is.True(awaitHolder([]*candidate{holder}, 10*time.Second) != nil)
		_, ok := holder.Housekeeping()
		is.True(!ok)
		_, ok = holder.Endpoints("east")
		is.True(!ok)
	})
}

// Guards against two holders, and against fencing tokens that are given out again, when the store is restored
// from a backup that has an earlier holder, or none, while the holder is alive, cut off or paused.
func TestRestoredStoreKeepsOneHolder(t *testing.T) {
	for name, hinder := range map[string]func(*candidate){
		"holder is alive":   func(*candidate) {},
		"holder is cut off": func(c *candidate) { c.node.SetFailureMode(imitator.Partition, time.Second) },
		"holder is paused":  func(c *candidate) { c.node.Pause(40 * time.Second) },
	} {
		for _, held := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, held in the backup %t", name, held), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store := &imitator.Store{}
					empty := store.Backup()
					store.Restore(empty) // so that the store has eras
					candidates := []*candidate{startCandidate(t, store, 0, nil)}
					is.True(awaitHolder(candidates, 30*time.Second) != nil)
					first, _ := candidates[0].Endpoints("west")
					backup := empty
					if held {
						backup = store.Backup()
					}
					for n := range 3 {
						candidates = append(candidates, startCandidate(t, store, n+1, nil))
					}
					time.Sleep(5 * time.Second)
					hinder(candidates[0])
					store.Restore(backup)
					is.True(maxHolders(candidates, time.Minute) <= 1)
					next := awaitHolder(candidates, time.Minute)
					is.True(next != nil)
					second, _ := next.Endpoints("west")
					is.True(second.Fencing() > first.Fencing())
				})
			})
		}
	}
}

// Guards against a lease that no daemon can ever hold again since another client has written something else there, and
// against a second holder meanwhile. Without eras the last fencing token would be lost, so nobody takes the lease then.
func TestUnreadableLeaseIsReplaced(t *testing.T) {
	for _, eras := range []bool{true, false} {
		t.Run(fmt.Sprintf("eras %t", eras), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &imitator.Store{}
				if eras {
					store.Restore(store.Backup())
				}
				candidates := []*candidate{startCandidate(t, store, 0, nil), startCandidate(t, store, 1, nil)}
				holder := awaitHolder(candidates, 30*time.Second)
				is.True(holder != nil)
				first, _ := holder.Endpoints("west")
				for _, value := range []string{`[[[`, `{"fencing":1e99}`, ``} {
					old, err := store.Get(t.Context(), string(leaser.ForDataCentre("west")))
					is.NoErr(err)
					_, err = store.Put(t.Context(), old.Key, []byte(value), old.Version)
					is.NoErr(err)
					is.True(maxHolders(candidates, 20*time.Second) <= 1)
				}
				next := awaitHolder(candidates, 30*time.Second)
				is.Equal(next != nil, eras)
				if eras {
					second, _ := next.Endpoints("west")
					is.True(second.Fencing() > first.Fencing())
				}
			})
		})
	}
}
