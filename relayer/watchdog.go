package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// inactivityTimeout is how long an endpoint may send nothing, beyond the expected latency, before attempts
// that can be retried are cancelled. A busy engine takes up to a third of a second between the events of a
// stream.
const inactivityTimeout = 400 * time.Millisecond

// errInactive is the cause of contexts that the watchdog cancelled.
var errInactive = errors.New("endpoint is unresponsive")

// activityTracker records when each endpoint last sent something on any attempt. An endpoint that responds
// to other attempts is busy rather than unresponsive.
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

func touch(last *atomic.Int64) { last.Store(int64(time.Since(processStart))) }

// watchdog cancels the context of an attempt when its endpoint has sent nothing for too long.
type watchdog struct {
	lastActive *atomic.Int64
	start      time.Duration // start of the attempt, since processStart
	timeout    time.Duration // inactivity after which the attempt is cancelled
	cancel     context.CancelCauseFunc
	timer      *time.Timer // nil if the attempt must not be cancelled
}

// startWatchdog starts a watchdog for an attempt at an endpoint. A timeout of 0 means none. The caller
// must stop the watchdog.
func (r *Relayer) startWatchdog(ctx context.Context, name namer.Endpoint, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	wd := &watchdog{lastActive: r.activity.endpoint(name), start: time.Since(processStart), timeout: timeout, cancel: cancel}
	if timeout > 0 {
		wd.timer = time.AfterFunc(timeout, wd.check)
	}
	return ctx, wd
}

func (wd *watchdog) check() {
	last := max(time.Duration(wd.lastActive.Load()), wd.start)
	inactive := time.Since(processStart) - last
	if inactive >= wd.timeout {
		wd.cancel(errInactive)
		return
	}
	wd.timer.Reset(wd.timeout - inactive)
}

// touch records that the endpoint has sent something.
func (wd *watchdog) touch() { touch(wd.lastActive) }

// stop stops the watchdog and releases the context.
func (wd *watchdog) stop() {
	if wd.timer != nil {
		wd.timer.Stop()
	}
	wd.cancel(nil)
}
