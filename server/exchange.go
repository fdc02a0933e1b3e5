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
	"apricotspool/namer"
	"apricotspool/resumer"
)

// Headers of the callers' API.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOutcome   = "X-Outcome"
	HeaderRank      = "X-Rank"
	HeaderKey       = "Idempotency-Key"
)

// defaultRetryAfter is sent with refusals for which the core names no time.
const defaultRetryAfter = time.Second

// exchange is one request of a caller and its answer. Its goroutine owns it.
type exchange struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	began    time.Time
	snapshot *configurer.Snapshot
	name     namer.Caller
	caller   configurer.Caller
	id       resumer.Identity
	started  bool               // the header of the answer has been written
	outcome  classifier.Outcome // set once, by finish
	cut      bool               // the connection must break, because the answer is not complete
}

func (s *Server) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{server: s, w: w, r: r, began: time.Now()}
	x.id.Stream = namer.NewStreamID()
	http.NewResponseController(w).SetWriteDeadline(time.Time{}) // an earlier request on the connection has set one
	return x
}

// refusalTime is left after the deadline to tell the caller that it has passed.
const refusalTime = 5 * time.Second

// until bounds the request, and with it the patience with a caller that does not read its answer.
func (x *exchange) until(deadline time.Time) (context.Context, context.CancelFunc) {
	http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(refusalTime))
	return context.WithDeadline(x.r.Context(), deadline)
}

// finish records the outcome. A request has exactly one.
func (x *exchange) finish(outcome classifier.Outcome) {
	asserter.Check(x.outcome == "", "a request is answered once", "stream %s has outcome %q and gets %q", x.id.Stream, x.outcome, outcome)
	x.outcome = outcome
	if x.server.Metrics != nil {
		x.server.Metrics.Outcome(outcome)
	}
	x.server.Log.Debug().Str("stream", string(x.id.Stream)).Str("caller", string(x.name)).Str("service", string(x.id.Service)).
		Str("outcome", string(outcome)).Dur("took", time.Since(x.began)).Msg("request-ended")
}

// authenticate finds the caller by the sum of its token.
func (x *exchange) authenticate() bool {
	x.snapshot = x.server.Snapshot()
	if !configured(x.snapshot) {
		x.refuse(classifier.NoConfiguration, "")
		return false
	}
	scheme, token, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	name, caller, known := x.snapshot.Caller(configurer.SumToken(strings.TrimSpace(token)))
	if !strings.EqualFold(scheme, "Bearer") || !known {
		x.w.Header().Set("WWW-Authenticate", "Bearer")
		x.refuse(classifier.Unauthenticated, "")
		return false
	}
	x.name, x.caller = name, caller
	x.id.Caller = resumer.HashCaller(name)
	return true
}

// rank returns the rank of the request: the caller's own or a lower one that it asks for.
func (x *exchange) rank(service configurer.Service) (namer.Rank, bool) {
	own, ok := service.Ranks[x.caller.Rank]
	if !ok {
		x.refuse(classifier.Forbidden, "the service does not have the caller's rank")
		return "", false
	}
	asked := namer.Rank(x.r.Header.Get(HeaderRank))
	if asked == "" {
		return x.caller.Rank, true
	}
	rank, ok := service.Ranks[asked]
	if !ok {
		x.refuse(classifier.BadRequest, HeaderRank+" names a rank that the service does not have")
		return "", false
	}
	if rank.Order < own.Order {
		x.refuse(classifier.Forbidden, "a caller may lower its rank but not raise it")
		return "", false
	}
	return asked, true
}

// sendID sets the request id, which names the first endpoint once there is one.
func (x *exchange) sendID() { x.w.Header().Set(HeaderRequestID, string(x.server.Signer.Sign(x.id))) }

// refuse answers with an outcome at once.
func (x *exchange) refuse(outcome classifier.Outcome, message string) {
	x.refuseFor(outcome, message, defaultRetryAfter)
}

func (x *exchange) refuseFor(outcome classifier.Outcome, message string, retryAfter time.Duration) {
	x.finish(outcome)
	class := outcome.Class()
	header := x.w.Header()
	x.sendID()
	header.Set(HeaderOutcome, string(class.Execution))
	header.Set("Content-Type", "application/json")
	if class.Retry {
		header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(retryAfter.Seconds())))))
	}
	x.w.WriteHeader(class.Status)
	x.w.Write(errorBody(outcome, message))
}

// errorBody returns the standard error body.
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
	body, _ := json.Marshal(map[string]any{"error": map[string]any{ // strings only, which always encode
		"type": kind, "code": outcome, "message": message, "outcome": class.Execution,
	}})
	return body
}
