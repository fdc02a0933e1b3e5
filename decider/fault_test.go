package decider_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
)

// Property tests use a fixed seed unless the command line sets another one.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50") // each check runs a whole simulation
}

// Guards against requests lost when an engine crashes: idempotent requests are retried elsewhere.
func TestCrashLosesNoRequest(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 6, 8, time.Second)
	w.poisson(0, 30*time.Second, 30, w.urgentRequest)
	w.after(10*time.Second, func() { w.kill(w.engines["engine-03"]) })
	w.run(time.Minute)
	urgent := w.results["urgent"]
	is.Equal(urgent.refused, 0)
	is.Equal(urgent.served, urgent.offered)
	is.True(w.retries > 0)
	is.True(float64(urgent.met) >= 0.95*float64(urgent.offered))
}

// Guards against requests stuck on a hung engine: their attempts move, and the engine gets only probes.
func TestAttemptsMoveOffHungEngine(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 6, 8, time.Second)
	w.poisson(0, 30*time.Second, 30, w.urgentRequest)
	w.after(10*time.Second, func() { w.engines["engine-03"].unresponsive = true })
	lateDispatches := 0
	w.onDispatch = func(a decider.Action) (decider.Event, bool) {
		if a.Endpoint == "engine-03" && w.now > 20*time.Second {
			lateDispatches++
		}
		return decider.Event{}, false
	}
	w.run(time.Minute)
	urgent := w.results["urgent"]
	is.True(urgent.offered-urgent.served <= 8) // those with a first token at the hang; 12 if attempts don't move
	is.True(lateDispatches < 30)               // probes only; a healthy engine gets about 150 dispatches
}

// Guards against a retry storm: when every attempt fails, retries stay within the retry budget.
func TestNoRetryStorm(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1, 6, 8, time.Second)
	w.poisson(0, 30*time.Second, 100, w.urgentRequest)
	w.onDispatch = func(decider.Action) (decider.Event, bool) {
		broken := w.now > 10*time.Second
		return decider.Event{Kind: decider.EventFailed, Reason: classifier.RetryStreamBroken}, broken
	}
	before, served := 0, 0
	w.after(10*time.Second, func() { before, served = w.retries, w.results["urgent"].served })
	w.run(time.Minute)
	// The budget: 20 accumulated in each of 6 hosts, a refill of 0.1 per second, and a tenth of the
	// streams that finish.
	retries := float64(w.retries - before)
	is.True(retries > 0)
	is.True(retries <= 6*20+6*2+0.1*float64(w.results["urgent"].served-served))
	for _, n := range w.finalActions {
		is.Equal(n, 1)
	}
	is.Equal(len(w.finalActions), len(w.jobs))
}

// Guards against requests with no final action or more than one, repeated execution of non-idempotent
// requests, a false "not-run" and dispatches to leaving endpoints, under random failures,
// cancellations and a configuration change.
func TestEveryArrivalEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<40).Draw(t, "seed")
		w := newSimulation(seed, rapid.IntRange(1, 4).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "engines"), time.Duration(drawLag(t, 5))*time.Second)
		faults := rapid.IntRange(0, 30).Draw(t, "faults in 100")
		cancels := rapid.IntRange(0, 30).Draw(t, "cancels in 100")
		leaving := map[namer.Endpoint]bool{}
		mayHaveRun := map[namer.StreamID]bool{}
		w.onDispatch = func(a decider.Action) (decider.Event, bool) {
			if leaving[a.Endpoint] {
				t.Fatalf("dispatch to %s, which is leaving", a.Endpoint)
			}
			if mayHaveRun[a.Request] && !w.jobs[a.Request].request.Idempotent {
				t.Fatalf("%s runs twice", a.Request)
			}
			if w.random.IntN(100) >= faults {
				mayHaveRun[a.Request] = true
				return decider.Event{}, false
			}
			reasons := classifier.RetryReasons()
			e := decider.Event{Kind: decider.EventFailed, Reason: reasons[w.random.IntN(len(reasons))], NotRun: w.random.IntN(2) == 0}
			mayHaveRun[a.Request] = mayHaveRun[a.Request] || !e.NotRun
			return e, true
		}
		w.onRefuse = func(a decider.Action) {
			if a.Outcome.Class().Execution == classifier.NotRun && mayHaveRun[a.Request] {
				t.Fatalf("%s may have run and is refused as %s", a.Request, a.Outcome)
			}
		}
		next := func() (decider.Request, int) {
			r, output := w.freeRequest()
			if w.random.IntN(2) == 0 {
				r, output = w.urgentRequest()
			}
			r.Idempotent = w.random.IntN(2) == 0
			if w.random.IntN(100) < cancels {
				w.cancelLater(len(w.jobs))
			}
			return r, output
		}
		w.poisson(0, 5*time.Second, float64(rapid.IntRange(5, 150).Draw(t, "rate")), next)
		w.after(2*time.Second, func() {
			for i, name := range w.engineNames {
				leaving[name] = i%2 == 1
			}
			fleet := w.fleet(len(w.cores))
			for i := range fleet.Endpoints {
				fleet.Endpoints[i].Leaving = i%2 == 1
			}
			for _, c := range w.cores {
				c.Configure(w.at(), fleet)
			}
		})
		w.run(4 * time.Minute)
		for id := range w.jobs {
			if w.finalActions[id] != 1 {
				t.Fatalf("%s has %d ends", id, w.finalActions[id])
			}
		}
		for i, c := range w.cores {
			if c.Requests() != 0 || c.Waiting() != 0 {
				t.Fatalf("host %d keeps %d requests, %d waiting", i, c.Requests(), c.Waiting())
			}
		}
	})
}

func drawLag(t *rapid.T, maxLag int) int { return rapid.IntRange(0, maxLag).Draw(t, "lag") }

// Guards against refusals of any rank while the fleet is idle, regardless of the prompt length.
func TestIdleCapacityIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(1, 1, rapid.IntRange(1, 20).Draw(t, "engines"), time.Second)
		core := w.cores[0]
		for n := range 5 {
			id := namer.StreamID(fmt.Sprint(n))
			at := w.start.Add(time.Duration(n) * time.Minute)
			actions := core.Arrive(at, decider.Request{
				ID: id, Caller: "c", Service: "chat", Model: "m", Rank: rapid.SampledFrom([]namer.Rank{"urgent", "free"}).Draw(t, "rank"),
				PromptTokens: namer.Tokens(rapid.IntRange(1, 200_000).Draw(t, "prompt")), Deadline: at.Add(time.Hour),
			})
			if len(actions) != 1 || actions[0].Kind != decider.ActionDispatch {
				t.Fatalf("an idle fleet returned %+v", actions)
			}
			core.Observe(at.Add(30*time.Second), decider.Event{Kind: decider.EventFinished, Request: id, OutputTokens: 10})
		}
	})
}
