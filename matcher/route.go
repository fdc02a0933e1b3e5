// Package matcher matches requests to routes by host and path. A route gives the services of a request,
// whether it may be retried, and the latency targets of its response. A Table is one immutable version of
// the routes.
package matcher

import (
	"time"

	"apricotspool/namer"
)

// Kind says whether the requests of a route may be retried.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // may run more than once
	Unsafe Kind = "unsafe" // runs at most once
	Stream Kind = "stream" // responds with a stream of events; runs at most once unless resumable
)

// Route matches requests by host and path and says how they are served.
type Route struct {
	Name   namer.Route
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Services share the requests in proportion to their weights.
	Services []WeightedService
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// Target is the latency target of the response, or of the first event of a stream.
	Target time.Duration
	// TargetGap is the target for the longest gap between two events of a stream.
	TargetGap time.Duration
	Priority  int // 0 is the most urgent
	Attempts  int // maximum number of endpoints that one request is sent to; at least 1
	Resumable bool
	// Anonymous routes serve requests without a known key. It has no effect if the table has no workspaces.
	Anonymous bool
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service namer.Service
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service is the configuration of a set of endpoints.
type Service struct {
	Name     namer.Service
	MaxConns int     // limit per endpoint over all daemons; 0 means no limit
	Engine   *Engine // nil for a plain service
	// Scaling is set if the daemons order the endpoints of the service.
	Scaling *Scaling
}

// Scaling describes the endpoints of a service that can be ordered.
type Scaling struct {
	Min, Max int           // endpoints of all kinds in each data centre
	Boot     time.Duration // from an order until a new endpoint serves
	// PreemptiblePrice is the price of a preemptible endpoint as a fraction of that of an on-demand one.
	PreemptiblePrice float64
	// Prices are the relative prices of an on-demand endpoint in the data centres where the service can run.
	Prices map[namer.DataCentre]float64
}

// Engine describes the engines of a service.
type Engine struct {
	Slots    int          // concurrent requests
	KVTokens namer.Tokens // capacity of the KV memory
	// HandleTTL is how long an engine holds the KV cache of a prompt for another engine to fetch.
	HandleTTL         time.Duration
	SupportsMigration bool         // running requests can move to another engine
	EventTokens       namer.Tokens // tokens per event of a stream
	// KVTransfer is the time to transfer the KV cache of one token within a data centre.
	KVTransfer time.Duration
	Backups    bool // the KV cache of a running request can be replicated as it grows
}

// Limits bounds the size and duration of requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
