package experimenter_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/experimenter"
)

// floodLength is the length of the steady schedules and of those with a flood.
const floodLength = 3 * time.Minute

// steady is the core's result on the steady schedule, shared by several tests.
var steady = sync.OnceValue(func() *experimenter.Result {
	return experimenter.Run(experimenter.NominalLoad(experimenter.Siamrak(), floodLength, seed), experimenter.Variants()[0])
})

// shifts is the core's result on the schedule with mix shifts, shared by two tests.
var shifts = sync.OnceValue(func() *experimenter.Result { return experimenter.Run(shifting(), experimenter.Variants()[0]) })

func shifting() experimenter.Schedule {
	return experimenter.MixShifts(experimenter.Igisasu(), 3, experimenter.ShortestPhase, seed)
}

// T1 on a steady mix: at least 95% of urgent requests meet their targets.
func TestT1UrgentIsInTimeOnASteadyMix(t *testing.T) {
	is := is.New(t)
	is.True(steady().OnTimeRatio(experimenter.RankUrgent) >= 0.95)
	// The load is high enough for a naive policy to fail.
	schedule := experimenter.NominalLoad(experimenter.Siamrak(), time.Minute, seed)
	is.True(experimenter.Run(schedule, variant(t, "round-robin")).OnTimeRatio(experimenter.RankUrgent) < 0.95)
}

// T1 in a tenfold flood of free work: at least 95% of urgent requests meet their targets, and at most
// one percentage point fewer than without the flood.
func TestT1UrgentIsInTimeInAFloodOfFreeWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	withoutFlood := steady()
	schedule := experimenter.LowerRankFlood(experimenter.Siamrak(), floodLength, seed)
	flooded := experimenter.Run(schedule, variant(t, "core"))
	is.True(flooded.OnTimeRatio(experimenter.RankUrgent) >= 0.95)
	is.True(flooded.OnTimeRatio(experimenter.RankUrgent) >= withoutFlood.OnTimeRatio(experimenter.RankUrgent)-0.01)
	is.True(experimenter.Run(schedule, variant(t, "least-outstanding")).OnTimeRatio(experimenter.RankUrgent) < 0.95)
}

// T2 in a tenfold flood of urgent work: the lower rank keeps at least 90% of its configured share, and
// no request is refused while an engine is idle.
func TestT2LowerRankKeepsItsShareInAFloodOfUrgentWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	schedule := experimenter.UrgentFlood(experimenter.Siamrak(), 3*time.Minute, seed)
	result := experimenter.Run(schedule, variant(t, "core"))
	t.Logf("lower rank kept %.3f of its share; %d requests refused while an engine was idle", result.LowerRankShareKept(), result.RefusedWhileIdle)
	is.True(result.LowerRankShareKept() >= 0.9)
	is.Equal(result.RefusedWhileIdle, 0)
	is.True(experimenter.Run(schedule, variant(t, "strict-priority")).LowerRankShareKept() < 0.9)
}

// T2 without urgent work: the lower rank can use idle capacity beyond its share.
func TestT2LowerRankUsesIdleCapacity(t *testing.T) {
	is := is.New(t)
	schedule := experimenter.Steady(experimenter.Siamrak(), 0.35, 1, 3*time.Minute, seed)
	result := experimenter.Run(schedule, variant(t, "core"))
	lower := result.Ranks[experimenter.RankFree]
	is.Equal(lower.Refusals, 0)
	is.True(result.OnTimeRatio(experimenter.RankFree) >= 0.95)
}

// T3: with mix shifts, goodput is at least 90% of the bound and at least 1.25 times that of the best
// fixed role split, with at most two role changes per engine and shift.
func TestT3GoodputThroughShifts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	schedule := shifting()
	var variants []experimenter.Variant
	for _, c := range experimenter.FixedRoles(schedule.Site) {
		switch c.Name {
		case "fixed-5:4", "fixed-6:3", "fixed-7:2": // the best of all splits is one of these
			variants = append(variants, c)
		}
	}
	report := experimenter.Measure(schedule, variants, 4)
	core, fixed := shifts(), report.Best(experimenter.FamilyFixed)
	t.Logf("goodput: core %.3f, bound %.3f, %s %.3f; %d role changes, at most %d per engine and shift",
		core.Goodput(), report.Bound, fixed.Policy, fixed.Goodput(), core.RoleChanges, core.MaxEngineRoleChanges)
	is.True(core.Goodput() >= 0.9*report.Bound)
	is.True(core.Goodput() >= 1.25*fixed.Goodput())
	is.True(core.MaxEngineRoleChanges <= 2)
}

// T3 on a steady mix: no role changes.
func TestT3NoRoleChangesOnASteadyMix(t *testing.T) {
	is := is.New(t)
	schedule := experimenter.NominalLoad(experimenter.Igisasu(), 3*time.Minute, seed)
	is.Equal(experimenter.Run(schedule, variant(t, "core")).RoleChanges, 0)
}

// T4: load reports that are 5 s old reduce goodput by less than 5%.
func TestT4StaleReportsCostLittle(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	core := variant(t, "core")
	stale := experimenter.Run(experimenter.WithStaleReports(experimenter.NominalLoad(experimenter.Siamrak(), floodLength, seed)), core)
	t.Logf("goodput on a steady mix: fresh reports %.3f, stale reports %.3f", steady().Goodput(), stale.Goodput())
	is.True(stale.Goodput() > 0.95*steady().Goodput())
	stale = experimenter.Run(experimenter.WithStaleReports(shifting()), core)
	t.Logf("goodput with mix shifts: fresh reports %.3f, stale reports %.3f", shifts().Goodput(), stale.Goodput())
	is.True(stale.Goodput() > 0.95*shifts().Goodput())
}

// T4: no request is lost in a crash during a role change.
func TestT4CrashDuringARoleChangeCostsNoRequest(t *testing.T) {
	is := is.New(t)
	schedule := experimenter.CrashDuringRoleChange(experimenter.Siamrak(), 2*time.Minute, seed)
	result := experimenter.Run(schedule, variant(t, "core"))
	is.Equal(result.RoleChanges, 1)
	is.Equal(result.Crashes, 1)
	arrived, answered := served(result)
	t.Logf("%d of %d requests served", answered, arrived)
	is.Equal(answered, arrived)
}
