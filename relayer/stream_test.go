package relayer_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
)

// Guards against streams that lose, double or join events when an endpoint breaks off.
func TestBrokenStreamGoesOn(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"cut between events": streamFrom(2, cut),
		"cut within an event": func(w http.ResponseWriter, r *http.Request) {
			streamFrom(2, func() {
				io.WriteString(w, "id: 3\ndata: ev")
				w.(http.Flusher).Flush()
				cut()
			})(w, r)
		},
		"ends within an event": func(w http.ResponseWriter, r *http.Request) {
			streamFrom(2, func() { io.WriteString(w, "id: 3\ndata: ev") })(w, r)
		},
		"cut before the first event": streamFrom(0, cut),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(t, to("a", "b")...)
			b.endpoint("a", first)
			b.endpoint("b", streamFrom(5, func() {}))
			got := b.send("POST", "/resumed/", "")
			is.Equal(got.status, 200)
			is.Equal(got.body, events(5))
			is.True(got.whole)
		})
	}
}

// Guards against a broken stream that looks whole to its caller.
func TestBrokenStreamIsCut(t *testing.T) {
	is := is.New(t)
	b := newBed(t, to("a")...)
	b.endpoint("a", streamFrom(2, cut))
	got := b.send("POST", "/stream/", "")
	is.Equal(got.status, 200)
	is.True(!got.whole)
	is.Equal(got.body, events(2))
	failed := b.core.wait(2)[1]
	is.Equal(failed.Reason, classifier.RetryStreamBroken)
	is.Equal(int(failed.OutputTokens), 2)
}

// Guards against a stream that may run once and is broken before its first event: nothing was sent to
// the caller, so that it gets a proper failure and no promise.
func TestStreamWithoutEventsFails(t *testing.T) {
	is := is.New(t)
	b := newBed(t, to("a")...)
	b.endpoint("a", streamFrom(0, cut))
	is.Equal(b.send("POST", "/stream/", "").status, http.StatusBadGateway)
}

// Guards against a caller's own resumption that begins from the start.
func TestCallerResumes(t *testing.T) {
	is := is.New(t)
	b := newBed(t, to("a")...)
	b.endpoint("a", streamFrom(4, func() {}))
	is.Equal(b.send("POST", "/resumed/", "", "X-Last-Event", "2").body, event(3)+event(4))
}

// Guards against a request that may run once and does not go on from its backup, or begins anew there.
func TestGoesOnFromBackup(t *testing.T) {
	is := is.New(t)
	steps := to("a", "b")
	steps[0].Backup, steps[1].FromBackup = "b", true
	b := newBed(t, steps...)
	b.endpoint("a", streamFrom(2, cut))
	var handle atomic.Value
	b.endpoint("b", func(w http.ResponseWriter, r *http.Request) {
		handle.Store(r.Header.Get("X-Handle"))
		streamFrom(4, func() {})(w, r)
	})
	got := b.send("POST", "/stream/", "")
	is.Equal(got.body, events(4))
	is.True(got.whole)
	is.Equal(handle.Load(), "id-1")
}

// Guards against an endpoint that says nothing for ever, and against giving up one that answers others.
func TestSilentEndpoint(t *testing.T) {
	is := is.New(t)
	b := newBed(t, to("a", "b")...)
	b.endpoint("a", streamFrom(2, func() { time.Sleep(1500 * time.Millisecond) }))
	b.endpoint("b", streamFrom(4, func() {}))
	began := time.Now()
	is.Equal(b.send("POST", "/resumed/", "").body, events(4))
	is.True(time.Since(began) < 1200*time.Millisecond)
	is.Equal(b.core.wait(2)[1].Reason, classifier.RetryEndpointSilent)
}

// Guards against giving up an endpoint that is as slow as was expected, and an attempt that no other one
// can follow.
func TestPatience(t *testing.T) {
	slow := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(700 * time.Millisecond)
		io.WriteString(w, "late")
	}
	for name, c := range map[string]struct {
		action decider.Action
		body   string
	}{
		"quick usually":       {decider.Action{}, "other"},
		"expected to be slow": {decider.Action{Basis: decider.Basis{Expected: 3 * time.Second}}, "late"},
		"last attempt":        {decider.Action{Last: true}, "late"},
	} {
		t.Run(name, func(t *testing.T) {
			steps := to("a", "b")
			steps[0].Last, steps[0].Basis = c.action.Last, c.action.Basis
			b := newBed(t, steps...)
			b.endpoint("a", slow)
			b.endpoint("b", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "other") })
			is.New(t).Equal(b.send("GET", "/safe/", "").body, c.body)
		})
	}
}

// Guards against memory that an engine keeps for nobody when the answer can't be generated.
func TestUnusedHandleIsFreed(t *testing.T) {
	is := is.New(t)
	b := newBed(t,
		decider.Action{Kind: decider.ActionPrefill, Attempt: 1, Endpoint: "p"},
		decider.Action{Kind: decider.ActionDispatch, Attempt: 1, Endpoint: "full"},
	)
	freed := make(chan string, 1)
	b.endpoint("p", func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			freed <- r.URL.Path
			return
		}
		io.WriteString(w, `"handle-7"`)
	})
	b.endpoint("full", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Not-Run", "1"); w.WriteHeader(503) })
	is.Equal(b.send("POST", "/stream/", "prompt").status, 503)
	is.Equal(<-freed, "/handles/handle-7")
}

// Guards against a prompt that is processed at one engine and not used at the other, and against a
// refused prefill that counts as a run.
func TestPrefillElsewhere(t *testing.T) {
	is := is.New(t)
	b := newBed(t,
		decider.Action{Kind: decider.ActionPrefill, Attempt: 1, Endpoint: "full"},
		decider.Action{Kind: decider.ActionPrefill, Attempt: 2, Endpoint: "p"},
		decider.Action{Kind: decider.ActionDispatch, Attempt: 2, Endpoint: "d"},
	)
	b.endpoint("full", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Not-Run", "1"); w.WriteHeader(503) })
	b.endpoint("p", func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("X-Prefill"), "true")
		io.WriteString(w, `"handle-7"`)
	})
	b.endpoint("d", func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("X-Handle"), "handle-7")
		is.Equal(r.Header.Get("X-Prefill"), "false")
		streamFrom(2, func() {})(w, r)
	})
	got := b.send("POST", "/stream/", "prompt")
	is.Equal(got.body, events(2))
	is.Equal(b.core.kinds(4), []decider.EventKind{decider.EventFailed, decider.EventPrefilled, decider.EventStarted, decider.EventFinished})
	is.True(b.core.wait(4)[0].NotRun)
}
