package placer

import (
	"math"

	"apricotspool/namer"
)

// rateEstimate measures the prompt tokens that an engine processes per second while prompts wait there. The
// time that one prompt takes at an idle engine includes the network and is no measure of its rate.
type rateEstimate struct {
	tokens  float64
	seconds float64
}

// rateMemory is the weight of earlier prompts against the next one.
const rateMemory = 0.95

func (r *rateEstimate) observe(tokens float64, took namer.Seconds) {
	r.tokens = rateMemory*r.tokens + tokens
	r.seconds = rateMemory*r.seconds + float64(took)
}

// value returns the rate, or 0 before the first measurement.
func (r *rateEstimate) value() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.tokens / r.seconds
}

// latenessEstimate tracks a high quantile of the time by which prompts are processed later than estimated.
// Reservations include it because the rate, the order of processing and the number of cached tokens are
// estimates. Its steps are fractions of the usual processing time, whatever the engine's speed.
type latenessEstimate struct {
	value namer.Seconds
	usual namer.Seconds // moving average of the estimated processing time
}

const (
	latenessQuantile = 0.6
	// latenessStep is relative to the usual processing time.
	latenessStep = 0.1
	// maxLateness is relative to the usual processing time.
	maxLateness = 4
	// usualWeight is the weight of one prompt in the average.
	usualWeight = 0.05
)

func (s *latenessEstimate) observe(estimated, late namer.Seconds) {
	if s.usual == 0 {
		s.usual = estimated
	}
	s.usual += usualWeight * (estimated - s.usual)
	if late > s.value {
		s.value += latenessQuantile * latenessStep * s.usual
	} else {
		s.value -= (1 - latenessQuantile) * latenessStep * s.usual
	}
	s.value = min(max(s.value, 0), maxLateness*s.usual)
}

// inflow estimates how many tokens per second are placed on an engine.
type inflow struct {
	tokens float64
	at     namer.Seconds
}

// Time constants of estimates: one for the turnover of a cache, one for the demand.
const (
	cacheInflowTime  namer.Seconds = 10
	demandInflowTime namer.Seconds = 2
)

func (f *inflow) add(now, time namer.Seconds, tokens float64) {
	f.tokens = f.tokens*f.decay(now, time) + tokens
	f.at = now
}

func (f *inflow) decay(now, time namer.Seconds) float64 {
	return math.Exp(-float64((now - f.at) / time))
}

// perSecond returns the estimate at a time.
func (f *inflow) perSecond(now, time namer.Seconds) float64 {
	return f.tokens * f.decay(now, time) / float64(time)
}
