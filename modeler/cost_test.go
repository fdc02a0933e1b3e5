package modeler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotspool/modeler"
	"apricotspool/namer"
)

// Guards against least costs that exceed the simulated engine time, which would make the upper bound on
// goodput too low.
func TestLeastCostsNeverExceedTheBusyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := rapid.SampledFrom([]modeler.Class{modeler.Large70B, modeler.Large70B16, modeler.Medium13B}).Draw(t, "class")
		role := rapid.SampledFrom([]namer.Role{namer.RoleMixed, namer.RoleDecode, namer.RolePrefill}).Draw(t, "role")
		weight := rapid.Float64Range(0, 1).Draw(t, "weight")
		longest := rapid.SampledFrom([]int{300, 3000, 30_000}).Draw(t, "longest")
		class.ExportRate = 1e12 // least costs exclude exports
		engine := &modeler.Engine{Class: class, Role: role}
		cost := 0.0
		for n := range rapid.IntRange(1, 300).Draw(t, "jobs") {
			job := modeler.Job{
				Stream: namer.StreamID(fmt.Sprint(n)), Prompt: namer.Tokens(rapid.IntRange(1, longest).Draw(t, "prompt")),
				Output: namer.Tokens(rapid.IntRange(1, 100).Draw(t, "output")),
			}
			cached := namer.Tokens(0)
			switch role {
			case namer.RoleDecode:
				job.Phase = modeler.PhaseDecode
				cached = job.Prompt - 1
			case namer.RolePrefill:
				job.Phase, job.Output = modeler.PhasePrefill, 1
			}
			engine.Submit(0, job)
			cost += class.LeastCost(job.Prompt, cached, job.Output, weight)
		}
		events := engine.Advance(10 * time.Hour)
		if busy := events[len(events)-1].At; cost > busy.Seconds() {
			t.Fatalf("least costs add up to %.3f s, but the engine was busy for %s", cost, busy)
		}
	})
}
