package relayer

import (
	"cmp"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/detector"
	"apricotspool/forwarder"
)

const (
	// endedShare is the share of a route's target, as its divisor, that a retry may wait for evidence that the
	// endpoint has ended.
	endedShare = 4
	// maxEndedCalls bounds the calls for a report after one failed attempt. The first one may have started
	// before the failure, and the next one may break with a pooled connection.
	maxEndedCalls = 3
)

// errReplaced means that another endpoint uses the address.
var errReplaced = errors.New("another endpoint uses the address")

// reportBroken reports an attempt that got no complete response, and whether its endpoint has ended.
func (x *exchange) reportBroken(action decider.Action, reason classifier.RetryReason, notRun bool, err error) {
	event := x.attemptFailure(action, reason, err)
	if reason != classifier.RetryStreamBroken || !x.endpointEnded(action) {
		event.Msg("attempt-failed")
		x.ticket.Failed(action.Attempt, action.Endpoint, reason, notRun, x.stream.events)
		return
	}
	event.Bool("ended", true).Msg("attempt-failed")
	x.ticket.EndpointEnded(action.Attempt, action.Endpoint, reason, x.stream.events)
}

// endpointEnded reports whether the endpoint of a broken attempt is known to have ended. It doesn't wait long for
// one that is silent.
func (x *exchange) endpointEnded(action decider.Action) bool {
	target, known := x.relayer.Target(action.Endpoint)
	if !known {
		return false
	}
	limit := cmp.Or(x.route.Target, defaultTarget)
	if x.stream.events > 0 {
		limit = cmp.Or(x.route.TargetGap, limit)
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), limit/endedShare)
	defer cancel()
	check := x.relayer.fetchReport
	if !x.engine {
		check = x.relayer.connect
	}
	return x.relayer.reports.ended(ctx, x.relayer, target, check)
}

// ended reports whether an endpoint's process is known to have ended. An answer to an earlier call doesn't show
// that the endpoint is still there, and a report of another incarnation shows that it isn't.
func (c *reportCache) ended(ctx context.Context, r *Relayer, target forwarder.Target, check reportFunc) bool {
	since := time.Now()
	var call *reportCall
	for range maxEndedCalls {
		call = c.join(r, target, call, check)
		select {
		case <-call.done:
		case <-ctx.Done():
			return false
		}
		switch {
		case errors.Is(call.err, syscall.ECONNREFUSED) || errors.Is(call.err, errReplaced):
			return true
		case call.err == nil && !call.startedAt.Before(since):
			return replaced(call.report, target)
		}
	}
	return false
}

// replaced reports whether a report comes from a process that has started under the endpoint's name and address since its entry
// was written.
func replaced(report detector.Report, target forwarder.Target) bool {
	return report.Incarnation != 0 && target.Incarnation != 0 && report.Incarnation != target.Incarnation
}

// connect checks whether anything listens at the address of a plain endpoint, which has no load report. A request for its
// health would wait for a slot.
func (r *Relayer) connect(ctx context.Context, target forwarder.Target) (detector.Report, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", target.Address.String())
	if err != nil {
		return detector.Report{}, errors.Wrap(err, "connect to endpoint")
	}
	return detector.Report{}, errors.Wrap(conn.Close(), "close connection")
}
