// Package leaser keeps named leases in the object API. One process at a time holds a lease; it acts
// through an Authority that ends by the holder's own clocks before any other process may acquire
// the lease. The object API owns the lease; a Leaser owns only its view of it.
package leaser

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/asserter"
	"apricotspool/namer"
	"apricotspool/storer"
)

// Times of a lease. A holder stops Margin before Duration has passed since the start of its last
// renewal; a candidate waits Margin longer than Duration, so clocks may drift apart by both margins.
const (
	RenewInterval = 2 * time.Second
	Duration      = 10 * time.Second
	Margin        = 2 * time.Second
	// PollInterval is the longest time between two looks of a candidate. 420 candidates make
	// fewer than 150 reads a second of the about 2,000 that the object API handles.
	PollInterval = 4 * time.Second
	// retryInterval follows a failed renewal; a holder has about 8 tries before its lease ends.
	retryInterval = 500 * time.Millisecond
	// releaseTimeout bounds the release at shutdown. A lost release costs one lease duration.
	releaseTimeout = 2 * time.Second
)

// Name is the object key of a lease.
type Name string

// Housekeeping is the lease for the removal of old objects, one in the whole fleet.
const Housekeeping Name = "authority/housekeeping"

// ForDataCentre names the lease over the endpoints of a data centre. A data centre that is called
// "housekeeping" has no endpoints' lease, because the name is taken.
func ForDataCentre(d namer.DataCentre) Name { return Name("authority/" + string(d)) }

// lease is the stored value.
type lease struct {
	Holder  namer.Process `json:"holder,omitzero"` // zero after a release
	Fencing namer.Fencing `json:"fencing"`
	// Renewal makes each write of a holder distinct, so that a holder recognises its own lost write.
	Renewal uint64 `json:"renewal"`
}

// Leaser acquires, renews and releases one lease. Set the exported fields before Run.
type Leaser struct {
	Store   storer.Store
	Name    Name
	Process namer.Process
	Log     zerolog.Logger
	Clock   Clock // nil means SystemClock
	// Eligible says whether this process competes for the lease now; nil means always. A process that
	// doesn't compete makes no calls on the object API.
	Eligible func() bool
	// Random returns a number from 0 to below its argument for the jitter; nil means a random one.
	Random func(below time.Duration) time.Duration

	once  sync.Once
	done  chan struct{}
	grant atomic.Pointer[grant]

	// The fields below belong to the goroutine of Run.
	version  storer.Version // newest version of the object that was seen
	value    lease
	seen     bool
	since    Reading // when version was first seen
	renewals uint64
}

func (l *Leaser) init() { l.once.Do(func() { l.done = make(chan struct{}) }) }

func (l *Leaser) clock() Clock {
	if l.Clock == nil {
		return SystemClock{}
	}
	return l.Clock
}

// Done closes when Run has returned and the lease is released.
func (l *Leaser) Done() <-chan struct{} {
	l.init()
	return l.done
}

func (l *Leaser) authority() (Authority, bool) {
	a := Authority{grant: l.grant.Load()}
	return a, a.Check() == nil
}

// Endpoints returns the authority over a data centre's endpoints, if this process holds its lease now.
func (l *Leaser) Endpoints(d namer.DataCentre) (EndpointAuthority, bool) {
	if l.Name != ForDataCentre(d) || l.Name == Housekeeping {
		return EndpointAuthority{}, false
	}
	a, ok := l.authority()
	return EndpointAuthority{Authority: a, dataCentre: d}, ok
}

// Housekeeping returns the authority to remove old objects, if this process holds that lease now.
func (l *Leaser) Housekeeping() (HousekeepingAuthority, bool) {
	if l.Name != Housekeeping {
		return HousekeepingAuthority{}, false
	}
	a, ok := l.authority()
	return HousekeepingAuthority{Authority: a}, ok
}

