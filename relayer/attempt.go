package relayer

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/forwarder"
	"apricotspool/matcher"
	"apricotspool/namer"
)

// maxBuffered is the size up to which an answer is read completely before any of it is passed on, so
// that a broken one can be replaced.
const maxBuffered = 256 << 10

// onceMaxIdle bounds the idle time of connections for requests that must not be repeated: an
// endpoint that closes an idle connection would lose the request.
const onceMaxIdle = 2 * time.Second

// attempt sends the request once, where the core says. It reports whether the request has ended.
func (x *exchange) attempt(ctx context.Context, action decider.Action) bool {
	target, known := x.relayer.Target(action.Endpoint)
	if !known {
		x.ticket.Failed(action.Attempt, action.Endpoint, classifier.RetryEndpointLeaving, true, x.stream.events)
		return false
	}
	patience := silentAfter + action.Basis.Expected
	if action.Last || (action.Kind != decider.ActionPrefill && !x.route.Repeatable() && action.Backup == "") {
		patience = 0 // to give up would gain nothing
	}
	ctx, guard := x.relayer.watch(ctx, action.Endpoint, patience)
	defer guard.stop()
	if action.Kind == decider.ActionPrefill {
		return x.prefill(ctx, guard, action, target)
	}
	handle := x.handle
	x.handle = Handle{} // an endpoint takes it once
	if action.FromBackup {
		handle = Handle{At: target.Address, ID: x.call.ID}
	}
	answer, err := x.relayer.Endpoints.Forward(ctx, target, x.forward(Attempt{
		Endpoint: action.Endpoint, Remaining: time.Until(x.deadline), Ranked: x.route.Kind == matcher.Stream,
		Priority: action.Priority, LastEvent: x.lastEvent(), Handle: handle, Fetch: x.address(action.Fetch),
		Backup: x.address(action.Backup),
	}))
	if err != nil {
		if errors.Is(err, forwarder.ErrNotSent) {
			x.handle = handle
		} else {
			x.free(handle)
		}
		return x.unanswered(ctx, action, err)
	}
	defer answer.Body.Close()
	guard.heard()
	verdict := x.relayer.Dialect.Judge(answer.Status, answer.Header)
	if verdict.NotRun {
		x.free(handle)
		x.refused(action, answer, verdict)
		return false
	}
	x.mayRun = true
	switch {
	case !verdict.Genuine:
		return x.broken(ctx, action, errors.Errorf("status %d without a signature", answer.Status))
	case answer.Status >= 300:
		return x.failure(ctx, action, answer)
	case strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream"):
		return x.relay(ctx, guard, action, answer)
	}
	return x.pass(ctx, action, answer)
}

// forward builds the call of an attempt.
func (x *exchange) forward(a Attempt) forwarder.Call {
	header := x.r.Header.Clone()
	x.relayer.Dialect.Encode(header, a)
	path, query, _ := strings.Cut(x.r.RequestURI, "?")
	call := forwarder.Call{
		Method: x.r.Method, Path: path, Query: query, Host: x.r.Host, Header: header, Body: x.bodyReader(), Length: int64(len(x.body)),
	}
	if !x.route.Repeatable() {
		call.MaxIdle = onceMaxIdle
	}
	return call
}

// silent reports whether an attempt was given up because its endpoint was silent.
func (x *exchange) silent(ctx context.Context) bool { return context.Cause(ctx) == errSilent }

// stopped ends the request if its context has ended.
func (x *exchange) stopped(ctx context.Context) bool {
	if ctx.Err() == nil || x.silent(ctx) {
		return false
	}
	x.giveUp(outcomeOf(ctx), 0)
	return true
}

// unanswered accounts for a call without an answer.
func (x *exchange) unanswered(ctx context.Context, action decider.Action, err error) bool {
	notRun := errors.Is(err, forwarder.ErrNotSent)
	x.mayRun = x.mayRun || !notRun
	if x.stopped(ctx) {
		return true
	}
	reason := classifier.RetryStreamBroken
	switch {
	case x.silent(ctx):
		reason = classifier.RetryEndpointSilent
	case notRun:
		reason = classifier.RetryConnectFailed
	}
	x.logFailure(action, reason, err)
	x.ticket.Failed(action.Attempt, action.Endpoint, reason, notRun, x.stream.events)
	return false
}

// refused accounts for an endpoint's refusal.
func (x *exchange) refused(action decider.Action, answer *forwarder.Answer, verdict Verdict) {
	io.Copy(io.Discard, io.LimitReader(answer.Body, maxBuffered)) // keeps the connection
	reason := classifier.RetryEndpointRefused
	if verdict.Misplaced {
		reason = classifier.RetryEndpointLeaving
	}
	x.logFailure(action, reason, errors.Errorf("status %d", answer.Status))
	x.ticket.Failed(action.Attempt, action.Endpoint, reason, true, x.stream.events)
}

// broken accounts for an answer that can't be passed on.
func (x *exchange) broken(ctx context.Context, action decider.Action, err error) bool {
	if x.stopped(ctx) {
		return true
	}
	reason := classifier.RetryStreamBroken
	if x.silent(ctx) {
		reason = classifier.RetryEndpointSilent
	}
	x.logFailure(action, reason, err)
	x.ticket.Failed(action.Attempt, action.Endpoint, reason, false, x.stream.events)
	return false
}

