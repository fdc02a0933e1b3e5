// Package follower keeps a copy of the objects below one prefix of the object API. A few daemons read
// the object API: they watch, and read the whole list now and then, because a watch that stays silent
// does not prove that nothing has changed. The others follow one of these, and read the object API
// themselves when nobody confirms their copy for a while. A Follower owns its copy and publishes it
// as immutable listings.
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
)

const (
	// DefaultBound is the time within which a change is known where the settings don't say.
	DefaultBound = 2 * time.Second
	// pollPart of the bound is the time between two readings of the whole list. A change that the watch
	// misses is known after this time.
	pollPart = 0.4
	// stalePart of the bound is the age of the last confirmation from which a daemon reads for itself.
	stalePart = 0.8
	// waitPart of the bound is how long a reader holds a call when nothing changes.
	waitPart = 0.25
	// hedgePart of the bound is when a list that has no answer yet is asked for once more, on another
	// connection: the first one may have gone silent in a cut. Slow answers are still taken.
	hedgePart = 0.25
	// maxHedges bounds the lists that are asked for at a time.
	maxHedges = 4
	// syncSlack is the time beyond its wait after which a call to a reader counts as lost.
	syncSlack = 300 * time.Millisecond
	// checkPeriod is how often a daemon that follows another one looks at the age of its copy.
	checkPeriod = 100 * time.Millisecond
	// Delays after a failed call. The store's rates are shared by all daemons. A longer delay would be felt
	// at the end of a cut, when a daemon has less than a second to hear of the endpoints that have left.
	minDelay = 100 * time.Millisecond
	maxDelay = 200 * time.Millisecond
	// ledDelayPart of the bound is the delay where another daemon, which answers, fails as well: it reads on
	// for all. In an outage of four seconds the calls of 91 daemons were the largest price of the day.
	ledDelayPart = 0.5
	// ledPart of the bound is how long after its last answer a daemon counts as one that answers.
	ledPart = 0.5
)

// Readers are the daemons that read the object API for the others.
type Readers interface {
	// Reads reports whether this daemon is one of them.
	Reads() bool
	// Sync asks one of them for what has changed since a version.
	Sync(ctx context.Context, request *SyncRequest) (*SyncReply, error)
	// Behind says that the object API answers this daemon, and the one that reads for it has only an old copy.
	Behind()
}

// Follower follows the objects below a prefix. Set the exported fields before Run.
type Follower struct {
	Source storer.Reader
	Prefix string
	// Bound is the time within which a change must be known; 0 means DefaultBound.
	Bound   time.Duration
	Readers Readers // nil makes this daemon read
	// WithoutWatch leaves it at reading the list.
	WithoutWatch bool
	Log          zerolog.Logger

	once    sync.Once
	done    chan struct{}
	listing atomic.Pointer[Listing]

	mu        sync.Mutex // guards the fields below; never held over a call
	state     state
	started   time.Time
	confirmed time.Time // when the object API last confirmed the copy
	answered  time.Time // when the object API last answered
	led       time.Time // when the daemon that reads for this one last answered
	failing   bool
	failedAt  time.Time // when failing was set
	outageEnd time.Time
	changed   chan struct{} // closed and replaced at each change
}

func (f *Follower) init() {
	f.once.Do(func() {
		f.done = make(chan struct{})
		f.changed = make(chan struct{})
	})
}

// Done closes when Run has returned.
func (f *Follower) Done() <-chan struct{} {
	f.init()
	return f.done
}

// Listing returns the newest state, or nil before the first one.
func (f *Follower) Listing() *Listing { return f.listing.Load() }

// Changed returns a channel that closes at the next change.
func (f *Follower) Changed() <-chan struct{} {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	f.init()
	defer close(f.done)
	f.mu.Lock()
	f.started = time.Now()
	f.mu.Unlock()
	var parts sync.WaitGroup
	parts.Go(func() { f.poll(ctx) })
	parts.Go(func() { f.follow(ctx) })
	parts.Wait()
	return ctx.Err()
}

func (f *Follower) reads() bool { return f.Readers == nil || f.Readers.Reads() }

// part returns a part of the bound.
func (f *Follower) part(p float64) time.Duration {
	bound := f.Bound
	if bound == 0 {
		bound = DefaultBound
	}
	return time.Duration(p * float64(bound))
}

// stale reports whether nobody has confirmed the copy for too long. A daemon that has just started
// leaves its readers as much time as later.
func (f *Follower) stale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.confirmed
	if since.Before(f.started) {
		since = f.started
	}
	return time.Since(since) >= f.part(stalePart)
}

