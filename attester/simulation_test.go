package attester_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
)

var (
	schedules     = flag.Uint64("schedules", 30, "schedules of TestConclusionsHoldInAllSchedules")
	firstSchedule = flag.Uint64("first-schedule", 1, "seed of the first schedule")
	traced        = flag.Bool("traced", false, "print what happens in the schedules")
	// The delays of the product's own retries are random, so that a schedule has several courses. The mechanisms that few
	// schedules need are left to a run by hand.
	searched = flag.Uint64("searched", 300, "schedules in which TestEachMechanismIsNeeded looks for a broken rule")
	rare     = flag.Bool("rare", false, "TestEachMechanismIsNeeded includes the mechanisms that few schedules need")
)

// play runs a schedule and returns the rules that it broke.
func play(t *testing.T, seed uint64, without mechanism) (broken []string) {
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed, without)
			w.run()
			broken = w.broken
		})
	})
	return broken
}

// Guards against rules that a daemon breaks because it takes what it reads for whole too early: requests to servers that have
// left, streams of two software versions, withdrawn keys, two reports of a window; and against a daemon that concludes nothing
// any more, so that it refuses requests.
func TestConclusionsHoldInAllSchedules(t *testing.T) {
	t.Parallel()
	failed := 0
	for seed := *firstSchedule; seed < *firstSchedule+*schedules; seed++ {
		if broken := play(t, seed, ""); len(broken) > 0 {
			failed++
			t.Errorf("schedule %d breaks %d rules:\n%s", seed, len(broken), strings.Join(broken[:min(5, len(broken))], "\n"))
		}
	}
	t.Logf("%d of %d schedules break a rule", failed, *schedules)
}

// Guards against schedules that wouldn't find a mechanism that is gone: without it, one of them breaks its rule.
func TestEachMechanismIsNeeded(t *testing.T) {
	rules := map[mechanism]string{withoutConfigWait: "CONFIG", withoutUsageEra: "ONE", withoutProcessEnds: "ORDER", withoutDepartures: "DRAIN"}
	if *rare {
		rules[withoutSettling], rules[withoutGaps] = "ORDER", "ORDER"
	}
	for without, rule := range rules {
		t.Run(string(without), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSchedule; seed < *firstSchedule+*searched; seed++ {
				for _, broken := range play(t, seed, without) {
					if strings.Contains(broken, rule) {
						t.Logf("schedule %d: %s", seed, broken)
						return
					}
				}
			}
			t.Error("no schedule notices that it is gone")
		})
	}
}
