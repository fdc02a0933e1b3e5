package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/decider"
)

// Guards against a response that is cut because its endpoint pauses, when a part of it has been sent and no other
// attempt can continue it.
func TestPauseInLongResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	long := strings.Repeat("0123456789abcdef", 20<<10)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, long)
		w.(http.Flusher).Flush()
		time.Sleep(1500 * time.Millisecond)
		io.WriteString(w, "end")
	})
	f.endpoint("b", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "other") })
	got := f.send("GET", "/safe/", "")
	is.True(got.complete)
	is.Equal(got.body, long+"end")
}

// Guards against a stream that leaves its endpoint because the caller reads slowly.
func TestSlowCallerIsNoSilence(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	text := strings.Repeat("x", 50_000)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for id := range 400 { // more than the buffers of the connections hold
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id+1, text); err != nil {
				return
			}
		}
	})
	var others atomic.Int32
	f.endpoint("b", func(http.ResponseWriter, *http.Request) { others.Add(1) })
	r, err := http.NewRequest("POST", f.server.URL+"/resumed/", nil)
	is.NoErr(err)
	r.Host = "h"
	response, err := f.server.Client().Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	time.Sleep(2 * time.Second)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(body), "\n\n"), 400)
	is.Equal(others.Load(), int32(0))
	is.Equal(f.core.waitKinds(2), []decider.EventKind{decider.EventStarted, decider.EventFinished})
}
