// Package follower maintains a replica of the objects below one prefix of the object API. A few daemons,
// the readers, read the object API: they watch it, and also list all objects periodically, because a watch
// that returns nothing does not prove that nothing has changed. The other daemons replicate from a reader,
// and read the object API themselves if their replica has not been confirmed for too long. A Follower owns
// its replica and publishes it as immutable listings.
package follower

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/storer"
	"apricotspool/timekeeper"
)

const (
	// DefaultStalenessBound is the staleness bound if the settings give none.
	DefaultStalenessBound = 2 * time.Second
	// The following fractions are relative to the staleness bound.

	// pollFraction is the interval between full lists. A change that the watch misses is seen after at most
	// this time.
	pollFraction = 0.4
	// staleFraction is how long a replica may remain unconfirmed before its daemon, although not a reader,
	// reads the object API itself.
	staleFraction = 0.8
	// longPollFraction is how long a reader holds a sync call while nothing changes.
	longPollFraction = 0.25
	// hedgeFraction is the delay after which an unanswered list call is hedged on another connection: a
	// network partition may have left the first connection dead. Slow responses are still accepted.
	hedgeFraction = 0.25
	// maxHedges bounds the concurrent list calls of one poll, the first one included.
	maxHedges = 4
	// syncTimeoutSlack is added to the long-poll time for the timeout of a sync call.
	syncTimeoutSlack = 300 * time.Millisecond
	// checkPeriod is how often a daemon that is not a reader checks the age of its replica.
	checkPeriod = 100 * time.Millisecond
	// Backoff after a failed call. The store's rate limits are shared by all daemons. With a longer backoff,
	// a daemon could learn too late which endpoints left during a network partition: it has less than a
	// second after the end of the partition.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// delegatedBackoffFraction is the backoff after a failed list while the reader responds: the reader
	// keeps polling for all. Without it, the calls of 91 daemons in an outage of four seconds were the
	// largest cost of a day.
	delegatedBackoffFraction = 0.5
	// readerLivenessFraction is how long after its last response a reader is considered alive.
	readerLivenessFraction = 0.5
)

// MaxEntryBytes bounds the entries of endpoints and daemons. Most of a daemon's are its blocked prompt parts; an endpoint's
// have some hundred bytes.
const MaxEntryBytes = 64 << 10

// Readers gives access to the daemons that read the object API for the others.
type Readers interface {
	// IsReader reports whether this daemon is a reader.
	IsReader() bool
	// Sync asks a reader for the changes since a version.
	Sync(ctx context.Context, request *SyncRequest) (*SyncReply, error)
	// ReportStaleReader reports that this daemon reached the object API while its reader has only a stale
	// replica, or does not reach it.
	ReportStaleReader()
}

// Follower replicates the objects below a prefix. Set the exported fields before Run.
type Follower struct {
	Source storer.Reader
	Prefix string
	// StalenessBound is the time within which a change must be seen; 0 means DefaultStalenessBound.
	StalenessBound time.Duration
	Readers        Readers // nil makes this daemon a reader
	// MaxValueBytes is the size up to which values are replicated; 0 means any size. A larger object is followed with an
	// empty value: the replies to other daemons are limited, and one object must not make them fail.
	MaxValueBytes int
	// DisableWatch makes the follower see changes by polling only.
	DisableWatch bool
	// Clock measures how old the replica is; nil means the clock of package time, which stands still while the machine is
	// suspended.
	Clock timekeeper.Clock
	Log   zerolog.Logger

	once    sync.Once
	done    chan struct{}
	clock   timekeeper.Clock
	listing atomic.Pointer[Listing]

	mu              sync.Mutex // guards the fields below; not held during calls
	state           state
	started         time.Time
	confirmation    Confirmation
	confirmed       time.Time // when the object API last confirmed the replica; see confirmation
	responded       time.Time // when the object API last responded
	readerResponded time.Time // when the reader of this daemon last responded
	readerFailing   bool      // the reader's calls to the object API fail, as of its last reply
	probeDue        bool      // this daemon has to call the object API, to see whether it is out
	failing         bool
	failedAt        time.Time // when failing was set
	outageEnd       time.Time
	changed         chan struct{} // closed and replaced by notify
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.done = make(chan struct{})
		f.changed = make(chan struct{})
		begin := time.Now()
		if f.clock = f.Clock; f.clock == nil {
			f.clock = func() timekeeper.Instant { return timekeeper.Instant(time.Since(begin)) }
		}
	})
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} {
	f.init()
	return f.done
}

