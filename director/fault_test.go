package director_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/director"
	"apricotspool/fetcher"
	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/namer"
)

// stored is the part of a record that tests look at.
type stored struct {
	Bound  namer.Process    `json:"bound"`
	Change *director.Change `json:"change"`
}

func (w *world) record(e namer.Endpoint) (value stored) {
	object, err := w.store.Get(context.Background(), "command/"+string(e))
	if err == nil {
		json.Unmarshal(object.Value, &value)
	}
	return value
}

// run calls body in virtual time in a world whose first process holds the lease.
func run(t *testing.T, w *world, body func(ctx context.Context, is *is.I, p *process)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		is := is.New(t)
		p := w.start(ctx, 0)
		is.True(w.holder(10*time.Second) == p)
		time.Sleep(2 * time.Second) // recovery
		for _, e := range w.engines {
			go e.work(ctx)
		}
		body(ctx, is, p)
	})
}

func (p *process) apply(changes ...director.Change) (outcomes []director.Outcome) {
	a, _ := p.authority()
	for _, r := range p.Apply(context.Background(), a, changes) {
		outcomes = append(outcomes, r.Outcome)
	}
	return outcomes
}

func role(e namer.Endpoint) director.Change {
	return director.Change{Endpoint: e, Kind: generator.CommandRole, Role: namer.RoleDecode}
}

// Guards P1, P2 and P3 when one or two faults strike the lease holder while it changes engines.
func TestFaultsInPairs(t *testing.T) {
	var kinds []string
	for _, kind := range faultKinds {
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	for _, first := range kinds {
		for _, second := range kinds {
			t.Run(first+" and "+second, func(t *testing.T) {
				w := newWorld(true, false)
				w.play(t, []fault{
					{at: 11 * time.Second, kind: first, slot: holderSlot, d: 14 * time.Second},
					{at: 17 * time.Second, kind: second, slot: holderSlot, d: 23 * time.Second},
				})
				is := is.New(t)
				is.Equal(w.found(), nil)
				is.True(len(w.engines[0].effects) > 0) // nothing was commanded
			})
		}
	}
}

// Guards against a test bed that misses a conflict: each row turns one mechanism off and must show a
// violation in a run that has none with the mechanism on. A holder pauses between check and send,
// its successor acts, the engine restarts and the first one wakes.
func TestMechanismsMatter(t *testing.T) {
	for name, row := range map[string]struct {
		fencing  bool
		off      func(w *world, p *process)
		violated string
	}{
		"all on, engine checks numbers":                  {fencing: true},
		"all on, engine ignores numbers":                 {fencing: false},
		"fencing off: every command has the same number": {true, func(_ *world, p *process) { p.renumber = 1 }, "the record names"},
		"binding off: the engine is taken for one that checks": {false, func(w *world, _ *process) {
			if len(w.processes) == 1 {
				w.trust = true
			}
		}, "after number 2"},
		"intent off: each process has records of its own": {false, func(_ *world, p *process) { p.Director.Store = &imitator.Store{} }, "after number 2"},
		"draining off: the engine's requests are not seen": {true, func(w *world, _ *process) {
			if len(w.processes) == 1 {
				w.engines[0].hidden = true
				w.engines[0].stick()
			}
		}, "cuts"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(row.fencing)
			w.prepare = func(p *process) {
				if row.off != nil {
					row.off(w, p)
				}
			}
			run(t, w, func(ctx context.Context, is *is.I, p *process) {
				next := w.start(ctx, 1)
				defer next.cancel()
				p.PauseAt("send", time.Minute)
				go p.apply(role("e0"))
				time.Sleep(20 * time.Second)
				next.apply(role("e0"))
				w.engines[0].crash()
				time.Sleep(time.Minute)
				is.Equal(strings.Contains(fmt.Sprint(w.found()), row.violated) && len(w.found()) > 0, row.violated != "")
			})
		})
	}
}

// Guards against changes whose answers are lost and that are taken as failed: with the record read
// after a lost write they end, with reading off they don't.
func TestLostAnswersAreResolvedByReading(t *testing.T) {
	for trouble, outcome := range map[imitator.Trouble]director.Outcome{imitator.LostWrite: director.Done, imitator.Deaf: director.NoAuthority} {
		run(t, newWorld(false), func(_ context.Context, is *is.I, p *process) {
			p.Trouble(trouble, 0)
			p.world.fail("lost answer")
			is.Equal(p.apply(role("e0")), []director.Outcome{outcome})
		})
	}
}

