package relayer

import (
	"cmp"
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/detector"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/namer"
)

// Causes of contexts that the watchdog cancelled.
var (
	errInactive = errors.New("endpoint is unresponsive") // and another attempt follows
	errLost     = errors.New("endpoint no longer has the request")
)

// defaultTarget is assumed for routes without a latency target.
const defaultTarget = 200 * time.Millisecond

// activityTracker records when each endpoint last made progress on any attempt.
type activityTracker struct {
	lastActive sync.Map // namer.Endpoint to *atomic.Int64, nanoseconds since processStart
}

var processStart = time.Now()

func (t *activityTracker) endpoint(name namer.Endpoint) *atomic.Int64 {
	if last, known := t.lastActive.Load(name); known {
		return last.(*atomic.Int64)
	}
	last, _ := t.lastActive.LoadOrStore(name, &atomic.Int64{})
	return last.(*atomic.Int64)
}

// callKind distinguishes calls with different usual latencies.
type callKind struct {
	service namer.Service
	prefill bool
	started bool // between two events of a response
}

// latencyTracker learns the latency of each kind of call from all attempts of this daemon.
type latencyTracker struct {
	kinds sync.Map // callKind to *sharedLatency
}

type sharedLatency struct {
	mu      sync.Mutex
	latency detector.Latency
}

func (t *latencyTracker) kind(k callKind) *sharedLatency {
	if shared, known := t.kinds.Load(k); known {
		return shared.(*sharedLatency)
	}
	shared, _ := t.kinds.LoadOrStore(k, &sharedLatency{})
	return shared.(*sharedLatency)
}

func (s *sharedLatency) observe(silence, predicted time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency.Observe(silence, predicted)
}

// watched describes an attempt to its watchdog.
type watched struct {
	target    forwarder.Target
	kind      callKind
	callID    string
	attempt   namer.Attempt
	ticket    *dispatcher.Ticket
	predicted time.Duration // until the first event
	latency   time.Duration // the route's latency target
	deadline  time.Time
	reports   bool // the endpoint reports its load
	replace   bool // another attempt may follow
}

// watchdog cancels the context of an attempt that will get no response; see detector.Watch.
type watchdog struct {
	watched
	relayer        *Relayer
	lastActive     *atomic.Int64 // of the endpoint, since processStart
	lastOwn        atomic.Int64  // of this attempt, since processStart
	started        atomic.Bool   // the first event has arrived
	first, between *sharedLatency
	cancel         context.CancelCauseFunc
	ctx            context.Context
	timer          *time.Timer // nil if no other attempt can follow
	decided        atomic.Bool // the attempt has been committed or abandoned
	paused         atomic.Bool // the caller is being written to

	watch detector.Watch // used only by check, which does not run concurrently with itself
}

// startWatchdog starts a watchdog for an attempt. The caller must stop it.
func (r *Relayer) startWatchdog(ctx context.Context, w watched) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w.latency = cmp.Or(w.latency, defaultTarget)
	between := w.kind
	between.started = true
	wd := &watchdog{
		watched: w, relayer: r, lastActive: r.activity.endpoint(w.target.Endpoint), cancel: cancel, ctx: ctx,
		first: r.latencies.kind(w.kind), between: r.latencies.kind(between),
		watch: detector.Watch{CallID: w.callID, Reports: w.reports},
	}
	wd.lastOwn.Store(int64(time.Since(processStart)))
	if w.replace {
		wd.timer = time.AfterFunc(math.MaxInt64, wd.check) // check uses the field
		wd.timer.Reset(wd.patience())
	}
	return ctx, wd
}

// patience returns how long the endpoint may send nothing before it is in doubt.
func (wd *watchdog) patience() time.Duration {
	shared, predicted := wd.first, wd.predicted
	if wd.started.Load() {
		shared, predicted = wd.between, 0
	}
	shared.mu.Lock()
	defer shared.mu.Unlock()
	return wd.watch.Patience(&shared.latency, predicted, wd.latency, time.Until(wd.deadline))
}

