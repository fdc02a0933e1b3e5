// Package configurer defines the configuration document that operators patch: services with their
// models, ranks and latency targets, callers and endpoints. It validates documents, applies patches and
// builds the immutable Snapshot that the rest of a daemon reads. It has no state of its own.
package configurer

import (
	"net/netip"

	"apricotspool/namer"
)

// Document is one version of the configuration. Its tags omit zero scalars and empty arrays and objects,
// so that documents with the same content have the same encoding.
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
	// Distances holds the one-way network delay to other data centres. A pair that neither side lists
	// has DefaultDistance within a region and DefaultRegionDistance between regions.
	Distances map[namer.DataCentre]namer.Duration `json:"distances,omitempty"`
}

// Model is a language model that engines can load.
type Model struct {
	Version  string       `json:"version"`            // version that engines load, as named in the weight store
	Context  namer.Tokens `json:"context"`            // maximum number of prompt and output tokens
	Adapters []string     `json:"adapters,omitempty"` // adapters that engines load with the model
	KVBytes  int          `json:"kv-bytes,omitzero"`  // KV cache bytes per token, for estimating the cost of a transfer
}

// ServiceKind distinguishes model services from plain services.
type ServiceKind string

// The kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a target of callers' requests.
type Service struct {
	Kind   ServiceKind         `json:"kind"`
	Models []namer.Model       `json:"models,omitempty"` // models that the service offers; only for kind "model"
	Ranks  map[namer.Rank]Rank `json:"ranks"`
	// Deadline is the maximum time from acceptance of a request to its last byte.
	Deadline namer.Duration `json:"deadline"`
	// MaxBody is the maximum request body size in bytes; 0 means DefaultMaxBody.
	MaxBody int64 `json:"max-body,omitzero"`
	// NonIdempotent lists the calls of a plain service that must not be retried.
	NonIdempotent []CallPattern `json:"non-idempotent,omitempty"`
}

// CallPattern matches calls of a plain service.
type CallPattern struct {
	Method string `json:"method"` // HTTP method, or "*" for any method
	Path   string `json:"path"`   // path below the service; with a trailing "/", a path prefix
}

// Rank is a priority class within a service.
type Rank struct {
	// Order is the priority: 0 is the most urgent.
	Order int `json:"order"`
	// FirstToken is the target time from acceptance to the first token or, for a plain service, the first byte.
	FirstToken namer.Duration `json:"first-token"`
	// BetweenTokens is the target mean time between tokens of one response; not used by plain services.
	BetweenTokens namer.Duration `json:"between-tokens,omitzero"`
	// Share is the fraction of the service's capacity, from 0 to 1, that is reserved for this rank while it
	// has work.
	Share float64 `json:"share"`
	// QueueLimit is the maximum number of requests of this rank queued in one daemon; 0 means DefaultQueueLimit.
	QueueLimit int `json:"queue-limit,omitzero"`
}

// Caller is a workspace that sends requests.
type Caller struct {
	// TokenSHA256 is the hexadecimal SHA-256 of the caller's bearer token.
	TokenSHA256 string          `json:"token-sha256"`
	Rank        namer.Rank      `json:"rank"`            // most urgent rank the caller may use
	Services    []namer.Service `json:"services"`        // services the caller may use
	Weight      int             `json:"weight,omitzero"` // share within the rank relative to other callers; 0 means 1
}

// EndpointState is the state of an endpoint requested by operators.
type EndpointState string

// The states that operators can set.
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
	Models     []namer.Model    `json:"models,omitempty"` // models that the engine has loaded or can load on command
	Role       namer.Role       `json:"role,omitzero"`    // initial role, which the planner may change; empty means "mixed"
	Fencing    bool             `json:"fencing,omitzero"` // whether the engine rejects commands with an outdated fencing token
	// Concurrency is the maximum number of requests that the endpoint executes concurrently; 0 means DefaultConcurrency.
	Concurrency int `json:"concurrency,omitzero"`
	// PrefillRate and DecodeRate are the initial estimates of an idle engine's speed in tokens per second,
	// which the estimator corrects. 0 means unknown.
	PrefillRate float64 `json:"prefill-rate,omitzero"`
	DecodeRate  float64 `json:"decode-rate,omitzero"`
}
