package relayer_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/detector"
	"apricotspool/namer"
)

// Guards against lost, duplicated or merged events when a stream breaks and is resumed at another endpoint.
func TestBrokenStreamResumesElsewhere(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"cut between events": streamFrom(2, abortConnection),
		"cut within an event": func(w http.ResponseWriter, r *http.Request) {
			streamFrom(2, func() {
				io.WriteString(w, "id: 3\ndata: ev")
				w.(http.Flusher).Flush()
				abortConnection()
			})(w, r)
		},
		"ends within an event": func(w http.ResponseWriter, r *http.Request) {
			streamFrom(2, func() { io.WriteString(w, "id: 3\ndata: ev") })(w, r)
		},
		"cut before the first event": streamFrom(0, abortConnection),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			f.endpoint("a", first)
			f.endpoint("b", streamFrom(5, func() {}))
			got := f.send("POST", "/resumed/", "")
			is.Equal(got.status, 200)
			is.Equal(got.body, events(5))
			is.True(got.complete)
		})
	}
}

// Guards against a resumed attempt that never counts as started, so that its endpoint stays ejected and its backup
// is not used.
func TestResumedAttemptStarts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	f.endpoint("a", streamFrom(2, abortConnection))
	f.endpoint("b", streamFrom(5, func() {}))
	is.Equal(f.send("POST", "/resumed/", "").body, events(5))
	is.Equal(f.core.waitKinds(4), []decider.EventKind{decider.EventStarted, decider.EventFailed, decider.EventStarted, decider.EventFinished})
}

// Guards against a broken stream that looks complete to the caller.
func TestBrokenStreamAbortsConnection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", streamFrom(2, abortConnection))
	got := f.send("POST", "/stream/", "")
	is.Equal(got.status, 200)
	is.True(!got.complete)
	is.Equal(got.body, events(2))
	failed := f.core.waitEvents(2)[1]
	is.Equal(failed.Reason, classifier.RetryStreamBroken)
	is.Equal(int(failed.OutputTokens), 2)
}

// Guards against a non-resumable stream that breaks before its first event and starts a response anyway.
// Nothing was sent to the caller yet, so it must get an error status.
func TestStreamBrokenBeforeFirstEventFails(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", streamFrom(0, abortConnection))
	is.Equal(f.send("POST", "/stream/", "").status, http.StatusBadGateway)
}

// Guards against a response that is no stream and is sent as the rest of one.
func TestStreamContinuesOnlyAsStream(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b", "c")...)
	f.endpoint("a", streamFrom(2, abortConnection))
	f.endpoint("b", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "other") })
	f.endpoint("c", streamFrom(4, func() {}))
	got := f.send("POST", "/resumed/", "")
	is.Equal(got.body, events(4))
	is.True(got.complete)
}

// Guards against a stream that restarts from the beginning when the caller resumes it.
func TestCallerResumesFromLastEvent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", streamFrom(4, func() {}))
	is.Equal(f.send("POST", "/resumed/", "", "X-Last-Event", "2").body, event(3)+event(4))
}

// Guards against a non-resumable stream that does not continue from its KV backup, or restarts there.
func TestStreamResumesFromBackup(t *testing.T) {
	is := is.New(t)
	actions := dispatchTo("a", "b")
	actions[0].Backup, actions[1].FromBackup = "b", true
	f := newFixture(t, actions...)
	f.endpoint("a", streamFrom(2, abortConnection))
	var handle atomic.Value
	f.endpoint("b", func(w http.ResponseWriter, r *http.Request) {
		handle.Store(r.Header.Get("X-Handle"))
		streamFrom(4, func() {})(w, r)
	})
	got := f.send("POST", "/stream/", "")
	is.Equal(got.body, events(4))
	is.True(got.complete)
	is.Equal(handle.Load(), "id-1")
}

// Guards against waiting without limit for an endpoint that stops sending in the middle of a stream.
func TestUnresponsiveEndpointTimesOut(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	f.endpoint("a", streamFrom(2, func() { time.Sleep(1500 * time.Millisecond) }))
	f.endpoint("b", streamFrom(4, func() {}))
	start := time.Now()
	is.Equal(f.send("POST", "/resumed/", "").body, events(4))
	is.True(time.Since(start) < 1200*time.Millisecond)
	is.Equal(f.core.waitEvents(2)[1].Reason, classifier.RetryEndpointUnresponsive)
}

// Guards against cancelling an attempt within its expected latency, and the last attempt, which no other
// one can follow.
func TestInactivityTimeoutAllowsExpectedLatency(t *testing.T) {
	slow := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(700 * time.Millisecond)
		io.WriteString(w, "late")
	}
	for name, c := range map[string]struct {
		action decider.Action
		body   string
	}{
		"low expected latency":  {decider.Action{}, "other"},
		"high expected latency": {decider.Action{Basis: decider.Basis{Expected: 3 * time.Second}}, "late"},
		"last attempt":          {decider.Action{FinalAttempt: true}, "late"},
	} {
		t.Run(name, func(t *testing.T) {
			actions := dispatchTo("a", "b")
			actions[0].FinalAttempt, actions[0].Basis = c.action.FinalAttempt, c.action.Basis
			f := newFixture(t, actions...)
			f.endpoint("a", slow)
			f.endpoint("b", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "other") })
			is.New(t).Equal(f.send("GET", "/safe/", "").body, c.body)
		})
	}
}

