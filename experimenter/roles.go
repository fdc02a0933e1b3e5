package experimenter

import (
	"time"

	"apricotspool/namer"
)

const (
	// planPeriod is the time between two runs of the planner.
	planPeriod = 5 * time.Second
	// A role change takes a time between these after the drain.
	changeMin = 3 * time.Second
	changeMax = 8 * time.Second
)

// Planner plans role changes. It runs at one holder for the whole fleet.
type Planner interface {
	Plan(now time.Time, v PlanView) []RoleChange
}

// PlanView is what the holder of the lease knows.
type PlanView struct {
	Engines []PlanEngine
	// PromptRate and OutputRate are the prompt tokens that arrived and the output tokens of answers
	// that ended at all hosts, in tokens a second since the last plan.
	PromptRate, OutputRate float64
	// Requests is the rate of arrivals.
	Requests float64
}

// PlanEngine is an engine as the holder knows it.
type PlanEngine struct {
	Name     namer.Endpoint
	Role     namer.Role
	Changing bool // drains or changes its role
	Down     bool
	// Of the last load report.
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
	KVUsed         float64
	// Rates of the configuration; see decider.EndpointView.
	PrefillRate, DecodeRate float64
	Concurrency             int
}

// RoleChange gives an engine another role.
type RoleChange struct {
	Endpoint namer.Endpoint
	Role     namer.Role
}

// demand is the work that the hosts have seen since the last plan.
type demand struct {
	requests       int
	prompt, output namer.Tokens
}

func (d *demand) arrived(a Arrival) {
	d.requests++
	d.prompt += a.Prompt
}

func (d *demand) finished(output namer.Tokens) { d.output += output }

// planRoles asks the planner and starts the changes.
func (r *run) planRoles() {
	r.at(r.now+planPeriod, r.planRoles)
	period := planPeriod.Seconds()
	view := PlanView{
		PromptRate: float64(r.demand.prompt) / period, OutputRate: float64(r.demand.output) / period,
		Requests: float64(r.demand.requests) / period,
	}
	r.demand = demand{}
	for _, name := range r.names {
		e := r.engines[name]
		load := e.Load(r.now)
		view.Engines = append(view.Engines, PlanEngine{
			Name: name, Role: e.Role, Changing: e.next != "" || load.Leaving, Down: e.Down(),
			Running: load.Running, Waiting: load.Waiting, WaitingPrefill: load.WaitingPrefill, KVUsed: load.KVUsed,
			PrefillRate: e.Class.PrefillRate(), DecodeRate: e.Class.DecodeRate(), Concurrency: e.Class.MaxSequences,
		})
	}
	for _, change := range r.planner.Plan(r.time(), view) {
		r.changeRole(r.engines[change.Endpoint], change.Role)
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
