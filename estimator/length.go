package estimator

import "apricotspool/namer"

type lengthKey struct {
	caller  namer.Caller
	service namer.Service
}

// length is a mean with exponential forgetting.
type length struct {
	mean    float64
	samples float64
}

const (
	// DefaultOutput is the expected output before anything has finished.
	DefaultOutput namer.Tokens = 200
	// A caller's own mean counts as much as its service's after so many answers.
	callerPrior = 4.0
	lengthStep  = 0.05
	// maxLengths bounds the memory; 2,700 callers use a few services each.
	maxLengths = 1 << 15
)

func (l *length) learn(tokens float64) {
	l.samples++
	l.mean += (tokens - l.mean) * max(lengthStep, 1/l.samples)
}

// Output returns the expected output of a request. A positive limit bounds it.
func (e *Estimator) Output(caller namer.Caller, service namer.Service, limit namer.Tokens) namer.Tokens {
	expected := float64(DefaultOutput)
	if s, ok := e.services[service]; ok {
		expected = s.mean
	}
	if own, ok := e.lengths[lengthKey{caller, service}]; ok {
		expected = (expected*callerPrior + own.mean*own.samples) / (callerPrior + own.samples)
	}
	tokens := namer.Tokens(max(1, expected))
	if limit > 0 {
		tokens = min(tokens, limit)
	}
	return tokens
}

// LearnOutput takes the length of a finished answer.
func (e *Estimator) LearnOutput(caller namer.Caller, service namer.Service, tokens namer.Tokens) {
	if e.lengths == nil {
		e.lengths = map[lengthKey]*length{}
		e.services = map[namer.Service]*length{}
	}
	s, ok := e.services[service]
	if !ok {
		s = &length{}
		e.services[service] = s
	}
	s.learn(float64(tokens))
	key := lengthKey{caller, service}
	own, ok := e.lengths[key]
	if !ok {
		if len(e.lengths) >= maxLengths {
			clear(e.lengths) // callers' means are learned again within a few answers
		}
		own = &length{}
		e.lengths[key] = own
	}
	own.learn(float64(tokens))
}
