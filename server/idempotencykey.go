package server

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"apricotspool/classifier"
	"apricotspool/namer"
)

// maxKeyedResponseBytes bounds the response to a call with a key, which is buffered to be recorded.
const maxKeyedResponseBytes = 16 << 20

// KeyedCall identifies a non-idempotent call by its service, caller and idempotency key.
type KeyedCall struct {
	Service  namer.Service
	Caller   namer.Caller
	Key      string
	Digest   [sha256.Size]byte // hash of method, path, query, content type and body
	Deadline time.Time
}

// KeyedResponse is an endpoint's response to a call with an idempotency key.
type KeyedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claimer executes non-idempotent calls at most once per service, caller and key, across all hosts.
type Claimer interface {
	// Run claims a call and, if no other process has claimed it, calls send at most once. It returns the
	// response, or the one recorded earlier, with the outcome Served, and any other outcome without a
	// response. The context passed to send ends when the claim no longer permits starting a call. If send
	// returns an outcome that says "not-run", the claim is released.
	Run(ctx context.Context, call KeyedCall, send func(ctx context.Context) (KeyedResponse, classifier.Outcome)) (KeyedResponse, classifier.Outcome)
}

// callDigest returns the hash of a call's content, which detects that a key is reused for another call.
func callDigest(r *http.Request, path string, body []byte) [sha256.Size]byte {
	sum := sha256.New()
	for _, part := range []string{r.Method, path, r.URL.RawQuery, r.Header.Get("Content-Type")} {
		io.WriteString(sum, part)
		sum.Write([]byte{0}) // separator; no part contains a zero byte
	}
	sum.Write(body)
	return [sha256.Size]byte(sum.Sum(nil))
}

// serveKeyed serves a non-idempotent call with an idempotency key.
func (f *forwardedCall) serveKeyed(ctx context.Context, key string) {
	x := f.x
	if x.server.Claimer == nil {
		f.ticket.Cancelled()
		x.refuse(classifier.StoreUnavailable, "")
		return
	}
	call := KeyedCall{
		Service: f.name, Caller: x.callerName, Key: key, Digest: callDigest(x.r, f.call.Path, f.bufferedBody), Deadline: f.deadline,
	}
	response, outcome := x.server.Claimer.Run(ctx, call, f.sendKeyed)
	if outcome != classifier.Served {
		f.closeTicket()
		x.refuse(outcome, "")
		return
	}
	f.closeTicket()
	f.writeHeader(response.Status, response.Header)
	x.recordOutcome(classifier.Served)
	x.w.Write(response.Body)
}

// sendKeyed sends the call and reads the complete response. It must be called at most once per claim.
func (f *forwardedCall) sendKeyed(ctx context.Context) (KeyedResponse, classifier.Outcome) {
	response, outcome := f.sendWithRetries(ctx)
	if outcome != classifier.Served {
		return KeyedResponse{}, outcome
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKeyedResponseBytes+1))
	if err != nil || len(body) > maxKeyedResponseBytes {
		return KeyedResponse{}, classifier.OutcomeUnknown
	}
	return KeyedResponse{Status: response.Status, Header: response.Header, Body: body}, classifier.Served
}
