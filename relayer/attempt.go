package relayer

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"apricotspool/accountant"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/forwarder"
	"apricotspool/matcher"
	"apricotspool/namer"
)

// nonRetryableMaxIdle bounds the idle time of connections that carry requests which must not be retried:
// an endpoint that closes an idle connection would lose the request.
const nonRetryableMaxIdle = 2 * time.Second

// attempt sends the request once, to the endpoint that the decision core chose. It reports whether the
// request has ended.
func (x *exchange) attempt(ctx context.Context, action decider.Action) bool {
	target, known := x.relayer.Target(action.Endpoint)
	if !known {
		x.notRun = proofNotSent
		x.ticket.Failed(action.Attempt, action.Endpoint, classifier.RetryEndpointLeaving, true, x.stream.events)
		return false
	}
	if x.endIfKeyGone() {
		return true
	}
	if !x.connection.Keep() {
		x.refuse(classifier.MemoryExhausted, 0) // the decision core is told by closeTicket
		return true
	}
	prefill := action.Kind == decider.ActionPrefill
	ctx, wd := x.relayer.startWatchdog(ctx, watched{
		target: target, kind: callKind{service: x.service, prefill: prefill}, callID: x.call.ID, attempt: action.Attempt, ticket: x.ticket, predicted: action.Basis.Expected,
		latency: x.route.Target, deadline: x.deadline, reports: x.engine,
		replace: !action.FinalAttempt && (prefill || x.route.Repeatable() || action.Backup != ""),
	})
	defer wd.stop()
	if prefill {
		return x.prefill(ctx, wd, action, target)
	}
	handle := x.relayer.held(x.handle)
	x.handle = Handle{} // a handle can be used only once
	if action.FromBackup {
		handle = Handle{At: target.Address, ID: x.call.ID}
	}
	sentAt := x.recordSend()
	response, err := x.relayer.Endpoints.Forward(ctx, target, x.buildCall(Attempt{
		Endpoint: action.Endpoint, Remaining: time.Until(x.deadline), HasPriority: x.route.Kind == matcher.Stream,
		Priority: action.Priority, LastEvent: x.resumeAfter(), Handle: handle, Fetch: x.endpointAddress(action.Fetch),
		Backup: x.endpointAddress(action.Backup),
	}))
	if err != nil {
		if errors.Is(err, forwarder.ErrNotSent) {
			x.handle = handle
		} else {
			x.releaseHandle(handle)
		}
		return x.handleForwardError(ctx, action, err)
	}
	defer response.Body.Close()
	verdict := x.classify(action, sentAt, response)
	if verdict.NotRun {
		x.releaseHandle(handle)
		x.handleRefusal(action, response, verdict)
		return false
	}
	x.mayHaveRun = true
	x.beginPlain(sentAt)
	switch {
	case !verdict.Signed:
		return x.handleBrokenResponse(ctx, action, errors.Errorf("status %d without a signature", response.Status))
	case verdict.Inconsistent:
		x.logAttemptFailure(action, classifier.RetryEndpointFailed, errors.Errorf("status %d contradicts what the header says about the execution", response.Status))
		x.ticket.Failed(action.Attempt, action.Endpoint, classifier.RetryEndpointFailed, false, x.stream.events)
		return false
	case response.Status >= 300:
		return x.handleErrorStatus(ctx, action, response)
	case x.headerSent && response.Header.Get("Content-Encoding") != "":
		return x.handleBrokenResponse(ctx, action, errors.New("response to continue the stream is encoded"))
	case strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream"):
		return x.relayStream(ctx, wd, action, response)
	case x.headerSent:
		return x.handleBrokenResponse(ctx, action, errors.New("response does not continue the stream"))
	}
	return x.passResponse(ctx, wd, action, response)
}

// buildCall returns the call to the endpoint for an attempt.
func (x *exchange) buildCall(a Attempt) forwarder.Call {
	header := x.r.Header.Clone()
	forwarder.RemoveHopByHop(header) // before Encode: the caller must not name headers of the daemon in Connection
	a.Authenticated, a.Workspace = x.identity.Authenticated, x.workspace
	x.relayer.Dialect.Encode(header, a)
	path, query, hasQuery := strings.Cut(x.r.RequestURI, "?")
	call := forwarder.Call{
		Method: x.r.Method, Path: path, Query: query, ForceQuery: hasQuery, Host: x.r.Host, Header: header, Body: x.bodyReader(), Length: int64(len(x.body)),
		Abandoned: x.sendCheck(),
	}
	switch {
	case x.call.ID == "":
		call.MaxIdle = forwarder.NewConnection
	case !x.route.Repeatable():
		call.MaxIdle = nonRetryableMaxIdle
	}
	return call
}

