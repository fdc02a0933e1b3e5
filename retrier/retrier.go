// Package retrier decides whether an attempt may be repeated: retry budgets by rank, deadlines, and
// the rule for moving an attempt that hangs. A Budget belongs to one goroutine.
package retrier

import (
	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/namer"
)

const (
	// MaxAttempts bounds the executions of one request.
	MaxAttempts namer.Attempt = 3
	// ratio is the part of successes that may be spent on retries. It bounds the load that retries
	// add, whatever fails.
	ratio = 0.1
	// capacity bounds the burst after a long quiet time.
	capacity = 20.0
	initial  = 5.0
	// trickle refills the budget of a rank with little traffic, in retries a second.
	trickle = 0.1
)

// Budget limits the retries of one rank.
type Budget struct {
	tokens  float64
	at      namer.Seconds
	started bool
	// Spent and Earned count retries and successes for the invariant and for metrics.
	Spent, Earned int
}

func (b *Budget) refill(now namer.Seconds) {
	if !b.started {
		b.started, b.tokens, b.at = true, initial, now
	}
	if now > b.at {
		b.tokens = min(capacity, b.tokens+float64(now-b.at)*trickle)
		b.at = now
	}
}

// Succeeded adds to the budget.
func (b *Budget) Succeeded(now namer.Seconds) {
	b.refill(now)
	b.Earned++
	b.tokens = min(capacity, b.tokens+ratio)
}

// Available reports whether a retry can be paid for.
func (b *Budget) Available(now namer.Seconds) bool {
	b.refill(now)
	return b.tokens >= 1
}

// Spend pays for one retry. It must be available.
func (b *Budget) Spend(now namer.Seconds) {
	b.refill(now)
	b.tokens--
	b.Spent++
	asserter.Check(b.tokens >= 0, "a retry budget is never exceeded", "tokens %v spent %d earned %d", b.tokens, b.Spent, b.Earned)
}

// Failure describes an attempt that failed.
type Failure struct {
	Reason     classifier.RetryReason
	Attempt    namer.Attempt
	Idempotent bool
	NotRun     bool // the endpoint surely did not execute the attempt
	Refused    bool // an endpoint has refused an earlier attempt of this request
	// Remaining is the time to the deadline and Need the least time another attempt takes.
	Remaining, Need namer.Seconds
}

// Repeatable reports whether another attempt is safe and can still be useful, apart from the budget.
func (f Failure) Repeatable() bool {
	switch {
	case f.Reason == "" || f.Attempt >= MaxAttempts:
		return false
	case !f.Idempotent && !f.NotRun:
		return false
	case f.Reason == classifier.RetryEndpointRefused && f.Refused:
		return false // a fleet that refuses twice is overloaded
	}
	return f.Need <= f.Remaining
}

// Hang describes an attempt without a first token.
type Hang struct {
	Idempotent bool
	Attempt    namer.Attempt
	Waited     namer.Seconds // since dispatch
	Silent     namer.Seconds // since the endpoint's last sign of life
	Predicted  namer.Seconds // to the first token, as seen at dispatch
	Remaining  namer.Seconds // to the deadline
}

const (
	// An attempt hangs when it takes this many times the prediction; stale reports alone reach 2.
	hangFactor = 3
	// minHang keeps an ordinary delay in the network or the engine from counting as a hang.
	minHang namer.Seconds = 0.5
)

// HangAfter returns the waiting time after which an attempt counts as hanging.
func HangAfter(predicted namer.Seconds) namer.Seconds { return max(minHang, hangFactor*predicted) }

// Pays reports whether moving the attempt to an endpoint with the given prediction is safe and
// better than waiting. The expected rest of a hang is as long as it has lasted already. An endpoint
// that answers others is only slow, and a move would give up the place in its queue.
func (h Hang) Pays(elsewhere namer.Seconds) bool {
	silent := h.Silent >= HangAfter(0) && h.Silent >= h.Waited/2
	return silent && h.Idempotent && h.Attempt < MaxAttempts && h.Waited >= HangAfter(h.Predicted) &&
		elsewhere < h.Waited && elsewhere <= h.Remaining
}
