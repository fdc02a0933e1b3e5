// Package detector tells endpoints that are slow from endpoints that have failed. It compares the time for
// which an endpoint has sent nothing with the times that such calls usually take, and the endpoint's load
// reports with each other. It does no I/O and reads no clock: times and reports are passed in as values.
package detector

import "time"

// Latency tracks a high quantile of the overrun of one kind of call: how much longer than predicted
// endpoints send nothing before they respond. It holds at any speed, because the estimate moves by a
// fraction of itself. The zero value has no observations. It is not safe for concurrent use.
type Latency struct {
	overrun  time.Duration // 0 before the first observation
	observed int
}

const (
	// overrunQuantile is the tracked quantile.
	overrunQuantile = 0.95
	// overrunStep is the relative size of one adjustment.
	overrunStep = 0.1
	// minObserved is the number of observations before the estimate can be lower than the latency target.
	minObserved = 50
	// minOverrun keeps the estimate above the jitter of networks and schedulers.
	minOverrun = 20 * time.Millisecond
)

// Observe records the time for which an endpoint sent nothing before it responded.
func (l *Latency) Observe(silence, predicted time.Duration) {
	l.observed++
	overrun := max(silence-predicted, minOverrun)
	if l.overrun == 0 {
		l.overrun = overrun
		return
	}
	step := 1 + overrunStep*overrunQuantile
	if overrun < l.overrun {
		step = 1 - overrunStep*(1-overrunQuantile)
	}
	l.overrun = max(time.Duration(float64(l.overrun)*step), minOverrun)
}

// Patience returns how long an endpoint may send nothing before its state is in doubt: the prediction plus
// a multiple of the usual overrun. Before there are enough observations, the overrun is at least the call's
// latency target.
func (l *Latency) Patience(predicted, target time.Duration, multiple float64) time.Duration {
	usual := l.overrun
	if l.observed < minObserved {
		usual = max(usual, target, minOverrun)
	}
	return predicted + time.Duration(multiple*float64(usual))
}
