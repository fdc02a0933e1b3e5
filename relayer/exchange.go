package relayer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/matcher"
	"apricotspool/namer"
)

// exchange is one request and its answer. Its goroutine owns it.
type exchange struct {
	relayer *Relayer
	w       http.ResponseWriter
	r       *http.Request
	began   time.Time
	call    Call

	version  namer.ConfigVersion // of the routes
	route    *matcher.Route
	service  namer.Service
	deadline time.Time // the caller's or the route's, whichever ends first
	body     []byte

	ticket  *dispatcher.Ticket
	ended   bool // the core has forgotten the request
	mayRun  bool // some endpoint may have executed the request
	started bool // the header of the answer has been sent
	cut     bool // the answer can't be completed
	outcome classifier.Outcome
	stream  relayed
	handle  Handle // of the prompt, while another engine keeps it
	// fallback is the failure of an endpoint that is passed on when no further attempt is made.
	fallback *buffered
}

// defaultRetryAfter is used where the core does not say when to come back.
const defaultRetryAfter = 200 * time.Millisecond

// defaultBodyBytes bounds a request's body where the routes state no limit.
const defaultBodyBytes = 8 << 20

// prepare finds the route and reads the body. It answers the caller when the request can't be served.
func (x *exchange) prepare() bool {
	table := x.relayer.Table()
	if table == nil {
		x.refuse(classifier.NoConfiguration, defaultRetryAfter)
		return false
	}
	x.version = table.Version
	route, found := table.Match(x.r.Host, x.r.URL.Path)
	if !found {
		x.refuse(classifier.NotFound, 0)
		return false
	}
	service, found := pickService(route, rand.IntN)
	if !found {
		x.refuse(classifier.NoEndpoint, defaultRetryAfter)
		return false
	}
	x.route, x.service = route, service
	limit := route.Timeout
	if x.call.Patience > 0 && (limit == 0 || x.call.Patience < limit) {
		limit = x.call.Patience
	}
	x.deadline = x.began.Add(limit)
	return x.readBody(table.Limits.BodyBytes)
}

func (x *exchange) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.refuse(classifier.TooLarge, 0)
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	var err error
	x.body, err = io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		x.refuse(classifier.TooLarge, 0)
	default:
		x.finish(classifier.CallerGone)
		x.cut = true // a part of the request is missing, so nothing can be answered
	}
	return false
}

// serve brings the request to the core and carries out its decisions.
func (x *exchange) serve() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	ticket, err := x.relayer.Dispatcher.Submit(ctx, decider.Request{
		ID: namer.NewStreamID(), Service: x.service, Model: x.call.Model, Idempotent: x.route.Repeatable(),
		PromptTokens: x.call.Prompt, MaxTokens: x.expectedOutput(), Deadline: x.deadline, Target: x.route.Target, TargetGap: x.route.TargetGap,
		Priority: x.route.Priority, Parts: x.call.Parts, Attempts: x.route.Attempts,
	})
	if err != nil {
		x.refuse(classifier.Draining, defaultRetryAfter)
		return
	}
	x.ticket = ticket
	defer x.release()
	defer func() { x.free(x.handle) }()
	for {
		action, outcome := x.await(ctx)
		if outcome != "" {
			x.giveUp(outcome, action.RetryAfter)
			return
		}
		asserter.Check(!x.mayRun || x.route.Repeatable() || action.FromBackup, "a request that must not be repeated is sent once", "%+v", action)
		if x.attempt(ctx, action) {
			return
		}
	}
}

func (x *exchange) expectedOutput() namer.Tokens {
	if x.call.LikelyOutput > 0 {
		return x.call.LikelyOutput
	}
	return x.call.MaxOutput
}

// await waits for the next dispatch, or returns the outcome to end with.
func (x *exchange) await(ctx context.Context) (decider.Action, classifier.Outcome) {
	for {
		select {
		case a, ok := <-x.ticket.Actions():
			switch {
			case !ok:
				x.ended = true
				return decider.Action{}, classifier.Draining
			case a.Kind == decider.ActionRefuse:
				x.ended = true
				x.logDecision(a)
				return a, a.Outcome
			case a.Kind == decider.ActionDispatch, a.Kind == decider.ActionPrefill:
				x.logDecision(a)
				return a, ""
			}
		case <-x.ticket.Stopped():
			x.ended = true
			return decider.Action{}, classifier.Draining
		case <-ctx.Done():
			return decider.Action{}, outcomeOf(ctx)
		}
	}
}

// release returns the request to the core if it still has it.
func (x *exchange) release() {
	if !x.ended {
		x.ended = true
		x.ticket.Cancelled()
	}
}

// giveUp ends the request without a further attempt.
func (x *exchange) giveUp(outcome classifier.Outcome, retryAfter time.Duration) {
	if x.started {
		x.finish(classifier.EndpointFailed)
		x.cut = true
		return
	}
	if x.fallback != nil && x.r.Context().Err() == nil {
		x.passFallback()
		return
	}
	if x.mayRun && outcome.Class().Execution == classifier.NotRun && outcome != classifier.DeadlineExceeded {
		outcome = classifier.EndpointFailed
	}
	x.refuse(outcome, retryAfter)
}

// refuse answers with an outcome of the daemon's own.
func (x *exchange) refuse(outcome classifier.Outcome, retryAfter time.Duration) {
	x.finish(outcome)
	header := x.w.Header()
	x.relayer.Dialect.Identify(header, x.r.Header)
	class := outcome.Class()
	if class.Retry && class.Status != http.StatusGatewayTimeout {
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		x.relayer.Dialect.RetryAfter(header, retryAfter)
	}
	header.Set("Content-Type", "text/plain")
	x.w.WriteHeader(class.Status)
	io.WriteString(x.w, string(outcome)+"\n")
}

// finish records the outcome. A request has exactly one.
func (x *exchange) finish(outcome classifier.Outcome) {
	asserter.Check(x.outcome == "", "a request is answered once", "request %s has outcome %q and gets %q", x.call.ID, x.outcome, outcome)
	x.outcome = outcome
	took := time.Since(x.began)
	x.relayer.Metrics.Outcome(outcome)
	x.relayer.Metrics.Request(x.service, took)
	x.logEnd(took)
}

func (x *exchange) bodyReader() io.Reader {
	if len(x.body) == 0 {
		return nil
	}
	return bytes.NewReader(x.body)
}
