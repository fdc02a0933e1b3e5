// Package estimator predicts the cost of a request at an endpoint: prefill and decode time as a
// function of load, and the output length. It learns online from finished requests. A new endpoint
// starts from its configured rates, corrected by what has been learned from other endpoints of the
// same model. An Estimator is owned by one goroutine.
package estimator

import "apricotspool/namer"

// Initial estimates for endpoints without configured rates.
const (
	DefaultPrefillRate = 8_000.0 // prompt tokens per second
	DefaultDecodeRate  = 50.0    // output tokens per second of one stream
	DefaultCallTime    = 0.05    // seconds per call to a plain service
)

// loadUnit is the number of running requests that corresponds to load 1 in the linear models.
const loadUnit = 32.0

// Initial increase of the cost at load 1, relative to the idle cost. Since engines batch, the
// increase per running request is far below the idle cost.
const (
	priorPrefillSlope = 0.3
	priorDecodeSlope  = 0.5
)

// Estimator holds the learned estimates by endpoint, model, caller and service.
type Estimator struct {
	endpoints      map[namer.Endpoint]*Rates
	models         map[namer.Model]*costModel
	callerLengths  map[lengthKey]*lengthMean
	serviceLengths map[namer.Service]*lengthMean
}

// costModel holds linear models relative to the configured rates, so that one model is valid for
// endpoints of different speeds.
type costModel struct {
	prefill, decode linearModel
	overhead        namer.Seconds // time to the first token besides prefill, such as the step in progress
}

func newCostModel() costModel {
	return costModel{prefill: linearModel{base: 1, slope: priorPrefillSlope}, decode: linearModel{base: 1, slope: priorDecodeSlope}}
}

// Rates predicts prefill and decode times at one endpoint.
type Rates struct {
	costModel
	model        *costModel
	prefillScale float64 // configured seconds per prompt token when idle
	decodeScale  float64
}

// Configured holds the configured rates of an endpoint; 0 means unknown.
type Configured struct {
	Model       namer.Model // empty for a plain service
	PrefillRate float64
	DecodeRate  float64
}

// Endpoint returns the rates of an endpoint and creates them on the first call. Later calls update the
// configured rates and keep the learned state.
func (e *Estimator) Endpoint(name namer.Endpoint, c Configured) *Rates {
	if e.endpoints == nil {
		e.endpoints = map[namer.Endpoint]*Rates{}
		e.models = map[namer.Model]*costModel{}
	}
	model, ok := e.models[c.Model]
	if !ok {
		fresh := newCostModel()
		model = &fresh
		e.models[c.Model] = model
	}
	r, ok := e.endpoints[name]
	if !ok || r.model != model {
		r = &Rates{costModel: *model, model: model}
		// The model's estimates are a starting point, not samples of this endpoint.
		r.prefill.samples, r.decode.samples = 0, 0
		e.endpoints[name] = r
	}
	r.prefillScale, r.decodeScale = secondsPerToken(c.PrefillRate, DefaultPrefillRate), secondsPerToken(c.DecodeRate, DefaultDecodeRate)
	if c.Model == "" {
		r.prefillScale = DefaultCallTime
	}
	return r
}

// Retain removes the endpoints for which keep is false.
func (e *Estimator) Retain(keep func(namer.Endpoint) bool) {
	for name := range e.endpoints {
		if !keep(name) {
			delete(e.endpoints, name)
		}
	}
}

func secondsPerToken(rate, unknown float64) float64 {
	if rate <= 0 {
		rate = unknown
	}
	return 1 / rate
}

// Prefill returns the time to process prompt tokens with the given number of running requests. A call
// to a plain service counts as one token.
func (r *Rates) Prefill(tokens, running float64) namer.Seconds {
	return namer.Seconds(tokens * r.prefillScale * r.prefill.predict(running/loadUnit))
}

// PrefillRate returns the prompt tokens per second with the given number of running requests.
func (r *Rates) PrefillRate(running float64) float64 {
	return 1 / (r.prefillScale * r.prefill.predict(running/loadUnit))
}

// TokenInterval returns the time between two tokens of one stream with the given number of running
// requests.
func (r *Rates) TokenInterval(running float64) namer.Seconds {
	return namer.Seconds(r.decodeScale * r.decode.predict(running/loadUnit))
}

// MaxBatch returns the number of running requests at which the time between tokens reaches target.
func (r *Rates) MaxBatch(target namer.Seconds) float64 {
	spare := float64(target)/r.decodeScale - r.decode.base
	if spare <= 0 {
		return 1
	}
	return max(1, loadUnit*spare/max(r.decode.slope, 0.01))
}

// Overhead returns the part of the time to the first token that does not depend on the prompt.
func (r *Rates) Overhead() namer.Seconds { return r.overhead }

// longPrompt is the number of tokens from which an observation updates the rate; shorter prompts
// update the overhead. They take about one engine step, whose duration would distort the rate.
const longPrompt = 2_000.0

// upwardBias scales upward corrections, so that the prefill estimate follows a low quantile: a first
// token often waits for other hosts' work that no report shows yet, and never arrives early.
const upwardBias = 0.2

const overheadStep = 0.1

// LearnPrefill updates the estimates from the observed time to process prompt tokens with the given
// number of running requests.
func (r *Rates) LearnPrefill(tokens, running float64, took namer.Seconds) {
	if tokens <= 0 || took <= 0 {
		return
	}
	if tokens < longPrompt && r.prefillScale != DefaultCallTime {
		r.learnOverhead(took - r.Prefill(tokens, running))
		return
	}
	took = max(took/2, took-r.overhead)
	y := float64(took) / tokens / r.prefillScale
	r.prefill.learn(running/loadUnit, y, 1, upwardBias)
	r.model.prefill.learn(running/loadUnit, y, 0.25, upwardBias)
}

// LearnPrefillBound uses an observation as an upper bound of the prefill time: it updates the estimate
// only if it is shorter than predicted, so other delays in it do no harm. Engines with the prefill role
// are up to three times faster than the configured rate of a mixed one.
func (r *Rates) LearnPrefillBound(tokens, running float64, took namer.Seconds) {
	if tokens >= minBoundPrompt && took > 0 && took < r.Prefill(tokens, running) {
		r.prefill.learn(running/loadUnit, float64(took)/tokens/r.prefillScale, min(1, tokens/longPrompt), 1)
	}
}

// minBoundPrompt is the minimum prompt, in tokens, from which LearnPrefillBound learns.
const minBoundPrompt = 300.0

func (r *Rates) learnOverhead(observed namer.Seconds) {
	step := namer.Seconds(overheadStep)
	if observed > r.overhead {
		step *= upwardBias
	}
	r.overhead = max(0, r.overhead+step*(observed-r.overhead))
}

// LearnDecode updates the estimate from the observed mean time between tokens with the given number
// of running requests.
func (r *Rates) LearnDecode(running float64, between namer.Seconds) {
	if between <= 0 {
		return
	}
	y := float64(between) / r.decodeScale
	r.decode.learn(running/loadUnit, y, 1, 1)
	r.model.decode.learn(running/loadUnit, y, 0.25, 1)
}
