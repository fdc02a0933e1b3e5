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

// Property tests use the same cases in every run unless the command line sets another seed.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50") // each runs a whole schedule
}

// Guards against requests that a crash loses: idempotent work goes on elsewhere.
func TestACrashCostsNoRequest(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, 8, time.Second)
	w.poisson(0, 30*time.Second, 30, w.question)
	w.after(10*time.Second, func() { w.kill(w.engines["engine-03"]) })
	w.run(time.Minute)
	urgent := w.tallies["urgent"]
	is.Equal(urgent.refused, 0)
	is.Equal(urgent.served, urgent.offered)
	is.True(w.retries > 0)
	is.True(float64(urgent.met) >= 0.95*float64(urgent.offered))
}

// Guards against an engine that hangs: its attempts move, and it gets no more than probes.
func TestAHangingEngineIsLeft(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, 8, time.Second)
	w.poisson(0, 30*time.Second, 30, w.question)
	w.after(10*time.Second, func() { w.engines["engine-03"].silent = true })
	late := 0
	w.onDispatch = func(a decider.Action) (decider.Event, bool) {
		if a.Endpoint == "engine-03" && w.now > 20*time.Second {
			late++
		}
		return decider.Event{}, false
	}
	w.run(time.Minute)
	urgent := w.tallies["urgent"]
	is.True(urgent.offered-urgent.served <= 8) // those that had started; 12 when attempts don't move
	is.True(late < 30)                         // probes, of about 150 to each engine
}

// Guards against a retry storm: when everything fails, retries stay within the budget.
func TestNoRetryStorm(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, 8, time.Second)
	w.poisson(0, 30*time.Second, 100, w.question)
	w.onDispatch = func(decider.Action) (decider.Event, bool) {
		broken := w.now > 10*time.Second
		return decider.Event{Kind: decider.EventFailed, Reason: classifier.RetryStreamBroken}, broken
	}
	before, served := 0, 0
	w.after(10*time.Second, func() { before, served = w.retries, w.tallies["urgent"].served })
	w.run(time.Minute)
	// 20 saved up in each of 6 hosts, a trickle of 0.1 a second, and a tenth of the streams that finish.
	retries := float64(w.retries - before)
	is.True(retries > 0)
	is.True(retries <= 6*20+6*2+0.1*float64(w.tallies["urgent"].served-served))
	for _, n := range w.finals {
		is.Equal(n, 1)
	}
	is.Equal(len(w.finals), len(w.jobs))
}

// Guards against requests with no or two final actions, second executions of calls that must not be
// repeated, untrue "not-run" and dispatches to endpoints that are leaving, under faults of all kinds.
func TestEveryArrivalEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<40).Draw(t, "seed")
		w := newWorld(seed, rapid.IntRange(1, 4).Draw(t, "hosts"), rapid.IntRange(1, 5).Draw(t, "engines"), time.Duration(w64(t, 5))*time.Second)
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
		offer := func() (decider.Request, int) {
			r, output := w.chore()
			if w.random.IntN(2) == 0 {
				r, output = w.question()
			}
			r.Idempotent = w.random.IntN(2) == 0
			if w.random.IntN(100) < cancels {
				w.cancelSoon(len(w.jobs))
			}
			return r, output
		}
		w.poisson(0, 5*time.Second, float64(rapid.IntRange(5, 150).Draw(t, "rate")), offer)
		w.after(2*time.Second, func() {
			for i, name := range w.order {
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
			if w.finals[id] != 1 {
				t.Fatalf("%s has %d ends", id, w.finals[id])
			}
		}
		for i, c := range w.cores {
			if c.Requests() != 0 || c.Waiting() != 0 {
				t.Fatalf("host %d keeps %d requests, %d waiting", i, c.Requests(), c.Waiting())
			}
		}
	})
}

func w64(t *rapid.T, most int) int { return rapid.IntRange(0, most).Draw(t, "lag") }

// Guards against refusals of any rank while the fleet is idle, however long the prompt.
func TestIdleCapacityIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(1, 1, rapid.IntRange(1, 20).Draw(t, "engines"), time.Second)
		core := w.cores[0]
		for n := range 5 {
			id := namer.StreamID(fmt.Sprint(n))
			at := w.start.Add(time.Duration(n) * time.Minute)
			actions := core.Arrive(at, decider.Request{
				ID: id, Caller: "c", Service: "chat", Model: "m", Rank: rapid.SampledFrom([]namer.Rank{"urgent", "free"}).Draw(t, "rank"),
				PromptTokens: namer.Tokens(rapid.IntRange(1, 200_000).Draw(t, "prompt")), Deadline: at.Add(time.Hour),
			})
			if len(actions) != 1 || actions[0].Kind != decider.ActionDispatch {
				t.Fatalf("an idle fleet answers %+v", actions)
			}
			core.Observe(at.Add(30*time.Second), decider.Event{Kind: decider.EventFinished, Request: id, OutputTokens: 10})
		}
	})
}
