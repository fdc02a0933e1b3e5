// Package leaser implements named leases in the object API. At most one process holds a lease at a
// time. It acts through an Authority that expires by the holder's own clocks before any other process
// may acquire the lease. The object API is the source of truth; a Leaser only caches its state.
package leaser

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/asserter"
	"apricotspool/attester"
	"apricotspool/namer"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// Defaults of the fields of a Leaser.
const (
	RenewInterval = 2 * time.Second
	Duration      = 10 * time.Second
	Margin        = 2 * time.Second
	// PollInterval makes fewer than 150 reads per second with 420 candidates, of about 2,000 that the
	// object API can handle.
	PollInterval = 4 * time.Second
	// RetryInterval allows about 8 attempts before the lease expires.
	RetryInterval = 500 * time.Millisecond
)

const (
	// maxUnreached is the number of consecutive calls that reached nothing after which a holder of duties
	// gives up the lease. A single lost connection must not move it.
	maxUnreached = 3
	// releaseTimeout bounds the release at shutdown. If the release is lost, the lease stays unavailable
	// until it expires.
	releaseTimeout = 2 * time.Second
)

// Name is the object key of a lease.
type Name string

// Housekeeping is the fleet-wide lease for housekeeping, such as the removal of old objects.
const Housekeeping Name = "authority/housekeeping"

// Roles is the fleet-wide lease for changes of the roles of engines.
const Roles Name = "authority/roles"

// Duties is the fleet-wide lease for calls to the platform that one daemon makes at a time: metering and capacity.
const Duties Name = "authority/duties"

// ForDataCentre returns the name of the lease over the endpoints of a data centre. A data centre named
// "housekeeping", "roles" or "duties" can't have one, because its name collides with another lease.
func ForDataCentre(d namer.DataCentre) Name { return Name("authority/" + string(d)) }

// lease is the stored value.
type lease struct {
	Holder namer.Process `json:"holder,omitzero"` // zero after a release
	// Fencing is the holder's fencing token. In a store with eras it is the version of the write that acquired
	// the lease, which the first renewal records: versions increase although a restored store has forgotten
	// the last holders.
	Fencing namer.FencingToken `json:"fencing"`
	// Renewal makes each write of a holder distinct, so that it recognises its own write after a lost response.
	Renewal uint64 `json:"renewal"`
}

// Leaser acquires, renews and releases one lease. Set the exported fields before Run.
type Leaser struct {
	Store   storer.Store
	Name    Name
	Process namer.Process
	Log     zerolog.Logger
	Clock   Clock // nil means SystemClock
	// A holder stops Margin before Duration has passed since the start of its last renewal, and a candidate
	// waits Margin longer than Duration. Clocks may thus drift apart by up to both margins.
	Duration, Margin time.Duration
	// RenewInterval is the time between two renewals, RetryInterval the longest wait after a failed one, and
	// PollInterval the longest time between two reads by a candidate.
	RenewInterval, RetryInterval, PollInterval time.Duration
	// CallTimeout bounds each call to the store; 0 leaves it to the store.
	CallTimeout time.Duration
	// HandoverGap is the time that passes between the acquisition of the lease and its release; a lease that
	// ends earlier expires. The next holder can therefore act at once, without the order A, B, A within the gap.
	HandoverGap time.Duration
	// ReleaseIneligible makes a holder release the lease as soon as it isn't eligible any more.
	ReleaseIneligible bool
	// Eligible reports whether this process currently competes for the lease; nil means always. A
	// process that doesn't compete makes no calls to the object API.
	Eligible func() bool
	// Random returns a duration in [0, below) for the jitter; nil means a random one.
	Random func(below time.Duration) time.Duration

	once  sync.Once
	done  chan struct{}
	grant atomic.Pointer[grant]

	// The fields below are used only by the goroutine of Run.
	version       storer.Version // newest observed version of the object
	value         lease
	observed      bool
	versionSeenAt Reading // when version was first observed
	renewals      uint64
	token         namer.FencingToken // of the lease that this process holds; 0 if it holds none
	eras          attester.Record    // by the monotonic clock
	abstains      bool               // the lease was given up, and another candidate gets it first
	abstainUntil  time.Duration      // monotonic time at which that ends
}

func (l *Leaser) init() {
	l.once.Do(func() {
		l.done = make(chan struct{})
		l.Duration = cmp.Or(l.Duration, Duration)
		l.Margin = cmp.Or(l.Margin, Margin)
		l.RenewInterval = cmp.Or(l.RenewInterval, RenewInterval)
		l.RetryInterval = cmp.Or(l.RetryInterval, RetryInterval)
		l.PollInterval = cmp.Or(l.PollInterval, PollInterval)
		asserter.Check(l.Margin < l.Duration && l.HandoverGap <= l.Duration+l.Margin, "a lease outlasts its margin and the gap between holders",
			"lease %q lasts %s with a margin of %s and a gap of %s", l.Name, l.Duration, l.Margin, l.HandoverGap)
	})
}

func (l *Leaser) clock() Clock {
	if l.Clock == nil {
		return SystemClock{}
	}
	return l.Clock
}

