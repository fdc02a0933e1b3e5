package relayer_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/matcher"
)

// Guards against an empty query that is cut off: a path without a question mark is another target.
func TestTargetPassesUnchanged(t *testing.T) {
	for _, target := range []string{"/unsafe/a", "/unsafe/a?", "/unsafe/a??", "/unsafe/a?b", "/unsafe/a?b?"} {
		is := is.New(t)
		f := newFixture(t, dispatchTo("a")...)
		f.endpoint("a", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Seen", r.RequestURI) })
		is.Equal(f.send("POST", target, "body").header.Get("X-Seen"), target)
	}
}

// Guards against requests and responses that are modified by the proxy.
func TestRequestAndResponsePassUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.RequestURI+" "+r.Host+" "+string(body))
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, "answer")
	})
	got := f.send("POST", "/unsafe/a%2Fb//c?q=%20;x", "body", "X-Patience", "900")
	is.Equal(got.status, http.StatusCreated)
	is.Equal(got.header.Get("X-Seen"), "POST /unsafe/a%2Fb//c?q=%20;x h body")
	is.Equal(got.header.Get("X-Stamp"), "a")
	is.Equal(got.body, "answer")
}

// Guards against refusals with the wrong status or without Retry-After.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*fixture)
		path    string
		status  int
		retry   bool
	}{
		"no routes yet": {func(f *fixture) { f.relayer.Table = func() *matcher.Table { return nil } }, "/safe/", 503, true},
		"no such route": {func(*fixture) {}, "/none/", 404, false},
		"core refuses":  {func(*fixture) {}, "/safe/", 503, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			c.prepare(f)
			got := f.send("GET", c.path, "")
			is.Equal(got.status, c.status)
			is.Equal(got.header.Get("Retry-After") != "", c.retry)
			is.Equal(got.header.Get("X-Id"), "id-1")
		})
	}
	t.Run("too large", func(t *testing.T) {
		is.New(t).Equal(newFixture(t).send("POST", "/unsafe/", strings.Repeat("x", 1001)).status, http.StatusRequestEntityTooLarge)
	})
}

// Guards against executing a non-idempotent request twice, and against reporting one as not executed that
// may have been.
func TestUnsafeRequestExecutesOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first  http.HandlerFunc
		status int
		runs   int32 // executions at the second endpoint
	}{
		"refused":        {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Not-Run", "1"); w.WriteHeader(503) }, 200, 1},
		"connection cut": {func(http.ResponseWriter, *http.Request) { abortConnection() }, 502, 0},
		"truncated response": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			io.WriteString(w, "123")
			abortConnection()
		}, 502, 0},
		"no signature":          {func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("X-Stamp") }, 502, 0},
		"endpoint's own 500":    {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 500, 0},
		"503 without X-Not-Run": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, 502, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			// The core retries only a request that was not executed.
			f.core.actions = dispatchTo("a")
			if c.runs > 0 {
				f.core.actions = dispatchTo("a", "b")
			}
			var runs atomic.Int32
			f.endpoint("a", c.first)
			f.endpoint("b", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			got := f.send("POST", "/unsafe/", "order")
			is.Equal(got.status, c.status)
			is.Equal(runs.Load(), c.runs)
			// Retry-After is set only if the request was certainly not executed.
			is.Equal(got.header.Get("Retry-After"), "")
		})
	}
}

// Guards against returning an endpoint's error for a safe request that another endpoint can serve, and
// against replacing the endpoint's error response by one of the daemon's own.
func TestSafeRequestIsRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	f.endpoint("b", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "good") })
	got := f.send("GET", "/safe/", "")
	is.Equal(got.status, 200)
	is.Equal(got.header.Get("X-Stamp"), "b")

	f = newFixture(t, dispatchTo("a")...)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500); io.WriteString(w, "its own") })
	got = f.send("GET", "/safe/", "")
	is.Equal(got.status, 500)
	is.Equal(got.header.Get("X-Stamp"), "a")
	is.Equal(got.body, "its own")
}

// Guards against a request that fails because its endpoint is gone before it was sent.
func TestUnknownEndpointIsReplaced(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("gone", "b")...)
	f.endpoint("b", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "good") })
	is.Equal(f.send("POST", "/unsafe/", "order").body, "good")
	failed := f.core.waitEvents(1)[0]
	is.Equal(failed.Reason, classifier.RetryEndpointLeaving)
	is.True(failed.NotRun)
}

// Guards against responses after the caller's deadline or the route's timeout.
func TestDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		path, timeout string
		within        time.Duration
	}{
		"route's timeout":   {"/short/", "", 400 * time.Millisecond},
		"caller's deadline": {"/unsafe/", "100", 400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a")...)
			remaining := make(chan string, 1)
			cancelled := make(chan struct{})
			f.endpoint("a", func(_ http.ResponseWriter, r *http.Request) {
				remaining <- r.Header.Get("X-Remaining")
				<-r.Context().Done()
				close(cancelled)
			})
			start := time.Now()
			got := f.send("POST", c.path, "", "X-Patience", c.timeout)
			is.Equal(got.status, http.StatusGatewayTimeout)
			is.True(time.Since(start) < c.within)
			ms, err := strconv.Atoi(<-remaining)
			is.NoErr(err)
			is.True(ms <= 100 && ms > 0)
			<-cancelled // the endpoint's request is cancelled
		})
	}
}

// Guards against an endpoint that keeps working on a request whose caller has disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	started, cancelled := make(chan struct{}), make(chan struct{})
	f.endpoint("a", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	client := &http.Client{Timeout: 100 * time.Millisecond}
	r, err := http.NewRequest("POST", f.server.URL+"/unsafe/", nil)
	is.NoErr(err)
	r.Host = "h"
	_, err = client.Do(r)
	is.True(err != nil)
	<-started
	<-cancelled
	for f.relayer.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(f.core.waitKinds(1), []decider.EventKind{decider.EventCancelled})
}

// Guards against a drain during which callers keep using their connections to this daemon.
func TestDrainSetsConnectionClose(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "good") })
	f.relayer.Drain(time.Now().Add(time.Second), time.Now().Add(time.Hour))
	r, err := http.NewRequest("GET", f.server.URL+"/safe/", nil)
	is.NoErr(err)
	r.Host = "h"
	resp, err := f.server.Client().Do(r)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
}

// Guards against a retry reason of the relayer that classifier.RetryReasons does not list.
func TestRetryReasonsAreListed(t *testing.T) {
	is := is.New(t)
	for _, reason := range []classifier.RetryReason{classifier.RetryEndpointFailed, classifier.RetryEndpointUnresponsive} {
		found := false
		for _, known := range classifier.RetryReasons() {
			found = found || known == reason
		}
		is.True(found)
	}
}