// Guards against a KV cache that the prefill engine holds although no engine can generate the response.
func TestUnusedHandleIsReleased(t *testing.T) {
	is := is.New(t)
	f := newFixture(t,
		decider.Action{Kind: decider.ActionPrefill, Attempt: 1, Endpoint: "p"},
		decider.Action{Kind: decider.ActionDispatch, Attempt: 1, Endpoint: "full"},
	)
	released := make(chan string, 1)
	f.endpoint("p", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			released <- r.URL.Path
			return
		}
		io.WriteString(w, `"handle-7"`)
	})
	f.endpoint("full", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Not-Run", "1"); w.WriteHeader(503) })
	is.Equal(f.send("POST", "/stream/", "prompt").status, 503)
	is.Equal(<-released, "/handles/handle-7")
}

// Guards against a prefill whose handle does not reach the decode engine, and against a refused prefill
// that counts as an execution.
func TestPrefillOnSeparateEndpoint(t *testing.T) {
	is := is.New(t)
	f := newFixture(t,
		decider.Action{Kind: decider.ActionPrefill, Attempt: 1, Endpoint: "full"},
		decider.Action{Kind: decider.ActionPrefill, Attempt: 2, Endpoint: "p"},
		decider.Action{Kind: decider.ActionDispatch, Attempt: 2, Endpoint: "d"},
	)
	f.endpoint("full", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Not-Run", "1"); w.WriteHeader(503) })
	f.endpoint("p", func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("X-Prefill"), "true")
		io.WriteString(w, `"handle-7"`)
	})
	f.endpoint("d", func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("X-Handle"), "handle-7")
		is.Equal(r.Header.Get("X-Prefill"), "false")
		streamFrom(2, func() {})(w, r)
	})
	got := f.send("POST", "/stream/", "prompt")
	is.Equal(got.body, events(2))
	is.Equal(f.core.waitKinds(4), []decider.EventKind{decider.EventFailed, decider.EventPrefilled, decider.EventStarted, decider.EventFinished})
	is.True(f.core.waitEvents(4)[0].NotRun)
}

// reportEndpoint starts an engine that answers calls for a report with report and other calls with respond.
func (f *fixture) reportEndpoint(name namer.Endpoint, report func() (detector.Report, bool), respond http.HandlerFunc) *atomic.Int32 {
	var asked atomic.Int32
	f.endpoint(name, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/report" {
			respond(w, r)
			return
		}
		asked.Add(1)
		current, answers := report()
		if !answers {
			<-r.Context().Done()
			return
		}
		json.NewEncoder(w).Encode(current)
	})
	return &asked
}

// Guards against abandoning an engine that works although nothing has come from it for long, against waiting
// for one that has hung or lost the request, and against one call for a report for each of many attempts.
func TestSilentEngineIsAsked(t *testing.T) {
	var progress atomic.Int64
	sleep := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(2500 * time.Millisecond):
			streamFrom(3, func() {})(w, r)
		}
	}
	for name, c := range map[string]struct {
		report func() (detector.Report, bool)
		reason classifier.RetryReason // "" if the first attempt is kept
	}{
		"works":          {func() (detector.Report, bool) { return detector.Report{Running: 1, KVUsed: progress.Add(1)}, true }, ""},
		"hangs":          {func() (detector.Report, bool) { return detector.Report{Running: 1, KVUsed: 1}, true }, classifier.RetryEndpointUnresponsive},
		"has lost it":    {func() (detector.Report, bool) { return detector.Report{}, true }, classifier.RetryResponseLost},
		"doesn't report": {func() (detector.Report, bool) { return detector.Report{}, false }, classifier.RetryEndpointUnresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			asked := f.reportEndpoint("a", c.report, sleep)
			f.endpoint("b", streamFrom(3, func() {}))
			is.Equal(f.send("POST", "/engine/", "").body, events(3))
			is.True(asked.Load() >= 1 && asked.Load() <= 6)
			first := f.core.waitEvents(1)[0]
			is.Equal(first.Reason, c.reason)
			is.Equal(first.Kind == decider.EventFailed, c.reason != "")
		})
	}
}

// Guards against an endpoint that keeps an attempt alive with bytes that never complete an event.
func TestDrippingBytesAreNoProgress(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
		streamFrom(2, func() {
			io.WriteString(w, "id: 3\ndata: ")
			for r.Context().Err() == nil {
				io.WriteString(w, "x")
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		})(w, r)
	})
	f.endpoint("b", streamFrom(4, func() {}))
	got := f.send("POST", "/resumed/", "")
	is.Equal(got.body, events(4))
	is.True(got.complete)
	is.Equal(f.core.waitEvents(2)[1].Reason, classifier.RetryEndpointUnresponsive)
}

