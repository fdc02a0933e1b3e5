// Package server is the callers' HTTP API: OpenAI-compatible completions, resumption of streams and
// calls of plain services. One goroutine serves one request; the package owns the requests in flight.
package server

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/generator"
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/resumer"
)

// Limits of the callers' listener.
const (
	MaxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	bodyTimeout       = time.Minute // to read the body of a completion
	idleTimeout       = 2 * time.Minute
	closeTimeout      = 5 * time.Second // for idle connections, once no request is in flight
)

// Engine is the part of the engine adapter that serves requests.
type Engine interface {
	Generate(ctx context.Context, to generator.Target, call generator.Call) (generator.Stream, error)
	Cancel(ctx context.Context, to generator.Target, stream namer.StreamID) error
}

// Dispatcher brings requests to the decision core and knows the configuration in force.
type Dispatcher interface {
	View() *dispatcher.View
	Arrive(ctx context.Context, r decider.Request) (*dispatcher.Ticket, error)
}

// Finder finds the engine that has a stream.
type Finder interface {
	Find(ctx context.Context, id resumer.Identity, attempt namer.Attempt, from int) (resumer.Found, error)
}

// Leaver ends streams whose callers do not come back.
type Leaver interface {
	Leave(at generator.Target, stream namer.StreamID)
	Return(stream namer.StreamID)
}

// Server serves callers. Set the exported fields before Run or ServeHTTP.
type Server struct {
	Listener   net.Listener // Run closes it
	Dispatcher Dispatcher
	Engine     Engine
	Service    forwarder.Service
	Claimer    Claimer // nil refuses non-idempotent calls with a key
	Signer     *resumer.Signer
	Finder     Finder
	Leaver     Leaver
	Metrics    *recorder.Metrics
	Log        zerolog.Logger

	once     sync.Once
	done     chan struct{}
	mu       sync.Mutex // guards the fields below
	draining bool
	inFlight int
	idle     chan struct{} // closed when draining and nothing is in flight
}

func (s *Server) init() {
	s.once.Do(func() {
		s.done = make(chan struct{})
		s.idle = make(chan struct{})
	})
}

// Done closes when Run has returned.
func (s *Server) Done() <-chan struct{} {
	s.init()
	return s.done
}

// Run serves until ctx ends. It then refuses new requests, finishes those in flight and returns. A
// request takes no longer than its service's deadline, so the end is bounded.
func (s *Server) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	far := &http.Server{
		Handler: s, MaxHeaderBytes: MaxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- far.Serve(s.Listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	s.Drain()
	far.SetKeepAlivesEnabled(false)
	<-s.idle
	closing, stop := context.WithTimeout(context.Background(), closeTimeout)
	defer stop()
	if err := far.Shutdown(closing); err != nil {
		far.Close()
	}
	return ctx.Err()
}

// Drain refuses all requests from now on; those in flight go on.
func (s *Server) Drain() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if s.inFlight == 0 {
		close(s.idle)
	}
}

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

func (s *Server) enter() bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight++
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.draining && s.inFlight == 0 {
		close(s.idle)
	}
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer stopOnViolation()
	x := s.newExchange(w, r)
	if !s.enter() {
		w.Header().Set("Connection", "close")
		x.refuse(classifier.Draining, "")
		return
	}
	defer s.leave()
	if x.authenticate() {
		x.route()
	}
	asserter.Check(x.outcome != "", "every request is answered", "%s %s", r.Method, r.URL.Path)
	if x.cut {
		panic(http.ErrAbortHandler) // the caller sees a broken connection, not a complete answer
	}
}

// stopOnViolation takes a broken invariant out of the reach of net/http, which recovers panics of handlers.
func stopOnViolation() {
	v := recover()
	if v == nil {
		return
	}
	if violation, ok := v.(asserter.Violation); ok {
		go panic(violation)
		select {}
	}
	panic(v)
}

// route selects the API by path. It does not use http.ServeMux, which redirects paths that it
// considers unclean; those of plain services pass through as they are.
func (x *exchange) route() {
	path := x.r.URL.Path
	request, resumes := strings.CutPrefix(path, "/v1/streams/")
	switch {
	case path == "/v1/models":
		x.on(http.MethodGet, x.models)
	case path == string(generator.ChatCompletions):
		x.on(http.MethodPost, func() { x.complete(generator.ChatCompletions) })
	case path == string(generator.Completions):
		x.on(http.MethodPost, func() { x.complete(generator.Completions) })
	case resumes:
		x.on(http.MethodGet, func() { x.resume(namer.RequestID(request)) })
	case strings.HasPrefix(path, "/services/"):
		x.forward()
	default:
		x.refuse(classifier.NotFound, "path does not exist")
	}
}

func (x *exchange) on(method string, serve func()) {
	if x.r.Method != method {
		x.refuse(classifier.NotFound, "only "+method+" is allowed here")
		return
	}
	serve()
}
