package leaser_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/namer"
)

const gap = 3 * time.Second

// dutyCandidate is one process that competes for the lease of duties.
type dutyCandidate struct {
	*leaser.Leaser
	node       *imitator.Node
	cancel     context.CancelFunc
	ineligible atomic.Bool
	unreached  atomic.Bool // its calls reach nothing
}

// startDuties starts candidates, all of which make a call under the lease ten times a second.
func startDuties(t *testing.T, n int, clock leaser.Clock) []*dutyCandidate {
	store := &imitator.Store{}
	var candidates []*dutyCandidate
	for i := range n {
		ctx, cancel := context.WithCancel(t.Context())
		c := &dutyCandidate{node: &imitator.Node{Store: store}, cancel: cancel}
		c.Leaser = &leaser.Leaser{
			Store: c.node, Name: leaser.Duties, Clock: clock, Eligible: func() bool { return !c.ineligible.Load() },
			Process: namer.Process{Host: namer.Host(fmt.Sprintf("h%d", i)), Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1},
		}
		c.SetDutyTimes(gap)
		go c.Run(ctx)
		calling := make(chan struct{})
		go func() {
			defer close(calling)
			for ctx.Err() == nil {
				if a, ok := c.Duties(); ok {
					a.Record(!c.unreached.Load())
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		t.Cleanup(func() { cancel(); <-c.Done(); <-calling })
		candidates = append(candidates, c)
	}
	return candidates
}

// await returns the holder and how long it took to find one other than not, sampling every 10 ms; nil after a minute.
func await(candidates []*dutyCandidate, not *dutyCandidate) (*dutyCandidate, time.Duration) {
	start := time.Now()
	for time.Since(start) < time.Minute {
		for _, c := range candidates {
			if _, ok := c.Duties(); ok && c != not {
				return c, time.Since(start)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, time.Since(start)
}

func (c *dutyCandidate) token() namer.FencingToken {
	a, _ := c.Duties()
	return a.Fencing()
}

// Guards against a dead holder of duties that is replaced late, and against one that is replaced while its calls may arrive.
func TestDeadHolderOfDutiesIsReplaced(t *testing.T) {
	for n := range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			candidates := startDuties(t, 3, nil)
			holder, _ := await(candidates, nil)
			time.Sleep(10*time.Second + time.Duration(n)*50*time.Millisecond)
			token := holder.token()
			holder.node.Kill()
			holder.cancel()
			next, took := await(candidates, holder)
			is.True(next != nil)
			is.True(took <= 5500*time.Millisecond)
			is.True(took >= leaser.DutyDuration-leaser.DutyRenewInterval)
			is.True(next.token() > token)
		})
	}
}

// Guards against the order A, B, A within the gap: a holder that ends soon after its acquisition lets the lease expire, a later
// one releases it.
func TestEarlyReleaseLetsTheLeaseExpire(t *testing.T) {
	for held, expires := range map[time.Duration]bool{0: true, gap - 500*time.Millisecond: true, gap + 500*time.Millisecond: false} {
		t.Run(held.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				candidates := startDuties(t, 3, nil)
				holder, _ := await(candidates, nil)
				time.Sleep(held)
				holder.cancel()
				<-holder.Done()
				next, took := await(candidates, holder)
				is.True(next != nil)
				is.Equal(took > leaser.DutyPollInterval+100*time.Millisecond, expires)
			})
		})
	}
}

// Guards against a holder that keeps the lease when its calls get no response or when it isn't a candidate any more, and
// against a lease that nobody holds when no candidate reaches the platform.
func TestHolderOfDutiesGivesUp(t *testing.T) {
	for name, row := range map[string]struct {
		hinder func(holder *dutyCandidate, all []*dutyCandidate)
		moves  bool
	}{
		"healthy":        {func(*dutyCandidate, []*dutyCandidate) {}, false},
		"unreached":      {func(h *dutyCandidate, _ []*dutyCandidate) { h.unreached.Store(true) }, true},
		"no candidate":   {func(h *dutyCandidate, _ []*dutyCandidate) { h.ineligible.Store(true) }, true},
		"all unreached":  {func(_ *dutyCandidate, all []*dutyCandidate) { setUnreached(all) }, true},
		"short failures": {func(h *dutyCandidate, _ []*dutyCandidate) { failShortly(h) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				candidates := startDuties(t, 3, nil)
				holder, _ := await(candidates, nil)
				time.Sleep(10 * time.Second)
				row.hinder(holder, candidates)
				next, took := await(candidates, holder)
				is.Equal(next != nil && took < 10*time.Second, row.moves)
				if next == nil {
					return
				}
				held := 0
				for range 300 {
					if c, _ := await(candidates, nil); c != nil {
						held++
					}
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(held, 300)
			})
		})
	}
}

func setUnreached(all []*dutyCandidate) {
	for _, c := range all {
		c.unreached.Store(true)
	}
}

// failShortly lets calls fail for less than the gap again and again.
func failShortly(c *dutyCandidate) {
	for range 10 {
		c.unreached.Store(true)
		time.Sleep(gap / 2)
		c.unreached.Store(false)
		time.Sleep(gap / 2)
	}
}

// steppedClock is a Clock whose wall clock can be moved forward, as it is by a suspension that timers don't notice.
type steppedClock struct{ step *atomic.Int64 }

func (s steppedClock) Now() leaser.Reading {
	now := leaser.SystemClock{}.Now()
	now.Wall = now.Wall.Add(time.Duration(s.step.Load()))
	return now
}

// Guards against a call that goes on after the authority has ended: by its deadline, or because the host was suspended.
func TestCallEndsWithTheAuthority(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		t.Run(fmt.Sprintf("suspended %t", suspended), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				clock := steppedClock{&atomic.Int64{}}
				holder, _ := await(startDuties(t, 1, clock), nil)
				a, _ := holder.Duties()
				bounded, end, err := a.Begin(t.Context())
				is.NoErr(err)
				defer end()
				start, limit := time.Now(), leaser.DutyDuration-leaser.DutyMargin
				if suspended {
					limit = 200 * time.Millisecond
					holder.node.SetFailureMode(imitator.Partition, time.Second)
					clock.step.Store(int64(time.Minute))
				}
				<-bounded.Done()
				is.True(time.Since(start) <= limit)
				_, _, err = a.Begin(t.Context())
				is.Equal(errors.Is(err, leaser.ErrNoAuthority), suspended)
			})
		})
	}
}

// Guards against two holders at once, and against a fencing token with two holders, when candidates that start together race.
func TestCandidatesRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		candidates := startDuties(t, 8, nil)
		owners := map[namer.FencingToken]*dutyCandidate{}
		for range 3000 {
			holders := 0
			for _, c := range candidates {
				if a, ok := c.Duties(); ok {
					holders++
					if owners[a.Fencing()] == nil {
						owners[a.Fencing()] = c
					}
					is.Equal(owners[a.Fencing()], c)
				}
			}
			is.True(holders <= 1)
			if holders == 1 && len(owners) < 5 { // the next race
				h, _ := await(candidates, nil)
				h.node.SetFailureMode(imitator.Partition, 300*time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(len(owners) >= 3)
	})
}
