package experimenter_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/experimenter"
)

func contender(t *testing.T, name string) experimenter.Contender {
	t.Helper()
	for _, c := range experimenter.Contenders() {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("policy %q does not exist", name)
	return experimenter.Contender{}
}

// Guards against figures that differ from run to run and against requests that get lost.
func TestRunIsRepeatableAndCountsEveryRequest(t *testing.T) {
	is := is.New(t)
	schedule := experimenter.Steady(experimenter.Siamrak(), 0.5, 0.5, time.Minute, seed)
	for _, c := range experimenter.Contenders() {
		var tables [2]bytes.Buffer
		for n := range tables {
			result := experimenter.Run(schedule, c)
			is.NoErr(experimenter.Table(&tables[n], []*experimenter.Result{result}))
			arrived, served := 0, 0
			for _, rank := range result.Ranks {
				arrived += rank.Arrived
				served += rank.Outcomes[classifier.Served]
			}
			is.Equal(arrived, len(schedule.Arrivals))
			is.Equal(served, arrived) // nothing fails in this schedule
		}
		is.Equal(tables[0].String(), tables[1].String())
	}
}

// Target T1 on a steady mix: 95 in 100 urgent requests are in time.
func TestUrgentIsInTimeOnASteadyMix(t *testing.T) {
	is := is.New(t)
	schedule := experimenter.Steady(experimenter.Siamrak(), 0.55, 0.5, 3*time.Minute, seed)
	is.True(experimenter.Run(schedule, contender(t, "core")).InTime(experimenter.RankUrgent) >= 0.95)
	// The schedule is hard enough to tell policies apart.
	is.True(experimenter.Run(schedule, contender(t, "round-robin")).InTime(experimenter.RankUrgent) < 0.95)
}

// Target T1 in a tenfold flood of free work: 95 in 100 urgent requests are in time, and at most one
// percentage point fewer than without the flood.
func TestUrgentIsInTimeInAFloodOfFreeWork(t *testing.T) {
	is := is.New(t)
	core := contender(t, "core")
	length := 6 * time.Minute
	quiet := experimenter.Run(experimenter.Usual(experimenter.Siamrak(), length, seed), core)
	flooded := experimenter.Run(experimenter.FreeFlood(experimenter.Siamrak(), length, seed), core)
	is.True(flooded.InTime(experimenter.RankUrgent) >= 0.95)
	is.True(flooded.InTime(experimenter.RankUrgent) >= quiet.InTime(experimenter.RankUrgent)-0.01)
	is.True(experimenter.Run(experimenter.FreeFlood(experimenter.Siamrak(), length, seed), contender(t, "least-outstanding")).InTime(experimenter.RankUrgent) < 0.95)
}
