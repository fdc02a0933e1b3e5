// Package provisioner orders the engines of a service: how many in each data centre, and how many of them preemptible.
// Planner decides and does no I/O; Provisioner carries its decisions out. Only the holder of the lease of duties sends orders.
package provisioner

import (
	"time"

	"apricotspool/namer"
)

// Kind is the contract under which an engine runs.
type Kind int

// The kinds. Preemptible engines are cheaper, and the platform may end all of a data centre at once.
const (
	OnDemand Kind = iota
	Preemptible
	kinds
)

// String returns the kind as it is logged.
func (k Kind) String() string {
	if k == Preemptible {
		return "preemptible"
	}
	return "on-demand"
}

// Engine is the state of an engine of one service.
type Engine struct {
	Name       namer.Endpoint
	DataCentre namer.DataCentre
	Kind       Kind
	Leaving    bool
	// LeavesIn is the time until the platform ends the engine; 0 if it hasn't said so.
	LeavesIn   time.Duration
	Answering  bool    // this daemon gets answers from it
	LoadKnown  bool    // the fields below are recent
	Slots      int     // concurrent requests
	Generating int     // requests whose prompt has been processed
	Inflow     float64 // prompt tokens per second that have been placed on it
	Rate       float64 // prompt tokens per second that it processes
}

// work returns what the engine has to do, in engines: the fraction of time that its prompts take, plus the fraction of its
// slots that its outputs take. Engines can be faster than their present rate by a factor.
func (e *Engine) work(faster float64) float64 {
	work := float64(e.Generating) / float64(max(1, e.Slots))
	if e.Rate > 0 {
		work += e.Inflow / (faster * e.Rate)
	}
	return work
}

// Group is the engines of one kind in one data centre, which are counted and ordered together.
type Group struct {
	DataCentre namer.DataCentre
	Kind       Kind
}

// Reason says why an order is sent.
type Reason string

// The reasons of orders.
const (
	ReasonLoad        Reason = "load"        // more engines for the load
	ReasonReplacement Reason = "replacement" // cheaper engines for dearer ones
	ReasonLoss        Reason = "loss"        // the platform takes engines back, or engines don't answer
	ReasonUnavailable Reason = "unavailable" // what was wanted elsewhere is not to be had
	ReasonReplaced    Reason = "replaced"    // fewer, because cheaper engines serve
	ReasonSurplus     Reason = "surplus"     // fewer, because the load needs fewer
)

// Order sets the number of engines of a group.
type Order struct {
	Group
	Desired int
	Before  int // number that was assumed to be there or ordered
	Reason  Reason
	Basis   Basis
}

// Basis explains an order.
type Basis struct {
	Work      float64 // peak of the load, in engines
	Engines   int     // that the load needs
	AfterLoss int     // that it needs after a loss
}

// Result is how an order ended.
type Result int

// The results of orders. An order that failed may have been carried out.
const (
	Accepted Result = iota
	Unavailable
	Throttled
	Failed
)

// String returns the result as it is logged.
func (r Result) String() string {
	return [...]string{"accepted", "unavailable", "throttled", "failed"}[r]
}

// Count is the state of a group for gauges.
type Count struct {
	Wanted, Present, Booting, Leaving int
}
