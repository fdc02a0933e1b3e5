package claimer_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/classifier"
	"apricotspool/imitator"
)

var (
	schedules = flag.Int("schedules", 100, "number of random schedules")
	seed      = flag.Uint64("seed", 1, "seed of the random schedules")
	limit     = flag.Duration("limit", 0, "time after which no new schedule starts; 0 means none")
)

type fault struct {
	at       time.Duration
	kind     string
	slot     int
	duration time.Duration
}

// attempt is one request of a caller. The caller of a key retries it at other hosts.
type attempt struct {
	at   time.Duration
	slot int
	key  int
	// other reports that the request differs from the usual one of its key.
	other bool
}

var faultKinds = []string{
	"kill", "pause", "pause before send", "pause in write", "pause after write", "pause after answer", "shutdown",
	"refused", "lost answer", "slow service", "outage", "partition", "slow", "lost", "late", "deaf",
}

const slots = 3

func milliseconds(t *rapid.T, label string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, label)) * time.Millisecond
}

func drawFault(t *rapid.T) fault {
	return fault{
		at: milliseconds(t, "at", 0, 30_000), kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		slot: rapid.IntRange(0, slots-1).Draw(t, "slot"), duration: milliseconds(t, "length", 10, 15_000),
	}
}

func drawAttempt(t *rapid.T) attempt {
	return attempt{
		at: milliseconds(t, "at", 0, 40_000), slot: rapid.IntRange(0, slots-1).Draw(t, "slot"),
		key: rapid.IntRange(0, 3).Draw(t, "key"), other: rapid.IntRange(0, 9).Draw(t, "other") == 0,
	}
}

func (w *cluster) injectFault(ctx context.Context, f fault) {
	time.Sleep(f.at)
	d := w.daemonAt(f.slot)
	switch f.kind {
	case "kill":
		d.node.Kill()
		d.cancel()
		time.Sleep(f.duration)
		w.start(ctx, f.slot)
	case "shutdown":
		d.cancel()
		<-d.Done()
		w.start(ctx, f.slot)
	case "pause":
		d.node.Pause(f.duration)
	case "pause before send":
		d.node.PauseAt("send", f.duration)
	case "pause in write":
		d.node.PauseAt("put", f.duration)
	case "pause after write":
		d.node.PauseAt("put-answer", f.duration)
	case "pause after answer":
		d.node.PauseAt("answer", f.duration)
	case "refused", "lost answer", "slow service":
		w.setServiceFault(f.kind)
		time.Sleep(f.duration)
		w.setServiceFault("")
	default:
		d.node.SetFailureMode(imitator.FailureMode(f.kind), 2500*time.Millisecond)
		time.Sleep(f.duration)
		d.node.SetFailureMode(imitator.Healthy, 0)
	}
}

func (w *cluster) runAttempt(ctx context.Context, n int, a attempt) {
	time.Sleep(a.at)
	request := "order"
	if a.other {
		request = "other order"
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	w.daemonAt(a.slot).serve(ctx, strconv.Itoa(a.key), fmt.Sprintf("attempt %d of key %d", n, a.key), request)
}

// runSchedule runs attempts and faults in virtual time, then retries every call at each host and checks
// that no call was executed twice.
func (w *cluster) runSchedule(t *testing.T, faults []fault, attempts []attempt) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute)
		}()
		for slot := range slots {
			w.start(ctx, slot)
		}
		var group sync.WaitGroup
		for _, f := range faults {
			group.Go(func() { w.injectFault(ctx, f) })
		}
		for n, a := range attempts {
			group.Go(func() { w.runAttempt(ctx, n, a) })
		}
		group.Wait()
		for slot := range slots {
			w.daemonAt(slot).node.PauseAt("no point", 0) // cancels pauses that were not reached
		}
		time.Sleep(2 * time.Minute) // late writes take effect and uncertain claims are removed
		for key := range 4 {
			for slot := range slots {
				n := 1000 + slot
				result := w.daemonAt(slot).serve(ctx, strconv.Itoa(key), fmt.Sprintf("attempt %d of key %d", n, key), "order")
				w.check(result.Outcome != classifier.StoreUnavailable, "key %d is refused after all faults have ended", key)
			}
		}
		w.mu.Lock()
		executions := maps.Clone(w.executions)
		w.mu.Unlock()
		for key, n := range executions {
			w.check(n <= 1, "key %s was executed %d times", key, n)
		}
	})
}

// Guards against second executions, and against outcomes that deny an execution or return another
// response, under random faults of daemons, store and service.
//
//	go test ./claimer -run TestSchedules -schedules 10000 -seed 1 -limit 10m -v
func TestSchedules(t *testing.T) {
	flag.Set("rapid.checks", strconv.Itoa(*schedules))
	flag.Set("rapid.seed", strconv.FormatUint(*seed, 10))
	flag.Set("rapid.nofailfile", "true")
	start, ran, checks, injected, outcomes := time.Now(), 0, 0, map[string]int{}, map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 0, 8).Draw(rt, "faults")
		attempts := rapid.SliceOfN(rapid.Custom(drawAttempt), 4, 24).Draw(rt, "attempts")
		if *limit > 0 && time.Since(start) > *limit {
			return
		}
		w := newCluster()
		w.runSchedule(t, faults, attempts)
		ran++
		checks += w.checks
		for _, f := range faults {
			injected[f.kind]++
		}
		for outcome, n := range w.outcomes {
			outcomes[string(outcome)] += n
		}
		if violations := w.foundViolations(); len(violations) > 0 {
			rt.Fatalf("violations:\n%s", strings.Join(violations, "\n"))
		}
	})
	t.Logf("schedules=%d seed=%d invariants-checked=%d outcomes: %s; faults: %s", ran, *seed, checks, formatCounts(outcomes), formatCounts(injected))
}

func formatCounts(counts map[string]int) string {
	var text []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		text = append(text, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(text, ", ")
}

// Guards against second executions and wrong outcomes when one or two faults occur at the daemon that
// has claimed a call, while the caller retries it at every host, once with another request.
func TestFaultsInPairs(t *testing.T) {
	attempts := []attempt{{at: 3 * time.Second}}
	for i := range 12 {
		attempts = append(attempts, attempt{at: 3*time.Second + time.Duration(i)*1700*time.Millisecond, slot: i % slots, other: i == 5})
	}
	for _, first := range faultKinds {
		for _, second := range faultKinds {
			t.Run(first+" and "+second, func(t *testing.T) {
				w := newCluster()
				w.runSchedule(t, []fault{{2900 * time.Millisecond, first, 0, 5 * time.Second}, {3100 * time.Millisecond, second, 0, 12 * time.Second}}, attempts)
				is.New(t).Equal(w.foundViolations(), nil)
			})
		}
	}
}
