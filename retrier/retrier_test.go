package retrier_test

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/retrier"
)

// Property tests use a fixed seed unless -rapid.seed is set on the command line.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against a retry storm: under any failures, retries are bounded by a tenth of the successes plus
// the initial tokens and a slow refill.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b retrier.Budget
		now, successes, retries := namer.Seconds(0), 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			now += namer.Seconds(rapid.Float64Range(0, 0.2).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "success") {
				b.Succeeded(now)
				successes++
			} else if b.Available(now) {
				b.Spend(now)
				retries++
			}
			if limit := 5 + 0.1*float64(successes) + 0.1*float64(now); float64(retries) > limit+1e-6 {
				t.Fatalf("%d retries, at most %.1f allowed", retries, limit)
			}
		}
	})
}

// Guards against retrying a call that must not run twice, and against useless retries.
func TestRepeatable(t *testing.T) {
	safe := retrier.Failure{Reason: classifier.RetryStreamBroken, Attempt: 1, Idempotent: true, Remaining: 10, Need: 1}
	for _, c := range []struct {
		name   string
		change func(*retrier.Failure)
		want   bool
	}{
		{"idempotent work is retried", func(*retrier.Failure) {}, true},
		{"other work is not", func(f *retrier.Failure) { f.Idempotent = false }, false},
		{"other work that is known not to have run is", func(f *retrier.Failure) { f.Idempotent, f.NotRun = false, true }, true},
		{"a failure without a reason is not", func(f *retrier.Failure) { f.Reason = "" }, false},
		{"the last attempt is not", func(f *retrier.Failure) { f.Attempt = retrier.MaxAttempts }, false},
		{"too close to the deadline it is not", func(f *retrier.Failure) { f.Remaining = 0.5 }, false},
		{"a refusal is once", func(f *retrier.Failure) { f.Reason, f.NotRun = classifier.RetryEndpointRefused, true }, true},
		{"a second refusal is not", func(f *retrier.Failure) {
			f.Reason, f.NotRun, f.Refused = classifier.RetryEndpointRefused, true, true
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := safe
			c.change(&f)
			is.New(t).Equal(f.Retryable(), c.want)
		})
	}
}

// Guards against moves of attempts that are only slow, or that must not run twice.
func TestHangShouldMove(t *testing.T) {
	hang := retrier.Hang{Idempotent: true, Attempt: 1, Waited: 3, UnresponsiveFor: 3, Predicted: 0.2, Remaining: 10}
	for _, c := range []struct {
		name   string
		change func(*retrier.Hang)
		want   bool
	}{
		{"an unresponsive endpoint", func(*retrier.Hang) {}, true},
		{"work that must not be retried", func(h *retrier.Hang) { h.Idempotent = false }, false},
		{"an endpoint that responds to others", func(h *retrier.Hang) { h.UnresponsiveFor = 0.1 }, false},
		{"a wait as predicted", func(h *retrier.Hang) { h.Predicted = 2 }, false},
		{"another endpoint would take longer", func(h *retrier.Hang) { h.Waited, h.UnresponsiveFor = 0.9, 0.9 }, false},
		{"no time is left", func(h *retrier.Hang) { h.Remaining = 0.5 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := hang
			c.change(&h)
			is.New(t).Equal(h.ShouldMove(1), c.want)
		})
	}
}
