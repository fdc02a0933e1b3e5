// Package classifier defines the closed sets of request outcomes and retry reasons. An outcome is a
// value, not an error: each has an HTTP status, a statement on whether the request was executed, and
// a counter. The package has no state.
package classifier

import (
	"fmt"
	"net/http"
)

// Outcome is how a request ended.
type Outcome string

// Execution states whether a refused or failed request was executed.
type Execution string

// The values of Execution. NotRun guarantees that no endpoint has executed or will execute the request.
const (
	NotRun  Execution = "not-run"
	Unknown Execution = "unknown"
	Run     Execution = "run"
)

// The outcomes.
const (
	Served             Outcome = "served"
	BadRequest         Outcome = "bad-request"
	Unauthenticated    Outcome = "unauthenticated"
	KeysNotCurrent     Outcome = "keys-not-current"
	Forbidden          Outcome = "forbidden"
	NotFound           Outcome = "not-found"
	TooLarge           Outcome = "too-large"
	RateLimited        Outcome = "rate-limited"
	QueueFull          Outcome = "queue-full"
	TargetUnreachable  Outcome = "target-unreachable"
	DeadlineExceeded   Outcome = "deadline-exceeded"
	NoEndpoint         Outcome = "no-endpoint"
	Draining           Outcome = "draining"
	NoConfiguration    Outcome = "no-configuration"
	StoreUnavailable   Outcome = "store-unavailable"
	KeyReused          Outcome = "key-reused"
	OutcomeUnknown     Outcome = "outcome-unknown"
	EndpointFailed     Outcome = "endpoint-failed"
	EndpointRefused    Outcome = "endpoint-refused"
	PromptBlocked      Outcome = "prompt-blocked"
	RequestBlocked     Outcome = "request-blocked"
	EndpointsLimited   Outcome = "endpoints-limited"
	PlacementStalled   Outcome = "placement-stalled"
	PromptTooLong      Outcome = "prompt-too-long"
	StreamGone         Outcome = "stream-gone"
	StreamUnknown      Outcome = "stream-unknown"
	BuildGone          Outcome = "build-gone"
	MemoryExhausted    Outcome = "memory-exhausted"
	CallerDisconnected Outcome = "caller-gone"
	Internal           Outcome = "internal"
)

// Class holds the properties of an outcome.
type Class struct {
	Status    int       // HTTP status of the response
	Execution Execution // what the caller may assume about the execution
	Retry     bool      // whether the response has a Retry-After header
	Help      string    // one-line description for docs/callers.md
}

var classes = map[Outcome]Class{
	Served:             {http.StatusOK, Run, false, "The request was executed and its whole answer returned."},
	BadRequest:         {http.StatusBadRequest, NotRun, false, "The request is malformed; correct it."},
	Unauthenticated:    {http.StatusUnauthorized, NotRun, false, "The bearer token or API key is missing or unknown."},
	KeysNotCurrent:     {http.StatusServiceUnavailable, NotRun, true, "The store has not confirmed this daemon's API keys recently enough to check the request's; ask again, maybe another daemon answers."},
	Forbidden:          {http.StatusForbidden, NotRun, false, "The caller may not use this service or rank."},
	NotFound:           {http.StatusNotFound, NotRun, false, "The path, service, model or stream does not exist."},
	TooLarge:           {http.StatusRequestEntityTooLarge, NotRun, false, "The body, header or prompt is over the limit."},
	RateLimited:        {http.StatusTooManyRequests, NotRun, true, "The caller is over its own share while others wait."},
	QueueFull:          {http.StatusTooManyRequests, NotRun, true, "The queue of the rank is full."},
	TargetUnreachable:  {http.StatusServiceUnavailable, NotRun, true, "The rank's target can't be met with the work already accepted."},
	DeadlineExceeded:   {http.StatusGatewayTimeout, NotRun, true, "The deadline passed before the request was sent to an endpoint."},
	NoEndpoint:         {http.StatusServiceUnavailable, NotRun, true, "No endpoint of the service can take work."},
	Draining:           {http.StatusServiceUnavailable, NotRun, true, "This daemon is shutting down; ask again, another one answers."},
	NoConfiguration:    {http.StatusServiceUnavailable, NotRun, true, "This daemon has no configuration yet."},
	StoreUnavailable:   {http.StatusServiceUnavailable, NotRun, true, "The claim of a non-idempotent call can't be recorded now."},
	KeyReused:          {http.StatusUnprocessableEntity, NotRun, false, "The idempotency key was used with a different request; this request was not run."},
	OutcomeUnknown:     {http.StatusConflict, Unknown, false, "The call may have run. Ask again with the same key; it is never run twice."},
	EndpointFailed:     {http.StatusBadGateway, Unknown, false, "The endpoint failed while it executed the request."},
	EndpointRefused:    {http.StatusServiceUnavailable, NotRun, true, "Every endpoint that was asked refused the request before execution."},
	PromptBlocked:      {http.StatusServiceUnavailable, NotRun, true, "Endpoints have ended under a part of the prompt; it is tried again after a while."},
	RequestBlocked:     {http.StatusServiceUnavailable, NotRun, true, "Endpoints have ended under this request; it is tried again after a while."},
	EndpointsLimited:   {http.StatusServiceUnavailable, NotRun, true, "The endpoints of the service have reached the request rates that they state."},
	PlacementStalled:   {http.StatusServiceUnavailable, NotRun, true, "The daemon has found no endpoint in the number of steps that suffices; a fault of the daemon."},
	PromptTooLong:      {http.StatusServiceUnavailable, NotRun, true, "The prompt is larger than the memory of each endpoint of the service; it is not worth asking again soon."},
	StreamGone:         {http.StatusGone, Unknown, false, "No endpoint knows the stream any more."},
	StreamUnknown:      {http.StatusServiceUnavailable, NotRun, true, "The software version that began the stream isn't known here, so it can't be resumed; start it anew."},
	BuildGone:          {http.StatusServiceUnavailable, NotRun, true, "No endpoint of the software version that began the stream is left; start it anew."},
	MemoryExhausted:    {http.StatusServiceUnavailable, NotRun, true, "The daemon has no memory left for the request; ask again, another one may have."},
	CallerDisconnected: {499, Unknown, false, "The caller closed the connection."},
	Internal:           {http.StatusInternalServerError, Unknown, false, "The daemon failed."},
}

// Class returns the properties of an outcome; an unknown outcome has those of Internal.
func (o Outcome) Class() Class {
	class, ok := classes[o]
	if !ok {
		return classes[Internal]
	}
	return class
}

// Outcomes returns every outcome, in no particular order.
func Outcomes() []Outcome {
	all := make([]Outcome, 0, len(classes))
	for o := range classes {
		all = append(all, o)
	}
	return all
}

// Row formats an outcome as a row of the Markdown table in docs/callers.md.
func Row(o Outcome) string {
	class := o.Class()
	retry := "no"
	if class.Retry {
		retry = "yes"
	}
	return fmt.Sprintf("| `%s` | %d | %s | %s | %s |", o, class.Status, class.Execution, retry, class.Help)
}
