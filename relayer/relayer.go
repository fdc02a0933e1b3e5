package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/matcher"
	"apricotspool/namer"
	"apricotspool/recorder"
)

// Dispatcher brings requests to the decision core.
type Dispatcher interface {
	Submit(ctx context.Context, r decider.Request) (*dispatcher.Ticket, error)
}

// Relayer serves requests of routes. Set the exported fields before use.
type Relayer struct {
	// Table returns the routes in force, or nil before there are any.
	Table func() *matcher.Table
	// Target returns where an endpoint is now.
	Target     func(name namer.Endpoint) (forwarder.Target, bool)
	Dialect    Dialect
	Dispatcher Dispatcher
	Endpoints  forwarder.Service
	Metrics    *recorder.Metrics
	// Log gets a line for each decision about a request and for its end.
	Log zerolog.Logger

	pulses   pulses
	draining atomic.Bool
	held     atomic.Int64
	active   sync.WaitGroup
}

// SetDraining makes answers ask callers to close their connections.
func (r *Relayer) SetDraining() { r.draining.Store(true) }

// Held returns the number of requests in flight.
func (r *Relayer) Held() int { return int(r.held.Load()) }

// Wait returns when no request is in flight, or with the error of ctx.
func (r *Relayer) Wait(ctx context.Context) error {
	idle := make(chan struct{})
	go func() {
		r.active.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ServeHTTP serves one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.active.Add(1)
	r.held.Add(1)
	defer func() {
		r.held.Add(-1)
		r.active.Done()
	}()
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{relayer: r, w: w, r: request, began: time.Now(), call: r.Dialect.Decode(request.Header)}
	if x.prepare() {
		x.serve()
	}
	if x.cut {
		// The only way to tell the caller that an answer is not whole.
		panic(http.ErrAbortHandler)
	}
}

// pickService returns the service of a request by the weights of its route.
func pickService(route *matcher.Route, random func(n int) int) (namer.Service, bool) {
	total := 0
	for _, s := range route.Services {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return "", false
	}
	at := random(total)
	for _, s := range route.Services {
		if at -= max(0, s.Weight); at < 0 {
			return s.Service, true
		}
	}
	return "", false
}

// outcomeOf returns the outcome of a request that ends without an answer because its context ended.
func outcomeOf(ctx context.Context) classifier.Outcome {
	if ctx.Err() == context.DeadlineExceeded {
		return classifier.DeadlineExceeded
	}
	return classifier.CallerGone
}
