package leaser

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// ErrNoAuthority means that the process doesn't hold the lease or that, by its own clocks, the lease
// may have expired.
var ErrNoAuthority = errors.New("process has no authority")

// grant is one period in which this process holds a lease with one fencing token.
type grant struct {
	name    Name
	holder  namer.Process
	fencing namer.FencingToken
	clock   Clock
	valid   time.Duration // after the start of a renewal
	gap     time.Duration // between the acquisition and the release
	since   Reading       // when the acquisition was known

	unfit atomic.Bool // the holder wants another process to have the lease

	mu      sync.Mutex // guards the fields below; never held during I/O
	renewed Reading    // clocks just before the last successful renewal was sent
	closed  bool       // no use may start
	uses    int
	idle    chan struct{} // closed once closed is set and uses is 0

	unreached      int     // consecutive calls that reached nothing
	unreachedSince Reading // when the first of them was recorded
}

func newGrant(l *Leaser, fencing namer.FencingToken, start Reading) *grant {
	return &grant{
		name: l.Name, holder: l.Process, fencing: fencing, clock: l.clock(), valid: l.Duration - l.Margin, gap: l.HandoverGap, since: l.clock().Now(),
		renewed: start, idle: make(chan struct{}),
	}
}

// remaining returns how long the grant is still valid by both clocks.
func (g *grant) remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return 0
	}
	return g.valid - g.clock.Now().Since(g.renewed)
}

// left returns how long the lease is still held by both clocks, also while it is being released.
func (g *grant) left() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.valid - g.clock.Now().Since(g.renewed)
}

// releasable reports whether the gap since the acquisition has passed. The monotonic clock counts, which is behind the
// other one if a process was suspended.
func (g *grant) releasable() bool { return g.clock.Now().Mono-g.since.Mono >= g.gap }

// renewedWithin reports whether the last renewal is at most d old.
func (g *grant) renewedWithin(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now().Since(g.renewed) <= d
}

// record counts the consecutive calls that reached nothing.
func (g *grant) record(reached bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case reached:
		g.unreached = 0
	default:
		if g.unreached == 0 {
			g.unreachedSince = g.clock.Now()
		}
		g.unreached++
	}
}

// unreachedFor returns for how long calls have reached nothing, or -1 if they are too few.
func (g *grant) unreachedFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unreached < maxUnreached {
		return -1
	}
	return g.clock.Now().Mono - g.unreachedSince.Mono
}

func (g *grant) extend(start Reading) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.renewed = start
}

// beginUse registers a use, so that a release waits until it ends.
func (g *grant) beginUse() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errors.Wrapf(ErrNoAuthority, "lease %q is released", g.name)
	}
	g.uses++
	return nil
}

func (g *grant) endUse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uses--
	if g.closed && g.uses == 0 {
		close(g.idle)
	}
}

// close ends the grant permanently and returns a channel that is closed when its last use has ended.
func (g *grant) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		if g.uses == 0 {
			close(g.idle)
		}
	}
	return g.idle
}

// Authority is the right to act under a lease. Only a Leaser that holds the lease issues valid ones;
// the zero value allows nothing.
type Authority struct {
	grant *grant
}

// Check returns ErrNoAuthority if the lease may have expired by either clock.
func (a Authority) Check() error {
	if a.grant == nil {
		return errors.Wrap(ErrNoAuthority, "no lease")
	}
	if remaining := a.grant.remaining(); remaining <= 0 {
		return errors.Wrapf(ErrNoAuthority, "lease %q of %s expired %s ago", a.grant.name, a.grant.holder, -remaining)
	}
	return nil
}

// Begin checks the authority and returns a context that ends before the lease expires. A graceful
// release of the lease waits until end is called.
func (a Authority) Begin(ctx context.Context) (bounded context.Context, end func(), err error) {
	if err := a.Check(); err != nil {
		return nil, nil, err
	}
	if err := a.grant.beginUse(); err != nil {
		return nil, nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, a.grant.remaining())
	return bounded, func() {
		cancel()
		a.grant.endUse()
	}, nil
}

// Fencing returns the lease's fencing token, which grows with each change of holder, or 0 without a
// lease.
func (a Authority) Fencing() namer.FencingToken {
	if a.grant == nil {
		return 0
	}
	return a.grant.fencing
}

// Holder returns the process that holds the lease.
func (a Authority) Holder() namer.Process {
	if a.grant == nil {
		return namer.Process{}
	}
	return a.grant.holder
}

// EndpointAuthority allows commands to the endpoints of one data centre.
type EndpointAuthority struct {
	Authority
	dataCentre namer.DataCentre
}

// DataCentre returns the data centre whose endpoints may be sent commands.
func (a EndpointAuthority) DataCentre() namer.DataCentre { return a.dataCentre }

// HousekeepingAuthority allows fleet-wide housekeeping, such as the removal of old objects.
type HousekeepingAuthority struct {
	Authority
}

// RoleAuthority allows commands that change the roles of engines of the whole fleet.
type RoleAuthority struct {
	Authority
}
