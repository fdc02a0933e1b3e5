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

// Property tests use the same cases in every run unless the command line sets another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

const period = 5 // seconds between two plans

// plant carries the planner's changes out: an engine is away for 15 s.
type plant struct {
	planner planner.Planner
	engines []planner.Engine
	back    map[namer.Endpoint]namer.Seconds
	next    map[namer.Endpoint]namer.Role
	now     namer.Seconds
	random  *rand.Rand
	changes map[namer.Endpoint]int
	most    int     // changes in progress
	missed  float64 // part of the requests that miss their target; 1 makes the predictions alone decide
}

func newPlant(n int, seed uint64) *plant {
	p := &plant{
		back: map[namer.Endpoint]namer.Seconds{}, next: map[namer.Endpoint]namer.Role{},
		random: rand.New(rand.NewPCG(seed, 1)), changes: map[namer.Endpoint]int{}, missed: 1,
	}
	for i := range n {
		p.engines = append(p.engines, planner.Engine{
			Name: namer.Endpoint(fmt.Sprintf("engine-%02d", i)), Role: namer.RoleMixed, Running: 40, KVUsed: 0.3,
			PrefillRate: 8000, DecodeRate: 90, Concurrency: 128,
		})
	}
	return p
}

// run offers work for a time: prompts and outputs of the given mean sizes at Poisson arrivals, so
// that every period sees different amounts.
func (p *plant) run(length namer.Seconds, promptRate, promptSize, outputRate float64) {
	for end := p.now + length; p.now < end; p.now += period {
		prompt := 0.0
		for at := p.random.ExpFloat64(); at < period*promptRate/promptSize; at += p.random.ExpFloat64() {
			prompt += promptSize * (0.5 + p.random.Float64()) / period
		}
		changing := 0
		for i := range p.engines {
			e := &p.engines[i]
			if e.Changing && p.now >= p.back[e.Name] {
				e.Changing, e.Role = false, p.next[e.Name]
			}
			if e.Changing {
				changing++
			}
		}
		for _, c := range p.planner.Plan(p.now, planner.View{Missed: p.missed, Engines: p.engines, Prompt: prompt, Output: outputRate * (0.8 + 0.4*p.random.Float64())}) {
			for i := range p.engines {
				if p.engines[i].Name == c.Endpoint {
					p.engines[i].Changing = true
				}
			}
			p.back[c.Endpoint], p.next[c.Endpoint] = p.now+15, c.To
			p.changes[c.Endpoint]++
			changing++
		}
		p.most = max(p.most, changing)
	}
}

func (p *plant) prefill() int {
	n := 0
	for _, e := range p.engines {
		if e.Role == namer.RolePrefill {
			n++
		}
	}
	return n
}

// Guards against role changes that follow chance: a steady mix that the present roles serve causes none.
func TestASteadyMixCausesNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "engines")
		p := newPlant(n, rapid.Uint64().Draw(t, "seed"))
		prefillPart := rapid.Float64Range(0.05, 0.95).Draw(t, "part of the work in prompts")
		work := 0.6 * float64(n)
		p.run(3600, work*prefillPart*8000*0.78, rapid.Float64Range(500, 4000).Draw(t, "prompt"), work*(1-prefillPart)*5000)
		if len(p.changes) > 0 {
			t.Fatalf("changes %v", p.changes)
		}
	})
}

// Guards against a planner that changes too many engines at once, the same engine more than twice in
// a shift, or all engines away from one phase.
func TestShiftsCauseFewChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 24).Draw(t, "engines")
		p := newPlant(n, rapid.Uint64().Draw(t, "seed"))
		for shift := range 6 {
			clear(p.changes)
			minutes := rapid.Float64Range(3, 10).Draw(t, "minutes")
			work := rapid.Float64Range(0.5, 1.2).Draw(t, "load") * float64(n)
			if shift%2 == 0 {
				p.run(namer.Seconds(60*minutes), 0.85*work*10_000, 20_000, 0.15*work*5000)
			} else {
				p.run(namer.Seconds(60*minutes), 0.3*work*10_000, 1000, 0.7*work*5000)
			}
			for name, changes := range p.changes {
				if changes > 2 {
					t.Fatalf("%s changed %d times in %.1f minutes", name, changes, minutes)
				}
			}
			if p.most > max(1, n/4) {
				t.Fatalf("%d of %d engines changed at once", p.most, n)
			}
			if p.prefill() == n {
				t.Fatal("no engine is left to decode")
			}
		}
	})
}

// Guards against a planner that leaves a dominant phase without engines, or that never gives them back.
func TestRolesFollowTheMix(t *testing.T) {
	is := is.New(t)
	p := newPlant(9, 1)
	p.run(300, 7*10_000, 20_000, 1*5000)
	is.True(p.prefill() >= 5) // long reads dominate
	p.run(300, 2*10_000, 1000, 6*5000)
	is.True(p.prefill() <= 3) // chats dominate: six engines must decode
	total := 0
	for _, n := range p.changes {
		total += n
	}
	is.True(total <= 2*9)
}

// Guards against changes that follow a wrong prediction while the requests are served.
func TestServedRequestsCauseNoChange(t *testing.T) {
	is := is.New(t)
	for missed, want := range map[float64]bool{0: false, 0.04: false, 0.06: true} {
		p := newPlant(9, 1)
		p.missed = missed
		p.run(300, 7*10_000, 20_000, 1*5000)
		is.Equal(len(p.changes) > 0, want)
	}
}

// Guards against roles that follow a flood, most of which is refused, away from the work that is served.
func TestAFloodIsNoShift(t *testing.T) {
	is := is.New(t)
	p := newPlant(9, 1)
	p.run(300, 2*10_000, 1000, 2*5000)
	p.run(300, 30*10_000, 20_000, 2*5000)
	p.run(300, 2*10_000, 1000, 2*5000)
	is.Equal(len(p.changes), 0)
}

// Guards against changes that don't pay back within the horizon, and against changes for a small gain.
func TestChangesNeedALossAndAGain(t *testing.T) {
	for _, c := range []struct {
		name    string
		horizon namer.Seconds
		prompt  float64 // tokens a second; nine mixed engines serve 56,160
		want    bool
	}{
		{"a loss that changes make good", 120, 70_000, true},
		{"too short to pay back", 5, 70_000, false},
		{"a loss of two per cent", 1e6, 57_100, false},
		{"a loss of ten per cent over a long time", 1e6, 62_400, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlant(9, 1)
			p.planner.Horizon = c.horizon
			changes := 0
			for now := namer.Seconds(0); now < 60; now += period {
				changes += len(p.planner.Plan(now, planner.View{Missed: 1, Engines: p.engines, Prompt: c.prompt}))
			}
			is.New(t).Equal(changes > 0, c.want)
		})
	}
}
