package modeler

import (
	"slices"
	"time"

	"apricotspool/namer"
)

// startStep forms the next step if none is running: one token of each decoding sequence, then prompt
// tokens up to the token budget.
func (e *Engine) startStep(now time.Duration) {
	if e.stepRunning || len(e.queue)+len(e.decoding) == 0 {
		return
	}
	budget := e.Class.StepTokens
	if e.Role == namer.RolePrefill {
		budget = e.Class.PrefillStepTokens
	}
	budget -= e.scheduleDecodes()
	cost := e.schedulePrefills(budget) + e.Class.StepBase.Seconds()
	for _, s := range e.decoding {
		cost += e.Class.Sequence.Seconds() + e.Class.KVRead*float64(s.kvHeld)
	}
	e.stepRunning = true
	e.stepEnd = now + time.Duration(cost*float64(time.Second))
}

// scheduleDecodes puts the decoding sequences into the step and returns their number. A sequence that
// is preempted, by an earlier one or by its own growth, holds no memory and is left out.
func (e *Engine) scheduleDecodes() namer.Tokens {
	for _, s := range slices.Clone(e.decoding) {
		s.inStep = s.kvHeld > 0 && e.reserve(s, s.kvHeld+1)
	}
	return namer.Tokens(len(e.decoding))
}

// schedulePrefills puts prompt tokens into the step and returns their cost in seconds. New work does
// not overtake a sequence that waits for memory; sequences that hold memory continue.
func (e *Engine) schedulePrefills(budget namer.Tokens) float64 {
	cost := 0.0
	blocked := false
	chunked := 0
	for at := 0; at < len(e.queue) && budget > 0; at++ {
		if blocked && chunked == e.kvHolders-len(e.decoding)-len(e.exports) {
			break // every queued sequence that holds memory is in the step
		}
		s := e.queue[at]
		if s.kvHeld == 0 {
			blocked = blocked || e.kvHolders >= e.Class.MaxSequences || !e.reserve(s, s.target)
			if blocked {
				continue
			}
			e.skipCached(s)
		}
		chunked++
		e.stepPrefills = append(e.stepPrefills, s)
		s.chunk = min(budget, s.target-s.processed)
		budget -= s.chunk
		before := float64(s.processed) + float64(s.chunk)/2
		cost += float64(s.chunk) * (e.Class.PrefillToken.Seconds() + e.Class.Attention*before)
	}
	return cost
}

// skipCached marks tokens as processed whose KV cache was imported or is in the prefix cache. The last
// token is always processed, since it yields the first output token.
func (e *Engine) skipCached(s *sequence) {
	known := s.target
	if !s.kvImported {
		known = e.cache.match(s.job.Prefix)
	}
	s.processed = min(known, s.target-1)
}

// finishStep applies the results of the step that ends now.
func (e *Engine) finishStep(now time.Duration) {
	e.stepRunning = false
	for _, s := range slices.Clone(e.decoding) {
		if s.inStep {
			s.inStep = false
			e.generateToken(now, s)
		}
	}
	for _, s := range e.stepPrefills {
		if s.chunk == 0 {
			continue // preempted or cancelled during the step
		}
		s.processed += s.chunk
		s.chunk = 0
		if s.processed == s.target {
			e.finishPrefill(now, s)
		}
	}
	e.stepPrefills = e.stepPrefills[:0]
}

// finishPrefill moves a sequence whose prompt has been processed to decoding or to the export.
func (e *Engine) finishPrefill(now time.Duration, s *sequence) {
	e.dequeue(s)
	e.cache.add(s.job.Prefix, e.Class.CacheTokens)
	if s.job.Phase == PhasePrefill {
		e.startExport(now, s)
		return
	}
	e.decoding = append(e.decoding, s)
	e.generateToken(now, s)
}

// generateToken adds one output token to a decoding sequence.
func (e *Engine) generateToken(now time.Duration, s *sequence) {
	s.output++
	if !s.started {
		s.started = true
		e.emit(JobStarted, now, s)
	}
	if s.output >= s.job.Output {
		e.emit(JobFinished, now, s)
		e.releaseKV(s)
		e.decoding = removeSequence(e.decoding, s)
		delete(e.jobs, s.job.Stream)
	}
}

// reserve grows the KV memory of a sequence to the given size and preempts less urgent sequences as
// needed. If there is none left, the sequence itself is preempted or continues to wait.
func (e *Engine) reserve(s *sequence, size namer.Tokens) bool {
	for e.kvUsed+size-s.kvHeld > e.Class.KVTokens {
		victim := e.victim()
		if victim == nil || victim.compare(s) < 0 {
			return false
		}
		e.preempt(victim)
		if victim == s {
			return false
		}
	}
	if s.kvHeld == 0 {
		e.kvHolders++
	}
	e.kvUsed += size - s.kvHeld
	s.kvHeld = size
	return true
}

// victim returns the least urgent of the sequences that hold memory, and among equals the latest.
func (e *Engine) victim() *sequence {
	var worst *sequence
	for _, sequences := range [][]*sequence{e.queue, e.decoding} {
		for _, s := range sequences {
			if s.kvHeld > 0 && (worst == nil || s.compare(worst) > 0) {
				worst = s
			}
		}
	}
	return worst
}

// preempt drops the KV cache of a sequence; its prompt and its output so far must be recomputed.
func (e *Engine) preempt(s *sequence) {
	e.releaseKV(s)
	decoding := len(e.decoding)
	e.decoding = removeSequence(e.decoding, s)
	s.processed, s.kvImported = 0, false
	s.target = s.job.Prompt + s.output
	if len(e.decoding) < decoding {
		e.enqueue(s)
	}
}

// releaseKV removes a sequence from the current step and frees its KV memory.
func (e *Engine) releaseKV(s *sequence) {
	s.chunk, s.inStep = 0, false
	if s.kvHeld > 0 {
		e.kvHolders--
	}
	e.kvUsed -= s.kvHeld
	s.kvHeld = 0
}
