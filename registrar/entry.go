// Package registrar maintains the set of endpoints that are registered in the object API. It decides
// when an endpoint whose entry is missing is removed, and owns no connections.
package registrar

import (
	"net/netip"
	"time"

	"apricotspool/namer"
)

// Entry is the registration of an endpoint, as published by the endpoint itself.
type Entry struct {
	Name        namer.Endpoint
	Service     namer.Service
	Address     netip.AddrPort
	DataCentre  namer.DataCentre
	Slots       int           // requests that the endpoint runs concurrently
	Leaving     bool          // draining; takes no new requests
	WarmupLeft  time.Duration // remaining time of reduced speed after the endpoint's start
	Incarnation namer.Incarnation
	Role        namer.Role
	Models      []namer.Model
	Build       namer.Build
	// Preemptible endpoints may be taken back by the platform, all of a data centre at once.
	Preemptible bool
	// LeavesIn is the time that is left until the endpoint ends; 0 if it isn't known.
	LeavesIn time.Duration
}