// Run competes for the lease and renews it until ctx ends, then releases it.
func (l *Leaser) Run(ctx context.Context) error {
	l.init()
	defer close(l.done)
	for {
		pause := l.step(ctx)
		select {
		case <-ctx.Done():
			l.release(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// step does what is due and returns the time until the next step.
func (l *Leaser) step(ctx context.Context) time.Duration {
	if l.seen && l.value.Holder == l.Process {
		return l.renew(ctx)
	}
	return l.compete(ctx)
}

// compete looks at the lease and acquires it when it is free. The jitter keeps candidates from
// writing at the same time.
func (l *Leaser) compete(ctx context.Context) time.Duration {
	if l.Eligible != nil && !l.Eligible() {
		return l.jitter(PollInterval)
	}
	if err := l.read(ctx); err != nil {
		l.Log.Debug().Err(err).Str("lease", string(l.Name)).Msg("lease-unreadable")
		return l.jitter(PollInterval)
	}
	if l.value.Holder == l.Process {
		return 0
	}
	if !l.free() {
		return l.jitter(PollInterval)
	}
	next := lease{Holder: l.Process, Fencing: l.value.Fencing + 1}
	if err := l.write(ctx, next); err != nil {
		l.Log.Debug().Err(err).Str("lease", string(l.Name)).Msg("lease-not-acquired")
		return l.jitter(PollInterval)
	}
	return RenewInterval
}

// free reports whether the lease may be acquired against the version that was seen. Only the
// monotonic clock counts here: a wall clock that is set forward must not shorten the wait.
func (l *Leaser) free() bool {
	return l.value.Holder.IsZero() || l.clock().Now().Mono-l.since.Mono >= Duration+Margin
}

func (l *Leaser) renew(ctx context.Context) time.Duration {
	if err := l.write(ctx, l.value); err != nil {
		l.Log.Warn().Err(err).Str("lease", string(l.Name)).Msg("lease-not-renewed")
		return l.jitter(retryInterval)
	}
	return RenewInterval
}

// read takes over the newest version of the lease, and what it means for the grant.
func (l *Leaser) read(ctx context.Context) error {
	now := l.clock().Now()
	object, err := l.Store.Get(ctx, string(l.Name))
	if errors.Is(err, storer.ErrNotFound) {
		l.see(0, lease{Fencing: l.value.Fencing}, now)
		return nil
	}
	if err != nil {
		return err
	}
	var value lease
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return errors.Wrapf(err, "lease %q is not valid", l.Name)
	}
	l.see(object.Version, value, l.clock().Now())
	return nil
}

func (l *Leaser) see(version storer.Version, value lease, now Reading) {
	if !l.seen || version != l.version {
		l.since = now
	}
	l.seen, l.version, l.value = true, version, value
	if value.Holder != l.Process {
		l.drop()
	}
}

func (l *Leaser) drop() {
	if old := l.grant.Swap(nil); old != nil {
		old.close()
		l.Log.Info().Str("lease", string(l.Name)).Uint64("fencing", uint64(old.fencing)).Msg("lease-lost")
	}
}

// write stores the next value against the version that was seen. A write whose answer was lost, or
// that met another version, is resolved by reading: it counts when the object holds exactly this write.
func (l *Leaser) write(ctx context.Context, next lease) error {
	l.renewals++
	next.Renewal = l.renewals
	start := l.clock().Now()
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrapf(err, "encode lease %q", l.Name)
	}
	object, err := l.Store.Put(ctx, string(l.Name), value, l.version)
	switch {
	case err == nil:
		l.see(object.Version, next, l.clock().Now())
	case errors.Is(err, storer.ErrUncertain), errors.Is(err, storer.ErrConflict):
		if readErr := l.read(ctx); readErr != nil {
			return errors.Wrapf(readErr, "resolve write of lease %q", l.Name)
		}
		if l.value != next {
			return errors.Wrapf(err, "write lease %q", l.Name)
		}
	default:
		return errors.Wrapf(err, "write lease %q", l.Name)
	}
	l.granted(next.Fencing, start)
	return nil
}

// granted makes the write that was sent at start the base of the authority.
func (l *Leaser) granted(fencing namer.Fencing, start Reading) {
	if old := l.grant.Load(); old != nil && old.fencing == fencing {
		old.extend(start)
		return
	}
	old := l.grant.Load()
	asserter.Check(old == nil || old.fencing < fencing, "fencing numbers of a lease grow",
		"lease %q has %d after %v", l.Name, fencing, old)
	l.grant.Store(newGrant(l, fencing, start))
	l.Log.Info().Str("lease", string(l.Name)).Uint64("fencing", uint64(fencing)).Msg("lease-acquired")
}

// release ends the authority, waits for its uses and frees the lease for the next candidate.
func (l *Leaser) release(ctx context.Context) {
	held := l.grant.Swap(nil)
	if held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, Duration)
	defer cancel()
	select {
	case <-held.close():
	case <-ctx.Done():
		return
	}
	ctx, cancel = context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	value, err := json.Marshal(lease{Fencing: held.fencing})
	if err == nil {
		_, err = l.Store.Put(ctx, string(l.Name), value, l.version)
	}
	if err != nil {
		l.Log.Warn().Err(err).Str("lease", string(l.Name)).Msg("lease-not-released")
	}
}

// jitter spreads waits over half to all of d.
func (l *Leaser) jitter(d time.Duration) time.Duration {
	if l.Random == nil {
		return d/2 + rand.N(d/2)
	}
	return d/2 + l.Random(d/2)
}
