package placer_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/placer"
)

// stalls returns the reports of placements that made no progress.
func (f *fleet) stalls() []decider.Action {
	var stalls []decider.Action
	for _, a := range f.reports {
		if a.Report == decider.PlacementStalled {
			stalls = append(stalls, a)
		}
	}
	return stalls
}

// smallFleet returns a fleet of engines with few slots, four of which generate.
func smallFleet(t testing.TB, hosts int) *fleet {
	class := prefillClass
	class.MaxSequences = 6
	return newFleetOf(t, class, hosts, 0, 4)
}

// question has a short prompt and a longer output.
var question = workload{prompt: 200, shared: 100, output: 2000, sessions: 20, target: 100 * time.Millisecond, idempotent: true, patience: 2 * time.Second}

// Guards against a core that never returns from the placement of a long stream when all engines are full, with all
// ledgers at this daemon and with all at another one (review/1).
func TestPlacementEndsAtFullEngines(t *testing.T) {
	for _, hosts := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d daemons", hosts), func(t *testing.T) {
			is := is.New(t)
			f := smallFleet(t, hosts)
			for range 60 {
				f.arrive(f.hosts[0], question)
				f.run(f.now + 5*time.Millisecond)
			}
			f.run(f.now + time.Second)
			is.Equal(len(f.stalls()), 0)
			refused := 0
			for _, r := range f.all {
				is.True(r.endpoint != "" || r.outcome != "") // decided
				if r.outcome == classifier.TargetUnreachable {
					refused++
					is.True(r.retryAfter > 0)
				}
			}
			is.True(refused > 0)
			is.True(refused <= 60-3*6) // the slots of the engines that are asked are used
		})
	}
}

// Guards against a core that never returns from the placement of a request whose prompt no engine can process before
// its deadline, if it asks for more output than it has prompt (review/2).
func TestPlacementEndsForUnreachableDeadline(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{1, 3} {
		f := smallFleet(t, hosts)
		large := workload{prompt: 1_200_000, shared: 1000, output: 1_250_000, sessions: 1, target: 100 * time.Millisecond, idempotent: true, patience: 2 * time.Second}
		r := f.arrive(f.hosts[0], large)
		f.run(f.now + 100*time.Millisecond)
		is.Equal(len(f.stalls()), 0)
		is.Equal(r.outcome, classifier.TargetUnreachable)
		is.Equal(f.arrive(f.hosts[0], question).outcome, classifier.Outcome("")) // other requests are placed
	}
}

// Guards against two daemons that ask each other without end for an endpoint that only one of them knows to be leaving:
// a plain one, and an engine for a prompt that has been processed elsewhere.
func TestPermitDeclinedByOwnerIsNotAskedForAgain(t *testing.T) {
	for _, plain := range []bool{true, false} {
		t.Run(fmt.Sprintf("plain %v", plain), func(t *testing.T) {
			is := is.New(t)
			prefillEngines := 1
			if plain {
				prefillEngines = 0
			}
			f := newFleet(t, 2, prefillEngines, 1)
			f.view.Services[0].Plain = plain
			for i := range f.view.Members { // the second daemon owns everything
				f.view.Members[i].DataCentre = namer.DataCentre([]string{"b", "a"}[i])
			}
			f.configure()
			limited := f.names[prefillEngines]
			f.limitAll(1000, limited)
			k := plainCall
			if !plain {
				k = longPrompt
			}
			f.arrive(f.hosts[0], k) // both daemons learn of the limit
			f.run(f.now + time.Second)
			f.perform(f.hosts[1], f.hosts[1].core.Observe(f.time(), decider.Event{Kind: decider.EventLeaving, Endpoint: limited}))
			asked := 0
			f.inspect = func(_ namer.Host, m placer.Message) {
				if m.ReserveRequest != nil {
					asked++
				}
			}
			r := f.arrive(f.hosts[0], k)
			f.run(f.now + time.Second)
			t.Logf("asked %d times; outcome %q", asked, r.outcome)
			is.Equal(len(f.stalls()), 0)
			is.True(asked <= 4)
			is.Equal(r.outcome, classifier.NoEndpoint)
		})
	}
}

// randomFleet returns a fleet with few slots and little memory, in which all ledgers, some or none belong to the first
// daemon, some messages are lost, and some endpoints state a rate limit.
func randomFleet(t testing.TB, random *rand.Rand) *fleet {
	class := prefillClass
	class.MaxSequences = 1 + random.IntN(8)
	class.KVTokens = []namer.Tokens{4_000, 50_000, 1_700_000}[random.IntN(3)]
	hosts, prefillEngines, decodeEngines := 1+random.IntN(4), random.IntN(3), 1+random.IntN(6)
	plain := random.IntN(4) == 0
	if plain {
		prefillEngines = 0
	}
	f := newFleetOf(t, class, hosts, prefillEngines, decodeEngines)
	f.random = random
	f.view.Services[0].Plain = plain
	centres := []namer.DataCentre{"a", "b"}[:1+random.IntN(2)]
	for i := range f.view.Members {
		f.view.Members[i].DataCentre = centres[random.IntN(len(centres))]
	}
	for i := range f.view.Endpoints {
		f.view.Endpoints[i].KVTokens = class.KVTokens
		if random.IntN(4) == 0 {
			f.limits[f.names[i]] = namer.Rate(math.Exp(random.Float64()*9 - 2))
		}
	}
	if lost := random.Float64() - 0.5; lost > 0 {
		f.dropMessage = func(namer.Host, namer.Host) bool { return random.Float64() < lost }
	}
	f.configure()
	return f
}

