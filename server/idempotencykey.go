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

// maxKeyedAnswer bounds the answer of a call with a key, which is held in memory to be recorded.
const maxKeyedAnswer = 16 << 20

// KeyedCall identifies a non-idempotent call by its caller and key.
type KeyedCall struct {
	Service  namer.Service
	Caller   namer.Caller
	Key      string
	Digest   [sha256.Size]byte // of method, path, query, content type and body
	Deadline time.Time
}

// KeyedAnswer is the answer of an endpoint to a call with a key.
type KeyedAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Claimer runs non-idempotent calls at most once for each service, caller and key, across all hosts.
type Claimer interface {
	// Run claims a call and, if no other process has claimed it, calls send at most once. It returns
	// the answer with Served, also one that was recorded earlier, or another outcome without an
	// answer. The context of send ends when the claim may no longer be used to begin a call. When
	// send returns an outcome that says "not-run", the claim is given up.
	Run(ctx context.Context, call KeyedCall, send func(ctx context.Context) (KeyedAnswer, classifier.Outcome)) (KeyedAnswer, classifier.Outcome)
}

// digest identifies the content of a call, so that a key that is used again for another call is noticed.
func digest(r *http.Request, path string, body []byte) [sha256.Size]byte {
	sum := sha256.New()
	for _, part := range []string{r.Method, path, r.URL.RawQuery, r.Header.Get("Content-Type")} {
		io.WriteString(sum, part)
		sum.Write([]byte{0}) // none of the parts has a zero byte
	}
	sum.Write(body)
	return [sha256.Size]byte(sum.Sum(nil))
}

// keyed serves a non-idempotent call with a key.
func (f *forwarding) keyed(ctx context.Context, key string) {
	x := f.x
	if x.server.Claimer == nil {
		f.ticket.Cancelled()
		x.refuse(classifier.StoreUnavailable, "")
		return
	}
	call := KeyedCall{
		Service: f.name, Caller: x.name, Key: key, Digest: digest(x.r, f.call.Path, f.replay), Deadline: f.deadline,
	}
	answer, outcome := x.server.Claimer.Run(ctx, call, f.sendKeyed)
	if outcome != classifier.Served {
		f.release()
		x.refuse(outcome, "")
		return
	}
	f.release()
	f.writeHeader(answer.Status, answer.Header)
	x.finish(classifier.Served)
	x.w.Write(answer.Body)
}

// sendKeyed does the call and reads the whole answer. It may run at most once for a claim.
func (f *forwarding) sendKeyed(ctx context.Context) (KeyedAnswer, classifier.Outcome) {
	answer, outcome := f.attempts(ctx)
	if outcome != classifier.Served {
		return KeyedAnswer{}, outcome
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxKeyedAnswer+1))
	if err != nil || len(body) > maxKeyedAnswer {
		return KeyedAnswer{}, classifier.OutcomeUnknown
	}
	return KeyedAnswer{Status: answer.Status, Header: answer.Header, Body: body}, classifier.Served
}
