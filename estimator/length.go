package estimator

import "apricotspool/namer"

type lengthKey struct {
	caller  namer.Caller
	service namer.Service
}

// lengthMean is the exponentially weighted mean of output lengths, in tokens.
type lengthMean struct {
	mean    float64
	samples float64
}

const (
	// DefaultOutput is the expected output length before any request has finished.
	DefaultOutput namer.Tokens = 200
	// callerPrior is the number of responses after which a caller's own mean weighs as much as its
	// service's.
	callerPrior   = 4.0
	minLengthStep = 0.05
	// maxCallerLengths bounds the memory; it is sized for 2,700 callers with a few services each.
	maxCallerLengths = 1 << 15
)

func (l *lengthMean) add(tokens float64) {
	l.samples++
	l.mean += (tokens - l.mean) * max(minLengthStep, 1/l.samples)
}

// ExpectedOutput returns the expected output length of a request, bounded by limit if that is positive.
func (e *Estimator) ExpectedOutput(caller namer.Caller, service namer.Service, limit namer.Tokens) namer.Tokens {
	expected := float64(DefaultOutput)
	if s, ok := e.serviceLengths[service]; ok {
		expected = s.mean
	}
	if own, ok := e.callerLengths[lengthKey{caller, service}]; ok {
		expected = (expected*callerPrior + own.mean*own.samples) / (callerPrior + own.samples)
	}
	tokens := namer.Tokens(max(1, expected))
	if limit > 0 {
		tokens = min(tokens, limit)
	}
	return tokens
}

// LearnOutput updates the expected output length from a finished response.
func (e *Estimator) LearnOutput(caller namer.Caller, service namer.Service, tokens namer.Tokens) {
	if e.callerLengths == nil {
		e.callerLengths = map[lengthKey]*lengthMean{}
		e.serviceLengths = map[namer.Service]*lengthMean{}
	}
	s, ok := e.serviceLengths[service]
	if !ok {
		s = &lengthMean{}
		e.serviceLengths[service] = s
	}
	s.add(float64(tokens))
	key := lengthKey{caller, service}
	own, ok := e.callerLengths[key]
	if !ok {
		if len(e.callerLengths) >= maxCallerLengths {
			clear(e.callerLengths) // the means are relearned within a few responses
		}
		own = &lengthMean{}
		e.callerLengths[key] = own
	}
	own.add(float64(tokens))
}
