package limiter_test

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"apricotspool/limiter"
	"apricotspool/namer"
)

// Property tests use a fixed seed unless the command line sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against a limit that leaves its bounds, shuts off an endpoint or does not converge to the load
// at which the endpoint meets its latency target.
func TestLimitConvergesToSustainableLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sustainable := rapid.Float64Range(12, 60).Draw(t, "sustainable")
		predicted := sustainable * rapid.Float64Range(0.5, 1.5).Draw(t, "error of the prediction")
		l := limiter.New(rapid.Float64Range(1, 64).Draw(t, "start"), 64)
		for step := range 3000 {
			running := l.Value() // demand is unlimited
			l.Observe(namer.Seconds(step)*0.1, running/sustainable, running, predicted)
			if l.Value() < 1 || l.Value() > 64 {
				t.Fatalf("limit %.2f is out of bounds", l.Value())
			}
		}
		if l.Value() < 0.7*sustainable || l.Value() > 1.1*sustainable {
			t.Fatalf("limit %.1f, sustainable are %.1f", l.Value(), sustainable)
		}
		for step := range 100 {
			l.Refused(namer.Seconds(400 + step))
		}
		if l.Value() != 8 { // an eighth of the ceiling: refusals never shut off an endpoint
			t.Fatalf("limit %.1f after refusals", l.Value())
		}
	})
}
