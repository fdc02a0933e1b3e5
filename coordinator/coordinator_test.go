package coordinator_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/configurer"
	"apricotspool/coordinator"
	"apricotspool/decider"
	"apricotspool/director"
	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/planner"
	"apricotspool/storer"
)

// recordingDirector is a Director that records the changes it is asked to apply.
type recordingDirector struct {
	mu      sync.Mutex // guards changes
	changes []director.Change
}

func (d *recordingDirector) Apply(_ context.Context, _ leaser.EndpointAuthority, changes []director.Change) []director.Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, changes...)
	return nil
}

func (d *recordingDirector) String() string {
	synctest.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, c := range d.changes {
		all = append(all, strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %s", c.Endpoint, c.Kind, c.Role, c.Model)), " "))
	}
	return strings.Join(all, "; ")
}

func process(i int) namer.Process {
	return namer.Process{Host: "h", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)), Incarnation: 1}
}

// holdLease runs a leaser until the test ends and waits until it holds its lease.
func holdLease(ctx context.Context, store storer.Store, name leaser.Name, i int) *leaser.Leaser {
	l := &leaser.Leaser{Store: store, Name: name, Process: process(i)}
	go l.Run(ctx)
	time.Sleep(10 * time.Second)
	return l
}

func snapshot(t *testing.T) *configurer.Snapshot {
	document, err := configurer.Parse([]byte(`{
		"data-centres": {"west": {"region": "r"}, "east": {"region": "r"}},
		"models": {"m": {"version": "7", "context": 1000}, "n": {"version": "1", "context": 1000}},
		"services": {"chat": {"kind": "model", "models": ["m", "n"], "deadline": "1m", "ranks": {"urgent": {"first-token": "1s"}}}},
		"endpoints": {
			"w1": {"service": "chat", "address": "127.0.0.1:1", "data-centre": "west", "models": ["m"]},
			"w2": {"service": "chat", "address": "127.0.0.1:2", "data-centre": "west", "models": ["m", "n"]},
			"e1": {"service": "chat", "address": "127.0.0.1:3", "data-centre": "east", "models": ["m"]}}}`))
	is.New(t).NoErr(err)
	return configurer.NewSnapshot(1, document)
}

// prefillHeavyDemand is a demand that four mixed engines can't serve: nearly all of it is prompt
// tokens, and all requests are missed.
func prefillHeavyDemand(context.Context) ([]decider.EngineSet, error) {
	set := decider.EngineSet{Service: "chat", Model: "m", View: planner.View{Missed: 1, Prompt: 31_000, Output: 300}}
	for _, name := range []namer.Endpoint{"w1", "w2", "e1", "e2"} {
		set.View.Engines = append(set.View.Engines, planner.Engine{
			Name: name, Role: namer.RoleMixed, Running: 40, KVUsed: 0.3, PrefillRate: 8000, DecodeRate: 90, Concurrency: 128,
		})
	}
	return []decider.EngineSet{set}, nil
}

// Checks that a role change gets from the planner to the director of the right data centre, and that a
// lease holder doesn't apply a plan that was written before it acquired its lease.
func TestPlansReachTheDirector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		store := &imitator.Store{}
		_, err := store.Put(ctx, "plan/west", []byte(`{"fencing":0,"roles":[{"endpoint":"w2","role":"decode"}]}`), 0)
		is.NoErr(err)
		recorder := &recordingDirector{}
		executor := &coordinator.PlanExecutor{Store: store, Lease: holdLease(ctx, store, leaser.ForDataCentre("west"), 1), Director: recorder, DataCentre: "west"}
		go executor.Run(ctx)
		time.Sleep(10 * time.Second)
		is.Equal(recorder.String(), "") // the plan predates the lease

		changing := false
		proposer := &coordinator.Proposer{
			Store: store, Lease: holdLease(ctx, store, leaser.Housekeeping, 2), Demand: prefillHeavyDemand, Snapshot: func() *configurer.Snapshot { return snapshot(t) },
			Changing: func(namer.Endpoint) bool { return changing },
		}
		go proposer.Run(ctx)
		for recorder.String() == "" {
			time.Sleep(time.Second)
		}
		is.True(strings.HasPrefix(recorder.String(), "w")) // an engine of data centre west
		is.True(strings.HasSuffix(recorder.String(), " role prefill"))
	})
}

// Guards against a planner that overwrites the plan of its successor after losing the lease.
func TestFormerPlannerDoesNotOverwritePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		store := &imitator.Store{}
		for _, key := range []string{"plan/west", "plan/east"} {
			_, err := store.Put(ctx, key, []byte(`{"fencing":99,"roles":[]}`), 0)
			is.NoErr(err)
		}
		proposer := &coordinator.Proposer{
			Store: store, Lease: holdLease(ctx, store, leaser.Housekeeping, 1), Demand: prefillHeavyDemand, Snapshot: func() *configurer.Snapshot { return snapshot(t) },
			Changing: func(namer.Endpoint) bool { return false },
		}
		go proposer.Run(ctx)
		time.Sleep(2 * time.Minute)
		for _, key := range []string{"plan/west", "plan/east"} {
			object, err := store.Get(ctx, key)
			is.NoErr(err)
			is.Equal(string(object.Value), `{"fencing":99,"roles":[]}`)
		}
	})
}

// engineStates is a StateReader that reports the models of each engine.
type engineStates map[namer.Endpoint][]namer.Model

func (s engineStates) State(_ context.Context, to generator.Target) (generator.EngineState, error) {
	return generator.EngineState{Models: s[to.Endpoint]}, nil
}

// Guards against models that are not loaded or unloaded as configured, and against commands to engines
// of another data centre or to engines that don't report their models.
func TestModelsFollowTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		engines engineStates
		want    string
	}{
		{engineStates{"w1": {"m"}, "w2": {"m", "n"}, "e1": {"n"}}, ""},
		{engineStates{"w1": {"m"}, "w2": {"m"}}, "w2 load n"},
		{engineStates{"w1": {"m", "old"}, "w2": {"n", "m"}}, "w1 unload old"},
		{engineStates{"w1": {"old"}, "w2": {"n"}}, "w1 load m; w2 load m"}, // loads come before unloads
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(time.Minute)
			}()
			store, recorder := &imitator.Store{}, &recordingDirector{}
			reconciler := &coordinator.Reconciler{
				Lease: holdLease(ctx, store, leaser.ForDataCentre("west"), 1), Director: recorder, Engine: c.engines,
				Snapshot: func() *configurer.Snapshot { return snapshot(t) }, DataCentre: "west",
			}
			go reconciler.Run(ctx)
			time.Sleep(coordinator.ReconcileInterval + time.Second)
			is.New(t).Equal(recorder.String(), c.want)
		})
	}
}