func (wd *watchdog) silence(now time.Duration) detector.Silence {
	if wd.paused.Load() {
		return detector.Silence{}
	}
	own := now - time.Duration(wd.lastOwn.Load())
	return detector.Silence{Attempt: own, Endpoint: min(own, now-time.Duration(wd.lastActive.Load()))}
}

// check is called by the timer.
func (wd *watchdog) check() {
	if wd.ctx.Err() != nil || wd.decided.Load() {
		return // stopped or committed during the last check
	}
	now, patience := time.Since(processStart), wd.patience()
	step := wd.watch.Check(now, wd.silence(now), patience)
	if step.Action == detector.Ask {
		report, err := wd.relayer.reports.ask(wd.ctx, wd.relayer, wd.target)
		began := now
		now = time.Since(processStart)
		if silence := wd.silence(now); err != nil {
			step = wd.watch.NotReported(now, began, silence)
		} else {
			step = wd.watch.Reported(now, silence, patience, wd.predicted, report)
		}
	}
	switch step.Action {
	case detector.Wait:
		wd.timer.Reset(step.Wait)
	case detector.AbandonLost:
		if wd.reports {
			wd.abandon(errLost) // the engine says so
			return
		}
		wd.replaceAttempt(classifier.RetryResponseLost, errLost)
	default:
		wd.replaceAttempt(classifier.RetryEndpointUnresponsive, errInactive)
	}
}

// replaceAttempt cancels the attempt if the core has another one that can follow. A sound endpoint may send nothing
// for a while: without a replacement, or if it goes on meanwhile, its response is worth waiting for.
func (wd *watchdog) replaceAttempt(reason classifier.RetryReason, cause error) {
	asked := time.Since(processStart)
	abandon := wd.ticket.Unresponsive(wd.ctx, wd.attempt, wd.target.Endpoint, reason, wd.responds)
	now := time.Since(processStart)
	silence := wd.silence(now)
	silent := silence.Endpoint
	if reason == classifier.RetryResponseLost {
		silent = silence.Attempt
	}
	if abandon && silent >= now-asked {
		wd.abandon(cause)
		return
	}
	wd.timer.Reset(wd.watch.Kept(now, silence).Wait)
}

func (wd *watchdog) abandon(cause error) {
	if wd.decided.CompareAndSwap(false, true) {
		wd.cancel(cause)
	}
}

// commit ends the watch, because no other attempt can continue the response. It returns the cause if the attempt has
// been abandoned before.
func (wd *watchdog) commit() error {
	if wd.decided.CompareAndSwap(false, true) {
		return nil
	}
	<-wd.ctx.Done()
	return context.Cause(wd.ctx)
}

// pause stops counting silence while the caller is written to; a slow caller blocks that.
func (wd *watchdog) pause() { wd.paused.Store(true) }

// resume counts silence again, from now on.
func (wd *watchdog) resume() {
	wd.lastOwn.Store(int64(time.Since(processStart)))
	wd.paused.Store(false)
}

// responds reports whether an engine answers a call for its report.
func (wd *watchdog) responds(name namer.Endpoint) bool {
	target, known := wd.relayer.Target(name)
	if !known {
		return false
	}
	_, err := wd.relayer.reports.ask(wd.ctx, wd.relayer, target)
	return err == nil
}

// progress records that the attempt has made progress: its response has begun, or a whole event has arrived.
// Bytes that complete no event are none.
func (wd *watchdog) progress() {
	now := time.Since(processStart)
	own := now - time.Duration(wd.lastOwn.Swap(int64(now)))
	wd.lastActive.Store(int64(now))
	if wd.started.Swap(true) {
		wd.between.observe(own, 0)
	} else {
		wd.first.observe(own, wd.predicted)
	}
}

// stop stops the watchdog and releases the context.
func (wd *watchdog) stop() {
	if wd.timer != nil {
		wd.timer.Stop()
	}
	wd.cancel(nil)
}

// abandoned returns the reason for which the watchdog cancelled an attempt, or "" if it did not.
func abandoned(ctx context.Context) classifier.RetryReason {
	switch context.Cause(ctx) {
	case errInactive:
		return classifier.RetryEndpointUnresponsive
	case errLost:
		return classifier.RetryResponseLost
	}
	return ""
}
