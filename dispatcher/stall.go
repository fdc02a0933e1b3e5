package dispatcher

import (
	"context"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"apricotspool/asserter"
)

const (
	// stallInterval is the interval at which the stall detector looks at the control goroutine.
	stallInterval = 250 * time.Millisecond
	// stallUnready and stallLimit are the numbers of intervals within one step of the control goroutine after which the
	// daemon isn't ready, and after which its process ends. Intervals are counted, not time: a process that was
	// suspended sees only one of them pass.
	stallUnready = 8
	stallLimit   = 40
)

// stallDetector finds a control goroutine that doesn't finish a step, because the core loops or blocks.
type stallDetector struct {
	steps   atomic.Uint64 // odd during a step
	stalled atomic.Bool
}

func (s *stallDetector) begin() { s.steps.Add(1) }
func (s *stallDetector) end()   { s.steps.Add(1) }

// Stalled reports whether the core has not finished a step for so long that no request can be decided.
func (d *Dispatcher) Stalled() bool { return d.stall.stalled.Load() }

// watchStalls runs until ctx ends.
func (d *Dispatcher) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	last, intervals := uint64(0), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		step := d.stall.steps.Load()
		if step%2 == 0 || step != last {
			if d.stall.stalled.CompareAndSwap(true, false) {
				d.Log.Warn().Msg("decisions-resumed")
			}
			last, intervals = step, 0
			continue
		}
		intervals++
		if intervals == stallUnready {
			d.stall.stalled.Store(true)
			d.Log.Error().Dur("lasting-ms", stallUnready*stallInterval).Str("stack", controlStack()).Msg("decisions-stalled")
		}
		if intervals == stallLimit {
			asserter.Check(false, "each step of the decision core ends", "step %d lasts for %v: %s", step, stallLimit*stallInterval, controlStack())
		}
	}
}

// Sizes of stacks in bytes: of all goroutines, and of the control goroutine as far as it is logged.
const (
	maxAllStacks   = 4 << 20
	maxLoggedStack = 4 << 10
)

// controlStack returns the stack of the control goroutine.
func controlStack() string {
	all := make([]byte, maxAllStacks)
	all = all[:runtime.Stack(all, true)]
	for stack := range strings.SplitSeq(string(all), "\n\n") {
		if strings.Contains(stack, "(*Dispatcher).Run(") {
			return stack[:min(len(stack), maxLoggedStack)]
		}
	}
	return "not among the first goroutines"
}
