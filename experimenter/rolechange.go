package experimenter

import (
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/planner"
)

const (
	// planPeriod is the interval between planner runs.
	planPeriod = time.Second
	// The duration of a role change, after the drain, lies between these.
	minRoleChangeTime = 3 * time.Second
	maxRoleChangeTime = 8 * time.Second
)

// Planner plans role changes. It runs on one host, the lease holder, for the whole fleet.
type Planner interface {
	// Plan returns the changes to start, given the lease holder's policy, which knows the demand, and
	// the engines.
	Plan(now time.Time, policy Policy, engines []PlanEngine) []planner.Change
}

// PlanEngine is the state of an engine as input to a Planner.
type PlanEngine struct {
	Name     namer.Endpoint
	Role     namer.Role
	Changing bool // draining or changing its role
}

// CorePlanner runs package planner on the view of the lease holder's core, as package coordinator does.
type CorePlanner struct {
	planners map[namer.Model]*planner.Planner
	start    time.Time
}

// Plan plans the role changes of each model's engines.
func (p *CorePlanner) Plan(now time.Time, policy Policy, engines []PlanEngine) []planner.Change {
	if p.planners == nil {
		p.planners, p.start = map[namer.Model]*planner.Planner{}, now
	}
	changing := map[namer.Endpoint]bool{}
	for _, e := range engines {
		changing[e.Name] = e.Changing
	}
	var changes []planner.Change
	for _, set := range policy.(*decider.Core).EngineSets(now) {
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

// planRoles runs the planner and starts the planned changes.
func (r *run) planRoles() {
	r.at(r.now+planPeriod, r.planRoles)
	var engines []PlanEngine
	for _, name := range r.names {
		e := r.engines[name]
		if e.spec.JoinsAt <= r.now {
			engines = append(engines, PlanEngine{Name: name, Role: e.Role, Changing: e.publishedLeaving})
		}
	}
	for _, change := range r.planner.Plan(r.time(), r.hosts[0].policy, engines) {
		r.changeRole(r.engines[change.Endpoint], change.To)
	}
}

// changeRole drains an engine and then changes its role.
func (r *run) changeRole(e *engine, role namer.Role) {
	if e.nextRole != "" || e.Down() || e.Leaving() || role == e.Role {
		return
	}
	e.nextRole = role
	e.publishedLeaving = true
	r.result.RoleChanges++
	e.roleChanges++
	r.at(r.now+gossipDelay, func() {
		r.configure()
		if e.Down() {
			return
		}
		e.Drain(r.now, true)
		r.advanceEngine(e)
	})
}

// maybeStartRoleChange starts a pending role change once the engine has drained and no KV cache is on
// its way to the engine.
func (r *run) maybeStartRoleChange(e *engine) {
	if e.nextRole == "" || !e.Leaving() || !e.Idle() || len(e.inbound) > 0 {
		return
	}
	takes := minRoleChangeTime + time.Duration(r.random.Int64N(int64(maxRoleChangeTime-minRoleChangeTime)))
	e.ChangeRole(r.now, e.nextRole, takes)
	e.nextRole = ""
	if e.onRoleChange != nil {
		e.onRoleChange()
		e.onRoleChange = nil
	}
	r.at(r.now+takes, func() {
		if !e.Down() {
			r.endRoleChange(e)
		}
	})
}

// endRoleChange ends a role change, whether it was applied or not.
func (r *run) endRoleChange(e *engine) {
	r.advanceEngine(e) // applies a role change that ends now
	e.nextRole, e.publishedLeaving, e.publishedRole = "", false, e.Role
	r.at(r.now+gossipDelay, r.configure)
}

// resetRoleChangeCounts updates the maximum number of role changes of an engine between two shifts and
// starts new counts.
func (r *run) resetRoleChangeCounts() {
	for _, e := range r.engines {
		r.result.MaxEngineRoleChanges = max(r.result.MaxEngineRoleChanges, e.roleChanges)
		e.roleChanges = 0
	}
}
