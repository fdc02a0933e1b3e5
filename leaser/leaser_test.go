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

// member is one process that competes for a lease.
type member struct {
	*leaser.Leaser
	node   *imitator.Node
	cancel context.CancelFunc
}

func (m *member) kill() {
	m.node.Kill()
	m.cancel()
}

func (m *member) holds() bool {
	_, ok := m.Endpoints("west")
	return ok
}

func start(t *testing.T, store *imitator.Store, n int, clock leaser.Clock) *member {
	ctx, cancel := context.WithCancel(t.Context())
	node := &imitator.Node{Store: store}
	l := &leaser.Leaser{
		Store: node, Name: leaser.ForDataCentre("west"), Clock: clock,
		Process: namer.Process{Host: "h", Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", n+1)), Incarnation: 1},
	}
	go l.Run(ctx)
	t.Cleanup(func() { cancel(); <-l.Done() })
	return &member{Leaser: l, node: node, cancel: cancel}
}

// awaitHolder returns the member that holds the lease within limit.
func awaitHolder(members []*member, limit time.Duration) *member {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, m := range members {
			if m.holds() {
				return m
			}
		}
	}
	return nil
}

// mostHolders samples for d and returns the largest number of members with authority at once.
func mostHolders(members []*member, d time.Duration) int {
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		holders := 0
		for _, m := range members {
			if m.holds() {
				holders++
			}
		}
		most = max(most, holders)
	}
	return most
}

// Guards against two holders at once and against a lease that nobody takes over, for each fault of
// the holder alone and in pairs.
func TestOneHolderUnderFaults(t *testing.T) {
	faults := map[string]func(*member){
		"kill":            func(m *member) { m.kill() },
		"pause":           func(m *member) { m.node.Pause(40 * time.Second) },
		"pause in answer": func(m *member) { m.node.PauseAt("put-answer", 40*time.Second) },
		"pause in write":  func(m *member) { m.node.PauseAt("put", 11*time.Second) },
		"partition":       func(m *member) { m.node.Trouble(imitator.Partition, time.Second) },
		"outage":          func(m *member) { m.node.Trouble(imitator.Outage, time.Second) },
		"slow store":      func(m *member) { m.node.Trouble(imitator.Slow, 9*time.Second) },
		"lost answers":    func(m *member) { m.node.Trouble(imitator.LostWrite, time.Second) },
		"late writes":     func(m *member) { m.node.Trouble(imitator.LateWrite, 7*time.Second) },
		"deaf":            func(m *member) { m.node.Trouble(imitator.Deaf, time.Second) },
	}
	for first, one := range faults {
		for second, two := range faults {
			t.Run(first+" and "+second, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					store := &imitator.Store{}
					members := []*member{start(t, store, 0, nil), start(t, store, 1, nil), start(t, store, 2, nil)}
					holder := awaitHolder(members, 10*time.Second)
					is.True(holder != nil) // nobody took a free lease
					a, _ := holder.Endpoints("west")
					one(holder)
					is.True(mostHolders(members, 5*time.Second) <= 1)
					two(holder)
					is.True(mostHolders(members, 45*time.Second) <= 1)
					holder.node.Trouble(imitator.Healthy, time.Second)
					next := awaitHolder(members, 20*time.Second)
					is.True(next != nil) // nobody took the lease over
					b, _ := next.Endpoints("west")
					is.Equal(next != holder, b.Fencing() > a.Fencing()) // the number changes exactly with the holder
				})
			})
		}
	}
}

// stopped is a pair of clocks of which chosen ones stand still.
type stopped struct{ mono, wall bool }

func (s stopped) Now() leaser.Reading {
	now := leaser.SystemClock{}.Now()
	if s.mono {
		now.Mono = 0
	}
	if s.wall {
		now.Wall = time.Time{}
	}
	return now
}

// Guards against a holder that relies on one clock: a suspended host's monotonic clock and a wall
// clock that was set back both stand still. With both off the own clock is off and two hold the lease.
func TestOwnClockEndsAuthority(t *testing.T) {
	for clock, most := range map[stopped]int{{}: 1, {mono: true}: 1, {wall: true}: 1, {mono: true, wall: true}: 2} {
		t.Run(fmt.Sprintf("%+v", clock), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &imitator.Store{}
				holder := start(t, store, 0, clock)
				members := []*member{holder}
				is.True(awaitHolder(members, 10*time.Second) != nil)
				members = append(members, start(t, store, 1, nil))
				holder.node.Pause(time.Minute)
				is.Equal(mostHolders(members, 50*time.Second), most)
			})
		})
	}
}

// Guards against a holder that gives up when only the answers of its renewals are lost. With
// reading off (no call is answered) the same holder loses its authority.
func TestLostAnswersAreResolvedByReading(t *testing.T) {
	for trouble, keeps := range map[imitator.Trouble]bool{imitator.LostWrite: true, imitator.Deaf: false} {
		t.Run(string(trouble), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				holder := start(t, &imitator.Store{}, 0, nil)
				is.True(awaitHolder([]*member{holder}, 10*time.Second) != nil)
				holder.node.Trouble(trouble, time.Second)
				time.Sleep(time.Minute)
				is.Equal(holder.holds(), keeps)
			})
		})
	}
}

// Guards against a release during a use, and against a successor that waits for a released lease to expire.
func TestGracefulRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &imitator.Store{}
		members := []*member{start(t, store, 0, nil), start(t, store, 1, nil)}
		holder := awaitHolder(members, 10*time.Second)
		a, _ := holder.Endpoints("west")
		bounded, end, err := a.Begin(t.Context())
		is.NoErr(err)
		deadline, ok := bounded.Deadline()
		is.True(ok && time.Until(deadline) <= leaser.Duration-leaser.Margin)
		holder.cancel()
		synctest.Wait()
		is.True(awaitHolder(members, 4*time.Second) == nil) // held back by the use
		end()
		next := awaitHolder(members, leaser.PollInterval+time.Second)
		is.True(next != nil && next != holder)
		is.True(errors.Is(a.Check(), leaser.ErrNoAuthority))
	})
}

// Guards against an authority without a lease, and against one lease that gives the rights of another.
func TestAuthorityNeedsItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		is.True(errors.Is(leaser.EndpointAuthority{}.Check(), leaser.ErrNoAuthority))
		_, _, err := leaser.HousekeepingAuthority{}.Begin(t.Context())
		is.True(errors.Is(err, leaser.ErrNoAuthority))
		holder := start(t, &imitator.Store{}, 0, nil)
		is.True(awaitHolder([]*member{holder}, 10*time.Second) != nil)
		_, ok := holder.Housekeeping()
		is.True(!ok)
		_, ok = holder.Endpoints("east")
		is.True(!ok)
	})
}
