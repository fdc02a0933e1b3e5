package relayer_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
)

// Guards against a failed request whose log can't tell what was decided, on what ground, and what came
// of it.
func TestLogTellsTheCause(t *testing.T) {
	is := is.New(t)
	basis := decider.Basis{Expected: 40 * time.Millisecond, Waiting: 30 * time.Millisecond, NewsAge: 20 * time.Millisecond, Declined: 1}
	b := newBed(t,
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
	b.endpoint("a", refuse)
	b.endpoint("b", refuse)
	is.Equal(b.send("POST", "/unsafe/", "x").status, 503)
	is.Equal(b.log.of(t, "id-1", "endpoint", "attempt", "priority", "expected-ms", "waiting-ms", "news-age-ms", "declined", "usable", "late",
		"reason", "error", "outcome", "may-have-run", "version", "repeats-after", "retry-after-ms"), []string{
		"attempt-started endpoint=a attempt=1 priority=2 expected-ms=40 waiting-ms=30 news-age-ms=20 declined=1 late=false",
		"attempt-failed endpoint=a attempt=1 reason=endpoint-refused error=status 503 may-have-run=false",
		"attempt-started endpoint=b attempt=2 priority=0 expected-ms=0 waiting-ms=0 news-age-ms=0 declined=0 late=false repeats-after=endpoint-refused",
		"attempt-failed endpoint=b attempt=2 reason=endpoint-refused error=status 503 may-have-run=false",
		"request-refused declined=2 usable=5 late=true outcome=endpoint-refused retry-after-ms=250",
		"request-ended outcome=endpoint-refused may-have-run=false version=1",
	})
}

// Guards against a request that may run once and ends without its answer, of which the log doesn't say
// that it may have run.
func TestLogTellsWhatMayHaveRun(t *testing.T) {
	is := is.New(t)
	b := newBed(t, to("a")...)
	b.endpoint("a", func(http.ResponseWriter, *http.Request) { cut() })
	is.Equal(b.send("POST", "/unsafe/", "x").status, 502)
	is.Equal(b.log.of(t, "id-1", "reason", "outcome", "may-have-run"), []string{
		"attempt-started",
		"attempt-failed reason=stream-broken may-have-run=true",
		"request-refused outcome=endpoint-refused",
		"request-ended outcome=endpoint-failed may-have-run=true",
	})
}
