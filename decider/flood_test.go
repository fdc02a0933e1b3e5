package decider_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/decider"
	"apricotspool/namer"
)

// poisson schedules requests as a Poisson process with the given rate per second between from and to.
func (w *simulation) poisson(from, to time.Duration, rate float64, next func() (decider.Request, int)) {
	for at := from; ; {
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		r, output := next()
		w.arrive(at, r, output)
	}
}

func (w *simulation) urgentRequest() (decider.Request, int) {
	group := uint64(w.random.IntN(20) + 1)
	return decider.Request{
		Rank: "urgent", Caller: namer.Caller(fmt.Sprintf("fitter-%d", w.random.IntN(40))), PromptTokens: namer.Tokens(500 + w.random.IntN(1500)),
		Prefix: []uint64{group << 32, group<<32 + 1<<24}, Idempotent: true,
	}, 50 + w.random.IntN(200)
}

func (w *simulation) freeRequest() (decider.Request, int) {
	r := decider.Request{
		Rank: "free", Caller: namer.Caller(fmt.Sprintf("free-%d", w.random.IntN(400))),
		PromptTokens: namer.Tokens(1000 + w.random.IntN(3000)), Idempotent: true,
	}
	output := 100 + w.random.IntN(200)
	if w.random.IntN(10) == 0 {
		r.PromptTokens, output = namer.Tokens(20_000+w.random.IntN(40_000)), 5
	}
	return r, output
}

// flood runs 8 hosts and 8 engines with a minute of arrivals at the given rates per second.
func flood(seed uint64, lag time.Duration, urgent, free float64) *simulation {
	w := newSimulation(seed, 8, 8, lag)
	w.poisson(0, time.Minute, urgent, w.urgentRequest)
	if free > 0 {
		w.poisson(0, time.Minute, free, w.freeRequest)
	}
	w.run(2 * time.Minute)
	return w
}

// Target T1: free requests far above capacity must not affect the latency of urgent ones, with short
// and with long report lag, and must not leave capacity unused.
func TestFloodOfFreeWork(t *testing.T) {
	for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			is := is.New(t)
			baseline, flooded := flood(1, lag, 20, 0), flood(1, lag, 20, 200)
			metFraction := func(w *simulation) float64 {
				return float64(w.results["urgent"].met) / float64(w.results["urgent"].offered)
			}
			is.True(metFraction(flooded) >= 0.95)
			is.True(metFraction(flooded) >= metFraction(baseline)-0.01)
			// The 8 simulated engines serve about 650 engine seconds in this minute.
			is.True(flooded.results["urgent"].work+flooded.results["free"].work > 400)
			is.True(flooded.results["free"].refused > 9000) // the load is far above capacity
			free := flooded.results["free"]
			is.True(float64(free.met) > 0.9*float64(free.served)) // accepted requests are served in time
		})
	}
}

// Target T2: with urgent requests far above capacity, the lower rank keeps its share, and accepted
// urgent requests still meet their target.
func TestFloodOfUrgentWork(t *testing.T) {
	for seed := range uint64(2) {
		is := is.New(t)
		w := flood(seed+1, time.Second, 400, 20)
		urgent, free := w.results["urgent"], w.results["free"]
		is.True(free.work/(free.work+urgent.work) >= 0.9*0.2)
		is.True(float64(urgent.met) >= 0.95*float64(urgent.served))
		is.True(urgent.work+free.work > 600)
	}
}

// Guards against refusals while the load is below capacity.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	is := is.New(t)
	w := flood(3, 5*time.Second, 20, 4)
	is.Equal(w.results["urgent"].refused+w.results["free"].refused, 0)
	is.Equal(w.results["free"].served, w.results["free"].offered)
}

// Guards against free requests that occupy all slots: with a low concurrency, urgent requests would
// have to wait for a long response to finish.
func TestSlotsAreKeptForUrgentWork(t *testing.T) {
	is := is.New(t)
	met, offered := 0, 0
	for seed := range uint64(3) {
		w := newSimulation(seed+1, 6, 8, time.Second)
		fleet := w.fleet(6)
		for i := range fleet.Endpoints {
			fleet.Endpoints[i].Concurrency = 8
		}
		for _, c := range w.cores {
			c.Configure(w.at(), fleet)
		}
		w.poisson(0, time.Minute, 5, w.urgentRequest)
		w.poisson(0, time.Minute, 60, w.freeRequest)
		w.run(2 * time.Minute)
		met, offered = met+w.results["urgent"].met, offered+w.results["urgent"].offered
	}
	is.True(float64(met) >= 0.98*float64(offered)) // 0.954 without reserved slots
}
