package experimenter

import (
	"time"

	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

// FaultKind names what goes wrong.
type FaultKind int

// The kinds of faults.
const (
	// FaultCrash crashes an engine, which restarts at the end of the fault.
	FaultCrash FaultKind = iota
	// FaultSlow makes every step of an engine longer by Factor.
	FaultSlow
	// FaultPartition cuts a data centre from the others; its hosts still get requests.
	FaultPartition
	// FaultRoleChange is no fault by itself: an operator gives an engine another role at From.
	FaultRoleChange
)

// Fault is something that goes wrong from one time to another.
type Fault struct {
	Kind       FaultKind
	From, To   time.Duration
	Engine     int
	DataCentre namer.DataCentre
	Factor     float64
	Role       namer.Role
	// CrashAfter lets a FaultRoleChange end in a crash that long after the command; the engine is down
	// for the time To then.
	CrashAfter time.Duration
}

// plan sets a fault's timers.
func (r *run) plan(f Fault) {
	e := r.engines[r.schedule.Site.name(f.Engine)]
	switch f.Kind {
	case FaultCrash:
		r.crash(e, f.From, f.To)
	case FaultSlow:
		r.at(f.From, func() { e.Class = slower(e.Class, f.Factor) })
		r.at(f.To, func() { e.Class = e.placed.Class })
	case FaultPartition:
		r.at(f.From, func() { r.cut = f.DataCentre })
		r.at(f.To, func() { r.cut = "" })
	case FaultRoleChange:
		r.at(f.From, func() {
			if f.CrashAfter > 0 {
				e.onChange = func() { r.crash(e, r.now+f.CrashAfter, r.now+f.CrashAfter+f.To) }
			}
			r.changeRole(e, f.Role)
		})
	}
}

// crash lets an engine crash and restart.
func (r *run) crash(e *engine, from, to time.Duration) {
	r.at(from, func() {
		e.Crash(r.now)
		r.result.Crashes++
		r.follow(e)
	})
	r.at(to, func() {
		e.Restart(r.now)
		r.settled(e)
		r.broadcast(e, 0, decider.Event{Kind: decider.EventHealth, Endpoint: e.Name, Healthy: true})
	})
}

// slower returns a class all whose times are longer by the factor.
func slower(c modeler.Class, factor float64) modeler.Class {
	c.StepBase = time.Duration(float64(c.StepBase) * factor)
	c.PrefillToken = time.Duration(float64(c.PrefillToken) * factor)
	c.Sequence = time.Duration(float64(c.Sequence) * factor)
	c.Attention *= factor
	c.KVRead *= factor
	return c
}
