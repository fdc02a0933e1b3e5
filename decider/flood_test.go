package decider_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/decider"
	"apricotspool/namer"
)

// poisson offers requests at a rate for a time.
func (w *world) poisson(from, to time.Duration, rate float64, next func() (decider.Request, int)) {
	for at := from; ; {
		at += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		r, output := next()
		w.arrive(at, r, output)
	}
}

func (w *world) question() (decider.Request, int) {
	group := uint64(w.random.IntN(20) + 1)
	return decider.Request{
		Rank: "urgent", Caller: namer.Caller(fmt.Sprintf("fitter-%d", w.random.IntN(40))), PromptTokens: namer.Tokens(500 + w.random.IntN(1500)),
		Prefix: []uint64{group << 32, group<<32 + 1<<24}, Idempotent: true,
	}, 50 + w.random.IntN(200)
}

func (w *world) chore() (decider.Request, int) {
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

// flood runs both ranks for a minute.
func flood(seed uint64, lag time.Duration, urgent, free float64) *world {
	w := newWorld(seed, 8, 8, lag)
	w.poisson(0, time.Minute, urgent, w.question)
	if free > 0 {
		w.poisson(0, time.Minute, free, w.chore)
	}
	w.run(2 * time.Minute)
	return w
}

// Target T1: a flood of free work, far over capacity, must not be felt by urgent requests, with
// fresh reports and with old ones, and capacity must not lie idle under it.
func TestFloodOfFreeWork(t *testing.T) {
	for _, lag := range []time.Duration{time.Second, 5 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			is := is.New(t)
			calm, flooded := flood(1, lag, 20, 0), flood(1, lag, 20, 200)
			part := func(w *world) float64 {
				return float64(w.tallies["urgent"].met) / float64(w.tallies["urgent"].offered)
			}
			is.True(part(flooded) >= 0.95)
			is.True(part(flooded) >= part(calm)-0.01)
			// The stand-in's 8 engines serve about 650 engine seconds in this minute.
			is.True(flooded.tallies["urgent"].work+flooded.tallies["free"].work > 400)
			is.True(flooded.tallies["free"].refused > 9000) // it is a flood
			free := flooded.tallies["free"]
			is.True(float64(free.met) > 0.9*float64(free.served)) // what is accepted is served in time
		})
	}
}

// Target T2: under a flood of urgent work the lower rank keeps its share, and the urgent work that
// is accepted still meets its target.
func TestFloodOfUrgentWork(t *testing.T) {
	for seed := range uint64(2) {
		is := is.New(t)
		w := flood(seed+1, time.Second, 400, 20)
		urgent, free := w.tallies["urgent"], w.tallies["free"]
		is.True(free.work/(free.work+urgent.work) >= 0.9*0.2)
		is.True(float64(urgent.met) >= 0.95*float64(urgent.served))
		is.True(urgent.work+free.work > 600)
	}
}

// Guards against refusals while there is room for everyone.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	is := is.New(t)
	w := flood(3, 5*time.Second, 20, 4)
	is.Equal(w.tallies["urgent"].refused+w.tallies["free"].refused, 0)
	is.Equal(w.tallies["free"].served, w.tallies["free"].offered)
}

// Guards against free work that takes the last slots: where few requests run at once, urgent ones
// would have to wait for a long answer to end.
func TestSlotsAreKeptForUrgentWork(t *testing.T) {
	is := is.New(t)
	met, offered := 0, 0
	for seed := range uint64(3) {
		w := newWorld(seed+1, 6, 8, time.Second)
		fleet := w.fleet(6)
		for i := range fleet.Endpoints {
			fleet.Endpoints[i].Concurrency = 8
		}
		for _, c := range w.cores {
			c.Configure(w.at(), fleet)
		}
		w.poisson(0, time.Minute, 5, w.question)
		w.poisson(0, time.Minute, 60, w.chore)
		w.run(2 * time.Minute)
		met, offered = met+w.tallies["urgent"].met, offered+w.tallies["urgent"].offered
	}
	is.True(float64(met) >= 0.98*float64(offered)) // 0.954 without slots kept free
}