// Guards the outcomes and the state in which each change leaves the engine.
func TestOutcomes(t *testing.T) {
	load := func(e namer.Endpoint, m namer.Model) director.Change {
		return director.Change{Endpoint: e, Kind: generator.CommandLoad, Model: m}
	}
	drain := director.Change{Endpoint: "e0", Kind: generator.CommandDrain}
	for name, row := range map[string]struct {
		changes  [][]director.Change // lists that are applied one after another
		outcomes []director.Outcome  // of the last list
		draining bool
		commands int
	}{
		"role":                        {[][]director.Change{{role("e0")}}, []director.Outcome{director.Done}, false, 3},
		"role that it has":            {[][]director.Change{{role("e0")}, {role("e0")}}, []director.Outcome{director.Done}, false, 3},
		"new model needs no drain":    {[][]director.Change{{load("e0", "m")}}, []director.Outcome{director.Done}, false, 1},
		"loads over the rate":         {[][]director.Change{{load("e0", "m"), load("e1", "n")}}, []director.Outcome{director.Done, director.Deferred}, false, 1},
		"rejected load":               {[][]director.Change{{load("e0", "missing")}}, []director.Outcome{director.Undone}, false, 0},
		"drain":                       {[][]director.Change{{drain}}, []director.Outcome{director.Done}, true, 1},
		"drained before stays so":     {[][]director.Change{{drain}, {role("e0")}}, []director.Outcome{director.Done}, true, 2},
		"unknown endpoint":            {[][]director.Change{{role("e9")}}, []director.Outcome{director.UnknownEndpoint}, false, 0},
		"two changes of one endpoint": {[][]director.Change{{role("e0"), drain}}, []director.Outcome{director.Done, director.Busy}, false, 3},
		"at most one in four":         {[][]director.Change{{role("e0"), role("e1"), role("e2")}}, []director.Outcome{director.Done, director.Done, director.Deferred}, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, newWorld(make([]bool, 8)...), func(ctx context.Context, is *is.I, p *process) {
				var outcomes []director.Outcome
				for _, list := range row.changes {
					outcomes = p.apply(list...)
				}
				is.Equal(outcomes, row.outcomes)
				is.Equal(p.world.engines[0].read().Draining, row.draining)
				is.Equal(len(p.world.engines[0].effects), row.commands)
				is.Equal(p.world.found(), nil)
				is.Equal(p.Apply(ctx, leaser.EndpointAuthority{}, []director.Change{role("e0")})[0].Outcome, director.NoAuthority)
			})
		})
	}
}

// Guards against an engine that stays drained when its work doesn't end within the limit.
func TestDrainLimitUndoes(t *testing.T) {
	run(t, newWorld(true), func(_ context.Context, is *is.I, p *process) {
		p.world.engines[0].stick()
		is.Equal(p.apply(role("e0")), []director.Outcome{director.Undone})
		is.True(!p.world.engines[0].read().Draining)
	})
}

