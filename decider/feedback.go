package decider

import "apricotspool/namer"

// slack follows how much later than predicted first tokens come, as a high quantile. Planning with
// it keeps the promise of the target where reports lag and other hosts' work is unseen.
type slack struct{ late namer.Seconds }

const (
	slackQuantile = 0.9
	slackStep     = 0.03
	// maxSlack is the largest part of a target that is held back. With more the dispatches, and with
	// them the observations that would lower the slack, stopped.
	maxSlack = 0.5
)

func (s *slack) learn(took, predicted, target namer.Seconds) {
	step := slackStep * max(took, predicted)
	if took-predicted > s.late {
		s.late += step * slackQuantile
	} else {
		s.late -= step * (1 - slackQuantile)
	}
	s.late = min(max(s.late, 0), maxSlack*target)
}

// window bounds the prefill of one rank that this host has in flight without a first token, in
// seconds for each endpoint of the host's share. First tokens come back without the lag of load
// reports, so this closes the loop faster than reports do.
type window struct {
	seconds namer.Seconds // limit; 0 until the first use
	pending namer.Seconds // in flight
}

// The limits of a window, as parts of the rank's target to the first token.
const (
	windowMin   = 0.2
	windowStart = 0.25
	windowMax   = 0.8
	windowGrow  = 0.01
	windowCut   = 0.8
	// A first token later than predicted by this part of its target shows that the hosts together
	// have more in flight than the endpoints work off.
	windowLate = 0.15
	// maxWindow bounds the prefill in flight for ranks with long targets, which gain nothing by
	// queues at the engines.
	maxWindow namer.Seconds = 8
)

func (w *window) learn(late, target namer.Seconds) {
	if late > windowLate*target {
		w.seconds = max(windowMin*target, w.seconds*windowCut)
		return
	}
	w.seconds = min(windowMax*target, maxWindow, w.seconds+windowGrow*target)
}

// full reports whether the rank has as much prefill in flight as the window allows for the host's
// share of the endpoints.
func (w *window) full(endpoints, hosts int) bool {
	return w.pending > w.seconds*namer.Seconds(endpoints)/namer.Seconds(hosts)
}
