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

	"apricotspool/classifier"
	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/namer"
)

// replayBytes is the size up to which a body is read before the first attempt, so that another one can
// send it again. Larger bodies stream and are sent again only while nothing of them was read.
const replayBytes = 64 << 10

// forwarding is one call of a plain service.
type forwarding struct {
	x        *exchange
	name     namer.Service
	service  configurer.Service
	rank     namer.Rank
	call     forwarder.Call
	body     *countedBody // of a call that streams
	replay   []byte       // the whole body otherwise
	once     bool         // the call must not be repeated once it may have left
	deadline time.Time
	ticket   *dispatcher.Ticket
	next     *decider.Action // a dispatch that is not carried out yet
	current  decider.Action  // the dispatch that is carried out
	answered bool
	ended    bool // the core has ended the request
}

// forward serves /services/{service}/....
func (x *exchange) forward() {
	f, ok := x.newForwarding()
	if !ok {
		return
	}
	key := x.r.Header.Get(HeaderKey)
	listed := f.nonIdempotent()
	f.once = listed || !repeatable(x.r.Method)
	claimed := listed && key != ""
	if !f.readBody(claimed) {
		return
	}
	ctx, stop := x.until(f.deadline)
	defer stop()
	if claimed {
		// A claimed call goes on when its caller leaves, so that its answer is recorded.
		ctx, stop = context.WithDeadline(context.WithoutCancel(ctx), f.deadline)
		defer stop()
	}
	if !f.arrive(ctx) {
		return
	}
	if claimed {
		f.keyed(ctx, key)
		return
	}
	answer, outcome := f.attempts(ctx)
	if outcome != classifier.Served {
		f.release()
		x.refuse(outcome, "")
		return
	}
	f.pass(answer)
}

// repeatable reports whether a method is idempotent by its definition (RFC 9110, section 9.2.2).
func repeatable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (x *exchange) newForwarding() (*forwarding, bool) {
	below := strings.TrimPrefix(x.r.URL.EscapedPath(), "/services/")
	segment, path, _ := strings.Cut(below, "/")
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
		x.refuse(classifier.Forbidden, "the caller may not use this service")
		return nil, false
	}
	rank, ok := x.rank(service)
	if !ok {
		return nil, false
	}
	x.id.Service = name
	header := x.r.Header.Clone()
	header.Del("Authorization") // the token is for the daemon
	header.Del(HeaderRank)
	header.Set(HeaderRequestID, string(x.server.Signer.Sign(x.id)))
	return &forwarding{
		x: x, name: name, service: service, rank: rank, deadline: x.began.Add(service.Deadline.Std()),
		call: forwarder.Call{
			Method: x.r.Method, Path: "/" + path, Query: x.r.URL.RawQuery, Header: header, Length: x.r.ContentLength,
		},
	}, true
}

// nonIdempotent compares the path as it is and decoded, since the service may treat both alike.
func (f *forwarding) nonIdempotent() bool {
	snapshot := f.x.snapshot
	decoded, err := url.PathUnescape(f.call.Path)
	return snapshot.NonIdempotent(f.name, f.call.Method, f.call.Path) ||
		(err == nil && snapshot.NonIdempotent(f.name, f.call.Method, decoded))
}

// readBody reads a short body, or one of a claimed call, and prepares a long one for streaming.
func (f *forwarding) readBody(whole bool) bool {
	limit := maxBody(f.service)
	if f.call.Length > limit {
		f.x.refuse(classifier.TooLarge, "the body is over the service's limit")
		return false
	}
	in := http.MaxBytesReader(f.x.w, f.x.r.Body, limit)
	if !whole && (f.call.Length < 0 || f.call.Length > replayBytes) {
		http.NewResponseController(f.x.w).EnableFullDuplex()
		f.body = &countedBody{in: in}
		return true
	}
	body, err := io.ReadAll(in)
	if err != nil {
		f.x.refuse(classifier.BadRequest, "the body could not be read")
		return false
	}
	f.replay, f.call.Length = body, int64(len(body))
	return true
}

// countedBody tells whether something of a streamed body was read.
type countedBody struct {
	in   io.Reader
	mu   sync.Mutex // the transport reads in its own goroutine
	read int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += int64(n)
	return n, err
}

func (b *countedBody) touched() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read > 0
}

// pass streams the answer to the caller at the pace at which it reads.
func (f *forwarding) pass(answer *forwarder.Response) {
	defer answer.Body.Close()
	defer f.release()
	f.writeHeader(answer.Status, answer.Header)
	control := http.NewResponseController(f.x.w)
	buffer := buffers.Get().(*[32 << 10]byte)
	defer buffers.Put(buffer)
	for {
		n, err := answer.Body.Read(buffer[:])
		if n > 0 {
			if _, broken := f.x.w.Write(buffer[:n]); broken != nil || control.Flush() != nil {
				f.answered = false
				f.x.finish(classifier.CallerDisconnected)
				f.x.cut = true
				return
			}
		}
		if err == io.EOF {
			f.x.finish(classifier.Served)
			return
		}
		if err != nil {
			f.answered = false
			f.x.finish(classifier.EndpointFailed)
			f.x.cut = true
			return
		}
	}
}

var buffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

func (f *forwarding) writeHeader(status int, from http.Header) {
	header := f.x.w.Header()
	for name, values := range from {
		header[name] = values
	}
	f.x.sendID()
	f.x.started = true
	if m := f.x.server.Metrics; m != nil {
		m.FirstToken(f.rank, time.Since(f.x.began))
	}
	f.x.w.WriteHeader(status)
}

func (f *forwarding) bodyReader() io.Reader {
	if f.body != nil {
		return f.body
	}
	return bytes.NewReader(f.replay)
}
