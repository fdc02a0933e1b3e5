package relayer

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"apricotspool/asserter"
	"apricotspool/authenticator"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/historian"
	"apricotspool/inspector"
	"apricotspool/matcher"
	"apricotspool/namer"
	"github.com/cespare/xxhash/v2"
)

// exchange is one request and its response, owned by the request's goroutine.
type exchange struct {
	relayer   *Relayer
	w         http.ResponseWriter
	r         *http.Request
	startTime time.Time // when the request's bytes came, or its handler began if the kernel doesn't tell
	call      Call

	workspace namer.Caller // whose key the request carries; empty if there is none
	counted   bool         // the request's beginning has been counted

	connection *inspector.Connection
	arrival    arrival
	left       leftNotice
	sentAt     time.Time // when the last attempt was sent
	// confirmation says how current this daemon was when the request took up a stream.
	confirmation decider.Confirmation

	version namer.ConfigVersion // version of the routing table
	route   *matcher.Route
	service namer.Service
	// identity is that of the request's key in its last check; empty for none.
	identity authenticator.Identity
	engine   bool // the service is one of engines, which report their load
	// eventTokens is the number of output tokens in one event of the service's streams; 0 if unknown.
	eventTokens namer.Tokens
	deadline    time.Time // the earlier of the caller's and the route's
	body        []byte
	// fingerprint is set once the body has been read.
	fingerprint decider.Fingerprint

	ticket       *dispatcher.Ticket
	ticketClosed bool                   // the decision core no longer tracks the request
	mayHaveRun   bool                   // some endpoint may have executed the request
	notRun       notRunProof            // of the last attempt, while no endpoint may have executed the request
	headerSent   bool                   // the response's header has been sent
	abort        bool                   // the response can't be completed; abort the connection
	lastFailure  classifier.RetryReason // of the last failed attempt
	outcome      classifier.Outcome
	stream       streamState
	handle       Handle // of the prompt's KV cache, while another engine holds it
	// fallback is the error response of an endpoint that is sent if no further attempt is made.
	fallback *bufferedResponse
}

// defaultRetryAfter is used if the decision core gives no retry delay.
const defaultRetryAfter = 200 * time.Millisecond

// prepare matches the route and reads the body. It refuses the request and returns false if the request
// can't be served.
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
	random := rand.IntN
	key := x.streamID()
	if route.Kind == matcher.Stream && route.Resumable && key != "" {
		// All daemons choose the same service for a stream, so that it goes on there.
		random = func(n int) int { return int(xxhash.Sum64String(key) % uint64(n)) }
	}
	x.route = route
	if !x.authenticate() {
		return false
	}
	service, found := pickService(route, random)
	if !found {
		x.refuse(classifier.NoEndpoint, defaultRetryAfter)
		return false
	}
	x.service = service
	if engine := table.Services[service].Engine; engine != nil {
		x.engine, x.eventTokens = true, engine.EventTokens
	}
	limit := route.Timeout
	if x.call.Timeout > 0 && (limit == 0 || x.call.Timeout < limit) {
		limit = x.call.Timeout
	}
	x.deadline = x.startTime.Add(limit)
	x.boundWrites()
	x.connection.SetRank(route.Priority)
	if !x.readBody(table.Limits.BodyBytes) {
		return false
	}
	x.fingerprint = fingerprintOf(x.r, x.body)
	return true
}

