// Package relayer is the gateway's HTTP handler: it matches a request to a route, asks the decision core
// for an endpoint, and proxies the request and its response. Each request is served by one goroutine; the
// package owns the requests in flight.
package relayer

import (
	"net/http"
	"net/netip"
	"time"

	"apricotspool/decider"
	"apricotspool/detector"
	"apricotspool/matcher"
	"apricotspool/namer"
)

// Dialect maps the headers and messages of a deployment to the values that the relayer uses.
type Dialect interface {
	// Decode parses the headers of a caller's request.
	Decode(header http.Header) Call
	// Encode sets the headers of an attempt on a copy of the caller's headers.
	Encode(header http.Header, a Attempt)
	// Classify interprets the status and header of an endpoint's response.
	Classify(status int, header http.Header) Verdict
	// DecodeHandle parses the response to a prefill.
	DecodeHandle(at netip.AddrPort, status int, body []byte) (Handle, error)
	// ReleaseCall returns the method and path of the call that releases a handle.
	ReleaseCall(handle Handle) (method, path string)
	// Patience returns how long a caller waits for an event of a stream with the given targets.
	Patience(target, targetGap time.Duration) time.Duration
	// ReportCall returns the method, path and header of the call for an engine's load report. Another endpoint
	// that uses the address must not answer it.
	ReportCall(to namer.Endpoint) (method, path string, header http.Header)
	// DecodeReport parses a load report.
	DecodeReport(status int, body []byte) (detector.Report, error)
	// RetryAfter sets the header that tells the caller when to retry.
	RetryAfter(header http.Header, after time.Duration)
	// SetRequestID copies the request's id to a response that the daemon itself generates.
	SetRequestID(response, request http.Header)
}

// Call holds what the headers of a caller's request specify.
type Call struct {
	ID      string
	Timeout time.Duration // how long the caller waits; 0 if not given
	Model   namer.Model
	Prompt  namer.Tokens
	// MaxOutput is the caller's limit and ExpectedOutput its estimate; 0 if not given.
	MaxOutput, ExpectedOutput namer.Tokens
	Parts                     []decider.Part
	LastEvent                 string // id of the last event that the caller received; empty to start from the beginning
	// Resumes is the id of the call whose response brought the stream's first event; empty if not given.
	Resumes string
	// Credentials are the API keys that the caller sent; a proper request has at most one.
	Credentials []matcher.Key
}

// Attempt holds the parameters of one attempt to serve a request.
type Attempt struct {
	Endpoint    namer.Endpoint
	Remaining   time.Duration // until the caller's deadline
	HasPriority bool          // Priority is set
	Priority    int
	LastEvent   string // id of the event after which the response starts; empty to start from the beginning
	Prefill     bool   // process only the prompt
	Handle      Handle // of the prompt's KV cache, if its ID is set
	// Fetch is the address of an endpoint that may hold a prefix of the prompt; the zero value for none.
	Fetch netip.AddrPort
	// Backup is the address of an endpoint that the request's KV cache is replicated to as it grows; the
	// zero value for none.
	Backup netip.AddrPort
	// Authenticated is set if the deployment has workspaces. The endpoint then gets Workspace, or none if it is empty,
	// and never a key or a workspace that the caller has named itself.
	Authenticated bool
	Workspace     namer.Caller
}

// Handle identifies a prompt's KV cache that one engine holds for another.
type Handle struct {
	Owner namer.Endpoint // the engine that holds the cache; empty if the handle need not be released
	// Incarnation is that of the engine's entry when the prompt was processed. A process that has taken its place may give the
	// handle out again, for another prompt.
	Incarnation namer.Incarnation
	At          netip.AddrPort // address of that engine
	ID          string
	Tokens      namer.Tokens
}

// Verdict is what a response says about the execution of its request.
type Verdict struct {
	NotRun bool // the endpoint guarantees that it did not execute the request
	// Inconsistent is set if the status and the header disagree on whether the request ran. It may have.
	Inconsistent  bool
	WrongEndpoint bool // another endpoint uses the address, or the endpoint has another role
	Signed        bool // the response carries the endpoint's signature
	Leaving       bool // the endpoint is about to leave
	Limit         decider.StatedLimit
	// RetryAfter is how long the endpoint wants no requests from this daemon; 0 if it does not say.
	RetryAfter time.Duration
}