// classify interprets the status and header of a response, and reports an endpoint that is leaving.
func (x *exchange) classify(action decider.Action, sentAt time.Time, response *forwarder.Response) Verdict {
	verdict := x.relayer.Dialect.Classify(response.Status, response.Header)
	if verdict.Leaving {
		x.ticket.Leaving(action.Endpoint)
	}
	authentic := verdict.Signed || verdict.NotRun || (action.Kind == decider.ActionPrefill && response.Status == http.StatusOK)
	if verdict.statesLimit() || (action.Limited && authentic && verdict.lacksLimit()) {
		x.ticket.Limited(action.Endpoint, sentAt, verdict.Limit)
	}
	return verdict
}

// statesLimit reports whether the endpoint itself has stated a rate limit.
func (v Verdict) statesLimit() bool { return v.Limit.State == decider.LimitStated && !v.WrongEndpoint }

// lacksLimit reports whether the endpoint itself has responded without a rate limit.
func (v Verdict) lacksLimit() bool {
	return v.Limit.State == decider.LimitAbsent && !v.WrongEndpoint
}

// endIfDone ends the request if its context is done for another reason than the watchdog. It reports
// whether it did.
func (x *exchange) endIfDone(ctx context.Context) bool {
	if ctx.Err() == nil || abandoned(ctx) != "" {
		return false
	}
	x.endWithoutAttempt(x.outcomeForContext(ctx), 0)
	return true
}

// handleForwardError reports an attempt that got no response.
func (x *exchange) handleForwardError(ctx context.Context, action decider.Action, err error) bool {
	notRun := errors.Is(err, forwarder.ErrNotSent)
	x.mayHaveRun = x.mayHaveRun || !notRun
	if notRun {
		x.notRun = proofNotSent
	} else {
		x.beginPlain(time.Now())
	}
	if x.endIfUnsent(err) || x.endIfDone(ctx) {
		return true
	}
	reason := cmp.Or(abandoned(ctx), classifier.RetryStreamBroken)
	if notRun {
		reason = classifier.RetryConnectFailed // also if the watchdog ended the attempt to connect
	}
	x.reportBroken(action, reason, notRun, err)
	return false
}

// handleRefusal reports an attempt that the endpoint refused without executing the request.
func (x *exchange) handleRefusal(action decider.Action, response *forwarder.Response, verdict Verdict) {
	io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes)) // lets the connection be reused
	reason := classifier.RetryEndpointRefused
	x.notRun = proofRefused
	if verdict.WrongEndpoint {
		reason = classifier.RetryEndpointLeaving
		x.notRun = proofWrongEndpoint
	}
	x.logAttemptFailure(action, reason, errors.Errorf("status %d", response.Status))
	x.ticket.Refused(action.Attempt, action.Endpoint, reason, verdict.RetryAfter, x.stream.events)
}

// handleBrokenResponse reports an attempt whose response is incomplete or not authentic.
func (x *exchange) handleBrokenResponse(ctx context.Context, action decider.Action, err error) bool {
	if x.endIfDone(ctx) {
		return true
	}
	x.reportBroken(action, cmp.Or(abandoned(ctx), classifier.RetryStreamBroken), false, err)
	return false
}