// serve submits the request to the decision core and carries out its decisions.
func (x *exchange) serve() {
	if !x.endsInTime() {
		x.refuse(classifier.Draining, drainRetryAfter)
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.relayer.initEnding()
	defer context.AfterFunc(x.relayer.ending, cancel)()
	if !x.connection.Wait(x.route.Priority, cancel) {
		x.refuse(classifier.MemoryExhausted, 0)
		return
	}
	if ctx.Err() != nil {
		x.endWithoutAttempt(x.outcomeForContext(ctx), 0)
		return
	}
	patience := time.Duration(0)
	if x.route.Kind == matcher.Stream {
		patience = x.relayer.Dialect.Patience(x.route.Target, x.route.TargetGap)
	}
	ticket, err := x.relayer.Dispatcher.Submit(ctx, x.newRequest(patience))
	if err != nil {
		x.refuse(classifier.Draining, defaultRetryAfter)
		return
	}
	x.ticket = ticket
	defer x.closeTicket()
	defer func() { x.releaseHandle(x.handle) }()
	for {
		action, outcome := x.awaitDecision(ctx)
		if outcome != "" {
			x.endWithoutAttempt(outcome, action.RetryAfter)
			return
		}
		asserter.Check(!x.mayHaveRun || x.route.Repeatable() || action.FromBackup, "a request that must not be retried is sent once", "%+v", action)
		if x.attempt(ctx, action) {
			return
		}
	}
}

// newRequest returns the request for the decision core.
func (x *exchange) newRequest(patience time.Duration) decider.Request {
	request := decider.Request{
		ID: namer.NewStreamID(), Service: x.service, Model: x.call.Model, Idempotent: x.route.Repeatable(),
		PromptTokens: x.call.Prompt, MaxTokens: x.expectedOutput(), Deadline: x.deadline, Target: x.route.Target, TargetGap: x.route.TargetGap,
		Caller: x.workspace, Priority: x.priority(), Parts: x.call.Parts, Attempts: x.route.Attempts, Patience: patience,
		Fingerprint: x.fingerprint,
		Stream:      x.streamKey(), Continues: x.continues(), Lifetime: max(x.route.Timeout, x.call.Timeout),
	}
	if request.Continues && x.relayer.Confirmation != nil {
		request.Confirmation = x.relayer.Confirmation()
		x.confirmation = request.Confirmation
	}
	return request
}

// continues reports whether the caller takes up a stream that has begun.
func (x *exchange) continues() bool { return x.route.Kind == matcher.Stream && x.call.LastEvent != "" }

// streamID returns the id of the request that began the stream, or that may begin it; empty if the caller doesn't give it.
func (x *exchange) streamID() string {
	if x.call.LastEvent != "" {
		return x.call.Resumes
	}
	return x.call.ID
}

// streamKey returns the key of the stream, the same at all daemons; 0 if callers can't take it up.
func (x *exchange) streamKey() historian.StreamKey {
	id := x.streamID()
	if x.route.Kind != matcher.Stream || !x.route.Resumable || id == "" {
		return 0
	}
	return historian.StreamKey(max(1, xxhash.Sum64String(id)))
}

func (x *exchange) expectedOutput() namer.Tokens {
	if x.call.ExpectedOutput > 0 {
		return x.call.ExpectedOutput
	}
	return x.call.MaxOutput
}

// awaitDecision waits for the next attempt to make, or returns the outcome that ends the request.
func (x *exchange) awaitDecision(ctx context.Context) (decider.Action, classifier.Outcome) {
	for {
		select {
		case a, ok := <-x.ticket.Actions():
			switch {
			case !ok:
				x.ticketClosed = true
				return decider.Action{}, classifier.Draining
			case a.Kind == decider.ActionRefuse:
				x.ticketClosed = true
				x.logDecision(a)
				return a, a.Outcome
			case a.Kind == decider.ActionDispatch, a.Kind == decider.ActionPrefill:
				x.logDecision(a)
				return a, ""
			}
		case <-x.ticket.Stopped():
			x.ticketClosed = true
			return decider.Action{}, classifier.Draining
		case <-ctx.Done():
			return decider.Action{}, x.outcomeForContext(ctx)
		}
	}
}

// closeTicket cancels the request at the decision core if the core still tracks it.
func (x *exchange) closeTicket() {
	if !x.ticketClosed {
		x.ticketClosed = true
		x.ticket.Cancelled()
	}
}

// endWithoutAttempt ends the request with the given outcome instead of making another attempt.
func (x *exchange) endWithoutAttempt(outcome classifier.Outcome, retryAfter time.Duration) {
	if x.headerSent {
		if outcome != classifier.DeadlineExceeded && outcome != classifier.CallerDisconnected {
			outcome = classifier.EndpointFailed
		}
		x.abortResponse(outcome)
		return
	}
	if x.fallback != nil && x.r.Context().Err() == nil {
		x.writeFallback()
		return
	}
	if x.mayHaveRun && outcome.Class().Execution == classifier.NotRun && outcome != classifier.DeadlineExceeded {
		outcome = classifier.EndpointFailed
	}
	x.refuse(outcome, retryAfter)
}

// abortResponse ends the request without a complete response: the caller's connection will be reset.
func (x *exchange) abortResponse(outcome classifier.Outcome) {
	x.abort = true
	x.relayer.Metrics.Aborted(x.lastFailure)
	x.recordOutcome(outcome)
}

// refuse sends an error response generated by the daemon.
func (x *exchange) refuse(outcome classifier.Outcome, retryAfter time.Duration) {
	x.recordOutcome(outcome)
	header := x.w.Header()
	x.relayer.Dialect.SetRequestID(header, x.r.Header)
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

// recordOutcome records and logs the outcome of the request. It must be called exactly once.
func (x *exchange) recordOutcome(outcome classifier.Outcome) {
	asserter.Check(x.outcome == "", "a request has one outcome", "request %s already has outcome %q; new outcome is %q", x.call.ID, x.outcome, outcome)
	x.outcome = outcome
	took := time.Since(x.startTime)
	x.relayer.Metrics.Outcome(outcome)
	x.relayer.Metrics.Request(x.service, took)
	if x.workspace != "" {
		x.relayer.Metrics.Workspace(x.workspace, outcome)
	}
	x.logOutcome(took)
}

func (x *exchange) bodyReader() io.Reader {
	if len(x.body) == 0 {
		return nil
	}
	return bytes.NewReader(x.body)
}
