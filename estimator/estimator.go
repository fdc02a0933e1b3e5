// Package estimator predicts what a request costs at an endpoint: prefill and decode time with the
// effect of load on both, and the length of the output. It learns online from finished work. An
// endpoint starts from its configured rates, corrected by what other endpoints of the same model
// have shown. The package owns only the learned figures and belongs to one goroutine.
package estimator

import "apricotspool/namer"

// Priors for endpoints without configured rates.
const (
	DefaultPrefillRate = 8_000.0 // prompt tokens a second
	DefaultDecodeRate  = 50.0    // output tokens a second of one stream
	DefaultCallTime    = 0.05    // seconds of a call to a plain service
)

// loadUnit is the number of running requests that counts as load 1 in the learned lines.
const loadUnit = 32.0

// Initial effect of load 1 relative to the idle cost. Engines batch, so both are well below 1 for
// each request.
const (
	priorPrefillSlope = 0.3
	priorDecodeSlope  = 0.5
)

// Estimator holds what has been learned about endpoints, models, callers and services.
type Estimator struct {
	endpoints map[namer.Endpoint]*Rates
	models    map[namer.Model]*learned
	lengths   map[lengthKey]*length
	services  map[namer.Service]*length
}

// learned holds lines relative to the configured rates, so that one line is valid for endpoints of
// different speeds.
type learned struct {
	prefill, decode line
	overhead        namer.Seconds // to the first token beside the work on the prompt, such as a step in progress
}

func unlearned() learned {
	return learned{prefill: line{base: 1, slope: priorPrefillSlope}, decode: line{base: 1, slope: priorDecodeSlope}}
}

// Rates predicts times at one endpoint.
type Rates struct {
	learned
	model        *learned
	prefillScale float64 // seconds a prompt token when idle, as configured
	decodeScale  float64
}

// Configured are the rates of an endpoint that the configuration states; 0 means unknown.
type Configured struct {
	Model       namer.Model // empty for a plain service
	PrefillRate float64
	DecodeRate  float64
}

// Endpoint returns the rates of an endpoint and creates them on first sight. Later calls update the
// configured rates and keep what has been learned.
func (e *Estimator) Endpoint(name namer.Endpoint, c Configured) *Rates {
	if e.endpoints == nil {
		e.endpoints = map[namer.Endpoint]*Rates{}
		e.models = map[namer.Model]*learned{}
	}
	model, ok := e.models[c.Model]
	if !ok {
		fresh := unlearned()
		model = &fresh
		e.models[c.Model] = model
	}
	r, ok := e.endpoints[name]
	if !ok || r.model != model {
		r = &Rates{learned: *model, model: model}
		// The model's experience is a start, not evidence about this endpoint.
		r.prefill.samples, r.decode.samples = 0, 0
		e.endpoints[name] = r
	}
	r.prefillScale, r.decodeScale = scale(c.PrefillRate, DefaultPrefillRate), scale(c.DecodeRate, DefaultDecodeRate)
	if c.Model == "" {
		r.prefillScale = DefaultCallTime
	}
	return r
}

// Retain forgets the endpoints for which keep is false.
func (e *Estimator) Retain(keep func(namer.Endpoint) bool) {
	for name := range e.endpoints {
		if !keep(name) {
			delete(e.endpoints, name)
		}
	}
}

func scale(rate, unknown float64) float64 {
	if rate <= 0 {
		rate = unknown
	}
	return 1 / rate
}

// Prefill returns the time to process prompt tokens beside running requests. For a plain service a
// call counts as one token.
func (r *Rates) Prefill(tokens, running float64) namer.Seconds {
	return namer.Seconds(tokens * r.prefillScale * r.prefill.at(running/loadUnit))
}

// PrefillRate returns the prompt tokens a second beside running requests.
func (r *Rates) PrefillRate(running float64) float64 {
	return 1 / (r.prefillScale * r.prefill.at(running/loadUnit))
}

// Token returns the time between two tokens of one stream beside running requests.
func (r *Rates) Token(running float64) namer.Seconds {
	return namer.Seconds(r.decodeScale * r.decode.at(running/loadUnit))
}

// Batch returns how many requests can run so that the time between tokens stays within target.
func (r *Rates) Batch(target namer.Seconds) float64 {
	spare := float64(target)/r.decodeScale - r.decode.base
	if spare <= 0 {
		return 1
	}
	return max(1, loadUnit*spare/max(r.decode.slope, 0.01))
}

// Overhead returns the time to the first token that does not depend on the prompt.
func (r *Rates) Overhead() namer.Seconds { return r.overhead }

// longPrompt separates what an observation shows: the rate if the prompt is longer, the overhead if
// it is shorter. Short prompts take about one engine step, whose length would distort the rate.
const longPrompt = 2_000.0

// unseenBias makes prefill follow a low quantile: a first token often waits for other hosts' work
// that no report has shown yet, and never comes early.
const unseenBias = 0.2

const overheadStep = 0.1

// LearnPrefill takes the observed time to process tokens beside running requests.
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
	r.prefill.learn(running/loadUnit, y, 1, unseenBias)
	r.model.prefill.learn(running/loadUnit, y, 0.25, unseenBias)
}

// LearnFaster takes an observation that is shorter than predicted, whatever else it contains. Engines
// with the prefill role are up to three times faster than the configured rate of a mixed one.
func (r *Rates) LearnFaster(tokens, running float64, took namer.Seconds) {
	if tokens >= shortPrompt && took > 0 && took < r.Prefill(tokens, running) {
		r.prefill.learn(running/loadUnit, float64(took)/tokens/r.prefillScale, min(1, tokens/longPrompt), 1)
	}
}

// shortPrompt is the least prompt that says something about the rate at all.
const shortPrompt = 300.0

func (r *Rates) learnOverhead(rest namer.Seconds) {
	step := namer.Seconds(overheadStep)
	if rest > r.overhead {
		step *= unseenBias
	}
	r.overhead = max(0, r.overhead+step*(rest-r.overhead))
}

// LearnDecode takes the observed mean time between tokens beside running requests.
func (r *Rates) LearnDecode(running float64, between namer.Seconds) {
	if between <= 0 {
		return
	}
	y := float64(between) / r.decodeScale
	r.decode.learn(running/loadUnit, y, 1, 1)
	r.model.decode.learn(running/loadUnit, y, 0.25, 1)
}
