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

// storedRecord is the part of a stored record that tests check.
type storedRecord struct {
	Bound  namer.Process    `json:"bound"`
	Change *director.Change `json:"change"`
}

func (w *cluster) record(e namer.Endpoint) (value storedRecord) {
	object, err := w.store.Get(context.Background(), "command/"+string(e))
	if err == nil {
		json.Unmarshal(object.Value, &value)
	}
	return value
}

// runWithHolder calls body in virtual time in a cluster whose first process holds the lease and has
// recovered the records.
func runWithHolder(t *testing.T, w *cluster, body func(ctx context.Context, is *is.I, p *process)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		is := is.New(t)
		p := w.start(ctx, 0)
		is.True(w.awaitHolder(10*time.Second) == p)
		time.Sleep(2 * time.Second) // until the records are recovered
		for _, e := range w.engines {
			go e.offerRequests(ctx)
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

func decodeRoleChange(e namer.Endpoint) director.Change {
	return director.Change{Endpoint: e, Kind: generator.CommandRole, Role: namer.RoleDecode}
}

// Checks the invariants of engine.receive when one or two faults hit the lease holder while it
// changes engines.
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
				w := newCluster(true, false)
				w.runSchedule(t, []fault{
					{at: 11 * time.Second, kind: first, slot: holderSlot, duration: 14 * time.Second},
					{at: 17 * time.Second, kind: second, slot: holderSlot, duration: 23 * time.Second},
				})
				is := is.New(t)
				is.Equal(w.foundViolations(), nil)
				is.True(len(w.engines[0].effects) > 0) // no command took effect
			})
		}
	}
}

// Guards against a test bed that overlooks conflicts: each row disables one safeguard and must yield a
// violation in a run that has none with the safeguard on. A holder pauses between the check of its
// authority and the send, its successor changes the engine, the engine restarts and the first holder
// resumes.
func TestDisabledSafeguardCausesViolation(t *testing.T) {
	for name, row := range map[string]struct {
		fencing   bool
		disable   func(w *cluster, p *process)
		violation string
	}{
		"all on, engine checks numbers":                  {fencing: true},
		"all on, engine ignores numbers":                 {fencing: false},
		"fencing off: every command has the same number": {true, func(_ *cluster, p *process) { p.overrideFencing = 1 }, "the record names"},
		"binding off: the engine is taken for one that checks": {false, func(w *cluster, _ *process) {
			if len(w.processes) == 1 {
				w.assumeFencing = true
			}
		}, "after number 2"},
		"intent off: each process has records of its own": {false, func(_ *cluster, p *process) { p.Director.Store = &imitator.Store{} }, "after number 2"},
		"draining off: the engine's requests are not seen": {true, func(w *cluster, _ *process) {
			if len(w.processes) == 1 {
				w.engines[0].hideRunning = true
				w.engines[0].addEndlessRequest()
			}
		}, "cuts"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(row.fencing)
			w.beforeStart = func(p *process) {
				if row.disable != nil {
					row.disable(w, p)
				}
			}
			runWithHolder(t, w, func(ctx context.Context, is *is.I, p *process) {
				next := w.start(ctx, 1)
				defer next.cancel()
				p.PauseAt("send", time.Minute)
				go p.apply(decodeRoleChange("e0"))
				time.Sleep(20 * time.Second)
				next.apply(decodeRoleChange("e0"))
				// Until the command is confirmed: otherwise the successor sends it again after the crash, and the
				// engine skips the late copy of the first process as a duplicate.
				time.Sleep(10 * time.Second)
				w.engines[0].crash()
				time.Sleep(time.Minute)
				is.Equal(strings.Contains(fmt.Sprint(w.foundViolations()), row.violation) && len(w.foundViolations()) > 0, row.violation != "")
			})
		})
	}
}

// Guards against changes that count as failed because the responses to their writes were lost. They end
// when the record can be read back after a lost write, and don't when no store call gets a response.
func TestLostAnswersAreResolvedByReading(t *testing.T) {
	for mode, outcome := range map[imitator.FailureMode]director.Outcome{imitator.WriteResponseLost: director.Done, imitator.ResponsesLost: director.NoAuthority} {
		runWithHolder(t, newCluster(false), func(_ context.Context, is *is.I, p *process) {
			p.SetFailureMode(mode, 0)
			p.cluster.setNetworkFault("lost answer")
			is.Equal(p.apply(decodeRoleChange("e0")), []director.Outcome{outcome})
		})
	}
}

