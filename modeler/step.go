package modeler

import (
	"slices"
	"time"

	"apricotspool/namer"
)

// begin forms the next step when the engine is idle: one token of each decoding sequence, then
// prompt tokens up to the budget.
func (e *Engine) begin(now time.Duration) {
	if e.stepping || len(e.queue)+len(e.decoding) == 0 {
		return
	}
	budget := e.Class.StepTokens
	if e.Role == namer.RolePrefill {
		budget = e.Class.PrefillStepTokens
	}
	budget -= e.decodes()
	cost := e.prefills(budget) + e.Class.StepBase.Seconds()
	for _, s := range e.decoding {
		cost += e.Class.Sequence.Seconds() + e.Class.KVRead*float64(s.kv)
	}
	e.stepping = true
	e.stepEnd = now + time.Duration(cost*float64(time.Second))
}

// decodes puts the decoding sequences into the step and returns their number. A sequence that is
// preempted, by an earlier one or by its own growth, holds no memory and is left out.
func (e *Engine) decodes() namer.Tokens {
	for _, s := range slices.Clone(e.decoding) {
		s.decodes = s.kv > 0 && e.reserve(s, s.kv+1)
	}
	return namer.Tokens(len(e.decoding))
}

// prefills puts prompt tokens into the step and returns their cost in seconds. New work does not
// overtake a sequence that waits for memory; sequences that hold memory go on.
func (e *Engine) prefills(budget namer.Tokens) float64 {
	cost := 0.0
	blocked := false
	chunked := 0
	for at := 0; at < len(e.queue) && budget > 0; at++ {
		if blocked && chunked == e.holding-len(e.decoding)-len(e.exports) {
			break // every queued sequence with memory is in the step
		}
		s := e.queue[at]
		if s.kv == 0 {
			blocked = blocked || e.holding >= e.Class.MaxSequences || !e.reserve(s, s.target)
			if blocked {
				continue
			}
			e.skipKnown(s)
		}
		chunked++
		e.chunked = append(e.chunked, s)
		s.chunk = min(budget, s.target-s.done)
		budget -= s.chunk
		before := float64(s.done) + float64(s.chunk)/2
		cost += float64(s.chunk) * (e.Class.PrefillToken.Seconds() + e.Class.Attention*before)
	}
	return cost
}

// skipKnown marks the tokens whose KV cache was imported or is in the prefix cache as done. The last
// token is always processed, since the first output token comes from it.
func (e *Engine) skipKnown(s *sequence) {
	known := s.target
	if !s.imported {
		known = e.cache.match(s.job.Prefix)
	}
	s.done = min(known, s.target-1)
}

// finish applies the results of the step that ends now.
func (e *Engine) finish(now time.Duration) {
	e.stepping = false
	for _, s := range slices.Clone(e.decoding) {
		if s.decodes {
			s.decodes = false
			e.token(now, s)
		}
	}
	for _, s := range e.chunked {
		if s.chunk == 0 {
			continue // preempted or cancelled since the step began
		}
		s.done += s.chunk
		s.chunk = 0
		if s.done == s.target {
			e.complete(now, s)
		}
	}
	e.chunked = e.chunked[:0]
}

// complete ends the processing of a prompt.
func (e *Engine) complete(now time.Duration, s *sequence) {
	e.unqueue(s)
	e.cache.add(s.job.Prefix, e.Class.CacheTokens)
	if s.job.Phase == PhasePrefill {
		e.export(now, s)
		return
	}
	e.decoding = append(e.decoding, s)
	e.token(now, s)
}

// token adds one output token to a decoding sequence.
func (e *Engine) token(now time.Duration, s *sequence) {
	s.output++
	if !s.begun {
		s.begun = true
		e.emit(JobStarted, now, s)
	}
	if s.output >= s.job.Output {
		e.emit(JobFinished, now, s)
		e.free(s)
		e.decoding = without(e.decoding, s)
		delete(e.jobs, s.job.Stream)
	}
}

// reserve grows the memory of a sequence to the given size and preempts less urgent sequences as
// needed. When none is left, the sequence is itself preempted or goes on waiting.
func (e *Engine) reserve(s *sequence, size namer.Tokens) bool {
	for e.kvUsed+size-s.kv > e.Class.KVTokens {
		victim := e.victim()
		if victim == nil || victim.compare(s) < 0 {
			return false
		}
		e.preempt(victim)
		if victim == s {
			return false
		}
	}
	if s.kv == 0 {
		e.holding++
	}
	e.kvUsed += size - s.kv
	s.kv = size
	return true
}

// victim returns the least urgent and latest of the sequences that hold memory.
func (e *Engine) victim() *sequence {
	var worst *sequence
	for _, sequences := range [][]*sequence{e.queue, e.decoding} {
		for _, s := range sequences {
			if s.kv > 0 && (worst == nil || s.compare(worst) > 0) {
				worst = s
			}
		}
	}
	return worst
}

// preempt drops the KV cache of a sequence; its prompt and output so far are processed again.
func (e *Engine) preempt(s *sequence) {
	e.free(s)
	decoding := len(e.decoding)
	e.decoding = without(e.decoding, s)
	s.done, s.imported = 0, false
	s.target = s.job.Prompt + s.output
	if len(e.decoding) < decoding {
		e.enqueue(s)
	}
}

// free takes a sequence out of the current step and gives its memory back.
func (e *Engine) free(s *sequence) {
	s.chunk, s.decodes = 0, false
	if s.kv > 0 {
		e.holding--
	}
	e.kvUsed -= s.kv
	s.kv = 0
}
