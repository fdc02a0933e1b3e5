package decider

import "apricotspool/namer"

// lateness tracks a high quantile of how much later than predicted first tokens arrive. Subtracting
// it from the budget keeps targets met although reports lag and other hosts' work is not visible.
type lateness struct{ quantile namer.Seconds }

const (
	latenessQuantile = 0.9
	latenessStep     = 0.03
	// maxLatenessFraction bounds the lateness as a fraction of the target. With a larger bound,
	// dispatches can stop, and with them the observations that would lower the estimate.
	maxLatenessFraction = 0.5
)

func (s *lateness) observe(took, predicted, target namer.Seconds) {
	step := latenessStep * max(took, predicted)
	if took-predicted > s.quantile {
		s.quantile += step * latenessQuantile
	} else {
		s.quantile -= step * (1 - latenessQuantile)
	}
	s.quantile = min(max(s.quantile, 0), maxLatenessFraction*target)
}

// prefillWindow is a congestion window: it bounds the prefill work of one rank that this host has in
// flight without a first token, in seconds per endpoint of the host's share. First tokens arrive
// without the lag of load reports, so the window reacts faster than reports do.
type prefillWindow struct {
	limit    namer.Seconds // 0 until the first use
	inFlight namer.Seconds
}

// Window sizes and steps, as fractions of the rank's first-token target. windowDecrease is a factor.
const (
	windowMin      = 0.2
	windowStart    = 0.25
	windowMax      = 0.8
	windowIncrease = 0.01
	windowDecrease = 0.8
	// A first token later than predicted by this fraction of its target indicates that the hosts
	// together have more in flight than the endpoints can process.
	windowLateFraction = 0.15
	// maxWindow bounds the prefill in flight for ranks with long targets, which gain nothing from
	// queueing at the engines.
	maxWindow namer.Seconds = 8
)

func (w *prefillWindow) observe(late, target namer.Seconds) {
	if late > windowLateFraction*target {
		w.limit = max(windowMin*target, w.limit*windowDecrease)
		return
	}
	w.limit = min(windowMax*target, maxWindow, w.limit+windowIncrease*target)
}

// full reports whether the prefill in flight exceeds the window for the host's share of the endpoints.
func (w *prefillWindow) full(endpoints, hosts int) bool {
	return w.inFlight > w.limit*namer.Seconds(endpoints)/namer.Seconds(hosts)
}