// Guards the ways in which a binding moves: by the bound process itself when it shuts down, by proof
// that it is dead and the engine has restarted, by an operator, and by nothing else.
func TestBindingMoves(t *testing.T) {
	for name, row := range map[string]struct {
		free  func(ctx context.Context, w *world, p *process)
		moves bool
	}{
		"nothing":                        {func(context.Context, *world, *process) {}, false},
		"death without proof":            {func(_ context.Context, _ *world, p *process) { p.kill() }, false},
		"proof, command may still come":  {func(ctx context.Context, w *world, p *process) { p.kill(); w.start(ctx, 0).cancel() }, false},
		"engine restart without a proof": {func(ctx context.Context, w *world, _ *process) { w.engines[0].crash() }, false},
		"proof and engine restart": {func(ctx context.Context, w *world, p *process) {
			p.kill()
			w.start(ctx, 0).cancel()
			time.Sleep(15 * time.Second) // the next holder sets the barrier
			w.engines[0].crash()
		}, true},
		"operator": {func(ctx context.Context, w *world, p *process) {
			p.kill()
			p.ReleaseBinding(context.Background(), "e0", namer.Process{})
			w.holder(time.Minute).ReleaseBinding(context.Background(), "e0", p.id)
		}, true},
		"shutdown with nothing outstanding": {func(ctx context.Context, w *world, p *process) { w.fail(""); time.Sleep(time.Second); p.cancel() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(false)
			run(t, w, func(ctx context.Context, is *is.I, p *process) {
				next := w.start(ctx, 1)
				defer next.cancel()
				w.fail("lost command")
				go p.apply(role("e0"))
				time.Sleep(time.Second)
				is.Equal(w.record("e0").Bound, p.id)
				if name != "shutdown with nothing outstanding" {
					p.Trouble(imitator.Partition, time.Second)
				}
				time.Sleep(20 * time.Second)
				w.fail("")
				row.free(ctx, w, p)
				time.Sleep(30 * time.Second)
				is.Equal(w.record("e0").Bound == next.id, row.moves)
				is.Equal(w.found(), nil)
			})
		})
	}
}

// Guards against a new lease holder that spends the loads of its predecessor again.
func TestBudgetRestartsEmpty(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := &fetcher.Budget{LoadsPerSecond: 1, DataCentres: 4, Burst: 2}
	_, ok := b.Take(now)
	is.True(!ok) // before the first lease
	b.Restart(now)
	wait, ok := b.Take(now)
	is.True(!ok)
	is.Equal(wait, 4*time.Second) // a fourth of the rate
	_, ok = b.Take(now.Add(wait))
	is.True(ok)
	_, ok = b.Take(now.Add(wait))
	is.True(!ok)
}

// Guards against a binding that moves because the engine restarted, when the restart came before the
// command was sent: the command then waits in a buffer of the new engine process.
func TestRestartBeforeLateSend(t *testing.T) {
	for name, dies := range map[string]bool{"bound process wakes": false, "bound process dies": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(false)
			run(t, w, func(ctx context.Context, is *is.I, p *process) {
				next := w.start(ctx, 1)
				defer next.cancel()
				w.fail("late command")
				p.PauseAt("send", 12*time.Second)
				go p.apply(role("e0"))
				time.Sleep(5 * time.Second)
				w.engines[0].crash()
				time.Sleep(7*time.Second + time.Millisecond)
				if dies {
					p.kill()
					w.start(ctx, 0)
				}
				w.fail("")
				time.Sleep(time.Minute)
				is.Equal(w.found(), nil)
			})
		})
	}
}

// Guards against a former holder that wakes and clears the mark of its successor's change, which lets
// new work reach an engine that is about to change, or keeps the change from ending.
func TestFormerHolderKeepsMark(t *testing.T) {
	w := newWorld(true)
	run(t, w, func(ctx context.Context, is *is.I, p *process) {
		next := w.start(ctx, 1)
		defer next.cancel()
		w.engines[0].stick()
		go p.apply(role("e0"))
		time.Sleep(time.Second)
		p.Pause(20 * time.Second)
		time.Sleep(22 * time.Second)
		_, holds := next.authority()
		marked, _ := w.marked("e0")
		is.True(holds && w.record("e0").Change != nil) // the successor goes on
		is.True(marked)
	})
}

// Guards against a director that fits only the fake of this package: an idle shared fake engine
// changes its role by the same three commands.
func TestSharedFakeEngine(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		w := newWorld(fencing)
		shared := &imitator.Engine{ChecksFencing: fencing, RoleChange: 4 * time.Second}
		w.prepare = func(p *process) { p.Director.Engine = shared }
		run(t, w, func(ctx context.Context, is *is.I, p *process) {
			is.Equal(p.apply(role("e0")), []director.Outcome{director.Done})
			state, err := shared.State(ctx, generator.Target{})
			is.NoErr(err)
			is.Equal(state.Role, namer.RoleDecode)
			is.True(!state.Draining)
			var kinds []generator.CommandKind
			for _, c := range shared.Commands() {
				kinds = append(kinds, c.Kind)
			}
			is.Equal(kinds, []generator.CommandKind{generator.CommandDrain, generator.CommandRole, generator.CommandResume})
		})
	}
}
