package decider

import (
	"time"

	"apricotspool/namer"
	"apricotspool/quarantiner"
)

// Fleet describes the services and the endpoints that serve them. It is built from one version of the
// configuration; a Core keeps its learned estimates when it receives a new Fleet.
type Fleet struct {
	DataCentre namer.DataCentre // of the deciding host
	Hosts      int              // live hosts that dispatch to the same endpoints, including this one
	Members    []MemberView     // the daemons, if the core exchanges messages with others
	Services   []ServiceView
	Endpoints  []EndpointView
	Models     []ModelView
	// Settling is the time within which all daemons learn of a change of the endpoints.
	Settling time.Duration
	// Generation distinguishes fleets; see Confirmation.
	Generation uint64
	// TransferRate is the bandwidth of KV cache transfers between engines, in bytes per second; 0 means
	// DefaultTransferRate.
	TransferRate float64
}

// MemberView is a daemon.
type MemberView struct {
	Host       namer.Host
	DataCentre namer.DataCentre
	Blocked    []BlockedPart // in its entry, as of when it was written
}

// BlockedPart is a prompt part that is blocked, as it is kept in the entries of daemons.
type BlockedPart struct {
	Part  quarantiner.Part `json:"part"`
	Level int              `json:"level"` // failed trials
	Since time.Time        `json:"since"`
	Until time.Time        `json:"until"` // then one request is sent as a trial
}

// DefaultTransferRate assumes a 100 Gbit/s link at less than half its bandwidth.
const DefaultTransferRate = 5e9

// DefaultKVBytes is the KV cache size of one token for models without a configured size.
const DefaultKVBytes = 128 << 10

// ModelView holds the properties of a model that determine the cost of KV cache transfers.
type ModelView struct {
	Name    namer.Model
	KVBytes int // KV cache bytes per token; 0 means DefaultKVBytes
}

// ServiceView is a service with its ranks.
type ServiceView struct {
	Name  namer.Service
	Plain bool
	Ranks []RankView // the most urgent first
	// Backups is set when engines replicate the KV cache of running requests to other engines.
	Backups bool
	// EventTokens is the number of tokens in one event of a stream; 0 when unknown.
	EventTokens namer.Tokens
	// KVTransfer is the time to transfer the KV cache of one token within a data centre; 0 when unknown.
	KVTransfer time.Duration
	// StreamLifetime is the longest time from a stream's begin until a caller takes it up; 0 if none can be taken up.
	StreamLifetime time.Duration
	// Builds are those that the object API lists: all that may have begun streams which can be taken up. Nil if unknown.
	Builds []namer.Build
	// Settled are those of Builds that all daemons know, or know not to know.
	Settled  []namer.Build
	Deadline time.Duration
}

// RankView is a rank with its latency targets and its guaranteed share of the service's capacity.
type RankView struct {
	Name          namer.Rank
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Share         float64
	QueueLimit    int
}

// EndpointView is the configuration of an endpoint.
type EndpointView struct {
	Name        namer.Endpoint
	Service     namer.Service
	Models      []namer.Model
	DataCentre  namer.DataCentre
	Distance    time.Duration // one-way network delay from this host
	Role        namer.Role
	Concurrency int
	PrefillRate float64           // tokens per second when idle; 0 when unknown
	DecodeRate  float64           // tokens per second of one stream when idle; 0 when unknown
	Leaving     bool              // gets no new requests
	KVTokens    namer.Tokens      // KV cache capacity of the engine; 0 when unknown
	Incarnation namer.Incarnation // a new incarnation has lost its cache and its requests
	Build       namer.Build
	// WarmupLeft is the time for which the endpoint says that its speed is reduced after its start.
	WarmupLeft time.Duration
}