// Done is closed when Run has returned and the lease is released.
func (l *Leaser) Done() <-chan struct{} {
	l.init()
	return l.done
}

func (l *Leaser) authority() (Authority, bool) {
	a := Authority{grant: l.grant.Load()}
	return a, a.Check() == nil
}

// Endpoints returns the authority over a data centre's endpoints if this process holds their lease.
func (l *Leaser) Endpoints(d namer.DataCentre) (EndpointAuthority, bool) {
	if l.Name != ForDataCentre(d) || l.Name == Housekeeping || l.Name == Roles || l.Name == Duties {
		return EndpointAuthority{}, false
	}
	a, ok := l.authority()
	return EndpointAuthority{Authority: a, dataCentre: d}, ok
}

// Housekeeping returns the housekeeping authority if this process holds that lease.
func (l *Leaser) Housekeeping() (HousekeepingAuthority, bool) {
	if l.Name != Housekeeping {
		return HousekeepingAuthority{}, false
	}
	a, ok := l.authority()
	return HousekeepingAuthority{Authority: a}, ok
}

// Roles returns the authority over the roles of engines if this process holds that lease.
func (l *Leaser) Roles() (RoleAuthority, bool) {
	if l.Name != Roles {
		return RoleAuthority{}, false
	}
	a, ok := l.authority()
	return RoleAuthority{Authority: a}, ok
}

// Duties returns the authority over the duties at the platform if this process holds that lease.
func (l *Leaser) Duties() (DutyAuthority, bool) {
	if l.Name != Duties {
		return DutyAuthority{}, false
	}
	a, ok := l.authority()
	return DutyAuthority{Authority: a}, ok
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

// step renews or competes for the lease and returns the time until the next step.
func (l *Leaser) step(ctx context.Context) time.Duration {
	if l.givesUp() {
		l.abstains, l.abstainUntil = true, l.clock().Now().Mono+l.Duration+l.Margin
		l.Log.Warn().Str("lease", string(l.Name)).Bool("eligible", l.eligible()).Msg("lease-given-up")
		l.release(ctx)
	}
	if l.abstains = l.abstains && l.clock().Now().Mono < l.abstainUntil; l.abstains {
		return l.jitter(l.PollInterval)
	}
	if l.observed && l.value.Holder == l.Process && l.acquirable() {
		return l.renew(ctx)
	}
	return l.tryAcquire(ctx)
}

func (l *Leaser) eligible() bool { return l.Eligible == nil || l.Eligible() }

// givesUp reports whether the holder lets another process have the lease although it could renew it.
func (l *Leaser) givesUp() bool {
	g := l.grant.Load()
	if g == nil || !g.releasable() {
		return false
	}
	return g.unfit.Load() || (l.ReleaseIneligible && !l.eligible()) || (g.unreachedFor() >= l.HandoverGap && g.renewedWithin(2*l.RenewInterval))
}

// acquirable reports whether no process can hold a lease any more that the store has lost.
func (l *Leaser) acquirable() bool {
	return l.eras.Whole(timekeeper.Instant(l.clock().Now().Mono), l.Duration+l.Margin)
}

// observeEra ends the grant of an earlier era. The restored store may have forgotten a holder whose authority
// has not expired yet.
func (l *Leaser) observeEra(era storer.Era, now Reading) {
	if l.eras.Begin(era, timekeeper.Instant(now.Mono)) {
		l.dropGrant()
	}
}

// tryAcquire reads the lease and acquires it if it is available. The jitter keeps candidates from
// writing at the same time.
func (l *Leaser) tryAcquire(ctx context.Context) time.Duration {
	if !l.eligible() {
		return l.jitter(l.PollInterval)
	}
	if err := l.read(ctx); err != nil {
		l.Log.Debug().Err(err).Str("lease", string(l.Name)).Msg("lease-unreadable")
		return l.jitter(l.PollInterval)
	}
	if !l.acquirable() {
		return l.jitter(l.PollInterval)
	}
	if l.value.Holder == l.Process {
		return 0
	}
	if !l.available() {
		return l.jitter(l.PollInterval)
	}
	next := lease{Holder: l.Process, Fencing: l.value.Fencing + 1}
	if err := l.write(ctx, next); err != nil {
		l.Log.Debug().Err(err).Str("lease", string(l.Name)).Msg("lease-not-acquired")
		return l.jitter(l.PollInterval)
	}
	return l.RenewInterval
}

// available reports whether the observed version of the lease may be replaced. Only the
// monotonic clock counts here: setting a wall clock forward must not shorten the wait.
func (l *Leaser) available() bool {
	return l.value.Holder.IsZero() || l.clock().Now().Mono-l.versionSeenAt.Mono >= l.Duration+l.Margin
}

func (l *Leaser) renew(ctx context.Context) time.Duration {
	next := l.value
	if l.token != 0 {
		next.Fencing = l.token
	}
	if err := l.write(ctx, next); err != nil {
		l.Log.Warn().Err(err).Str("lease", string(l.Name)).Msg("lease-not-renewed")
		return l.jitter(l.RetryInterval)
	}
	return l.RenewInterval
}

// read observes the newest version of the lease and drops the grant if another process holds it.
func (l *Leaser) read(ctx context.Context) error {
	now := l.clock().Now()
	ctx, cancel := l.bound(ctx)
	defer cancel()
	object, err := l.Store.Get(ctx, string(l.Name))
	if source, ok := l.Store.(storer.EraSource); ok && source.Era() > 0 {
		l.observeEra(source.Era(), now)
	}
	if errors.Is(err, storer.ErrNotFound) {
		l.observe(0, lease{Fencing: l.value.Fencing}, now)
		return nil
	}
	if err != nil {
		return err
	}
	var value lease
	if err := json.Unmarshal(object.Value, &value); err != nil {
		if object.Version.Era() == 0 {
			return errors.Wrapf(err, "decode lease %q", l.Name) // only the value has the last fencing token
		}
		// Another client has written it. The lease is replaced once its last holder's authority has expired.
		l.Log.Warn().Err(err).Str("lease", string(l.Name)).Msg("lease-not-valid")
		value = lease{Holder: unreadableHolder, Fencing: l.value.Fencing}
	}
	l.observe(object.Version, value, l.clock().Now())
	return nil
}

// bound limits a call to the store.
func (l *Leaser) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.CallTimeout == 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, l.CallTimeout)
}

