// Package server is the callers' HTTP API: OpenAI-compatible completions, resumption of streams and
// calls of plain services. One goroutine serves one request; the package owns the requests in flight.
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

// DefaultBodyTimeout is the longest time for a caller to send the body of a completion.
const DefaultBodyTimeout = time.Minute

// Engine is the part of the engine adapter that serves requests.
type Engine interface {
	Generate(ctx context.Context, to generator.Target, call generator.Call) (generator.Stream, error)
	Cancel(ctx context.Context, to generator.Target, stream namer.StreamID) error
}

// Dispatcher brings requests to the decision core.
type Dispatcher interface {
	Submit(ctx context.Context, r decider.Request) (*dispatcher.Ticket, error)
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

// Server serves callers. Set the exported fields before use.
type Server struct {
	// Snapshot returns the configuration in force, or nil before there is one.
	Snapshot   func() *configurer.Snapshot
	Dispatcher Dispatcher
	Engine     Engine
	Service    forwarder.Service
	Claimer    Claimer // nil refuses non-idempotent calls with a key
	Signer     *resumer.Signer
	Finder     Finder
	Leaver     Leaver
	Metrics    *recorder.Metrics
	Log        zerolog.Logger
	// Requests is the most requests that are held at once, waiting ones included; 0 means no limit.
	Requests int
	// BodyTimeout is the longest time for a caller to send the body of a completion; 0 means DefaultBodyTimeout.
	BodyTimeout time.Duration

	draining atomic.Bool
	held     atomic.Int64
	active   sync.WaitGroup
}

// Handler returns the HTTP handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	health := http.NewServeMux()
	administrator.AddHealth(health, s.Ready)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" || r.URL.Path == "/readyz" {
			health.ServeHTTP(w, r)
			return
		}
		s.serve(w, r)
	})
}

// Ready reports whether the balancer should send requests here.
func (s *Server) Ready() bool { return !s.draining.Load() && configured(s.Snapshot()) }

// configured reports whether a configuration is in force. Version 0 is the empty one of a new fleet.
func configured(s *configurer.Snapshot) bool { return s != nil && s.Version() > 0 }

// SetDraining makes the server unready. Requests are still accepted until the listener closes, since
// the balancer needs time to notice.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Held returns how many accepted requests have not finished.
func (s *Server) Held() int { return int(s.held.Load()) }

// Wait returns when every accepted request has finished or ctx has ended. A request takes no longer
// than its service's deadline.
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
		return errors.Wrapf(ctx.Err(), "%d requests have not finished", s.Held())
	}
}

// serve serves one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	defer stopOnViolation()
	s.active.Add(1)
	defer s.active.Done()
	defer s.held.Add(-1)
	x := s.newExchange(w, r)
	if s.held.Add(1) > int64(s.Requests) && s.Requests > 0 {
		x.refuse(classifier.QueueFull, "this daemon holds too many requests")
	} else if x.authenticate() {
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