// Checks the outcome of each kind of change and the state in which it leaves the engine.
func TestOutcomes(t *testing.T) {
	load := func(e namer.Endpoint, m namer.Model) director.Change {
		return director.Change{Endpoint: e, Kind: generator.CommandLoad, Model: m}
	}
	drain := director.Change{Endpoint: "e0", Kind: generator.CommandDrain}
	for name, row := range map[string]struct {
		changes  [][]director.Change // applied one list after another
		outcomes []director.Outcome  // of the last list
		draining bool
		commands int
	}{
		"role":                        {[][]director.Change{{decodeRoleChange("e0")}}, []director.Outcome{director.Done}, false, 3},
		"role that it has":            {[][]director.Change{{decodeRoleChange("e0")}, {decodeRoleChange("e0")}}, []director.Outcome{director.Done}, false, 3},
		"new model needs no drain":    {[][]director.Change{{load("e0", "m")}}, []director.Outcome{director.Done}, false, 1},
		"loads over the rate":         {[][]director.Change{{load("e0", "m"), load("e1", "n")}}, []director.Outcome{director.Done, director.Deferred}, false, 1},
		"rejected load":               {[][]director.Change{{load("e0", "missing")}}, []director.Outcome{director.Undone}, false, 0},
		"drain":                       {[][]director.Change{{drain}}, []director.Outcome{director.Done}, true, 1},
		"drained before stays so":     {[][]director.Change{{drain}, {decodeRoleChange("e0")}}, []director.Outcome{director.Done}, true, 2},
		"unknown endpoint":            {[][]director.Change{{decodeRoleChange("e9")}}, []director.Outcome{director.UnknownEndpoint}, false, 0},
		"two changes of one endpoint": {[][]director.Change{{decodeRoleChange("e0"), drain}}, []director.Outcome{director.Done, director.Busy}, false, 3},
		"at most one in four":         {[][]director.Change{{decodeRoleChange("e0"), decodeRoleChange("e1"), decodeRoleChange("e2")}}, []director.Outcome{director.Done, director.Done, director.Deferred}, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			runWithHolder(t, newCluster(make([]bool, 8)...), func(ctx context.Context, is *is.I, p *process) {
				var outcomes []director.Outcome
				for _, list := range row.changes {
					outcomes = p.apply(list...)
				}
				is.Equal(outcomes, row.outcomes)
				is.Equal(p.cluster.engines[0].snapshot().Draining, row.draining)
				is.Equal(len(p.cluster.engines[0].effects), row.commands)
				is.Equal(p.cluster.foundViolations(), nil)
				is.Equal(p.Apply(ctx, leaser.EndpointAuthority{}, []director.Change{decodeRoleChange("e0")})[0].Outcome, director.NoAuthority)
			})
		})
	}
}

// Guards against an engine that stays drained when its requests don't end within the drain limit.
func TestDrainTimeoutUndoesChange(t *testing.T) {
	runWithHolder(t, newCluster(true), func(_ context.Context, is *is.I, p *process) {
		p.cluster.engines[0].addEndlessRequest()
		is.Equal(p.apply(decodeRoleChange("e0")), []director.Outcome{director.Undone})
		is.True(!p.cluster.engines[0].snapshot().Draining)
	})
}

