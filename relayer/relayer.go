package relayer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/authenticator"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/dispatcher"
	"apricotspool/forwarder"
	"apricotspool/inspector"
	"apricotspool/matcher"
	"apricotspool/namer"
	"apricotspool/recorder"
)

// Dispatcher submits requests to the decision core, and reports events of endpoints that belong to no request.
type Dispatcher interface {
	Submit(ctx context.Context, r decider.Request) (*dispatcher.Ticket, error)
	Report(e decider.Event)
}

// Relayer is an http.Handler that proxies requests to endpoints. Set the exported fields before use.
type Relayer struct {
	// Table returns the current routing table, or nil before the first one is loaded.
	Table func() *matcher.Table
	// Target returns the current target of an endpoint.
	Target     func(name namer.Endpoint) (forwarder.Target, bool)
	Dialect    Dialect
	Dispatcher Dispatcher
	Endpoints  forwarder.Service
	Metrics    *recorder.Metrics
	// Confirmation says how current the decision core's knowledge of the endpoints is; nil if nobody can tell.
	Confirmation func() decider.Confirmation
	// Meter counts the requests of workspaces; nil means no metering.
	Meter Meter
	// Keys returns the API keys in force; nil if requests need none.
	Keys func() authenticator.View
	// Log receives a line for each decision about a request, each failed attempt and each outcome.
	Log zerolog.Logger

	activity  activityTracker
	latencies latencyTracker
	reports   reportCache
	draining  atomic.Pointer[drain]
	inFlight  atomic.Int64
	active    sync.WaitGroup

	endingOnce sync.Once
	ending     context.Context // done when requests in flight have to end
	stop       context.CancelFunc
}

// InFlight returns the number of requests in flight.
func (r *Relayer) InFlight() int { return int(r.inFlight.Load()) }

// Wait blocks until no request is in flight or ctx is done, and returns the error of ctx.
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
	r.inFlight.Add(1)
	defer func() {
		r.inFlight.Add(-1)
		r.active.Done()
	}()
	if r.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		relayer: r, w: w, r: request, startTime: time.Now(), call: r.Dialect.Decode(request.Header), connection: inspector.Of(request.Context()),
	}
	if x.inspectArrival() && x.admit() && x.prepare() {
		x.serve()
	}
	if x.abort {
		// Resets the connection: the only way to tell the caller that the response is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// pickService chooses a service at random, by the weights of the route. It reports false if none has a
// positive weight.
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

// outcomeForContext returns the outcome of a request that ends because its context is done.
func (x *exchange) outcomeForContext(ctx context.Context) classifier.Outcome {
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		return classifier.DeadlineExceeded
	case x.connection.Released():
		return classifier.MemoryExhausted
	case x.r.Context().Err() == nil && x.relayer.ending.Err() != nil:
		return classifier.Draining
	}
	x.noticeLeft(leftWhileWaiting)
	return classifier.CallerDisconnected
}