// poll reads the list once a period, or when the copy of a daemon that doesn't read is too old.
func (f *Follower) poll(ctx context.Context) {
	period := f.part(pollPart)
	delay := minDelay
	for ctx.Err() == nil {
		if !f.reads() && !f.stale() {
			sleep(ctx, checkPeriod)
			continue
		}
		led := !f.reads() && f.isLed()
		err := f.readAs(ctx, led)
		switch {
		case err != nil && led:
			sleep(ctx, jitter(f.part(ledDelayPart)))
		case err != nil:
			sleep(ctx, jitter(delay))
			delay = min(2*delay, maxDelay)
		case f.reads():
			delay = minDelay
			sleep(ctx, period-period/10+rand.N(period/5))
		case led:
			f.Readers.Behind()
		}
	}
}

// isLed reports whether a daemon answers that reads for this one.
func (f *Follower) isLed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.led) < f.part(ledPart)
}

// readAs reads the whole list. Daemons that nobody reads for ask again while there is no answer.
func (f *Follower) readAs(ctx context.Context, led bool) error {
	if led {
		return f.read(ctx)
	}
	return f.readHedged(ctx)
}

// Age returns the time since the object API last confirmed the copy.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmed)
}

// readHedged reads the whole list, and asks again while there is no answer.
func (f *Follower) readHedged(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, maxHedges)
	open := 0
	start := func() {
		open++
		go func() { results <- f.read(ctx) }()
	}
	start()
	again := time.NewTicker(f.part(hedgePart))
	defer again.Stop()
	for {
		select {
		case err := <-results:
			if open--; err == nil || open == 0 {
				return err
			}
		case <-again.C:
			if open < maxHedges {
				start()
			}
		}
	}
}

// read reads the whole list. The version of its first page is the one that a watch may go on from.
func (f *Follower) read(ctx context.Context) error {
	began := time.Now()
	objects := map[string]storer.Object{}
	var at storer.Version
	for after, first := "", true; ; first = false {
		page, err := f.Source.List(ctx, f.Prefix, after, 0)
		if err != nil {
			f.failed(ctx, began, "list", err)
			return err
		}
		if first {
			at = page.Version
		}
		for _, object := range page.Objects {
			objects[object.Key] = object
			after = object.Key
		}
		if !page.More || len(page.Objects) == 0 {
			break
		}
	}
	f.update(time.Now(), began, func(s *state) bool { return s.list(objects, at) })
	return nil
}

// follow hears of changes as they come: from the object API, or from a daemon that reads it.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case !f.reads():
			f.sync(ctx)
		case f.WithoutWatch:
			sleep(ctx, checkPeriod)
		default:
			f.watch(ctx)
		}
	}
}

func (f *Follower) watch(ctx context.Context) {
	since, known := f.since()
	if !known {
		sleep(ctx, checkPeriod)
		return
	}
	began := time.Now()
	changes, err := f.Source.Watch(ctx, f.Prefix, since)
	switch {
	case errors.Is(err, storer.ErrHistoryGone):
		if f.read(ctx) != nil {
			sleep(ctx, jitter(minDelay))
		}
	case err != nil:
		f.failed(ctx, began, "watch", err)
		sleep(ctx, jitter(minDelay))
	default:
		f.update(time.Now(), began, func(s *state) bool { return s.add(changes) })
	}
}

func (f *Follower) since() (storer.Version, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.version, f.state.objects != nil
}

// update changes the state and publishes it. The object API has answered at one time and confirmed the
// state of another one.
func (f *Follower) update(answered, confirmed time.Time, alter func(*state) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if answered.After(f.answered) {
		f.answered = answered
	}
	if f.failing && confirmed.After(f.failedAt) {
		f.failing, f.outageEnd = false, answered
		f.Log.Info().Str("prefix", f.Prefix).Uint64("version", uint64(f.state.version)).Msg("object-api-answers")
	}
	if confirmed.After(f.confirmed) {
		f.confirmed = confirmed
	}
	changed := alter(&f.state)
	if listing := f.listing.Load(); changed || listing == nil || listing.OutageEnd != f.outageEnd {
		f.listing.Store(f.state.listing(f.outageEnd))
	}
	if changed {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// failed takes note of a failed call. One that began before the object API last answered says nothing
// new: it may have hung on a connection that was cut before.
func (f *Follower) failed(ctx context.Context, began time.Time, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	first := !f.failing && began.After(f.answered)
	if first {
		f.failing, f.failedAt = true, time.Now()
	}
	f.mu.Unlock()
	if first {
		f.Log.Warn().Err(err).Str("prefix", f.Prefix).Str("call", call).Msg("object-api-failed")
	}
}

// jitter keeps daemons that began to wait together from calling together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
