package leaser

import (
	"context"
	"sync"
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

	mu      sync.Mutex // guards the fields below; never held during I/O
	renewed Reading    // clocks just before the last successful renewal was sent
	closed  bool       // no use may start
	uses    int
	idle    chan struct{} // closed once closed is set and uses is 0
}

func newGrant(l *Leaser, fencing namer.FencingToken, start Reading) *grant {
	return &grant{name: l.Name, holder: l.Process, fencing: fencing, clock: l.clock(), renewed: start, idle: make(chan struct{})}
}

// remaining returns how long the grant is still valid by both clocks.
func (g *grant) remaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return 0
	}
	return Duration - Margin - g.clock.Now().Since(g.renewed)
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

// DutyAuthority allows calls to the platform that one daemon makes at a time.
type DutyAuthority struct {
	Authority
}
