package server

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/configurer"
	"apricotspool/inspector"
	"apricotspool/namer"
	"apricotspool/resumer"
)

// Headers of the callers' API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "X-Outcome"
	HeaderRank           = "X-Rank"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// defaultRetryAfter is used for refusals that don't come from the decision core.
const defaultRetryAfter = time.Second

// exchange is one request and its response, owned by the request's goroutine.
type exchange struct {
	server          *Server
	w               http.ResponseWriter
	r               *http.Request
	startTime       time.Time
	snapshot        *configurer.Snapshot
	callerName      namer.Caller
	caller          configurer.Caller
	id              resumer.Identity
	headerSent      bool               // whether the response header has been sent
	outcome         classifier.Outcome // set once, by recordOutcome
	memory          memory
	abortConnection bool // whether to abort the connection, because the response is incomplete
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{server: s, w: w, r: r, startTime: time.Now()}
	x.id.Stream = namer.NewStreamID()
	http.NewResponseController(w).SetWriteDeadline(time.Time{}) // clears the deadline of an earlier request on the connection
	return x
}

// callerLeft reports whether the caller has left. The context of its request ends later: net/http reads in the background.
func (x *exchange) callerLeft() bool { return inspector.Of(x.r.Context()).Inspect().Left }

// callerWaits ends the request and returns false if its caller left before the request was read. A call with an idempotency
// key goes on, since its caller may ask for the response again.
func (x *exchange) callerWaits() bool {
	if x.r.Header.Get(HeaderIdempotencyKey) != "" || !x.callerLeft() {
		return true
	}
	x.refuse(classifier.CallerDisconnected, "")
	return false
}

// errorResponseGrace is the time after the request's deadline in which an error response can be written.
const errorResponseGrace = 5 * time.Second

// withDeadline bounds the request, including writes to a caller that does not read its response.
func (x *exchange) withDeadline(deadline time.Time) (context.Context, context.CancelFunc) {
	http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(errorResponseGrace))
	return context.WithDeadline(x.r.Context(), deadline)
}

// recordOutcome records and logs the outcome of the request. It must be called exactly once.
func (x *exchange) recordOutcome(outcome classifier.Outcome) {
	asserter.Check(x.outcome == "", "a request has one outcome", "stream %s already has outcome %q, new outcome %q", x.id.Stream, x.outcome, outcome)
	x.outcome = outcome
	if x.server.Metrics != nil {
		x.server.Metrics.Outcome(outcome)
	}
	x.server.Log.Debug().Str("stream", string(x.id.Stream)).Str("caller", string(x.callerName)).Str("service", string(x.id.Service)).
		Str("outcome", string(outcome)).Dur("took", time.Since(x.startTime)).Msg("request-ended")
}

// authenticate identifies the caller by the hash of its token. It refuses the request and returns false if the
// token is unknown.
func (x *exchange) authenticate() bool {
	x.snapshot = x.server.Snapshot()
	if !configured(x.snapshot) {
		x.refuse(classifier.NoConfiguration, "")
		return false
	}
	scheme, token, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	name, caller, known := x.snapshot.Caller(configurer.HashToken(strings.TrimSpace(token)))
	if !strings.EqualFold(scheme, "Bearer") || !known {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		x.refuse(classifier.Unauthenticated, "")
		return false
	}
	x.callerName, x.caller = name, caller
	x.id.Caller = resumer.HashCaller(name)
	return true
}

// rank returns the rank of the request: the caller's own, or a lower one if the request header names it.
func (x *exchange) rank(service configurer.Service) (namer.Rank, bool) {
	callerRank, ok := service.Ranks[x.caller.Rank]
	if !ok {
		x.refuse(classifier.Forbidden, "the service does not have the caller's rank")
		return "", false
	}
	requested := namer.Rank(x.r.Header.Get(HeaderRank))
	if requested == "" {
		return x.caller.Rank, true
	}
	rank, ok := service.Ranks[requested]
	if !ok {
		x.refuse(classifier.BadRequest, HeaderRank+" specifies a rank that the service does not have")
		return "", false
	}
	if rank.Order < callerRank.Order {
		x.refuse(classifier.Forbidden, "a caller may lower its rank, but not raise it")
		return "", false
	}
	return requested, true
}

// setRequestID sets the header with the signed request id. The id includes the first endpoint, if there is one.
func (x *exchange) setRequestID() {
	x.w.Header().Set(HeaderRequestID, string(x.server.Signer.Sign(x.id)))
}

// refuse sends an error response. An empty message stands for the outcome's standard message.
func (x *exchange) refuse(outcome classifier.Outcome, message string) {
	x.refuseWithRetryAfter(outcome, message, defaultRetryAfter)
}

func (x *exchange) refuseWithRetryAfter(outcome classifier.Outcome, message string, retryAfter time.Duration) {
	x.recordOutcome(outcome)
	class := outcome.Class()
	header := x.w.Header()
	x.setRequestID()
	header.Set(HeaderOutcome, string(class.Execution))
	header.Set("Content-Type", "application/json")
	if class.Retry {
		header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(retryAfter.Seconds())))))
	}
	x.w.WriteHeader(class.Status)
	x.w.Write(errorBody(outcome, message))
}

// errorBody returns the JSON body of an error response.
func errorBody(outcome classifier.Outcome, message string) []byte {
	class := outcome.Class()
	if message == "" {
		message = class.Help
	}
	kind := "server_error"
	switch {
	case class.Status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case class.Status < 500:
		kind = "invalid_request_error"
	}
	body, _ := json.Marshal(map[string]any{"error": map[string]any{ // can't fail: there are only strings
		"type": kind, "code": outcome, "message": message, "outcome": class.Execution,
	}})
	return body
}