// randomWorkload returns requests of any size, with more output than prompt or less.
func randomWorkload(random *rand.Rand) workload {
	size := func(most float64) namer.Tokens { return namer.Tokens(math.Exp(random.Float64() * math.Log(most))) }
	k := workload{
		prompt: size(2_000_000) + 1, output: size(20_000) + 1, sessions: 1 + random.IntN(20), priority: random.IntN(4),
		target: time.Duration(10+random.IntN(1000)) * time.Millisecond, idempotent: random.IntN(2) == 0, attempts: 1 + random.IntN(4),
		patience: time.Duration(random.IntN(3000)) * time.Millisecond,
	}
	k.shared = namer.Tokens(random.Float64() * float64(k.prompt-1))
	return k
}

var fleets = flag.Int("fleets", 60, "number of random fleets, each with a seed of its own")

// Guards against placements without an end, in a loop or by messages, whatever the fleet and the requests.
func TestPlacementsEndInRandomFleets(t *testing.T) {
	seeds := []uint64{682, 1456} // two daemons that disagree on an endpoint with a rate limit
	for seed := range uint64(*fleets) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		random := rand.New(rand.NewPCG(seed, 32))
		f := randomFleet(t, random)
		asked, decided := 0, 0
		f.inspect = func(_ namer.Host, m placer.Message) {
			if m.ReserveRequest != nil {
				asked++
			}
		}
		f.onDispatch = func(decider.Action, uint64, bool) { decided++ }
		for range 1 + random.IntN(4) {
			f.generateLoad(randomWorkload(random), math.Exp(random.Float64()*5), time.Second)
		}
		f.after(500*time.Millisecond, func() {
			if leaving := f.hosts[0]; random.IntN(2) == 0 {
				f.perform(leaving, leaving.core.Observe(f.time(), decider.Event{Kind: decider.EventLeaving, Endpoint: f.names[0]}))
			}
		})
		f.run(2 * time.Second)
		undecided := 0
		for _, r := range f.all {
			if r.outcome != "" {
				decided++
			}
			if r.endpoint == "" && r.outcome == "" {
				undecided++
			}
		}
		if stalls := f.stalls(); len(stalls) > 0 || undecided > 0 || asked > 8*(decided+1) {
			t.Errorf("seed %d: %d of %d placements stalled, %d requests undecided, %d reservation requests for %d decisions", seed, len(stalls), len(f.all), undecided, asked, decided)
		}
	}
}

// Guards against a placement that goes on for as long as another daemon declines, whatever it says to wait, and keeps the
// core from other requests.
func TestPlacementEndsWithFaultyOwner(t *testing.T) {
	for name, wait := range map[string]namer.Seconds{"at once": 0, "after an instant": 1e-12, "in the past": -1} {
		for _, plain := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, plain %v", name, plain), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 2, 0, 1)
				f.view.Services[0].Plain = plain
				f.view.Members[0].DataCentre = "b" // the second daemon owns the endpoint
				f.configure()
				core, faulty := f.hosts[0].core, f.hosts[1].name
				core.Observe(f.time(), decider.Event{
					Kind: decider.EventLimit, Endpoint: f.names[0], RequestedAt: f.time(), Limit: decider.StatedLimit{State: decider.LimitStated, Rate: 1e6},
				})
				actions := core.Arrive(f.time(), decider.Request{
					ID: "r", Service: service, PromptTokens: 10, MaxTokens: 100, Deadline: f.time().Add(time.Second), Target: 100 * time.Millisecond, Attempts: 1,
				})
				for asked := 0; ; asked++ {
					is.True(asked < 20)
					i := slices.IndexFunc(actions, func(a decider.Action) bool { return a.Kind == decider.ActionSend && a.To == faulty })
					if i < 0 {
						break
					}
					request := actions[i].Message.(placer.Message).ReserveRequest
					f.now += 2 * networkDelay
					actions = core.Receive(f.time(), faulty, placer.Message{ReserveResponse: &placer.ReserveResponse{
						ReservationID: request.ReservationID, Wait: wait, Load: placer.Load{Endpoint: f.names[0]},
					}})
				}
				is.Equal(actions[len(actions)-1].Kind, decider.ActionRefuse)
			})
		}
	}
}

// Guards against requests for reservations that other daemons refuse as malformed, since a caller waits for longer than
// messages can say: its daemon took each owner for unresponsive.
func TestLongDeadlinesFitIntoMessages(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1, 3)
	for _, k := range []workload{question, longPrompt} {
		for _, h := range f.hosts {
			r := f.arriveWithDeadline(h, k, 100*time.Hour)
			f.run(f.now + 50*time.Millisecond)
			is.True(r.endpoint != "")
		}
	}
}
