// Package configurer defines the configuration document that operators patch: services with their
// models, ranks and targets, callers and endpoints. It validates documents, applies patches and
// builds the immutable Snapshot that the rest of a daemon reads. It owns no state.
package configurer

import (
	"net/netip"

	"apricotspool/namer"
)

// Document is one version of the configuration. Its tags omit zero scalars and empty arrays and
// objects, so that documents with the same content have one encoding.
type Document struct {
	DataCentres map[namer.DataCentre]DataCentre `json:"data-centres"`
	Models      map[namer.Model]Model           `json:"models"`
	Services    map[namer.Service]Service       `json:"services"`
	Callers     map[namer.Caller]Caller         `json:"callers"`
	Endpoints   map[namer.Endpoint]Endpoint     `json:"endpoints"`
}

// DataCentre is a zone with its own hosts and endpoints.
type DataCentre struct {
	Region namer.Region `json:"region"`
	// Distances gives the one-way network delay to other data centres. A pair that neither side
	// lists is taken as DefaultDistance inside a region and DefaultRegionDistance between regions.
	Distances map[namer.DataCentre]namer.Duration `json:"distances,omitempty"`
}

// Model is a language model that engines can load.
type Model struct {
	Version  string       `json:"version"`            // version that engines load, as the weight store names it
	Context  namer.Tokens `json:"context"`            // largest sum of prompt and output tokens
	Adapters []string     `json:"adapters,omitempty"` // adapters that engines load beside the model
	KVBytes  int          `json:"kv-bytes,omitzero"`  // size of the KV cache of one token, for pricing its transfer
}

// ServiceKind tells model services and plain services apart.
type ServiceKind string

// The kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is what callers send requests to.
type Service struct {
	Kind   ServiceKind         `json:"kind"`
	Models []namer.Model       `json:"models,omitempty"` // models that the service offers; only for kind "model"
	Ranks  map[namer.Rank]Rank `json:"ranks"`
	// Deadline bounds a request from acceptance to its last byte.
	Deadline namer.Duration `json:"deadline"`
	// MaxBody is the largest request body in bytes; 0 means DefaultMaxBody.
	MaxBody int64 `json:"max-body,omitzero"`
	// NonIdempotent lists the calls of a plain service that must not be repeated.
	NonIdempotent []CallPattern `json:"non-idempotent,omitempty"`
}

// CallPattern selects calls of a plain service.
type CallPattern struct {
	Method string `json:"method"` // HTTP method, or "*" for every method
	Path   string `json:"path"`   // path below the service; a trailing "/" matches everything below it
}

// Rank is a class of work within a service.
type Rank struct {
	// Order ranks the classes: 0 is the most urgent.
	Order int `json:"order"`
	// FirstToken is the target from acceptance to the first token or, for a plain service, the first byte.
	FirstToken namer.Duration `json:"first-token"`
	// BetweenTokens is the target for the mean time between tokens of one answer; not used by plain services.
	BetweenTokens namer.Duration `json:"between-tokens,omitzero"`
	// Share is the part of the service's capacity, from 0 to 1, that other ranks can't take while this rank has work.
	Share float64 `json:"share"`
	// QueueLimit is the most requests of this rank that wait in one daemon; 0 means DefaultQueueLimit.
	QueueLimit int `json:"queue-limit,omitzero"`
}

// Caller is a workspace that sends requests.
type Caller struct {
	// TokenSHA256 is the hexadecimal SHA-256 of the caller's bearer token.
	TokenSHA256 string          `json:"token-sha256"`
	Rank        namer.Rank      `json:"rank"`            // highest rank the caller may use
	Services    []namer.Service `json:"services"`        // services the caller may use
	Weight      int             `json:"weight,omitzero"` // part of the rank relative to other callers; 0 means 1
}

// EndpointState is what operators want of an endpoint.
type EndpointState string

// The states that operators set.
const (
	StateActive   EndpointState = "active"
	StateDraining EndpointState = "draining"
)

// Endpoint is one model engine or one instance of a plain service.
type Endpoint struct {
	Service    namer.Service    `json:"service"`
	Address    netip.AddrPort   `json:"address"` // IP address and TCP port
	DataCentre namer.DataCentre `json:"data-centre"`
	State      EndpointState    `json:"state,omitzero"`   // empty means "active"
	Models     []namer.Model    `json:"models,omitempty"` // models that the engine has loaded or loads on command
	Role       namer.Role       `json:"role,omitzero"`    // role at first sight; the planner may change it; empty means "mixed"
	Fencing    bool             `json:"fencing,omitzero"` // whether the engine refuses commands with an old fencing number
	// Concurrency is the most requests that the endpoint executes at once; 0 means DefaultConcurrency.
	Concurrency int `json:"concurrency,omitzero"`
	// PrefillRate and DecodeRate are tokens a second of an engine when idle; the estimator corrects them. 0 means unknown.
	PrefillRate float64 `json:"prefill-rate,omitzero"`
	DecodeRate  float64 `json:"decode-rate,omitzero"`
}
