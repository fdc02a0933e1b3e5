package relayer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotspool/decider"
	"apricotspool/detector"
	"apricotspool/forwarder"
	"apricotspool/namer"
)

const (
	// reportTimeout bounds the call for a report. Endpoints answer it without queueing, whatever their
	// speed, so that it covers the network only.
	reportTimeout = 350 * time.Millisecond
	// maxReportBytes bounds a report.
	maxReportBytes = 1 << 20
)

// reportCache fetches reports of endpoints. Attempts that ask for the same endpoint share a call.
type reportCache struct {
	mu    sync.Mutex
	calls map[namer.Endpoint]*reportCall
}

// reportCall is a call for a report. report and err are valid once done is closed.
type reportCall struct {
	done      chan struct{}
	target    forwarder.Target
	startedAt time.Time
	endsAt    time.Time // until then the result is reused
	report    detector.Report
	err       error
}

// ask returns a report of an endpoint that is at most detector.ReportLag old, or an error if the endpoint doesn't
// respond.
func (c *reportCache) ask(ctx context.Context, r *Relayer, target forwarder.Target) (detector.Report, error) {
	call := c.join(r, target, nil, r.fetchReport)
	select {
	case <-call.done:
		return call.report, call.err
	case <-ctx.Done():
		return detector.Report{}, ctx.Err()
	}
}

// reportFunc fetches a report, or fails because the endpoint doesn't respond.
type reportFunc func(ctx context.Context, target forwarder.Target) (detector.Report, error)

// join returns the current call to an endpoint, or a new one if there is none or it is the stale one.
func (c *reportCache) join(r *Relayer, target forwarder.Target, stale *reportCall, fetch reportFunc) *reportCall {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.calls[target.Endpoint]
	if call == nil || call == stale || call.target != target || now.After(call.endsAt) {
		call = &reportCall{done: make(chan struct{}), target: target, startedAt: now, endsAt: now.Add(reportTimeout)}
		if c.calls == nil {
			c.calls = map[namer.Endpoint]*reportCall{}
		}
		c.calls[target.Endpoint] = call
		go c.fetch(r, target, call, fetch)
	}
	return call
}

func (c *reportCache) fetch(r *Relayer, target forwarder.Target, call *reportCall, fetch reportFunc) {
	defer close(call.done)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	call.report, call.err = fetch(ctx, target)
	r.Metrics.Report(call.err == nil)
	c.mu.Lock()
	call.endsAt = time.Now().Add(detector.ReportLag)
	c.mu.Unlock()
	event := r.Log.Debug()
	if call.err != nil {
		event = r.Log.Info().Err(call.err)
	}
	event.Str("endpoint", string(target.Endpoint)).Int("waiting", call.report.Waiting).Int("running", call.report.Running).Msg("endpoint-asked")
}

func (r *Relayer) fetchReport(ctx context.Context, target forwarder.Target) (detector.Report, error) {
	method, path, header := r.Dialect.ReportCall(target.Endpoint)
	sentAt := time.Now()
	r.Dispatcher.Report(decider.Event{Kind: decider.EventCalled, Endpoint: target.Endpoint})
	response, err := r.Endpoints.Forward(ctx, target, forwarder.Call{Method: method, Path: path, Header: header, MaxIdle: forwarder.NewConnection})
	if err != nil {
		return detector.Report{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return detector.Report{}, errors.Wrap(err, "read report")
	}
	verdict := r.Dialect.Classify(response.Status, response.Header)
	if verdict.WrongEndpoint {
		return detector.Report{}, errReplaced
	}
	if verdict.statesLimit() {
		r.Dispatcher.Report(decider.Event{Kind: decider.EventLimit, Endpoint: target.Endpoint, RequestedAt: sentAt, Limit: verdict.Limit})
	}
	return r.Dialect.DecodeReport(response.Status, body)
}
