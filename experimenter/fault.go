package experimenter

import (
	"time"

	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

// FaultKind is the kind of an injected fault.
type FaultKind int

// The kinds of faults.
const (
	// FaultCrash crashes an engine, which restarts at the end of the fault.
	FaultCrash FaultKind = iota
	// FaultSlow multiplies the duration of every step of an engine by Factor.
	FaultSlow
	// FaultPartition partitions a data centre from the others; its hosts still receive requests.
	FaultPartition
	// FaultRoleChange is an operator's role change at From. It is a fault only if CrashAfter is set.
	FaultRoleChange
)

// Fault is a fault injected from one time to another.
type Fault struct {
	Kind       FaultKind
	From, To   time.Duration
	Engine     int
	DataCentre namer.DataCentre
	Factor     float64
	Role       namer.Role
	// CrashAfter, if positive, makes an engine crash this long after the start of a FaultRoleChange. To is
	// then the downtime.
	CrashAfter time.Duration
}

// scheduleFault schedules the start and the end of a fault.
func (r *run) scheduleFault(f Fault) {
	e := r.engines[r.schedule.Site.engineName(f.Engine)]
	switch f.Kind {
	case FaultCrash:
		r.crash(e, f.From, f.To)
	case FaultSlow:
		r.at(f.From, func() { e.Class = slowedDown(e.Class, f.Factor) })
		r.at(f.To, func() { e.Class = e.spec.Class })
	case FaultPartition:
		r.at(f.From, func() { r.partitioned = f.DataCentre })
		r.at(f.To, func() { r.partitioned = "" })
	case FaultRoleChange:
		r.at(f.From, func() {
			if f.CrashAfter > 0 {
				e.onRoleChange = func() { r.crash(e, r.now+f.CrashAfter, r.now+f.CrashAfter+f.To) }
			}
			r.changeRole(e, f.Role)
		})
	}
}

// crash schedules an engine's crash and restart.
func (r *run) crash(e *engine, from, to time.Duration) {
	r.at(from, func() {
		e.Crash(r.now)
		r.result.Crashes++
		r.advanceEngine(e)
	})
	r.at(to, func() {
		e.Restart(r.now)
		r.endRoleChange(e)
		r.broadcast(e, 0, decider.Event{Kind: decider.EventHealth, Endpoint: e.Name, Healthy: true})
	})
}

// slowedDown returns a class with all times multiplied by the factor.
func slowedDown(c modeler.Class, factor float64) modeler.Class {
	c.StepBase = time.Duration(float64(c.StepBase) * factor)
	c.PrefillToken = time.Duration(float64(c.PrefillToken) * factor)
	c.Sequence = time.Duration(float64(c.Sequence) * factor)
	c.Attention *= factor
	c.KVRead *= factor
	return c
}
