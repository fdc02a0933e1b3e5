package assembler

import (
	"time"

	"apricotspool/leaser"
	"apricotspool/loader"
	"apricotspool/namer"
	"apricotspool/supervisor"
	"apricotspool/timekeeper"
)

// gatewayDuties holds the components for calls to the platform that one daemon makes at a time. It is empty if the
// platform expects none.
type gatewayDuties struct {
	lease *leaser.Leaser
}

// suspensionClock is a clock of leases whose readings both include the time in which the host was suspended.
type suspensionClock struct{}

// Now implements leaser.Clock.
func (suspensionClock) Now() leaser.Reading {
	return leaser.Reading{Mono: time.Duration(timekeeper.Now()), Wall: time.Now().Round(0)}
}

// connectDuties builds the lease of duties and the components that work under it.
func (g *Gateway) connectDuties() {
	if !g.Settings.PlatformAPI.Has(loader.DutyMetering) && !g.Settings.PlatformAPI.Has(loader.DutyAutoscale) {
		return
	}
	g.duties.lease = &leaser.Leaser{
		Store: g.announcer.Store, Name: leaser.Duties, Log: g.Log.Events, Clock: suspensionClock{},
		Process:  namer.Process{Host: g.Settings.Host, Address: g.Settings.Peers, Incarnation: namer.Incarnation(time.Now().UnixNano())},
		Eligible: func() bool { return !g.draining.Load() && competes(g.Settings.Host, g.announcer.Members()) },
	}
	g.duties.lease.SetDutyTimes(g.Settings.CommandGap.Std())
}

// children returns the components of the duties for the supervisor.
func (d *gatewayDuties) children() []supervisor.Child {
	var children []supervisor.Child
	if d.lease != nil {
		children = append(children, supervisor.Child{Name: "duty-lease", Part: d.lease})
	}
	return children
}
