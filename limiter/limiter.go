// Package limiter holds the adaptive concurrency limit of one endpoint. The limit grows while answers
// keep their pace and shrinks when they don't. It is a value owned by its user.
package limiter

import "apricotspool/namer"

const (
	cut        = 0.9
	refusalCut = 0.7
	// One overload shows in many answers at once, so cuts are spaced out.
	cutInterval namer.Seconds = 1
	// The limit grows only below this part of the target, which leaves a band without changes.
	growBelow = 0.9
	// approach is the part of the way to the predicted limit that one answer allows. Each of several
	// hosts sees few answers of an endpoint, so growth by answers alone takes minutes.
	approach = 0.1
	// An unused limit says nothing about a higher one.
	growUsed = 0.75
	// Below this part of the ceiling a slow pace has other causes than concurrency, such as long
	// prompts, and a lower limit would only waste the endpoint.
	floor = 0.125
)

// Limit bounds the requests that run at an endpoint.
type Limit struct {
	value   float64
	ceiling float64
	lastCut namer.Seconds
}

// New returns a limit that starts at the given value and never exceeds the ceiling.
func New(start, ceiling float64) Limit {
	return Limit{value: max(1, min(start, ceiling)), ceiling: max(1, ceiling), lastCut: -cutInterval}
}

// Value returns the current limit; it is at least 1, so an idle endpoint always takes a request.
func (l *Limit) Value() float64 { return l.value }

// SetCeiling changes the configured maximum.
func (l *Limit) SetCeiling(ceiling float64) {
	l.ceiling = max(1, ceiling)
	l.value = min(l.value, l.ceiling)
}

// Observe takes the pace of a finished answer relative to its target; running is the load it met and
// sustainable the load that is predicted to keep the pace, towards which the limit grows faster.
func (l *Limit) Observe(now namer.Seconds, pace, running, sustainable float64) {
	switch {
	case pace > 1:
		l.shrink(now, cut)
	case pace < growBelow && running >= growUsed*l.value:
		l.value = min(l.ceiling, l.value+1/l.value+0.25+approach*max(0, sustainable-l.value))
	}
}

// Refused takes an overload refusal by the endpoint itself.
func (l *Limit) Refused(now namer.Seconds) { l.shrink(now, refusalCut) }

func (l *Limit) shrink(now namer.Seconds, factor float64) {
	if now-l.lastCut < cutInterval {
		return
	}
	l.lastCut = now
	l.value = max(1, floor*l.ceiling, l.value*factor)
}
