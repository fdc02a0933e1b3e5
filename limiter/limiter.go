// Package limiter implements the adaptive concurrency limit of one endpoint. The limit increases while
// responses meet their latency target and decreases when they don't. A Limit has no locks; it is owned by
// one goroutine.
package limiter

import "apricotspool/namer"

const (
	decreaseFactor        = 0.9
	refusalDecreaseFactor = 0.7
	// Minimum time between decreases, since one overload affects many responses at once.
	decreaseInterval namer.Seconds = 1
	// The limit increases only below this fraction of the target, which leaves a dead band.
	increaseBelow = 0.9
	// predictionStep is the fraction of the distance to the predicted limit that one response adds. Each
	// of several hosts sees few responses of an endpoint, so additive increase alone takes minutes.
	predictionStep = 0.1
	// Minimum utilization of the limit for an increase: an unused limit says nothing about a higher one.
	minUtilization = 0.75
	// minLimitFraction is the lower bound, as a fraction of the ceiling. Below it, high latency has other
	// causes than concurrency, such as long prompts, and a lower limit would only waste capacity.
	minLimitFraction = 0.125
)

// Limit is the maximum number of requests that run at an endpoint.
type Limit struct {
	value        float64
	ceiling      float64
	lastDecrease namer.Seconds
}

// New returns a limit with the given initial value that never exceeds ceiling.
func New(start, ceiling float64) Limit {
	return Limit{value: max(1, min(start, ceiling)), ceiling: max(1, ceiling), lastDecrease: -decreaseInterval}
}

// Value returns the current limit; it is at least 1, so an idle endpoint always takes a request.
func (l *Limit) Value() float64 { return l.value }

// SetCeiling sets the configured maximum.
func (l *Limit) SetCeiling(ceiling float64) {
	l.ceiling = max(1, ceiling)
	l.value = min(l.value, l.ceiling)
}

// Observe updates the limit from the latency of a finished response relative to its target. Running is
// the load at the time, and sustainable is the load predicted to meet the target, towards which the
// limit increases faster.
func (l *Limit) Observe(now namer.Seconds, latencyRatio, running, sustainable float64) {
	switch {
	case latencyRatio > 1:
		l.decrease(now, decreaseFactor)
	case latencyRatio < increaseBelow && running >= minUtilization*l.value:
		l.value = min(l.ceiling, l.value+1/l.value+0.25+predictionStep*max(0, sustainable-l.value))
	}
}

// Refused decreases the limit after an overload refusal by the endpoint.
func (l *Limit) Refused(now namer.Seconds) { l.decrease(now, refusalDecreaseFactor) }

func (l *Limit) decrease(now namer.Seconds, factor float64) {
	if now-l.lastDecrease < decreaseInterval {
		return
	}
	l.lastDecrease = now
	l.value = max(1, minLimitFraction*l.ceiling, l.value*factor)
}
