// Package decider is the decision core: it decides which requests to admit, in which order and on
// which endpoint. It is pure: time and news are passed in as values, decisions come out as values.
// One goroutine owns a Core; the package starts none and does no I/O.
package decider

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/namer"
)

// Request is a request that waits for a decision.
type Request struct {
	ID      namer.StreamID
	Caller  namer.Caller
	Service namer.Service
	Model   namer.Model // empty for plain services
	Rank    namer.Rank
	Weight  int // of the caller within its rank; 0 means 1
	// Idempotent requests may be attempted again after a failure.
	Idempotent   bool
	PromptTokens namer.Tokens
	// MaxTokens is the caller's limit on the output; 0 means the model's context.
	MaxTokens namer.Tokens
	// Prefix holds the hashes of the prompt's leading blocks of PrefixBlock tokens, each over all
	// tokens up to its end, so that equal hashes mean equal prefixes.
	Prefix   []uint64
	Deadline time.Time

	// Target is the time from arrival to the first byte of the answer that counts as on time; 0 takes
	// the target of the rank.
	Target time.Duration
	// TargetGap is the longest pause between events that counts as on time; 0 means no target.
	TargetGap time.Duration
	// Priority ranks requests of routes, which have no named ranks; 0 is the most urgent.
	Priority int
	// Parts are the prompt's parts in order, where the caller tells them. Requests share leading parts.
	Parts []Part
	// Attempts is the most endpoints that the request is sent to; 0 means no limit of its own.
	Attempts int
}

// Part is a piece of a prompt that engines cache as a whole.
type Part struct {
	ID     uint64
	Tokens namer.Tokens
}

// PrefixBlock is the length of one prompt block that engines cache, in tokens.
const PrefixBlock namer.Tokens = 256

// EventKind names what happened.
type EventKind int

// The kinds of events that a Core observes.
const (
	// EventStarted reports the first token or first byte of an attempt.
	EventStarted EventKind = iota
	// EventPrefilled reports that the prefill endpoint of an attempt has processed the prompt.
	EventPrefilled
	// EventFinished reports that an attempt has delivered its whole answer.
	EventFinished
	// EventFailed reports that an attempt failed; Reason says how and whether it may be repeated.
	EventFailed
	// EventCancelled reports that the caller is gone; the request is forgotten.
	EventCancelled
	// EventLoad reports the load of an endpoint at an earlier time.
	EventLoad
	// EventCache reports prefix blocks that an engine has added or dropped.
	EventCache
	// EventHealth reports that an endpoint was found reachable or unreachable outside a request.
	EventHealth
)

// Event is news for a Core. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Request  namer.StreamID
	Attempt  namer.Attempt // 0 means the current one; news of an earlier attempt has no effect
	Endpoint namer.Endpoint

	OutputTokens namer.Tokens // EventFinished: tokens generated; EventFailed: tokens delivered before
	// Reason says how an attempt failed; with EventFinished, that the final answer is a failure.
	Reason classifier.RetryReason
	// NotRun says that the endpoint surely did not execute the failed attempt.
	NotRun bool

	Load Load // EventLoad

	Added, Dropped []uint64 // EventCache
	Reset          bool     // EventCache: a gap or restart; what was known of this cache is void

	Healthy bool // EventHealth
}

// Load is an endpoint's own report of its load.
type Load struct {
	At             time.Time // when the figures were taken, on the daemon's clock
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
	KVUsed         float64
	Role           namer.Role
	// Leaving endpoints get no new work.
	Leaving bool
}

// ActionKind names a decision.
type ActionKind int

// The kinds of actions that a Core returns.
const (
	// ActionDispatch sends a request to an endpoint now.
	ActionDispatch ActionKind = iota
	// ActionRefuse answers the request with Outcome now.
	ActionRefuse
	// ActionCancel stops an attempt at its endpoint; another attempt has taken its place.
	ActionCancel
	// ActionPrefill has the prompt processed at an endpoint; a dispatch to the endpoint that generates follows.
	ActionPrefill
	// ActionSend sends Message to the core of the daemon To.
	ActionSend
	// ActionReport says that the core believes something else than before about an endpoint or daemon.
	ActionReport
)

// Action is a decision that the owner of a Core carries out.
type Action struct {
	Kind     ActionKind
	Request  namer.StreamID
	Attempt  namer.Attempt
	Endpoint namer.Endpoint // ActionDispatch: where the request runs; ActionCancel: where it stops
	// Prefill is set when the prompt is processed on another engine first and its KV cache is moved to Endpoint.
	Prefill    namer.Endpoint
	Priority   int // for the engine; 0 is the most urgent
	Outcome    classifier.Outcome
	RetryAfter time.Duration
	// Fetch is an endpoint that may hold parts of the prompt that Endpoint lacks; empty for none.
	Fetch namer.Endpoint
	// Backup is an endpoint that gets a copy of the request's memory as it grows; empty for none.
	Backup namer.Endpoint
	// FromBackup continues the request from the copy that Endpoint got.
	FromBackup bool
	// To and Message are those of ActionSend.
	To      namer.Host
	Message any
	// Retry names why a dispatch repeats an earlier attempt; empty for the first.
	Retry classifier.RetryReason
	// Last says that no other attempt follows when this one fails.
	Last bool
	// Basis is what the decision rests on. An endpoint that is silent for as long as is expected is well.
	Basis Basis
	// Report is the news of ActionReport about Endpoint or To; it holds for Lasting, if that isn't 0.
	Report  Report
	Lasting time.Duration
}

// Basis is what a decision about a request rests on.
type Basis struct {
	Expected time.Duration // until the first event
	Waiting  time.Duration // for work at the endpoint that goes first
	NewsAge  time.Duration // of what is known of the endpoint's work
	Declined int           // endpoints that were asked and had no place
	Usable   int           // of a refusal: endpoints that could take requests at all
	Late     bool          // the first event can't be on time
}

// Report names what a core has come to believe.
type Report string

// The reports of a core.
const (
	EndpointEjected  Report = "endpoint-ejected"  // it gets no requests for a while
	EndpointReturned Report = "endpoint-returned" // it has served a request after an ejection
	DaemonSilent     Report = "daemon-silent"     // it is not asked for places for a while
	DaemonAnswers    Report = "daemon-answers"    // again
)
