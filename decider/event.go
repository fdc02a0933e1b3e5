// Package decider implements admission, scheduling, routing and retry decisions. It is deterministic
// and does no I/O: time and events are passed in as values, and decisions are returned as values. A
// Core is owned by one goroutine; the package starts none.
package decider

import (
	"time"

	"apricotspool/classifier"
	"apricotspool/historian"
	"apricotspool/namer"
)

// Request is a request to be admitted and dispatched.
type Request struct {
	ID      namer.StreamID
	Caller  namer.Caller
	Service namer.Service
	Model   namer.Model // empty for plain services
	Rank    namer.Rank
	Weight  int // fair-queueing weight of the caller within its rank; 0 means 1
	// Idempotent requests may be attempted again after a failure.
	Idempotent   bool
	PromptTokens namer.Tokens
	// MaxTokens is the caller's limit on the output; 0 means the model's context.
	MaxTokens namer.Tokens
	// Prefix holds the hashes of the prompt's leading blocks of PrefixBlock tokens, each over all
	// tokens up to its end, so that equal hashes mean equal prefixes.
	Prefix   []uint64
	Deadline time.Time

	// Target is the maximum time from arrival to the first byte of the response that counts as on time;
	// 0 means the rank's target.
	Target time.Duration
	// TargetGap is the longest gap between two events that counts as on time; 0 means no target.
	TargetGap time.Duration
	// Patience is how long the caller waits for the first event, or for the next one; 0 means until Deadline.
	Patience time.Duration
	// Priority ranks requests of routes, which have no named ranks; 0 is the most urgent.
	Priority int
	// Parts are the prompt's parts in order, if the caller states them. Requests with common leading
	// parts share cache entries.
	Parts []Part
	// Attempts limits the number of attempts of this request; 0 means no limit beyond the general ones.
	Attempts int
	// Stream identifies the stream of a request that callers can take up later; 0 for none. Continues says that the request
	// takes up a stream that has begun, maybe at another daemon, and Lifetime how long callers can take it up.
	Stream    historian.StreamKey
	Continues bool
	Lifetime  time.Duration
	// Confirmation says how current the fleet is, for a request that takes up a stream. It is not older than the request.
	Confirmation Confirmation
	// Fingerprint is the same for requests that are the same to an endpoint; 0 if unknown.
	Fingerprint Fingerprint
}

// Fingerprint is a hash of what an endpoint receives of a request, of 63 bits.
type Fingerprint uint64

// Part is a piece of a prompt that engines cache as a whole.
type Part struct {
	ID     uint64
	Tokens namer.Tokens
}

// PrefixBlock is the number of tokens in one prompt block of an engine's prefix cache.
const PrefixBlock namer.Tokens = 256

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events that a Core observes.
const (
	// EventStarted reports the first token or first byte of an attempt.
	EventStarted EventKind = iota
	// EventPrefilled reports that the prefill endpoint of an attempt has processed the prompt.
	EventPrefilled
	// EventFinished reports that an attempt has delivered its whole response.
	EventFinished
	// EventFailed reports that an attempt failed; Reason and NotRun determine whether it may be retried.
	EventFailed
	// EventCancelled reports that the caller has disconnected; the request is removed.
	EventCancelled
	// EventLoad delivers an endpoint's load report, taken at Load.At.
	EventLoad
	// EventCache reports prefix blocks that an engine has added to or evicted from its cache.
	EventCache
	// EventHealth reports the result of a reachability check made outside a request, or of the check that
	// ActionProbe asked for.
	EventHealth
	// EventLeaving reports that Endpoint has announced in a response that it is leaving.
	EventLeaving
	// EventLimit reports what a response of Endpoint says about its rate limit.
	EventLimit
	// EventCalled reports a call to Endpoint that is no attempt, such as one for its load report.
	EventCalled
	// EventUnresponsive reports that the endpoint of the current attempt sends nothing; Reason says whether it
	// responds to other attempts. The core answers with ActionProbe, ActionAbandon or ActionKeep.
	EventUnresponsive
)

// Event is an input to a Core. Only the fields of its kind are set.
type Event struct {
	Kind     EventKind
	Request  namer.StreamID
	Attempt  namer.Attempt // 0 means the current one; events of earlier attempts are ignored
	Endpoint namer.Endpoint

	OutputTokens namer.Tokens // EventFinished: tokens generated; EventFailed: tokens delivered before the failure
	// Reason says how an attempt failed; with EventFinished, that the final response is a failure.
	Reason classifier.RetryReason
	// NotRun is set when the endpoint is known not to have executed the failed attempt.
	NotRun bool
	// Ended is set when the endpoint's process is known to have ended during the failed attempt.
	Ended bool
	// RetryAfter is how long the endpoint wants no requests from this daemon; EventFailed.
	RetryAfter time.Duration

	Load Load // EventLoad

	// Limit and RequestedAt, the time of the call that the response belongs to; EventLimit.
	Limit       StatedLimit
	RequestedAt time.Time

	Added, Dropped []uint64 // EventCache
	Reset          bool     // EventCache: a gap in the events or a restart; earlier cache state is invalid

	Healthy bool // EventHealth
}

// LimitState tells what a response says about a rate limit.
type LimitState int

// The states of a StatedLimit.
const (
	LimitAbsent  LimitState = iota // the endpoint has no limit
	LimitInvalid                   // the response says nothing about it
	LimitStated
)