// Guards against cutting a response because its endpoint was silent for a second, when no other attempt can
// follow.
func TestSilentEndpointIsKeptWithoutReplacement(t *testing.T) {
	pause := func(w http.ResponseWriter, r *http.Request) {
		streamFrom(2, func() {
			time.Sleep(1500 * time.Millisecond)
			r.Header.Set("X-Last-Event", "2")
			streamFrom(4, func() {})(w, r)
		})(w, r)
	}
	for name, path := range map[string]string{"engine": "/engine/", "plain": "/resumed/"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a")...)
			f.reportEndpoint("a", func() (detector.Report, bool) { return detector.Report{}, false }, pause)
			got := f.send("POST", path, "")
			is.Equal(got.body, events(4))
			is.True(got.complete)
		})
	}
}

// Guards against failing a call that takes long, when no other attempt can follow, because its endpoint answers
// other calls.
func TestLongCallIsKeptWithoutReplacement(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "a", "a", "a", "a", "a", "a")...)
	f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			time.Sleep(2500 * time.Millisecond)
		}
		io.WriteString(w, "done")
	})
	long := make(chan response)
	go func() { long <- f.send("PUT", "/safe/", "") }()
	for range 6 {
		time.Sleep(250 * time.Millisecond)
		is.Equal(f.send("GET", "/safe/", "").status, 200)
	}
	got := <-long
	is.Equal(got.status, 200)
	is.Equal(got.body, "done")
}

// Guards against leaving a silent engine for one that doesn't respond either, and against an attempt that is kept and
// never looked at again.
func TestSilentEngineIsLeftForOneThatResponds(t *testing.T) {
	for name, c := range map[string]struct {
		answersFrom int32 // the first call that the other engine answers
		left        bool
	}{
		"responds":        {1, true},
		"responds later":  {2, true},
		"doesn't respond": {100, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			f.core.probe = "b"
			f.reportEndpoint("a", func() (detector.Report, bool) { return detector.Report{}, false }, func(w http.ResponseWriter, r *http.Request) {
				streamFrom(2, func() {
					time.Sleep(3 * time.Second)
					r.Header.Set("X-Last-Event", "2")
					streamFrom(4, func() {})(w, r)
				})(w, r)
			})
			var asked atomic.Int32
			f.reportEndpoint("b", func() (detector.Report, bool) { return detector.Report{}, asked.Add(1) >= c.answersFrom }, streamFrom(4, func() {}))
			got := f.send("POST", "/engine/", "")
			is.Equal(got.body, events(4))
			is.True(got.complete)
			is.True(asked.Load() >= min(c.answersFrom, 2))
			is.Equal(f.core.waitEvents(2)[1].Reason == classifier.RetryEndpointUnresponsive, c.left)
		})
	}
}

// Guards against leaving an engine that goes on while its replacement is checked.
func TestEngineThatGoesOnIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	f.core.probe = "b"
	f.reportEndpoint("a", func() (detector.Report, bool) { return detector.Report{}, false }, func(w http.ResponseWriter, r *http.Request) {
		for until, pause := range []time.Duration{0, 700 * time.Millisecond, 400 * time.Millisecond} {
			time.Sleep(pause)
			streamFrom(until+1, func() {})(w, r)
			r.Header.Set("X-Last-Event", strconv.Itoa(until+1))
		}
	})
	f.reportEndpoint("b", func() (detector.Report, bool) {
		time.Sleep(300 * time.Millisecond)
		return detector.Report{}, true
	}, streamFrom(3, func() {}))
	is.Equal(f.send("POST", "/engine/", "").body, events(3))
	is.Equal(f.core.waitKinds(2), []decider.EventKind{decider.EventStarted, decider.EventFinished})
}

// Guards against a handle that is used, or given back, although the process that has given it out has ended: the one in its place
// may give the same handle out for another prompt.
func TestHandleEndsWithItsProcess(t *testing.T) {
	for name, c := range map[string]struct {
		before, after namer.Incarnation
		handle        string
	}{"same process": {7, 7, "h1"}, "another process": {7, 8, ""}, "unknown": {0, 0, "h1"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, decider.Action{Kind: decider.ActionPrefill, Attempt: 1, Endpoint: "p"}, decider.Action{Kind: decider.ActionDispatch, Attempt: 1, Endpoint: "d"})
			setIncarnation := func(i namer.Incarnation) {
				target := f.targets["p"]
				target.Incarnation = i
				f.targets["p"] = target
			}
			f.endpoint("p", func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.Method, http.MethodPost) // no release
				setIncarnation(c.after)
				io.WriteString(w, `"h1"`)
			})
			setIncarnation(c.before)
			var handle string
			f.endpoint("d", func(w http.ResponseWriter, r *http.Request) {
				handle = r.Header.Get("X-Handle")
				streamFrom(3, func() {})(w, r)
			})
			is.Equal(f.send("POST", "/engine/", "").body, events(3))
			is.Equal(handle, c.handle)
		})
	}
}