// unreadableHolder stands for the holder of a lease that can't be decoded.
var unreadableHolder = namer.Process{Host: "unreadable"}

func (l *Leaser) observe(version storer.Version, value lease, now Reading) {
	if !l.observed || version != l.version {
		l.versionSeenAt = now
	}
	l.observeEra(version.Era(), now)
	l.observed, l.version, l.value = true, version, value
	if value.Holder != l.Process {
		l.dropGrant()
	}
}

func (l *Leaser) dropGrant() {
	l.token = 0
	if old := l.grant.Swap(nil); old != nil {
		old.close()
		l.Log.Info().Str("lease", string(l.Name)).Uint64("fencing", uint64(old.fencing)).Msg("lease-lost")
	}
}

// write stores the next value conditional on the observed version. After a lost response or a conflict it
// reads the lease back: the write has succeeded if the object holds exactly this value.
func (l *Leaser) write(ctx context.Context, next lease) error {
	l.renewals++
	next.Renewal = l.renewals
	start := l.clock().Now()
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrapf(err, "encode lease %q", l.Name)
	}
	putCtx, cancel := l.bound(ctx)
	object, err := l.Store.Put(putCtx, string(l.Name), value, l.version)
	cancel()
	switch {
	case err == nil:
		l.observe(object.Version, next, l.clock().Now())
	case errors.Is(err, storer.ErrUncertain), errors.Is(err, storer.ErrConflict):
		if readErr := l.read(ctx); readErr != nil {
			return errors.Wrapf(readErr, "read lease %q back after uncertain write", l.Name)
		}
		if l.value != next {
			return errors.Wrapf(err, "write lease %q", l.Name)
		}
	default:
		return errors.Wrapf(err, "write lease %q", l.Name)
	}
	if !l.acquirable() {
		return errors.Wrapf(storer.ErrConflict, "write lease %q: the store was restored from a backup", l.Name)
	}
	if l.token == 0 {
		l.token = next.Fencing
		if l.version.Era() > 0 {
			l.token = namer.FencingToken(l.version)
		}
	}
	l.recordGrant(l.token, start)
	return nil
}

// recordGrant creates or extends the grant, valid from start, when the successful write was sent.
func (l *Leaser) recordGrant(fencing namer.FencingToken, start Reading) {
	if old := l.grant.Load(); old != nil && old.fencing == fencing {
		old.extend(start)
		return
	}
	old := l.grant.Load()
	asserter.Check(old == nil || old.fencing < fencing, "fencing tokens of a lease increase",
		"lease %q has %d after %v", l.Name, fencing, old)
	l.grant.Store(newGrant(l, fencing, start))
	l.Log.Info().Str("lease", string(l.Name)).Uint64("fencing", uint64(fencing)).Msg("lease-acquired")
}

// release closes the grant, waits for its uses to end and clears the holder for the next candidate. A lease that was
// acquired less than the gap between holders ago expires instead.
func (l *Leaser) release(ctx context.Context) {
	g := l.grant.Swap(nil)
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	select {
	case <-g.close():
	case <-ctx.Done():
		return
	}
	if !g.releasable() {
		l.Log.Info().Str("lease", string(l.Name)).Msg("lease-expires")
		return
	}
	ctx, cancel = context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	l.observed = false // a renewal of the released version would fail
	value, err := json.Marshal(lease{Fencing: g.fencing})
	if err == nil {
		_, err = l.Store.Put(ctx, string(l.Name), value, l.version)
	}
	if err != nil {
		l.Log.Warn().Err(err).Str("lease", string(l.Name)).Msg("lease-not-released")
	}
}

// jitter returns a wait between d/2 and d.
func (l *Leaser) jitter(d time.Duration) time.Duration {
	if l.Random == nil {
		return d/2 + rand.N(d/2)
	}
	return d/2 + l.Random(d/2)
}
