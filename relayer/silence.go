package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// silentAfter is the silence of an endpoint, beyond the time that its answer is expected to take, after
// which attempts that may be repeated are given up. A busy engine takes up to a third of a second between
// the events of a stream.
const silentAfter = 400 * time.Millisecond

// errSilent means that nothing has come from an endpoint for a while.
var errSilent = errors.New("endpoint is silent")

// pulses holds when something last came from each endpoint, over all attempts. An endpoint that
// answers others is busy and not gone.
type pulses struct {
	last sync.Map // namer.Endpoint to *atomic.Int64, nanoseconds since began
}

var began = time.Now()

func (p *pulses) of(name namer.Endpoint) *atomic.Int64 {
	if last, known := p.last.Load(name); known {
		return last.(*atomic.Int64)
	}
	last, _ := p.last.LoadOrStore(name, &atomic.Int64{})
	return last.(*atomic.Int64)
}

func beat(pulse *atomic.Int64) { pulse.Store(int64(time.Since(began))) }

// guard ends the context of an attempt when its endpoint is silent for too long.
type guard struct {
	pulse    *atomic.Int64
	since    time.Duration // when the attempt began
	patience time.Duration // for silence
	cancel   context.CancelCauseFunc
	timer    *time.Timer // nil when the attempt must not be given up
}

// watch starts a guard. A patience of 0 never ends. The caller stops the guard.
func (r *Relayer) watch(ctx context.Context, name namer.Endpoint, patience time.Duration) (context.Context, *guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &guard{pulse: r.pulses.of(name), since: time.Since(began), patience: patience, cancel: cancel}
	if patience > 0 {
		g.timer = time.AfterFunc(patience, g.check)
	}
	return ctx, g
}

func (g *guard) check() {
	last := max(time.Duration(g.pulse.Load()), g.since)
	silent := time.Since(began) - last
	if silent >= g.patience {
		g.cancel(errSilent)
		return
	}
	g.timer.Reset(g.patience - silent)
}

// heard notes that something has come from the endpoint.
func (g *guard) heard() { beat(g.pulse) }

// stop ends the watch and releases the context.
func (g *guard) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.cancel(nil)
}
