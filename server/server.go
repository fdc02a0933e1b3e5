// Package server implements the HTTP API for callers: OpenAI-compatible completions, resumption of streams and
// calls to plain services. Each request is served by one goroutine; the package owns the requests in flight.
package server

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/administrator"
	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/configurer"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/generator"
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/resumer"
)

// DefaultBodyTimeout limits the time that a caller may take to send the body of a completion request.
const DefaultBodyTimeout = time.Minute

// Engine is the part of generator.Engine that serves requests.
type Engine interface {
	Generate(ctx context.Context, to generator.Target, call generator.Call) (generator.Stream, error)
	Cancel(ctx context.Context, to generator.Target, stream namer.StreamID) error
}

// Dispatcher submits requests to the decision core.
type Dispatcher interface {
	Submit(ctx context.Context, r decider.Request) (*dispatcher.Ticket, error)
	// Stalled reports whether requests wait for a core that doesn't finish a decision.
	Stalled() bool
}

// Finder finds the engine that can resume a stream.
type Finder interface {
	Find(ctx context.Context, id resumer.Identity, attempt namer.Attempt, from int) (resumer.Found, error)
}

// DisconnectTracker cancels streams whose callers disconnect and do not reconnect.
type DisconnectTracker interface {
	CallerDisconnected(at generator.Target, stream namer.StreamID)
	CallerReconnected(stream namer.StreamID)
}

// Server serves the callers' API. Set the exported fields before use.
type Server struct {
	// Snapshot returns the active configuration, or nil if there is none yet.
	Snapshot    func() *configurer.Snapshot
	Dispatcher  Dispatcher
	Engine      Engine
	Forwarder   forwarder.Service
	Claimer     Claimer // if nil, non-idempotent calls with a key are refused
	Signer      *resumer.Signer
	Finder      Finder
	Disconnects DisconnectTracker
	Metrics     *recorder.Metrics
	Log         zerolog.Logger
	// MaxRequests limits the number of requests in flight, including those waiting for admission; 0 means no limit.
	MaxRequests int
	// BodyTimeout limits the time that a caller may take to send the body of a completion request; 0 means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration

	draining atomic.Bool
	inFlight atomic.Int64
	active   sync.WaitGroup
}

// Handler returns the HTTP handler for callers, including the health checks.
func (s *Server) Handler() http.Handler {
	health := http.NewServeMux()
	administrator.RegisterHealthChecks(health, s.Ready)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" || r.URL.Path == "/readyz" {
			health.ServeHTTP(w, r)
			return
		}
		s.serve(w, r)
	})
}

// Ready reports whether a load balancer should send requests to this daemon.
func (s *Server) Ready() bool {
	return !s.draining.Load() && configured(s.Snapshot()) && !s.Dispatcher.Stalled()
}

// configured reports whether a configuration is active. Version 0 is the empty one of a new fleet.
func configured(s *configurer.Snapshot) bool { return s != nil && s.Version() > 0 }

// SetDraining makes the server report that it is not ready. Requests are still accepted until the listener
// closes, because the load balancer needs time to notice.
func (s *Server) SetDraining() { s.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Wait returns when all requests have finished or ctx has ended. A request takes no longer than its service's
// deadline.
func (s *Server) Wait(ctx context.Context) error {
	finished := make(chan struct{})
	go func() {
		s.active.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%d requests still in flight", s.InFlight())
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	defer crashOnViolation()
	s.active.Add(1)
	defer s.active.Done()
	defer s.inFlight.Add(-1)
	x := s.newExchange(w, r)
	if s.inFlight.Add(1) > int64(s.MaxRequests) && s.MaxRequests > 0 {
		x.refuse(classifier.QueueFull, "this daemon has too many requests in flight")
	} else if !x.admit() {
		x.refuse(classifier.MemoryExhausted, "")
	} else {
		defer x.release()
		if x.callerWaits() && x.authenticate() {
			x.route()
		}
	}
	asserter.Check(x.outcome != "", "every request has an outcome", "%s %s", r.Method, r.URL.Path)
	if x.abortConnection {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller does not take the response for complete
	}
}

// crashOnViolation crashes the process after an asserter.Violation. It panics again in another goroutine,
// because net/http recovers panics of handlers.
func crashOnViolation() {
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

// route selects the handler by path. It does not use http.ServeMux, which redirects paths that are not clean,
// whereas paths of plain services must be forwarded unchanged.
func (x *exchange) route() {
	path := x.r.URL.Path
	request, isStream := strings.CutPrefix(path, "/v1/streams/")
	switch {
	case path == "/v1/models":
		x.withMethod(http.MethodGet, x.listModels)
	case path == string(generator.ChatCompletions):
		x.withMethod(http.MethodPost, func() { x.complete(generator.ChatCompletions) })
	case path == string(generator.Completions):
		x.withMethod(http.MethodPost, func() { x.complete(generator.Completions) })
	case isStream:
		x.withMethod(http.MethodGet, func() { x.resume(namer.RequestID(request)) })
	case strings.HasPrefix(path, "/services/"):
		x.forward()
	default:
		x.refuse(classifier.NotFound, "the path does not exist")
	}
}

func (x *exchange) withMethod(method string, serve func()) {
	if x.r.Method != method {
		x.refuse(classifier.NotFound, "only "+method+" is allowed for this path")
		return
	}
	serve()
}
