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

// orders records the changes that a director is asked for.
type orders struct {
	mu   sync.Mutex // guards seen
	seen []director.Change
}

func (o *orders) Apply(_ context.Context, _ leaser.EndpointAuthority, changes []director.Change) []director.Result {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen = append(o.seen, changes...)
	return nil
}

func (o *orders) String() string {
	synctest.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []string
	for _, c := range o.seen {
		all = append(all, strings.Join(strings.Fields(fmt.Sprintf("%s %s %s %s", c.Endpoint, c.Kind, c.Role, c.Model)), " "))
	}
	return strings.Join(all, "; ")
}

func process(i int) namer.Process {
	return namer.Process{Host: "h", Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)), Incarnation: 1}
}

// hold runs a leaser until the test ends and waits for its lease.
func hold(ctx context.Context, store storer.Store, name leaser.Name, i int) *leaser.Leaser {
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

// shifted is a demand that four mixed engines can't serve: nearly all of it is prompts, and requests are missed.
func shifted(context.Context) ([]decider.EngineSet, error) {
	set := decider.EngineSet{Service: "chat", Model: "m", View: planner.View{Missed: 1, Prompt: 31_000, Output: 300}}
	for _, name := range []namer.Endpoint{"w1", "w2", "e1", "e2"} {
		set.View.Engines = append(set.View.Engines, planner.Engine{
			Name: name, Role: namer.RoleMixed, Running: 40, KVUsed: 0.3, PrefillRate: 8000, DecodeRate: 90, Concurrency: 128,
		})
	}
	return []decider.EngineSet{set}, nil
}

// Guards the way of a role change from the planner to the director of the right data centre, and
// against a plan that is carried out by a holder that got its lease after the plan was written.
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
		asked := &orders{}
		performer := &coordinator.Performer{Store: store, Lease: hold(ctx, store, leaser.ForDataCentre("west"), 1), Director: asked, DataCentre: "west"}
		go performer.Run(ctx)
		time.Sleep(10 * time.Second)
		is.Equal(asked.String(), "") // the plan is older than the lease

		changing := false
		proposer := &coordinator.Proposer{
			Store: store, Lease: hold(ctx, store, leaser.Housekeeping, 2), Demand: shifted, Snapshot: func() *configurer.Snapshot { return snapshot(t) },
			Changing: func(namer.Endpoint) bool { return changing },
		}
		go proposer.Run(ctx)
		for asked.String() == "" {
			time.Sleep(time.Second)
		}
		is.True(strings.HasPrefix(asked.String(), "w")) // an engine of the performer's data centre
		is.True(strings.HasSuffix(asked.String(), " role prefill"))
	})
}

// Guards against a planner that has lost its lease and overwrites its successor's plan.
func TestAFormerPlannerWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		store := &imitator.Store{}
		for _, at := range []string{"plan/west", "plan/east"} {
			_, err := store.Put(ctx, at, []byte(`{"fencing":99,"roles":[]}`), 0)
			is.NoErr(err)
		}
		proposer := &coordinator.Proposer{
			Store: store, Lease: hold(ctx, store, leaser.Housekeeping, 1), Demand: shifted, Snapshot: func() *configurer.Snapshot { return snapshot(t) },
			Changing: func(namer.Endpoint) bool { return false },
		}
		go proposer.Run(ctx)
		time.Sleep(2 * time.Minute)
		for _, at := range []string{"plan/west", "plan/east"} {
			object, err := store.Get(ctx, at)
			is.NoErr(err)
			is.Equal(string(object.Value), `{"fencing":99,"roles":[]}`)
		}
	})
}

// states answers with the models that engines have.
type states map[namer.Endpoint][]namer.Model

func (s states) State(_ context.Context, to generator.Target) (generator.EngineState, error) {
	return generator.EngineState{Models: s[to.Endpoint]}, nil
}

// Guards against models that are not loaded or unloaded as configured, and against commands to engines
// of another data centre or to engines that don't say what they have.
func TestModelsFollowTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		engines states
		want    string
	}{
		{states{"w1": {"m"}, "w2": {"m", "n"}, "e1": {"n"}}, ""},
		{states{"w1": {"m"}, "w2": {"m"}}, "w2 load n"},
		{states{"w1": {"m", "old"}, "w2": {"n", "m"}}, "w1 unload old"},
		{states{"w1": {"old"}, "w2": {"n"}}, "w1 load m; w2 load m"}, // loads before it unloads
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				time.Sleep(time.Minute)
			}()
			store, asked := &imitator.Store{}, &orders{}
			reconciler := &coordinator.Reconciler{
				Lease: hold(ctx, store, leaser.ForDataCentre("west"), 1), Director: asked, Engine: c.engines,
				Snapshot: func() *configurer.Snapshot { return snapshot(t) }, DataCentre: "west",
			}
			go reconciler.Run(ctx)
			time.Sleep(coordinator.ReconcileInterval + time.Second)
			is.New(t).Equal(asked.String(), c.want)
		})
	}
}
