package leaser

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// ErrNoAuthority means that the process doesn't hold the lease, or that its own clocks say that the lease may have ended.
var ErrNoAuthority = errors.New("process has no authority")

// grant is one period in which this process holds a lease with one fencing number.
type grant struct {
	name    Name
	holder  namer.Process
	fencing namer.Fencing
	clock   Clock

	mu      sync.Mutex // guards the fields below; never held during I/O
	renewed Reading    // taken before the last renewal that succeeded was sent
	closed  bool       // no use may begin
	uses    int
	idle    chan struct{} // closed when closed is set and uses is 0
}

func newGrant(l *Leaser, fencing namer.Fencing, start Reading) *grant {
	return &grant{name: l.Name, holder: l.Process, fencing: fencing, clock: l.clock(), renewed: start, idle: make(chan struct{})}
}

// left returns how long the grant is valid by both clocks.
func (g *grant) left() time.Duration {
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

// begin registers a use, so that a release waits for it.
func (g *grant) begin() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errors.Wrapf(ErrNoAuthority, "lease %q is released", g.name)
	}
	g.uses++
	return nil
}

func (g *grant) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uses--
	if g.closed && g.uses == 0 {
		close(g.idle)
	}
}

// close ends the grant for good and returns a channel that closes when its last use has ended.
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

// Authority is the right that a lease gives. Only a Leaser that holds the lease makes valid ones;
// the zero value allows nothing.
type Authority struct {
	grant *grant
}

// Check fails when the lease may have ended by either clock.
func (a Authority) Check() error {
	if a.grant == nil {
		return errors.Wrap(ErrNoAuthority, "no lease was presented")
	}
	if left := a.grant.left(); left <= 0 {
		return errors.Wrapf(ErrNoAuthority, "lease %q of %s ended %s ago", a.grant.name, a.grant.holder, -left)
	}
	return nil
}

// Begin checks the authority and returns a context that ends before the lease does. A graceful
// release of the lease waits until end is called.
func (a Authority) Begin(ctx context.Context) (bounded context.Context, end func(), err error) {
	if err := a.Check(); err != nil {
		return nil, nil, err
	}
	if err := a.grant.begin(); err != nil {
		return nil, nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, a.grant.left())
	return bounded, func() {
		cancel()
		a.grant.end()
	}, nil
}

// Fencing is the lease's number; it grows with each change of holder. It is 0 without a lease.
func (a Authority) Fencing() namer.Fencing {
	if a.grant == nil {
		return 0
	}
	return a.grant.fencing
}

// Holder is the process that holds the lease.
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

// DataCentre is where the commands are allowed.
func (a EndpointAuthority) DataCentre() namer.DataCentre { return a.dataCentre }

// HousekeepingAuthority allows the removal of old objects in the whole fleet.
type HousekeepingAuthority struct {
	Authority
}
