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
	limit     = flag.Duration("limit", 0, "time after which no new schedule starts; 0 means no limit")
)

// fault is one entry of a schedule.
type fault struct {
	at       time.Duration
	kind     string
	slot     int
	duration time.Duration
}

var faultKinds = []string{
	"kill", "kill for good", "pause", "pause before send", "pause in write", "pause after write", "shutdown", "engine crash",
	"lost command", "lost answer", "late command",
	"outage", "partition", "slow", "lost", "late", "deaf",
}

// holderSlot selects the process that holds the lease when the fault starts.
const holderSlot = 100

const (
	faultWindow = 70 * time.Second // faults start within this time of the start
	settleTime  = 4 * time.Minute  // time within which every change that can end after the faults has ended
)

func drawFault(t *rapid.T) fault {
	return fault{
		at:       time.Duration(rapid.IntRange(0, int(faultWindow/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
		kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		slot:     rapid.IntRange(0, 3).Draw(t, "slot"),
		duration: time.Duration(rapid.IntRange(100, 25_000).Draw(t, "length")) * time.Millisecond,
	}
}

var requestedChanges = []director.Change{
	{Kind: generator.CommandRole, Role: namer.RolePrefill},
	{Kind: generator.CommandLoad, Model: "m", Version: "1"},
	{Kind: generator.CommandRole, Role: namer.RoleDecode},
	{Kind: generator.CommandLoad, Model: "missing", Version: "1"},
	{Kind: generator.CommandDrain},
	{Kind: generator.CommandResume},
	{Kind: generator.CommandUnload, Model: "m"},
}

// requestChanges applies one change after another at the current process of the slot.
func (w *cluster) requestChanges(ctx context.Context, slots []*process, slot int) {
	for i := slot; ctx.Err() == nil; i++ {
		w.mu.Lock()
		p := slots[slot]
		w.mu.Unlock()
		if a, ok := p.authority(); ok {
			change := requestedChanges[i%len(requestedChanges)]
			change.Endpoint = w.engines[i%len(w.engines)].name
			p.Apply(ctx, a, []director.Change{change})
		}
		time.Sleep(1300 * time.Millisecond)
	}
}

// injectFault injects one fault at its time.
func (w *cluster) injectFault(ctx context.Context, slots []*process, f fault) {
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
		time.Sleep(f.duration)
		restarted := w.start(ctx, slot)
		w.mu.Lock()
		slots[slot] = restarted
		w.mu.Unlock()
	}
	switch f.kind {
	case "kill":
		p.kill()
		restart()
	case "kill for good":
		if slot > 0 || f.slot == holderSlot { // keep the process of slot 0, so that some process remains
			p.kill()
		}
	case "shutdown":
		p.cancel()
		<-p.Director.Done()
		<-p.leaser.Done()
		restart()
	case "pause":
		p.Pause(f.duration)
	case "pause before send":
		p.PauseAt("send", f.duration)
	case "pause in write":
		p.PauseAt("put", f.duration)
	case "pause after write":
		p.PauseAt("put-answer", f.duration)
	case "engine crash":
		w.engines[f.slot%len(w.engines)].crash()
	case "lost command", "lost answer", "late command":
		w.setNetworkFault(f.kind)
		time.Sleep(f.duration)
		w.setNetworkFault("")
	default:
		p.SetFailureMode(imitator.FailureMode(f.kind), 3*time.Second)
		time.Sleep(f.duration)
		p.SetFailureMode(imitator.Healthy, 0)
	}
}

// runSchedule runs one schedule in virtual time.
func (w *cluster) runSchedule(t *testing.T, faults []fault) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // let goroutines end: virtual time stops once this one has returned
		}()
		requestCtx, stop := context.WithTimeout(ctx, faultWindow+30*time.Second)
		defer stop()
		slots := make([]*process, 3)
		for slot := range slots {
			slots[slot] = w.start(ctx, slot)
		}
		for slot := range slots {
			go w.requestChanges(requestCtx, slots, slot)
		}
		for _, e := range w.engines {
			go e.offerRequests(ctx)
		}
		for _, f := range faults {
			go w.injectFault(ctx, slots, f)
		}
		for range int(settleTime / time.Second) {
			time.Sleep(time.Second)
			w.checkHolders()
		}
		w.checkSettled()
	})
}

// checkHolders checks that at most one process has authority.
func (w *cluster) checkHolders() {
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

// checkSettled checks that no change is still open long after the last fault, unless its endpoint is
// bound to a process that can't be proven dead.
func (w *cluster) checkSettled() {
	for _, e := range w.engines {
		open := w.record(e.name)
		held := !e.fencing && !open.Bound.IsZero()
		w.check(open.Change == nil || held, "%s: change %+v never ends", e.name, open.Change)
	}
}

// Checks the invariants of engine.receive, checkHolders and checkSettled under random faults of
// processes, store, network and engines.
//
//	go test ./director -run TestSchedules -schedules 10000 -seed 1 -limit 10m -v
func TestSchedules(t *testing.T) {
	flag.Set("rapid.checks", strconv.Itoa(*schedules))
	flag.Set("rapid.seed", strconv.FormatUint(*seed, 10))
	flag.Set("rapid.nofailfile", "true")
	start, ran, checks, effects, injected := time.Now(), 0, 0, 0, map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 1, 10).Draw(rt, "faults")
		if *limit > 0 && time.Since(start) > *limit {
			return
		}
		w := newCluster(true, false, true, false)
		w.runSchedule(t, faults)
		ran++
		checks += w.checks
		for _, f := range faults {
			injected[f.kind]++
		}
		for _, e := range w.engines {
			effects += len(e.effects)
		}
		if found := w.foundViolations(); len(found) > 0 {
			rt.Fatalf("violations:\n%s", strings.Join(found, "\n"))
		}
	})
	var kinds []string
	for _, kind := range slices.Sorted(maps.Keys(injected)) {
		kinds = append(kinds, fmt.Sprintf("%s=%d", kind, injected[kind]))
	}
	t.Logf("schedules=%d seed=%d invariants-checked=%d commands=%d faults: %s", ran, *seed, checks, effects, strings.Join(kinds, ", "))
}
