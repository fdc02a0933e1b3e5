// Package server is the callers' HTTP API: OpenAI-compatible completions, plain services and the
// resuming of streams. One goroutine per request reads snapshots, asks the dispatcher for decisions
// and carries bytes. The package owns the accounting of accepted requests.
package server

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/administrator"
	"apricotspool/classifier"
	"apricotspool/configurer"
	"apricotspool/dispatcher"
	"apricotspool/generator"
	"apricotspool/namer"
	"apricotspool/recorder"
)

// Headers of the callers' API.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOutcome   = "X-Outcome"
	HeaderRank      = "X-Rank"
)

// Server serves callers. Set the exported fields before use.
type Server struct {
	Log     zerolog.Logger
	Metrics *recorder.Metrics
	// Snapshot returns the configuration in force, or nil before there is one.
	Snapshot   func() *configurer.Snapshot
	Dispatcher *dispatcher.Dispatcher
	Engine     generator.Engine
	// Requests is the most requests that are held at once, waiting ones included.
	Requests int

	draining atomic.Bool
	held     atomic.Int64
	active   sync.WaitGroup
}

// Handler returns the HTTP handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	administrator.AddHealth(mux, s.Ready)
	mux.HandleFunc("GET /v1/models", s.accept(s.models))
	mux.HandleFunc("POST /v1/chat/completions", s.accept(s.chat))
	mux.HandleFunc("POST /v1/completions", s.accept(s.completions))
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		s.refuse(w, refusal{Outcome: classifier.NotFound, Message: "the path does not exist"})
	})
	return mux
}

// Ready reports whether the balancer should send requests here.
func (s *Server) Ready() bool { return !s.draining.Load() && s.configured() }

// SetDraining makes the server unready. Requests are still accepted until the listener closes, since
// the balancer needs time to notice.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Held returns how many accepted requests have not finished.
func (s *Server) Held() int { return int(s.held.Load()) }

// Wait returns when every accepted request has finished or ctx has ended.
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

// exchange is one request of a known caller.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	snapshot *configurer.Snapshot
	name     namer.Caller
	caller   configurer.Caller
}

// accept authenticates a request and counts it until it is answered.
func (s *Server) accept(handle func(*exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Done()
		defer s.held.Add(-1)
		if s.held.Add(1) > int64(s.Requests) {
			s.refuse(w, refusal{Outcome: classifier.QueueFull, Message: "this daemon holds too many requests"})
			return
		}
		snapshot := s.Snapshot()
		if snapshot == nil || snapshot.Version() == 0 {
			s.refuse(w, refusal{Outcome: classifier.NoConfiguration, Message: "this daemon has no configuration yet"})
			return
		}
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name, caller, known := snapshot.Caller(configurer.SumToken(token))
		if !ok || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.refuse(w, refusal{Outcome: classifier.Unauthenticated, Message: "the bearer token is missing or unknown"})
			return
		}
		handle(&exchange{w: w, r: r, snapshot: snapshot, name: name, caller: caller})
	}
}

// configured reports whether a configuration is in force. Version 0 is the empty one of a new fleet.
func (s *Server) configured() bool {
	snapshot := s.Snapshot()
	return snapshot != nil && snapshot.Version() > 0
}
