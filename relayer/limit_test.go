package relayer_test

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/decider"
	"apricotspool/namer"
)

// limits waits for the result of the first attempt and returns the limits that have been reported. Those of its response
// come before its result.
func (s *scriptedCore) limits() []decider.Event {
	results := []decider.EventKind{decider.EventFinished, decider.EventFailed, decider.EventPrefilled}
	for n := 1; ; n++ {
		events := s.waitEvents(n)
		if !slices.ContainsFunc(events, func(e decider.Event) bool { return slices.Contains(results, e.Kind) }) {
			continue
		}
		return slices.DeleteFunc(events, func(e decider.Event) bool { return e.Kind != decider.EventLimit })
	}
}

// Guards against rate limits that the core doesn't learn of, whatever kind of response states them.
func TestStatedLimitIsReported(t *testing.T) {
	prefill := decider.Action{Kind: decider.ActionPrefill, Attempt: 1, Endpoint: "a"}
	for name, c := range map[string]struct {
		path    string
		actions []decider.Action
		respond http.HandlerFunc
	}{
		"plain response": {"/safe/", dispatchTo("a"), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") }},
		"error":          {"/safe/", dispatchTo("a"), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }},
		"refusal": {"/safe/", dispatchTo("a"), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(503)
		}},
		"stream":          {"/resumed/", dispatchTo("a"), streamFrom(3, func() {})},
		"broken stream":   {"/resumed/", dispatchTo("a"), streamFrom(3, abortConnection)},
		"prefill":         {"/engine/", []decider.Action{prefill}, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `"handle"`) }},
		"refused prefill": {"/engine/", []decider.Action{prefill}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.actions...)
			f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Limit", "2.5")
				c.respond(w, r)
			})
			start := time.Now()
			f.send("POST", c.path, "")
			limits := f.core.limits()
			is.Equal(len(limits), 1)
			is.Equal(limits[0].Endpoint, namer.Endpoint("a"))
			is.Equal(limits[0].Limit, decider.StatedLimit{State: decider.LimitStated, Rate: 2.5})
			is.True(!limits[0].RequestedAt.Before(start) && !limits[0].RequestedAt.After(time.Now()))
		})
	}
}

// Guards against limits that stay in force after the endpoint has responded without one, and against those that the
// response of another endpoint lifts or sets.
func TestLiftedLimitIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		limited bool
		status  int
		limit   string
		reports int
	}{
		"limited before":                   {limited: true, status: 200, reports: 1},
		"not limited before":               {limited: false, status: 200, reports: 0},
		"another endpoint":                 {limited: true, status: http.StatusMisdirectedRequest, reports: 0},
		"limit of another endpoint":        {limited: true, status: http.StatusMisdirectedRequest, limit: "3", reports: 0},
		"limit of an endpoint without any": {limited: false, status: 200, limit: "3", reports: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			action := dispatchTo("a")[0]
			action.Limited = c.limited
			f := newFixture(t, action)
			f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) {
				if c.limit != "" {
					w.Header().Set("X-Limit", c.limit)
				}
				w.WriteHeader(c.status)
			})
			f.send("POST", "/safe/", "")
			is.Equal(len(f.core.limits()), c.reports)
		})
	}
}

// Guards against the limit of an unsigned response that anything may have sent.
func TestUnsignedResponseDoesNotLiftLimit(t *testing.T) {
	is := is.New(t)
	action := dispatchTo("a")[0]
	action.Limited = true
	f := newFixture(t, action)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("X-Stamp")
		io.WriteString(w, "x")
	})
	f.send("POST", "/safe/", "")
	is.Equal(len(f.core.limits()), 0)
}

// calls returns the endpoints of the reported calls that are no attempts.
func (s *scriptedCore) calls() []namer.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.called
}

// Guards against a limit that only the load report of an engine states, and against calls for reports that the core
// can't charge.
func TestReportStatesLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/report" {
			abortConnection()
		}
		w.Header().Set("X-Limit", "4")
		io.WriteString(w, "{}")
	})
	f.send("POST", "/engine/", "")
	limits := f.core.limits()
	is.True(len(limits) > 0)
	is.Equal(limits[0].Limit.Rate, namer.Rate(4))
	is.Equal(len(f.core.calls()), len(limits))
}

// Guards against calls that release a handle and that the core can't charge.
func TestReleaseIsReported(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, decider.Action{Kind: decider.ActionPrefill, Attempt: 1, Endpoint: "a"})
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `"handle"`) })
	f.send("POST", "/engine/", "") // refused after the prompt has been processed
	for range 100 {
		if len(f.core.calls()) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.core.calls(), []namer.Endpoint{"a"})
}
