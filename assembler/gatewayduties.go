package assembler

import (
	"sync/atomic"
	"time"

	"apricotspool/leaser"
	"apricotspool/loader"
	"apricotspool/meterer"
	"apricotspool/namer"
	"apricotspool/supervisor"
	"apricotspool/timekeeper"
)

// gatewayDuties holds the components for calls to the platform that one daemon makes at a time. It is empty if the
// platform expects none.
type gatewayDuties struct {
	lease   *leaser.Leaser
	meterer *meterer.Meterer // nil without metering
}

// suspensionClock is a clock of leases whose readings both include the time in which the host was suspended.
type suspensionClock struct{}

// Now implements leaser.Clock.
func (suspensionClock) Now() leaser.Reading {
	return leaser.Reading{Mono: time.Duration(timekeeper.Now()), Wall: time.Now().Round(0)}
}

// connectDuties builds the lease of duties and the components that work under it.
func (g *Gateway) connectDuties(peers *corePeers) {
	if !g.Settings.PlatformAPI.Has(loader.DutyMetering) && !g.Settings.PlatformAPI.Has(loader.DutyAutoscale) {
		return
	}
	process := namer.Process{Host: g.Settings.Host, Address: g.Settings.Peers, Incarnation: namer.NewIncarnation(time.Now())}
	g.duties.lease = &leaser.Leaser{
		Store: g.announcer.Store, Name: leaser.Duties, Log: g.Log.Events, Clock: suspensionClock{},
		Process: process, Eligible: func() bool { return !g.draining.Load() && competes(g.Settings.Host, g.announcer.Members()) },
	}
	g.duties.lease.SetDutyTimes(g.Settings.CommandGap.Std())
	if g.Settings.PlatformAPI.Has(loader.DutyMetering) {
		g.connectMeterer(process, peers)
	}
}

// connectMeterer builds the component that counts and reports the requests of workspaces.
func (g *Gateway) connectMeterer(process namer.Process, peers *corePeers) {
	settled, reported, late := g.metrics.Counter("apricotspool_usage_windows_settled_total"),
		g.metrics.Counter("apricotspool_usage_windows_reported_total"), g.metrics.Counter("apricotspool_usage_windows_late_total")
	var sources atomic.Int64
	g.metrics.Gauge("apricotspool_usage_daemons", func() float64 { return float64(sources.Load()) })
	g.duties.meterer = &meterer.Meterer{
		Host: process.Host, Incarnation: process.Incarnation, Length: g.Settings.Metering.Window.Std(), Due: g.Settings.Metering.Due.Std(),
		Lease: g.duties.lease, Store: g.announcer.Store, Send: peers.SendUsage,
		Reporter: g.Platform.NewUsageReporter(g.Settings.PlatformAPI.Address, objectAPICallCounter(g.metrics)),
		Steady:   timekeeper.Now, TimeOfDay: time.Now, Log: g.Log.Events,
		OnSettled: func(n int) {
			settled.Inc()
			sources.Store(int64(n))
		},
		OnReported: func(isLate bool) {
			reported.Inc()
			if isLate {
				late.Inc()
			}
		},
	}
	peers.receiveUsage = g.duties.meterer.Receive
	g.relayer.Meter = g.duties.meterer
}

// flush sends what has been counted when the last request has ended.
func (d *gatewayDuties) flush() {
	if d.meterer != nil {
		d.meterer.Flush()
	}
}

// children returns the components of the duties for the supervisor.
func (d *gatewayDuties) children() []supervisor.Child {
	var children []supervisor.Child
	if d.lease != nil {
		children = append(children, supervisor.Child{Name: "duty-lease", Part: d.lease})
	}
	if d.meterer != nil {
		children = append(children, supervisor.Child{Name: "meterer", Part: d.meterer})
	}
	return children
}
