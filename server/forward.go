package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/inspector"
	"apricotspool/namer"
)

// maxBufferedBytes is the size up to which a request body is buffered, so that a retry can send it again. A
// larger body is streamed, and the request can be retried only if none of the body has been read.
const maxBufferedBytes = 64 << 10

// forwardedCall is a call to a plain service.
type forwardedCall struct {
	x             *exchange
	name          namer.Service
	service       configurer.Service
	rank          namer.Rank
	call          forwarder.Call
	streamedBody  *trackedBody // nil if the body is buffered
	bufferedBody  []byte       // the complete body, unless it is streamed
	nonRetryable  bool         // the call must not be retried once an endpoint may have received it
	deadline      time.Time
	ticket        *dispatcher.Ticket
	next          *decider.Action // dispatch that has not been started
	current       decider.Action  // dispatch of the current or latest attempt
	responded     bool
	refusedByCore bool // the core has refused the request and no longer tracks it
}

// forward serves /services/{service}/....
func (x *exchange) forward() {
	f, ok := x.newForwardedCall()
	if !ok {
		return
	}
	key := x.r.Header.Get(HeaderIdempotencyKey)
	configured := f.isNonIdempotent()
	f.nonRetryable = configured || !isIdempotentMethod(x.r.Method)
	claimed := configured && key != ""
	if !f.readBody(claimed) {
		return
	}
	ctx, stop := x.withDeadline(f.deadline)
	defer stop()
	if !claimed {
		f.call.Abandoned = x.callerLeft
	} else {
		// A claimed call continues if its caller disconnects, so that its response is recorded.
		ctx, stop = context.WithDeadline(context.WithoutCancel(ctx), f.deadline)
		defer stop()
	}
	if !f.awaitAdmission(ctx) {
		return
	}
	if claimed {
		f.serveKeyed(ctx, key)
		return
	}
	response, outcome := f.sendWithRetries(ctx)
	if outcome != classifier.Served {
		f.closeTicket()
		x.refuse(outcome, "")
		return
	}
	f.streamResponse(response)
}

// isIdempotentMethod reports whether a method is idempotent according to RFC 9110, section 9.2.2.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (x *exchange) newForwardedCall() (*forwardedCall, bool) {
	rest := strings.TrimPrefix(x.r.URL.EscapedPath(), "/services/")
	segment, path, _ := strings.Cut(rest, "/")
	name := namer.Service(segment)
	service, ok := x.snapshot.Document().Services[name]
	if !ok || service.Kind != configurer.KindPlain {
		x.refuse(classifier.NotFound, "the service does not exist")
		return nil, false
	}
	allowed := false
	for _, s := range x.caller.Services {
		allowed = allowed || s == name
	}
	if !allowed {
		x.refuse(classifier.Forbidden, "the caller is not allowed to use this service")
		return nil, false
	}
	rank, ok := x.rank(service)
	if !ok {
		return nil, false
	}
	x.id.Service = name
	header := x.r.Header.Clone()
	header.Del("Authorization") // it authenticates the caller to the daemon only
	header.Del(HeaderRank)
	header.Set(HeaderRequestID, string(x.server.Signer.Sign(x.id)))
	return &forwardedCall{
		x: x, name: name, service: service, rank: rank, deadline: x.startTime.Add(service.Deadline.Std()),
		call: forwarder.Call{
			Method: x.r.Method, Path: "/" + path, Query: x.r.URL.RawQuery, Header: header, Length: x.r.ContentLength,
		},
	}, true
}

// isNonIdempotent reports whether the configuration lists the call as non-idempotent. It checks both the
// escaped and the decoded path, because the service may treat them alike.
func (f *forwardedCall) isNonIdempotent() bool {
	snapshot := f.x.snapshot
	decoded, err := url.PathUnescape(f.call.Path)
	return snapshot.NonIdempotent(f.name, f.call.Method, f.call.Path) ||
		(err == nil && snapshot.NonIdempotent(f.name, f.call.Method, decoded))
}

// readBody buffers the body if it is short or if buffer is set, and prepares it for streaming otherwise. It
// refuses the request and returns false if the body can't be read.
func (f *forwardedCall) readBody(buffer bool) bool {
	limit := maxBody(f.service)
	if f.call.Length > limit {
		f.x.refuse(classifier.TooLarge, "the request body exceeds the service's limit")
		return false
	}
	if !buffer && (f.call.Length < 0 || f.call.Length > maxBufferedBytes) {
		http.NewResponseController(f.x.w).EnableFullDuplex()
		if !f.x.memory.connection.Keep() {
			f.x.refuse(classifier.MemoryExhausted, "")
			return false
		}
		f.streamedBody = &trackedBody{in: http.MaxBytesReader(f.x.w, f.x.r.Body, limit)}
		return true
	}
	body, err := f.x.receiveBody(limit)
	if errors.Is(err, inspector.ErrNoMemory) {
		f.x.refuse(classifier.MemoryExhausted, "")
		return false
	}
	if err != nil {
		f.x.refuse(classifier.BadRequest, "the request body could not be read")
		return false
	}
	f.bufferedBody, f.call.Length = body, int64(len(body))
	return true
}

// trackedBody tracks whether any part of a streamed body has been read.
type trackedBody struct {
	in   io.Reader
	mu   sync.Mutex // guards read; the HTTP client reads in another goroutine
	read int64
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	return n, err
}

func (b *trackedBody) wasRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read > 0
}

// streamResponse streams the response to the caller, no faster than the caller reads it.
func (f *forwardedCall) streamResponse(response *forwarder.Response) {
	defer response.Body.Close()
	defer f.closeTicket()
	f.writeHeader(response.Status, response.Header)
	control := http.NewResponseController(f.x.w)
	buffer := copyBuffers.Get().(*[32 << 10]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if _, writeErr := f.x.w.Write(buffer[:n]); writeErr != nil || control.Flush() != nil {
				f.responded = false
				f.x.recordOutcome(classifier.CallerDisconnected)
				f.x.abortConnection = true
				return
			}
		}
		if err == io.EOF {
			f.x.recordOutcome(classifier.Served)
			return
		}
		if err != nil {
			f.responded = false
			f.x.recordOutcome(classifier.EndpointFailed)
			f.x.abortConnection = true
			return
		}
	}
}

var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

func (f *forwardedCall) writeHeader(status int, from http.Header) {
	header := f.x.w.Header()
	for name, values := range from {
		header[name] = values
	}
	f.x.setRequestID()
	f.x.headerSent = true
	if m := f.x.server.Metrics; m != nil {
		m.FirstToken(f.rank, time.Since(f.x.startTime))
	}
	f.x.w.WriteHeader(status)
}

func (f *forwardedCall) bodyReader() io.Reader {
	if f.streamedBody != nil {
		return f.streamedBody
	}
	return bytes.NewReader(f.bufferedBody)
}
