package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
)

// Guards against log lines that omit the decisions about a failed request, the estimates behind them or
// their results.
func TestLogRecordsDecisionsAndFailures(t *testing.T) {
	is := is.New(t)
	basis := decider.Basis{Expected: 40 * time.Millisecond, QueueingTime: 30 * time.Millisecond, LoadAge: 20 * time.Millisecond, Declined: 1}
	f := newFixture(t,
		decider.Action{Kind: decider.ActionDispatch, Attempt: 1, Endpoint: "a", Priority: 2, Basis: basis},
		decider.Action{Kind: decider.ActionDispatch, Attempt: 2, Endpoint: "b", Retry: classifier.RetryEndpointRefused},
		decider.Action{
			Kind: decider.ActionRefuse, Outcome: classifier.EndpointRefused, RetryAfter: 250 * time.Millisecond,
			Basis: decider.Basis{Declined: 2, Usable: 5, Late: true},
		},
	)
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(503)
	}
	f.endpoint("a", refuse)
	f.endpoint("b", refuse)
	is.Equal(f.send("POST", "/unsafe/", "x", "X-Parts", "5c1e07a2 91bd3f06").status, 503)
	is.Equal(f.log.requestLines(t, "id-1", "endpoint", "attempt", "priority", "expected-ms", "waiting-ms", "news-age-ms", "declined", "usable", "late",
		"reason", "error", "outcome", "may-have-run", "parts", "version", "repeats-after", "retry-after-ms"), []string{
		"attempt-started endpoint=a attempt=1 priority=2 expected-ms=40 waiting-ms=30 news-age-ms=20 declined=1 late=false",
		"attempt-failed endpoint=a attempt=1 reason=endpoint-refused error=status 503 may-have-run=false parts=[5c1e07a2 91bd3f06]",
		"attempt-started endpoint=b attempt=2 priority=0 expected-ms=0 waiting-ms=0 news-age-ms=0 declined=0 late=false repeats-after=endpoint-refused",
		"attempt-failed endpoint=b attempt=2 reason=endpoint-refused error=status 503 may-have-run=false parts=[5c1e07a2 91bd3f06]",
		"request-refused declined=2 usable=5 late=true outcome=endpoint-refused parts=[5c1e07a2 91bd3f06] retry-after-ms=250",
		"request-ended outcome=endpoint-refused may-have-run=false version=1",
	})
}

// Guards against a log that does not show afterwards why a caller was told that its request had not run.
func TestLogRecordsWhatProvesThatNothingRan(t *testing.T) {
	for proof, c := range map[string]struct {
		actions []decider.Action
		answer  http.HandlerFunc
	}{
		"no-attempt":     {nil, nil},
		"not-sent":       {dispatchTo("gone"), nil},
		"refused":        {dispatchTo("a"), func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Not-Run", "1"); w.WriteHeader(503) }},
		"wrong-endpoint": {dispatchTo("a"), func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Not-Run", "1"); w.WriteHeader(421) }},
		"prompt-only": {
			[]decider.Action{{Kind: decider.ActionPrefill, Attempt: 1, Endpoint: "a"}},
			func(http.ResponseWriter, *http.Request) { abortConnection() },
		},
	} {
		t.Run(proof, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.actions...)
			f.endpoint("a", c.answer)
			is.Equal(f.send("POST", "/unsafe/", "x").status, 503)
			lines := f.log.requestLines(t, "id-1", "not-run")
			is.Equal(lines[len(lines)-1], "request-ended not-run="+proof)
		})
	}
	t.Run("may have run", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, dispatchTo("a")...)
		f.endpoint("a", func(http.ResponseWriter, *http.Request) { abortConnection() })
		is.Equal(f.send("POST", "/unsafe/", "x").status, 502)
		lines := f.log.requestLines(t, "id-1", "not-run")
		is.Equal(lines[len(lines)-1], "request-ended")
	})
}

// Guards against a log that does not show that a non-idempotent request may have been executed although
// it got no response.
func TestLogRecordsPossibleExecution(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", func(http.ResponseWriter, *http.Request) { abortConnection() })
	is.Equal(f.send("POST", "/unsafe/", "x").status, 502)
	is.Equal(f.log.requestLines(t, "id-1", "reason", "outcome", "may-have-run"), []string{
		"attempt-started",
		"attempt-failed reason=stream-broken may-have-run=true",
		"request-refused outcome=endpoint-refused",
		"request-ended outcome=endpoint-failed may-have-run=true",
	})
}

// Guards against a log that does not tell a response that was cut from a failure that the caller was told.
func TestLogRecordsAbortedResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", streamFrom(1, abortConnection))
	is.True(!f.send("POST", "/stream/", "").complete)
	is.Equal(f.log.requestLines(t, "id-1", "failed-attempt", "aborted"), []string{
		"attempt-started", "attempt-failed", "request-refused", "request-ended failed-attempt=stream-broken aborted=true",
	})
}
