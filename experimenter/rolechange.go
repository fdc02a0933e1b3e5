package experimenter

import (
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/planner"
)

const (
	// planPeriod is the time between two runs of the planner.
	planPeriod = time.Second
	// A role change takes a time between these after the drain.
	changeMin = 3 * time.Second
	changeMax = 8 * time.Second
)

// Planner plans role changes. It runs at one holder for the whole fleet.
type Planner interface {
	// Plan gets the policy of the holder, which knows the demand, and the engines.
	Plan(now time.Time, holder Policy, engines []PlanEngine) []planner.Change
}

// PlanEngine is an engine with its planned changes.
type PlanEngine struct {
	Name     namer.Endpoint
	Role     namer.Role
	Changing bool // drains or changes its role
}

// CorePlanner runs package planner on the view of the holder's core, as package coordinator does.
type CorePlanner struct {
	planners map[namer.Model]*planner.Planner
	start    time.Time
}

// Plan plans the changes of each model's engines.
func (p *CorePlanner) Plan(now time.Time, holder Policy, engines []PlanEngine) []planner.Change {
	if p.planners == nil {
		p.planners, p.start = map[namer.Model]*planner.Planner{}, now
	}
	changing := map[namer.Endpoint]bool{}
	for _, e := range engines {
		changing[e.Name] = e.Changing
	}
	var changes []planner.Change
	for _, set := range holder.(*decider.Core).EngineSets(now) {
		for n := range set.View.Engines {
			set.View.Engines[n].Changing = changing[set.View.Engines[n].Name]
		}
		if p.planners[set.Model] == nil {
			p.planners[set.Model] = &planner.Planner{}
		}
		changes = append(changes, p.planners[set.Model].Plan(namer.SecondsOf(now.Sub(p.start)), set.View)...)
	}
	return changes
}

// planRoles asks the planner and starts the changes.
func (r *run) planRoles() {
	r.at(r.now+planPeriod, r.planRoles)
	var engines []PlanEngine
	for _, name := range r.names {
		e := r.engines[name]
		if e.placed.From <= r.now {
			engines = append(engines, PlanEngine{Name: name, Role: e.Role, Changing: e.leaving})
		}
	}
	for _, change := range r.planner.Plan(r.time(), r.hosts[0].policy, engines) {
		r.changeRole(r.engines[change.Endpoint], change.To)
	}
}

// changeRole drains an engine and then changes its role.
func (r *run) changeRole(e *engine, role namer.Role) {
	if e.next != "" || e.Down() || e.Leaving() || role == e.Role {
		return
	}
	e.next = role
	e.leaving = true
	r.result.RoleChanges++
	e.changes++
	r.at(r.now+disseminationTime, func() {
		r.configure()
		if e.Down() {
			return
		}
		e.Drain(r.now, true)
		r.follow(e)
	})
}

// drained starts the role change that a drain has prepared when no work is left or on its way.
func (r *run) drained(e *engine) {
	if e.next == "" || !e.Leaving() || !e.Idle() || len(e.inbound) > 0 {
		return
	}
	takes := changeMin + time.Duration(r.random.Int64N(int64(changeMax-changeMin)))
	e.ChangeRole(r.now, e.next, takes)
	e.next = ""
	if e.onChange != nil {
		e.onChange()
		e.onChange = nil
	}
	r.at(r.now+takes, func() {
		if !e.Down() {
			r.settled(e)
		}
	})
}

// settled ends a role change, done or not.
func (r *run) settled(e *engine) {
	r.follow(e) // applies a change that ends now
	e.next, e.leaving, e.role = "", false, e.Role
	r.at(r.now+disseminationTime, r.configure)
}

// shift closes the count of role changes of each engine since the last shift.
func (r *run) shift() {
	for _, e := range r.engines {
		r.result.MostChanges = max(r.result.MostChanges, e.changes)
		e.changes = 0
	}
}