// StatedLimit is the rate limit that a response states. It holds for all daemons together, until a later response
// states another one or none.
type StatedLimit struct {
	State LimitState
	Rate  namer.Rate // LimitStated
}

// Load is an endpoint's own report of its load.
type Load struct {
	At             time.Time // sampling time, on the daemon's clock
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
	KVUsed         float64
	Role           namer.Role
	// Leaving endpoints get no new requests.
	Leaving bool
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions that a Core returns.
const (
	// ActionDispatch sends a request to an endpoint now.
	ActionDispatch ActionKind = iota
	// ActionRefuse answers the request with Outcome now.
	ActionRefuse
	// ActionCancel stops an attempt at its endpoint after another attempt has replaced it.
	ActionCancel
	// ActionPrefill runs only the prefill at an endpoint; a dispatch to the decode endpoint follows.
	ActionPrefill
	// ActionSend sends Message to the Core of the daemon on host To.
	ActionSend
	// ActionReport announces a change in the assumed state of an endpoint, a daemon or a prompt part.
	ActionReport
	// ActionProbe checks whether Endpoint responds, where the request could go on. EventHealth has the result.
	ActionProbe
	// ActionAbandon ends the current attempt, whose endpoint is unresponsive. Another attempt follows its
	// EventFailed.
	ActionAbandon
	// ActionKeep keeps the current attempt although its endpoint is unresponsive, since no other can follow.
	ActionKeep
)

// Action is a decision that the owner of a Core carries out.
type Action struct {
	Kind     ActionKind
	Request  namer.StreamID
	Attempt  namer.Attempt
	Endpoint namer.Endpoint // ActionDispatch: endpoint to run on; ActionCancel: endpoint to cancel on
	// Prefill is set when another engine runs the prefill and transfers the KV cache to Endpoint.
	Prefill    namer.Endpoint
	Priority   int // engine scheduling priority; 0 is the most urgent
	Outcome    classifier.Outcome
	RetryAfter time.Duration
	// Fetch is an endpoint from which Endpoint may fetch cached prompt parts that it lacks; empty for none.
	Fetch namer.Endpoint
	// Backup is an endpoint to which the request's KV cache is replicated as it grows; empty for none.
	Backup namer.Endpoint
	// FromBackup resumes the request from the KV cache replica at Endpoint.
	FromBackup bool
	// To and Message are the destination and payload of ActionSend.
	To      namer.Host
	Message any
	// Retry is the reason for a retry; empty for the first attempt.
	Retry classifier.RetryReason
	// FinalAttempt is set when no further attempt follows if this one fails.
	FinalAttempt bool
	// Limited is set when Endpoint has a rate limit, so that a response without one lifts it.
	Limited bool
	// Basis holds the predictions behind the decision. An endpoint that sends nothing for no longer than
	// Basis.Expected is not considered faulty.
	Basis Basis
	// Report is the state change that ActionReport announces about Endpoint, To or Part; it is valid for
	// ReportDuration unless that is 0.
	Report         Report
	ReportDuration time.Duration
	// Limit is the rate limit of a report.
	Limit namer.Rate
	// Window is the number of requests without an answer that an endpoint gets, in a report.
	Window float64
	// Part is the prompt part of a report, and Ended the endpoints that ended while they ran requests with it.
	Part  uint64
	Ended []namer.Endpoint
}

// Basis holds the predictions and counts that explain a decision about a request.
type Basis struct {
	Expected     time.Duration // predicted time to the first event
	QueueingTime time.Duration // predicted queueing time at the endpoint
	LoadAge      time.Duration // age of the endpoint's load report
	Declined     int           // endpoints that declined a reservation
	Usable       int           // for a refusal: number of endpoints able to take requests at all
	Late         bool          // the first event is predicted to miss its target
	Build        namer.Build   // of the endpoint, as far as known
}

// Report is a state change of an endpoint, a daemon or a prompt part as seen by a Core.
type Report string

// The reports of a Core.
const (
	EndpointEjected    Report = "endpoint-ejected"   // ejected as an outlier; gets no requests for a while
	EndpointReturned   Report = "endpoint-returned"  // readmitted after serving a request
	EndpointLimited    Report = "endpoint-limited"   // takes Limit requests a second from all daemons together
	EndpointUnlimited  Report = "endpoint-unlimited" // takes any number of requests again
	EndpointPaced      Report = "endpoint-paced"     // has started or recovered, and gets Window requests without an answer at first
	EndpointProved     Report = "endpoint-proved"    // has answered as its kind does, and has no such bound any more
	DaemonUnresponsive Report = "daemon-silent"      // not asked for reservations for a while
	DaemonResponsive   Report = "daemon-answers"     // answers reservation requests again
	PlacementStalled   Report = "placement-stalled"  // a placement took more turns than it can need; the request is refused

	PromptPartSuspected Report = "prompt-part-suspected" // several endpoints have ended under it, without a success
	PromptPartBlocked   Report = "prompt-part-blocked"   // requests with it are refused for a while
	RequestSuspected    Report = "request-suspected"     // as for a prompt part, for a request that comes again
	RequestBlocked      Report = "request-blocked"
	RequestCleared      Report = "request-cleared"
	PromptPartCleared   Report = "prompt-part-cleared" // a request with it has succeeded
)
