package planner_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/namer"
	"apricotspool/planner"
)

// Property tests use the same cases in every run unless a flag sets another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

const period = 5 // seconds between plans

// simulation applies the planner's changes to simulated engines. A changing engine is unavailable for 15 s.
type simulation struct {
	planner     planner.Planner
	engines     []planner.Engine
	readyAt     map[namer.Endpoint]namer.Seconds
	nextRole    map[namer.Endpoint]namer.Role
	now         namer.Seconds
	random      *rand.Rand
	changes     map[namer.Endpoint]int
	maxChanging int     // largest number of changes in progress
	missed      float64 // fraction of requests that miss their target; with 1 only the predictions decide
}

func newSimulation(n int, seed uint64) *simulation {
	sim := &simulation{
		readyAt: map[namer.Endpoint]namer.Seconds{}, nextRole: map[namer.Endpoint]namer.Role{},
		random: rand.New(rand.NewPCG(seed, 1)), changes: map[namer.Endpoint]int{}, missed: 1,
	}
	for i := range n {
		sim.engines = append(sim.engines, planner.Engine{
			Name: namer.Endpoint(fmt.Sprintf("engine-%02d", i)), Role: namer.RoleMixed, Running: 40, KVUsed: 0.3,
			PrefillRate: 8000, DecodeRate: 90, Concurrency: 128,
		})
	}
	return sim
}

// run simulates demand for the given length: Poisson arrivals of prompts with a mean size, and output
// tokens at a noisy rate. The demand differs from period to period.
func (sim *simulation) run(length namer.Seconds, promptRate, promptSize, outputRate float64) {
	for end := sim.now + length; sim.now < end; sim.now += period {
		prompt := 0.0
		for at := sim.random.ExpFloat64(); at < period*promptRate/promptSize; at += sim.random.ExpFloat64() {
			prompt += promptSize * (0.5 + sim.random.Float64()) / period
		}
		changing := 0
		for i := range sim.engines {
			e := &sim.engines[i]
			if e.Changing && sim.now >= sim.readyAt[e.Name] {
				e.Changing, e.Role = false, sim.nextRole[e.Name]
			}
			if e.Changing {
				changing++
			}
		}
		for _, c := range sim.planner.Plan(sim.now, planner.View{Missed: sim.missed, Engines: sim.engines, Prompt: prompt, Output: outputRate * (0.8 + 0.4*sim.random.Float64())}) {
			for i := range sim.engines {
				if sim.engines[i].Name == c.Endpoint {
					sim.engines[i].Changing = true
				}
			}
			sim.readyAt[c.Endpoint], sim.nextRole[c.Endpoint] = sim.now+15, c.To
			sim.changes[c.Endpoint]++
			changing++
		}
		sim.maxChanging = max(sim.maxChanging, changing)
	}
}

// prefill returns the number of engines with the prefill role.
func (sim *simulation) prefill() int {
	n := 0
	for _, e := range sim.engines {
		if e.Role == namer.RolePrefill {
			n++
		}
	}
	return n
}

// Guards against role changes caused by noise: a steady mix that the current roles serve causes none.
func TestASteadyMixCausesNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "engines")
		sim := newSimulation(n, rapid.Uint64().Draw(t, "seed"))
		prefillFraction := rapid.Float64Range(0.05, 0.95).Draw(t, "part of the work in prompts")
		work := 0.6 * float64(n)
		sim.run(3600, work*prefillFraction*8000*0.78, rapid.Float64Range(500, 4000).Draw(t, "prompt"), work*(1-prefillFraction)*5000)
		if len(sim.changes) > 0 {
			t.Fatalf("steady mix caused changes: %v", sim.changes)
		}
	})
}

// Guards against a planner that changes too many engines at once, changes an engine more than twice in
// a shift, or leaves no engine for decoding.
func TestShiftsCauseFewChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "engines")
		sim := newSimulation(n, rapid.Uint64().Draw(t, "seed"))
		for shift := range 6 {
			clear(sim.changes)
			minutes := rapid.Float64Range(3, 10).Draw(t, "minutes")
			work := rapid.Float64Range(0.5, 1.2).Draw(t, "load") * float64(n)
			if shift%2 == 0 {
				sim.run(namer.Seconds(60*minutes), 0.85*work*10_000, 20_000, 0.15*work*5000)
			} else {
				sim.run(namer.Seconds(60*minutes), 0.3*work*10_000, 1000, 0.7*work*5000)
			}
			for name, changes := range sim.changes {
				if changes > 2 {
					t.Fatalf("%s changed %d times in %.1f minutes", name, changes, minutes)
				}
			}
			if sim.maxChanging > max(1, n/4) {
				t.Fatalf("%d of %d engines changed at once", sim.maxChanging, n)
			}
			if sim.prefill() == n {
				t.Fatal("no engine is left to decode")
			}
		}
	})
}

// Guards against a planner that leaves a dominant phase without engines or never returns them to the
// other phase.
func TestRolesFollowTheMix(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9, 1)
	sim.run(300, 7*10_000, 20_000, 1*5000)
	is.True(sim.prefill() >= 5) // long prompts dominate
	sim.run(300, 2*10_000, 1000, 6*5000)
	is.True(sim.prefill() <= 3) // decoding dominates and needs six engines
	total := 0
	for _, n := range sim.changes {
		total += n
	}
	is.True(total <= 2*9)
}

// Guards against changes caused by a wrong prediction while the requests meet their targets.
func TestServedRequestsCauseNoChange(t *testing.T) {
	is := is.New(t)
	for missed, want := range map[float64]bool{0: false, 0.04: false, 0.06: true} {
		sim := newSimulation(9, 1)
		sim.missed = missed
		sim.run(300, 7*10_000, 20_000, 1*5000)
		is.Equal(len(sim.changes) > 0, want)
	}
}

// Guards against roles that follow an overload, most of which is refused, and thereby fail the requests
// that are served.
func TestOverloadIsNoShift(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(9, 1)
	sim.run(300, 2*10_000, 1000, 2*5000)
	sim.run(300, 30*10_000, 20_000, 2*5000)
	sim.run(300, 2*10_000, 1000, 2*5000)
	is.Equal(len(sim.changes), 0)
}

// Guards against changes that cost more than they gain within the horizon and against changes for a
// small gain.
func TestChangesNeedLossAndGain(t *testing.T) {
	for _, c := range []struct {
		name    string
		horizon namer.Seconds
		prompt  float64 // tokens per second; nine mixed engines serve 56,160
		want    bool
	}{
		{"a loss that changes make good", 120, 70_000, true},
		{"too short to pay back", 5, 70_000, false},
		{"a loss of two per cent", 1e6, 57_100, false},
		{"a loss of ten per cent over a long time", 1e6, 62_400, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(9, 1)
			sim.planner.Horizon = c.horizon
			changes := 0
			for now := namer.Seconds(0); now < 60; now += period {
				changes += len(sim.planner.Plan(now, planner.View{Missed: 1, Engines: sim.engines, Prompt: c.prompt}))
			}
			is.New(t).Equal(changes > 0, c.want)
		})
	}
}
