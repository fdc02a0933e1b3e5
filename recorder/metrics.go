package recorder

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"apricotspool/classifier"
	"apricotspool/namer"
)

// Metrics holds the metrics of one daemon. Daemons in the same process have separate sets.
type Metrics struct {
	set        *metrics.Set
	workspaces workspaceLabels
}

// NewMetrics returns a set in which the counter of every outcome and retry reason exists with value 0.
func NewMetrics() *Metrics {
	m := &Metrics{set: metrics.NewSet()}
	for _, outcome := range classifier.Outcomes() {
		m.outcome(outcome)
	}
	for _, reason := range classifier.RetryReasons() {
		m.retry(reason)
	}
	return m
}

func (m *Metrics) outcome(o classifier.Outcome) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`apricotspool_outcomes_total{outcome=%q}`, string(o)))
}

func (m *Metrics) retry(r classifier.RetryReason) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf(`apricotspool_retries_total{reason=%q}`, string(r)))
}

// Outcome counts the outcome of one request.
func (m *Metrics) Outcome(o classifier.Outcome) { m.outcome(o).Inc() }

// Aborted counts a request that ended without a complete response, by the reason of its last failed attempt.
func (m *Metrics) Aborted(reason classifier.RetryReason) {
	m.Counter(fmt.Sprintf(`apricotspool_responses_aborted_total{reason=%q}`, string(reason))).Inc()
}

// Report counts a call for the load report of an endpoint.
func (m *Metrics) Report(answered bool) {
	m.Counter(fmt.Sprintf(`apricotspool_endpoint_reports_total{answered="%t"}`, answered)).Inc()
}

// CallerLeft counts a caller that left before its response, by when the daemon noticed it.
func (m *Metrics) CallerLeft(noticed string) {
	m.Counter(fmt.Sprintf(`apricotspool_callers_left_total{noticed=%q}`, noticed)).Inc()
}

// Retry counts one retry.
func (m *Metrics) Retry(r classifier.RetryReason) { m.retry(r).Inc() }

// FirstToken records the time from acceptance to the first byte of the response.
func (m *Metrics) FirstToken(rank namer.Rank, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`apricotspool_first_token_seconds{rank=%q}`, string(rank))).Update(d.Seconds())
}

// BetweenTokens records the time between two chunks of a response.
func (m *Metrics) BetweenTokens(rank namer.Rank, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`apricotspool_between_tokens_seconds{rank=%q}`, string(rank))).Update(d.Seconds())
}

// Request records the duration of a request of a service, regardless of its outcome.
func (m *Metrics) Request(service namer.Service, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`apricotspool_request_seconds{service=%q}`, string(service))).Update(d.Seconds())
}

// Counter returns the counter with a full name that includes labels, for metrics of other packages.
func (m *Metrics) Counter(name string) *metrics.Counter { return m.set.GetOrCreateCounter(name) }

// Gauge registers a gauge whose value is read when the metrics are written.
func (m *Metrics) Gauge(name string, value func() float64) { m.set.GetOrCreateGauge(name, value) }

// Collect registers a function that writes metrics whose labels change.
func (m *Metrics) Collect(write func(w io.Writer)) { m.set.RegisterMetricsWriter(write) }

// Write writes the metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
