package experimenter

import (
	"time"

	"apricotspool/namer"
	"apricotspool/planner"
)

// RolePlanner lets planner.Planner plan the roles of a site.
type RolePlanner struct {
	Planner planner.Planner
}

// Plan implements Planner.
func (p *RolePlanner) Plan(now time.Time, v PlanView) []RoleChange {
	view := planner.View{Prompt: v.PromptRate, Output: v.OutputRate}
	for _, e := range v.Engines {
		view.Engines = append(view.Engines, planner.Engine{
			Name: e.Name, Role: e.Role, Changing: e.Changing, Leaving: e.Down,
			Running: e.Running, WaitingPrefill: e.WaitingPrefill, KVUsed: e.KVUsed,
			PrefillRate: e.PrefillRate, DecodeRate: e.DecodeRate, Concurrency: e.Concurrency,
		})
	}
	var changes []RoleChange
	for _, c := range p.Planner.Plan(namer.SecondsOf(now.Sub(epoch)), view) {
		changes = append(changes, RoleChange{Endpoint: c.Endpoint, Role: c.To})
	}
	return changes
}
