package decider

import (
	"time"

	"apricotspool/namer"
)

// Fleet is what a Core decides about: the services and the endpoints that serve them. It is a value
// built from one version of the configuration; a Core keeps what it has learned when it gets a new one.
type Fleet struct {
	DataCentre namer.DataCentre // of the deciding host
	Hosts      int              // live hosts that decide over the same endpoints, this one included
	Services   []ServiceView
	Endpoints  []EndpointView
}

// ServiceView is a service with its ranks.
type ServiceView struct {
	Name     namer.Service
	Plain    bool
	Ranks    []RankView // the most urgent first
	Deadline time.Duration
}

// RankView is a rank with its targets and its guaranteed share of the service's capacity.
type RankView struct {
	Name          namer.Rank
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Share         float64
	QueueLimit    int
}

// EndpointView is an endpoint that may take work.
type EndpointView struct {
	Name        namer.Endpoint
	Service     namer.Service
	Models      []namer.Model
	DataCentre  namer.DataCentre
	Distance    time.Duration // one way from the deciding host
	Role        namer.Role
	Concurrency int
	PrefillRate float64 // tokens a second when idle; 0 when unknown
	DecodeRate  float64 // tokens a second of one stream when idle; 0 when unknown
	Leaving     bool    // gets no new work
}