// Listing returns the latest state, or nil before the first one.
func (f *Follower) Listing() *Listing { return f.listing.Load() }

// Changed returns a channel that is closed on the next change of the listing, or when calls to the object API begin to fail
// or respond again.
func (f *Follower) Changed() <-chan struct{} {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run replicates until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	defer close(f.done)
	f.mu.Lock()
	f.started = time.Now()
	f.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { f.poll(ctx) })
	wg.Go(func() { f.followChanges(ctx) })
	wg.Wait()
	return ctx.Err()
}

func (f *Follower) isReader() bool { return f.Readers == nil || f.Readers.IsReader() }

// boundFraction returns a fraction of the staleness bound.
func (f *Follower) boundFraction(fraction float64) time.Duration {
	bound := f.StalenessBound
	if bound == 0 {
		bound = DefaultStalenessBound
	}
	return time.Duration(fraction * float64(bound))
}

// stale reports whether the replica has not been confirmed for too long. After its start, a daemon gives
// its reader the same time for the first confirmation.
func (f *Follower) stale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.confirmed
	if since.Before(f.started) {
		since = f.started
	}
	age := time.Since(since)
	if !f.confirmed.IsZero() {
		age = max(age, f.age())
	}
	return age >= f.boundFraction(staleFraction)
}

// takeProbe reports whether a probe of the object API is due, and takes it as done.
func (f *Follower) takeProbe() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.probeDue
	f.probeDue = false
	return due
}

// poll lists all objects: periodically if this daemon is a reader, otherwise whenever its replica is stale, and once when its
// reader's calls begin to fail.
func (f *Follower) poll(ctx context.Context) {
	period := f.boundFraction(pollFraction)
	delay := minBackoff
	for ctx.Err() == nil {
		if probe := f.takeProbe(); !f.isReader() && !f.stale() && !probe {
			sleep(ctx, checkPeriod)
			continue
		}
		delegated := !f.isReader() && f.readerAlive()
		err := f.pollOnce(ctx, delegated)
		switch {
		case err != nil && delegated:
			sleep(ctx, jitter(f.boundFraction(delegatedBackoffFraction)))
		case err != nil:
			sleep(ctx, jitter(delay))
			delay = min(2*delay, maxBackoff)
		case f.isReader():
			delay = minBackoff
			sleep(ctx, period-period/10+rand.N(period/5))
		case delegated:
			f.Readers.ReportStaleReader()
		}
	}
}

// readerAlive reports whether the reader of this daemon has responded recently.
func (f *Follower) readerAlive() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.readerResponded) < f.boundFraction(readerLivenessFraction)
}

// pollOnce lists all objects. It hedges the call unless a live reader polls for this daemon as well.
func (f *Follower) pollOnce(ctx context.Context, delegated bool) error {
	if delegated {
		return f.readList(ctx)
	}
	return f.readListHedged(ctx)
}

// readListHedged lists all objects, with hedged calls while there is no response.
func (f *Follower) readListHedged(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, maxHedges)
	inFlight := 0
	start := func() {
		inFlight++
		go func() { results <- f.readList(ctx) }()
	}
	start()
	hedge := time.NewTicker(f.boundFraction(hedgeFraction))
	defer hedge.Stop()
	for {
		select {
		case err := <-results:
			if inFlight--; err == nil || inFlight == 0 {
				return err
			}
		case <-hedge.C:
			if inFlight < maxHedges {
				start()
			}
		}
	}
}