// failure passes on an endpoint's own failure, unless another attempt is allowed.
func (x *exchange) failure(ctx context.Context, action decider.Action, answer *forwarder.Answer) bool {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered))
	if err != nil {
		return x.broken(ctx, action, err)
	}
	if x.started {
		return x.broken(ctx, action, errors.Errorf("status %d", answer.Status))
	}
	x.fallback = &buffered{answer.Status, answer.Header, body}
	if answer.Status < 500 {
		x.finished(action, 0)
		x.passFallback()
		return true
	}
	if !x.route.Repeatable() {
		x.ended = true
		x.ticket.FinishedWithError(action.Attempt, action.Endpoint)
		x.passFallback()
		return true
	}
	x.logFailure(action, classifier.RetryEndpointFailed, errors.Errorf("status %d", answer.Status))
	x.ticket.Failed(action.Attempt, action.Endpoint, classifier.RetryEndpointFailed, false, 0)
	return false
}

// buffered is an answer that was read completely.
type buffered struct {
	status int
	header http.Header
	body   []byte
}

func (x *exchange) passFallback() {
	x.finish(classifier.EndpointFailed)
	x.writeHeader(x.fallback.status, x.fallback.header)
	x.w.Write(x.fallback.body)
}

// pass reads a short answer completely and passes it on; a longer one is passed on as it comes.
func (x *exchange) pass(ctx context.Context, action decider.Action, answer *forwarder.Answer) bool {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered))
	if err != nil {
		return x.broken(ctx, action, err)
	}
	x.ticket.Started(action.Attempt, action.Endpoint)
	x.writeHeader(answer.Status, answer.Header)
	_, err = x.w.Write(body)
	if err == nil && len(body) == maxBuffered {
		_, err = io.Copy(x.w, answer.Body)
	}
	x.finished(action, 0)
	if err != nil {
		x.finish(classifier.EndpointFailed)
		x.cut = true
		return true
	}
	x.finish(classifier.Served)
	return true
}

// finished tells the core that the attempt has delivered its answer.
func (x *exchange) finished(action decider.Action, events namer.Tokens) {
	x.ended = true
	x.ticket.Finished(action.Attempt, action.Endpoint, events)
}

func (x *exchange) writeHeader(status int, from http.Header) {
	header := x.w.Header()
	for name, values := range from {
		header[name] = values
	}
	if _, set := header["Content-Type"]; !set {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
	if x.relayer.draining.Load() {
		header.Set("Connection", "close")
	}
	x.started = true
	x.w.WriteHeader(status)
}

// freeTimeout bounds the call that frees a handle.
const freeTimeout = 500 * time.Millisecond

// free tells an engine that nobody will take a handle. One that was taken is free already, and one
// whose call fails lapses.
func (x *exchange) free(handle Handle) {
	if handle.Keeper == "" {
		return
	}
	target, known := x.relayer.Target(handle.Keeper)
	if !known {
		return
	}
	r := x.relayer
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		method, path := r.Dialect.Release(handle)
		answer, err := r.Endpoints.Forward(ctx, target, forwarder.Call{Method: method, Path: path})
		if err != nil {
			r.Log.Debug().Err(err).Str("endpoint", string(handle.Keeper)).Msg("handle-not-freed")
			return
		}
		defer answer.Body.Close()
		io.Copy(io.Discard, io.LimitReader(answer.Body, maxBuffered)) // keeps the connection
	}()
}

// address returns where an endpoint is, or the zero value.
func (x *exchange) address(name namer.Endpoint) netip.AddrPort {
	target, _ := x.relayer.Target(name)
	return target.Address
}

// prefill has the prompt processed by an engine that keeps it for another one. It reports whether
// the request has ended.
func (x *exchange) prefill(ctx context.Context, guard *guard, action decider.Action, target forwarder.Target) bool {
	answer, err := x.relayer.Endpoints.Forward(ctx, target, x.forward(Attempt{
		Endpoint: action.Endpoint, Remaining: time.Until(x.deadline), Ranked: true, Priority: action.Priority, Prefill: true,
		Fetch: x.address(action.Fetch),
	}))
	var verdict Verdict
	if err == nil {
		defer answer.Body.Close()
		verdict = x.relayer.Dialect.Judge(answer.Status, answer.Header)
		var body []byte
		if body, err = io.ReadAll(io.LimitReader(answer.Body, maxBuffered)); err == nil {
			x.handle, err = x.relayer.Dialect.Handle(target.Address, answer.Status, body)
			x.handle.Keeper = action.Endpoint
		}
	}
	if err == nil {
		guard.heard()
		x.ticket.Prefilled(action.Attempt, action.Endpoint)
		return false
	}
	if x.stopped(ctx) {
		return true
	}
	reason := classifier.RetryStreamBroken
	switch {
	case errors.Is(err, forwarder.ErrNotSent):
		reason = classifier.RetryConnectFailed
	case verdict.Misplaced:
		reason = classifier.RetryEndpointLeaving
	case verdict.NotRun:
		reason = classifier.RetryEndpointRefused
	}
	if x.silent(ctx) {
		reason = classifier.RetryEndpointSilent
	}
	x.logFailure(action, reason, err)
	// Processing a prompt is no execution of the request.
	x.ticket.Failed(action.Attempt, action.Endpoint, reason, true, 0)
	return false
}