// handleErrorStatus sends an endpoint's error response to the caller, unless the request can be retried.
func (x *exchange) handleErrorStatus(ctx context.Context, action decider.Action, response *forwarder.Response) bool {
	body, err := x.readWhole(response, maxBufferedBytes)
	if err != nil {
		return x.handleBrokenResponse(ctx, action, errors.Wrapf(err, "status %d", response.Status))
	}
	if x.headerSent {
		return x.handleBrokenResponse(ctx, action, errors.Errorf("status %d", response.Status))
	}
	x.fallback = &bufferedResponse{response.Status, response.Header, body}
	if response.Status < 500 {
		x.reportFinished(action, 0)
		x.writeFallback()
		return true
	}
	if !x.route.Repeatable() {
		x.ticketClosed = true
		x.ticket.FinishedWithError(action.Attempt, action.Endpoint)
		x.writeFallback()
		return true
	}
	x.logAttemptFailure(action, classifier.RetryEndpointFailed, errors.Errorf("status %d", response.Status))
	x.ticket.Failed(action.Attempt, action.Endpoint, classifier.RetryEndpointFailed, false, 0)
	return false
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (x *exchange) writeFallback() {
	x.recordOutcome(classifier.EndpointFailed)
	x.writeHeader(x.fallback.status, x.fallback.header)
	x.w.Write(x.fallback.body)
}

// passResponse sends a response to the caller. Up to maxBufferedBytes are buffered; the rest of a
// longer response is streamed.
func (x *exchange) passResponse(ctx context.Context, wd *watchdog, action decider.Action, response *forwarder.Response) bool {
	body, more, err := x.readAnswer(response)
	if err != nil {
		return x.handleBrokenResponse(ctx, action, err)
	}
	if more {
		if err := wd.commit(); err != nil {
			return x.handleBrokenResponse(ctx, action, err)
		}
	}
	wd.progress()
	x.beginStream(time.Now()) // a whole response instead of a stream
	x.ticket.Started(action.Attempt, action.Endpoint)
	x.writeHeader(response.Status, response.Header)
	_, err = x.w.Write(body)
	if err == nil && more {
		x.connection.Force(accountant.Answer, unreadBytes)
		_, err = io.Copy(x.w, response.Body)
	}
	x.reportFinished(action, 0)
	if err != nil {
		x.abortResponse(classifier.EndpointFailed)
		return true
	}
	x.recordOutcome(classifier.Served)
	return true
}

// reportFinished tells the decision core that the attempt has delivered its response.
func (x *exchange) reportFinished(action decider.Action, events namer.Tokens) {
	x.ticketClosed = true
	x.ticket.Finished(action.Attempt, action.Endpoint, events)
}

func (x *exchange) writeHeader(status int, from http.Header) {
	header := x.w.Header()
	for name, values := range from {
		header[name] = values
	}
	if _, set := header["Content-Type"]; !set {
		header["Content-Type"] = nil // disables content sniffing by net/http
	}
	if x.relayer.draining.Load() != nil {
		header.Set("Connection", "close")
	}
	x.headerSent = true
	x.w.WriteHeader(status)
}

// releaseTimeout bounds the call that releases a handle.
const releaseTimeout = 500 * time.Millisecond

// held returns a handle if the process that has given it out is still the one that the entry names, or none.
func (r *Relayer) held(handle Handle) Handle {
	if target, known := r.Target(handle.Owner); known && target.Incarnation != handle.Incarnation {
		return Handle{}
	}
	return handle
}

// releaseHandle tells an engine that a handle will not be used. A handle that was used is already
// released, and one whose release fails expires at the engine.
func (x *exchange) releaseHandle(handle Handle) {
	if handle = x.relayer.held(handle); handle.Owner == "" {
		return
	}
	target, known := x.relayer.Target(handle.Owner)
	if !known {
		return
	}
	r := x.relayer
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		method, path := r.Dialect.ReleaseCall(handle)
		r.Dispatcher.Report(decider.Event{Kind: decider.EventCalled, Endpoint: handle.Owner})
		response, err := r.Endpoints.Forward(ctx, target, forwarder.Call{Method: method, Path: path})
		if err != nil {
			r.Log.Debug().Err(err).Str("endpoint", string(handle.Owner)).Msg("handle-not-freed")
			return
		}
		defer response.Body.Close()
		io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBytes)) // lets the connection be reused
	}()
}

// endpointAddress returns the address of an endpoint, or the zero value if it is unknown.
func (x *exchange) endpointAddress(name namer.Endpoint) netip.AddrPort {
	target, _ := x.relayer.Target(name)
	return target.Address
}

// prefill has an engine process the prompt and hold its KV cache for another engine. It reports whether
// the request has ended.
func (x *exchange) prefill(ctx context.Context, wd *watchdog, action decider.Action, target forwarder.Target) bool {
	sentAt := x.recordSend()
	response, err := x.relayer.Endpoints.Forward(ctx, target, x.buildCall(Attempt{
		Endpoint: action.Endpoint, Remaining: time.Until(x.deadline), HasPriority: true, Priority: action.Priority, Prefill: true,
		Fetch: x.endpointAddress(action.Fetch),
	}))
	var verdict Verdict
	if err == nil {
		defer response.Body.Close()
		verdict = x.classify(action, sentAt, response)
		var body []byte
		if body, err = x.readWhole(response, maxBufferedBytes); err == nil {
			x.returnAnswer(body)
			x.handle, err = x.relayer.Dialect.DecodeHandle(target.Address, response.Status, body)
			x.handle.Owner, x.handle.Incarnation = action.Endpoint, target.Incarnation
		}
	}
	if err == nil {
		wd.progress()
		x.ticket.Prefilled(action.Attempt, action.Endpoint)
		return false
	}
	if x.endIfUnsent(err) || x.endIfDone(ctx) {
		return true
	}
	reason := classifier.RetryStreamBroken
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		reason = classifier.RetryConnectFailed
	case verdict.WrongEndpoint:
		reason = classifier.RetryEndpointLeaving
	case verdict.NotRun:
		reason = classifier.RetryEndpointRefused
	}
	reason = cmp.Or(abandoned(ctx), reason)
	x.notRun = proofPromptOnly
	x.logAttemptFailure(action, reason, err)
	// Processing a prompt does not count as executing the request.
	x.ticket.Refused(action.Attempt, action.Endpoint, reason, verdict.RetryAfter, 0)
	return false
}
