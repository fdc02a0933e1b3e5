package relayer_test

import (
	"context"
	"fmt"
	"io"
	"net"
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
	const events = 100
	text := strings.Repeat("x", 50_000)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for id := range events { // more than the buffers of the caller's connection hold
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
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			err = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		}
		return conn, err
	}}}
	defer client.CloseIdleConnections()
	response, err := client.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	time.Sleep(1500 * time.Millisecond)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(strings.Count(string(body), "\n\n"), events)
	is.Equal(others.Load(), int32(0))
	is.Equal(f.core.waitKinds(2), []decider.EventKind{decider.EventStarted, decider.EventFinished})
}
