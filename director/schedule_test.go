package director_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"apricotspool/director"
	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/namer"
)

var (
	schedules = flag.Int("schedules", 30, "number of random schedules")
	seed      = flag.Uint64("seed", 1, "seed of the random schedules")
	limit     = flag.Duration("limit", 0, "time after which no new schedule starts; 0 means none")
)

// fault is one entry of a schedule.
type fault struct {
	at   time.Duration
	kind string
	slot int
	d    time.Duration
}

var faultKinds = []string{
	"kill", "kill for good", "pause", "pause before send", "pause in write", "pause after write", "shutdown", "engine crash",
	"lost command", "lost answer", "late command",
	"outage", "partition", "slow", "lost", "late", "deaf",
}

// holderSlot selects whichever process holds the lease when the fault begins.
const holderSlot = 100

const (
	troubled = 70 * time.Second // faults start within this time
	settled  = 4 * time.Minute  // by then a healed data centre has ended every change that it can
)

func drawFault(t *rapid.T) fault {
	return fault{
		at:   time.Duration(rapid.IntRange(0, int(troubled/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
		kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		slot: rapid.IntRange(0, 3).Draw(t, "slot"),
		d:    time.Duration(rapid.IntRange(100, 25_000).Draw(t, "length")) * time.Millisecond,
	}
}

var wanted = []director.Change{
	{Kind: generator.CommandRole, Role: namer.RolePrefill},
	{Kind: generator.CommandLoad, Model: "m", Version: "1"},
	{Kind: generator.CommandRole, Role: namer.RoleDecode},
	{Kind: generator.CommandLoad, Model: "missing", Version: "1"},
	{Kind: generator.CommandDrain},
	{Kind: generator.CommandResume},
	{Kind: generator.CommandUnload, Model: "m"},
}

// drive wants one change after another from whichever process of the slot runs.
func (w *world) drive(ctx context.Context, slots []*process, slot int) {
	for i := slot; ctx.Err() == nil; i++ {
		w.mu.Lock()
		p := slots[slot]
		w.mu.Unlock()
		if a, ok := p.authority(); ok {
			change := wanted[i%len(wanted)]
			change.Endpoint = w.engines[i%len(w.engines)].name
			p.Apply(ctx, a, []director.Change{change})
		}
		time.Sleep(1300 * time.Millisecond)
	}
}

// strike carries out one fault.
func (w *world) strike(ctx context.Context, slots []*process, f fault) {
	time.Sleep(f.at)
	slot := f.slot % len(slots)
	w.mu.Lock()
	for i, p := range slots {
		if _, ok := p.authority(); ok && f.slot == holderSlot {
			slot = i
		}
	}
	p := slots[slot]
	w.mu.Unlock()
	restart := func() {
		time.Sleep(f.d)
		fresh := w.start(ctx, slot)
		w.mu.Lock()
		slots[slot] = fresh
		w.mu.Unlock()
	}
	switch f.kind {
	case "kill":
		p.kill()
		restart()
	case "kill for good":
		if slot > 0 || f.slot == holderSlot { // one process always comes back
			p.kill()
		}
	case "shutdown":
		p.cancel()
		<-p.Director.Done()
		<-p.leaser.Done()
		restart()
	case "pause":
		p.Pause(f.d)
	case "pause before send":
		p.PauseAt("send", f.d)
	case "pause in write":
		p.PauseAt("put", f.d)
	case "pause after write":
		p.PauseAt("put-answer", f.d)
	case "engine crash":
		w.engines[f.slot%len(w.engines)].crash()
	case "lost command", "lost answer", "late command":
		w.fail(f.kind)
		time.Sleep(f.d)
		w.fail("")
	default:
		p.Trouble(imitator.Trouble(f.kind), 3*time.Second)
		time.Sleep(f.d)
		p.Trouble(imitator.Healthy, 0)
	}
}

// play runs one schedule in virtual time.
func (w *world) play(t *testing.T, faults []fault) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // time stands still once this goroutine has returned
		}()
		driving, stop := context.WithTimeout(ctx, troubled+30*time.Second)
		defer stop()
		slots := make([]*process, 3)
		for slot := range slots {
			slots[slot] = w.start(ctx, slot)
		}
		for slot := range slots {
			go w.drive(driving, slots, slot)
		}
		for _, e := range w.engines {
			go e.work(ctx)
		}
		for _, f := range faults {
			go w.strike(ctx, slots, f)
		}
		for range int(settled / time.Second) {
			time.Sleep(time.Second)
			w.checkHolders()
		}
		w.checkSettled()
	})
}

func (w *world) checkHolders() {
	var holders []string
	w.mu.Lock()
	processes := slices.Clone(w.processes)
	w.mu.Unlock()
	for _, p := range processes {
		if _, ok := p.authority(); ok && !p.Killed() {
			holders = append(holders, p.id.String())
		}
	}
	w.check(len(holders) <= 1, "several processes have authority: %v", holders)
}

// checkSettled looks for changes that no process ends although all faults are over.
func (w *world) checkSettled() {
	for _, e := range w.engines {
		open := w.record(e.name)
		held := !e.fencing && !open.Bound.IsZero()
		w.check(open.Change == nil || held, "%s: change %+v never ends", e.name, open.Change)
	}
}

// Guards P1, P2 and P3 under random faults of processes, store, network and engines.
//
//	go test ./director -run TestSchedules -schedules 10000 -seed 1 -limit 10m -v
func TestSchedules(t *testing.T) {
	flag.Set("rapid.checks", strconv.Itoa(*schedules))
	flag.Set("rapid.seed", strconv.FormatUint(*seed, 10))
	flag.Set("rapid.nofailfile", "true")
	began, ran, checks, effects, struck := time.Now(), 0, 0, 0, map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 10).Draw(rt, "faults")
		if *limit > 0 && time.Since(began) > *limit {
			return
		}
		w := newWorld(true, false, true, false)
		w.play(t, faults)
		ran++
		checks += w.checks
		for _, f := range faults {
			struck[f.kind]++
		}
		for _, e := range w.engines {
			effects += len(e.effects)
		}
		if found := w.found(); len(found) > 0 {
			rt.Fatalf("violations:\n%s", strings.Join(found, "\n"))
		}
	})
	var kinds []string
	for _, kind := range slices.Sorted(maps.Keys(struck)) {
		kinds = append(kinds, fmt.Sprintf("%s=%d", kind, struck[kind]))
	}
	t.Logf("schedules=%d seed=%d invariants-checked=%d commands=%d faults: %s", ran, *seed, checks, effects, strings.Join(kinds, ", "))
}
