package estimator_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/estimator"
	"apricotspool/namer"
)

// Property tests use a fixed seed unless the command line sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against estimates that don't converge because of outliers or wrong configured rates.
func TestRatesConvergeDespiteOutliers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rateError := rapid.Float64Range(0.33, 3).Draw(t, "error of the configured rates")
		slope := rapid.Float64Range(0.2, 2).Draw(t, "effect of 32 requests")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var e estimator.Estimator
		r := e.Endpoint("e", estimator.Configured{Model: "m", PrefillRate: 8000 * rateError, DecodeRate: 50 * rateError})
		token := func(running float64) float64 { return (1 + slope*running/32) / 50 }
		for range 2000 {
			running := 64 * random.Float64()
			took := token(running) * (0.9 + 0.2*random.Float64())
			if random.IntN(20) == 0 {
				took *= 30
			}
			r.LearnDecode(running, namer.Seconds(took))
			r.LearnPrefill(4000, 0, namer.Seconds(0.5*(0.95+0.1*random.Float64())))
		}
		for _, running := range []float64{8, 32, 56} {
			if deviation := math.Abs(float64(r.TokenInterval(running))/token(running) - 1); deviation > 0.3 {
				t.Fatalf("token time at %.0f requests is off by %.2f", running, deviation)
			}
		}
		if deviation := math.Abs(float64(r.Prefill(4000, 0))/0.5 - 1); deviation > 0.2 {
			t.Fatalf("prefill time is off by %.2f", deviation)
		}
	})
}

// Guards against prefill estimates inflated by queueing behind other hosts' work that no report shows.
func TestPrefillFollowsTheUndelayedTime(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	var e estimator.Estimator
	r := e.Endpoint("e", estimator.Configured{Model: "m", PrefillRate: 8000})
	for range 2000 {
		delay := 0.0
		if random.IntN(2) == 0 {
			delay = random.Float64()
		}
		r.LearnPrefill(4000, 0, namer.Seconds(0.5+delay))
	}
	is.True(r.Prefill(4000, 0) < 0.65) // the mean is 0.75
}

// Guards against a new endpoint that ignores the corrections learned from other endpoints of its model.
func TestANewEndpointStartsFromItsModel(t *testing.T) {
	is := is.New(t)
	var e estimator.Estimator
	known := e.Endpoint("known", estimator.Configured{Model: "m", DecodeRate: 50})
	for range 500 {
		known.LearnDecode(0, 0.04) // half the configured rate
	}
	twice := e.Endpoint("new", estimator.Configured{Model: "m", DecodeRate: 100})
	is.True(math.Abs(float64(twice.TokenInterval(0))-0.02) < 0.003)
	other := e.Endpoint("other", estimator.Configured{Model: "n", DecodeRate: 100})
	is.True(math.Abs(float64(other.TokenInterval(0))-0.01) < 0.001)
}

// Guards against output estimates that ignore the caller, the service or the limit.
func TestOutputIsLearnedByCallerAndService(t *testing.T) {
	is := is.New(t)
	var e estimator.Estimator
	is.Equal(e.ExpectedOutput("a", "s", 0), estimator.DefaultOutput)
	for range 100 {
		e.LearnOutput("brief", "s", 4)
		e.LearnOutput("wordy", "s", 600)
	}
	is.True(e.ExpectedOutput("brief", "s", 0) < 30)
	is.True(e.ExpectedOutput("wordy", "s", 0) > 550)
	is.True(e.ExpectedOutput("new", "s", 0) > 200 && e.ExpectedOutput("new", "s", 0) < 400)
	is.Equal(e.ExpectedOutput("wordy", "s", 100), namer.Tokens(100))
}