// Checks that a binding moves to another process only if the bound process releases it at shutdown,
// if the bound process is proven dead and the engine has restarted, or if an operator releases it.
func TestBindingRelease(t *testing.T) {
	for name, row := range map[string]struct {
		release func(ctx context.Context, w *cluster, p *process)
		moves   bool
	}{
		"nothing":                        {func(context.Context, *cluster, *process) {}, false},
		"death without proof":            {func(_ context.Context, _ *cluster, p *process) { p.kill() }, false},
		"proof, command may still come":  {func(ctx context.Context, w *cluster, p *process) { p.kill(); w.start(ctx, 0).cancel() }, false},
		"engine restart without a proof": {func(ctx context.Context, w *cluster, _ *process) { w.engines[0].crash() }, false},
		"proof and engine restart": {func(ctx context.Context, w *cluster, p *process) {
			p.kill()
			w.start(ctx, 0).cancel()
			time.Sleep(15 * time.Second) // the next holder sets the barrier
			w.engines[0].crash()
		}, true},
		"operator": {func(ctx context.Context, w *cluster, p *process) {
			p.kill()
			p.ReleaseBinding(context.Background(), "e0", namer.Process{})
			w.awaitHolder(time.Minute).ReleaseBinding(context.Background(), "e0", p.id)
		}, true},
		"shutdown with nothing outstanding": {func(ctx context.Context, w *cluster, p *process) {
			w.setNetworkFault("")
			time.Sleep(time.Second)
			p.cancel()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(false)
			runWithHolder(t, w, func(ctx context.Context, is *is.I, p *process) {
				next := w.start(ctx, 1)
				defer next.cancel()
				w.setNetworkFault("lost command")
				go p.apply(decodeRoleChange("e0"))
				time.Sleep(time.Second)
				is.Equal(w.record("e0").Bound, p.id)
				if name != "shutdown with nothing outstanding" {
					p.SetFailureMode(imitator.Partition, time.Second)
				}
				time.Sleep(20 * time.Second)
				w.setNetworkFault("")
				row.release(ctx, w, p)
				time.Sleep(30 * time.Second)
				is.Equal(w.record("e0").Bound == next.id, row.moves)
				is.Equal(w.foundViolations(), nil)
			})
		})
	}
}

// Guards against a new lease holder that spends the load budget of its predecessor a second time.
func TestResetBudgetIsEmpty(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	b := &fetcher.Budget{LoadsPerSecond: 1, DataCentres: 4, Burst: 2}
	_, ok := b.Take(now)
	is.True(!ok) // before the first Reset
	b.Reset(now)
	wait, ok := b.Take(now)
	is.True(!ok)
	is.Equal(wait, 4*time.Second) // a quarter of the rate: one of four data centres
	_, ok = b.Take(now.Add(wait))
	is.True(ok)
	_, ok = b.Take(now.Add(wait))
	is.True(!ok)
}

// Guards against a binding that moves because of an engine restart that came before the command was
// sent: the command may then be buffered for the new engine process.
func TestRestartBeforeLateSend(t *testing.T) {
	for name, dies := range map[string]bool{"bound process wakes": false, "bound process dies": true} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(false)
			runWithHolder(t, w, func(ctx context.Context, is *is.I, p *process) {
				next := w.start(ctx, 1)
				defer next.cancel()
				w.setNetworkFault("late command")
				p.PauseAt("send", 12*time.Second)
				go p.apply(decodeRoleChange("e0"))
				time.Sleep(5 * time.Second)
				w.engines[0].crash()
				time.Sleep(7*time.Second + time.Millisecond)
				if dies {
					p.kill()
					w.start(ctx, 0)
				}
				w.setNetworkFault("")
				time.Sleep(time.Minute)
				is.Equal(w.foundViolations(), nil)
			})
		})
	}
}

// Guards against a former holder that resumes after a pause and clears the changing notice of its
// successor. New requests would then reach an engine that is about to change or keep it from draining.
func TestFormerHolderDoesNotClearNotice(t *testing.T) {
	w := newCluster(true)
	runWithHolder(t, w, func(ctx context.Context, is *is.I, p *process) {
		next := w.start(ctx, 1)
		defer next.cancel()
		w.engines[0].addEndlessRequest()
		go p.apply(decodeRoleChange("e0"))
		time.Sleep(time.Second)
		p.Pause(20 * time.Second)
		time.Sleep(22 * time.Second)
		_, holds := next.authority()
		changing, _ := w.noticeState("e0")
		is.True(holds && w.record("e0").Change != nil) // the successor continues the change
		is.True(changing)
	})
}

// Guards against a director that works only with the fake engine of this package: the idle engine of
// package imitator changes its role with the same three commands.
func TestSharedFakeEngine(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		w := newCluster(fencing)
		shared := &imitator.Engine{ChecksFencing: fencing, RoleChange: 4 * time.Second}
		w.beforeStart = func(p *process) { p.Director.Engine = shared }
		runWithHolder(t, w, func(ctx context.Context, is *is.I, p *process) {
			is.Equal(p.apply(decodeRoleChange("e0")), []director.Outcome{director.Done})
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