// readList lists all objects. A watch may continue from the version of the first page.
func (f *Follower) readList(ctx context.Context) error {
	callStart, callInstant := time.Now(), f.clock()
	objects := map[string]storer.Object{}
	var version storer.Version
	for after, first := "", true; ; first = false {
		page, err := f.Source.List(ctx, f.Prefix, after, 0)
		if err != nil {
			f.recordFailure(ctx, callStart, "list", err)
			return err
		}
		if first {
			version = page.Version
		} else if page.Version.Era() != version.Era() {
			err := errors.Wrap(storer.ErrUnavailable, "store was restored from a backup during a list")
			f.recordFailure(ctx, callStart, "list", err)
			return err
		}
		for _, object := range page.Objects {
			objects[object.Key] = f.limited(object)
		}
		if !page.More {
			break
		}
		if page.Next() <= after {
			err := errors.Wrapf(storer.ErrUnavailable, "list doesn't advance after key %q", after)
			f.recordFailure(ctx, callStart, "list", err)
			return err
		}
		after = page.Next()
	}
	if known, _ := f.currentVersion(); version.Era() < known.Era() {
		callStart = time.Time{} // the list does not confirm the replica
	}
	f.update(proof{time.Now(), callStart, callInstant, version.Era(), f.clock()}, func(s *state) bool { return s.applyList(objects, version) })
	return nil
}

// followChanges receives changes as they happen: from watches of the object API, or from a reader.
func (f *Follower) followChanges(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case !f.isReader():
			f.syncFromReader(ctx)
		case f.DisableWatch:
			sleep(ctx, checkPeriod)
		default:
			f.watch(ctx)
		}
	}
}

func (f *Follower) watch(ctx context.Context) {
	since, known := f.currentVersion()
	if !known {
		sleep(ctx, checkPeriod)
		return
	}
	callStart, callInstant := time.Now(), f.clock()
	changes, err := f.Source.Watch(ctx, f.Prefix, since)
	switch {
	case errors.Is(err, storer.ErrHistoryGone):
		if f.readList(ctx) != nil {
			sleep(ctx, jitter(minBackoff))
		}
	case err != nil:
		f.recordFailure(ctx, callStart, "watch", err)
		sleep(ctx, jitter(minBackoff))
	default:
		for i := range changes.Objects {
			changes.Objects[i] = f.limited(changes.Objects[i])
		}
		f.update(proof{time.Now(), callStart, callInstant, changes.Version.Era(), f.clock()}, func(s *state) bool { return s.applyChanges(changes) })
	}
}

// limited returns an object without a value that is too large.
func (f *Follower) limited(o storer.Object) storer.Object {
	if f.MaxValueBytes > 0 && len(o.Value) > f.MaxValueBytes {
		o.Value = nil
	}
	return o
}

func (f *Follower) currentVersion() (storer.Version, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.version, f.state.objects != nil
}

// proof is what a response shows besides the objects in it.
type proof struct {
	responded time.Time // when the object API responded
	// confirmed is the time before which all changes are included, and at the same on the follower's clock. A zero time
	// confirms nothing.
	confirmed time.Time
	at        timekeeper.Instant
	era       storer.Era // of the object API
	begunBy   timekeeper.Instant
}

// update applies a change to the state and publishes the result.
func (f *Follower) update(p proof, apply func(*state) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.responded.After(f.responded) {
		f.responded = p.responded
	}
	answers := f.failing && p.confirmed.After(f.failedAt)
	if answers {
		f.failing, f.outageEnd = false, p.responded
		f.Log.Info().Str("prefix", f.Prefix).Uint64("version", uint64(f.state.version)).Msg("object-api-answers")
	}
	changed := apply(&f.state)
	if f.recordEra(p.era, p.begunBy) {
		// A restore has the effect of an outage: entries may be missing until their owners write them again.
		f.outageEnd = p.responded
	}
	f.confirm(p.confirmed, p.at)
	if changed {
		f.confirmation.Changes++
	}
	if listing := f.listing.Load(); changed || listing == nil || listing.OutageEnd != f.outageEnd {
		f.listing.Store(f.state.listing(f.outageEnd, f.confirmation.Changes))
	}
	if changed || answers {
		f.notify()
	}
}

// notify wakes those who wait for Changed. The caller holds f.mu.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordFailure marks the object API as failing. It ignores a call that began before the object API last
// responded: such a call may have hung on a connection that was dead before.
func (f *Follower) recordFailure(ctx context.Context, callStart time.Time, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	first := !f.failing && callStart.After(f.responded)
	if first {
		f.failing, f.failedAt = true, time.Now()
		f.notify()
	}
	f.mu.Unlock()
	if first {
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Str("call", call).Msg("object-api-failed")
	}
}

// jitter randomizes a delay, so that daemons that fail together do not call together again.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
