// Package retrier decides whether an attempt may be retried, by retry budgets per rank and by deadlines,
// and whether to move a hung attempt to another endpoint. A Budget is not safe for concurrent use.
package retrier

import (
	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/namer"
)

const (
	// MaxAttempts bounds the executions of one request.
	MaxAttempts namer.Attempt = 3
	// tokensPerSuccess is the ratio of retries to successes. It bounds the load added by retries under
	// any failure.
	tokensPerSuccess = 0.1
	// maxTokens bounds the burst of retries after a long idle period.
	maxTokens     = 20.0
	initialTokens = 5.0
	// refillPerSecond refills the budget of a rank with little traffic, in retries per second.
	refillPerSecond = 0.1
)

// Budget is a token bucket that limits the retries of one rank.
type Budget struct {
	tokens      float64
	refilledAt  namer.Seconds
	initialized bool
	// Retries and Successes are counts for the invariant and for metrics.
	Retries, Successes int
}

func (b *Budget) refill(now namer.Seconds) {
	if !b.initialized {
		b.initialized, b.tokens, b.refilledAt = true, initialTokens, now
	}
	if now > b.refilledAt {
		b.tokens = min(maxTokens, b.tokens+float64(now-b.refilledAt)*refillPerSecond)
		b.refilledAt = now
	}
}

// Succeeded records a success, which adds to the budget.
func (b *Budget) Succeeded(now namer.Seconds) {
	b.refill(now)
	b.Successes++
	b.tokens = min(maxTokens, b.tokens+tokensPerSuccess)
}

// Available reports whether the budget allows a retry.
func (b *Budget) Available(now namer.Seconds) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Spend takes one retry from the budget. Available must be true.
func (b *Budget) Spend(now namer.Seconds) {
	b.refill(now)
	b.tokens--
	b.Retries++
	asserter.Check(b.tokens >= 0, "retry budget is not exceeded", "tokens %v, retries %d, successes %d", b.tokens, b.Retries, b.Successes)
}

// Failure describes a failed attempt.
type Failure struct {
	Reason     classifier.RetryReason
	Attempt    namer.Attempt
	Idempotent bool
	NotRun     bool // the endpoint certainly did not execute the attempt
	Refused    bool // an endpoint refused an earlier attempt of this request
	// Remaining is the time to the deadline, Need the minimum duration of another attempt.
	Remaining, Need namer.Seconds
}

// Retryable reports whether another attempt is safe and can finish before the deadline. It doesn't
// check the budget.
func (f Failure) Retryable() bool {
	switch {
	case f.Reason == "" || f.Attempt >= MaxAttempts:
		return false
	case !f.Idempotent && !f.NotRun:
		return false
	case f.Reason == classifier.RetryEndpointRefused && f.Refused:
		return false // two refusals mean that the fleet is overloaded
	}
	return f.Need <= f.Remaining
}

// Hang describes an attempt that has not delivered its first token.
type Hang struct {
	Idempotent      bool
	Attempt         namer.Attempt
	Waited          namer.Seconds // since dispatch
	UnresponsiveFor namer.Seconds // since the endpoint last made progress on an attempt of this daemon or reported its load
	Predicted       namer.Seconds // time to the first token, as predicted at dispatch
	Remaining       namer.Seconds // to the deadline
}

const (
	// hangFactor is the multiple of the prediction after which an attempt counts as hung. Stale load
	// reports alone cause waits of twice the prediction.
	hangFactor = 3
	// minHang keeps ordinary delays in the network or the engine from counting as hangs.
	minHang namer.Seconds = 0.5
)

// HangThreshold returns the waiting time after which an attempt counts as hung.
func HangThreshold(predicted namer.Seconds) namer.Seconds { return max(minHang, hangFactor*predicted) }

// ShouldMove reports whether moving the attempt to another endpoint, with the given prediction, is safe and
// better than waiting. A hang is expected to last as long again as it has lasted so far. An endpoint that
// responds to others is only slow, and moving would give up the position in its queue.
func (h Hang) ShouldMove(elsewhere namer.Seconds) bool {
	unresponsive := h.UnresponsiveFor >= HangThreshold(0) && h.UnresponsiveFor >= h.Waited/2
	return unresponsive && h.Idempotent && h.Attempt < MaxAttempts && h.Waited >= HangThreshold(h.Predicted) &&
		elsewhere < h.Waited && elsewhere <= h.Remaining
}
