package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unframed returns a handler whose response has neither a length nor chunks and ends with its connection.
func unframed(header, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: raw\r\n%s\r\n%s", r.Header.Get("X-Id"), header, body)
		if reset {
			time.Sleep(100 * time.Millisecond) // a reset discards what is not yet sent
			conn.(*net.TCPConn).SetLinger(0)   // closing resets the connection
		}
	}
}

// Guards against a response that ends with its connection and is cut, or is incomplete and looks complete.
func TestUnframedResponses(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	long := strings.Repeat("0123456789abcdef", 20<<10)
	for name, c := range map[string]struct {
		path, header, body string
		reset              bool
		want               response
	}{
		"plain":                     {"/unsafe/", "", "body", false, response{status: 200, body: "body", complete: true}},
		"long":                      {"/unsafe/", "", long, false, response{status: 200, body: long, complete: true}},
		"plain, reset":              {"/unsafe/", "", "bo", true, response{status: 502, body: "endpoint-failed\n", complete: true}},
		"plain, reset and retried":  {"/safe/", "", "bo", true, response{status: 200, body: "other", complete: true}},
		"long, reset":               {"/unsafe/", "", long, true, response{status: 200, body: long}},
		"stream":                    {"/stream/", stream, events(3), false, response{status: 200, body: events(3), complete: true}},
		"stream, reset":             {"/stream/", stream, events(3), true, response{status: 200, body: events(3)}},
		"stream, ends in an event":  {"/stream/", stream, events(3) + "id: 4\nda", false, response{status: 200, body: events(3)}},
		"stream, reset and resumed": {"/resumed/", stream, events(3) + "id: 4\nda", true, response{status: 200, body: events(5), complete: true}},
	} {
		for announced, header := range map[string]string{"": "", ", announced": "Connection: close\r\n"} {
			t.Run(name+announced, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, dispatchTo("a")...)
				if c.path == "/safe/" || c.path == "/resumed/" {
					f.core.actions = dispatchTo("a", "b")
				}
				f.endpoint("a", unframed(c.header+header, c.body, c.reset))
				f.endpoint("b", func(w http.ResponseWriter, r *http.Request) {
					if c.header == "" {
						io.WriteString(w, "other")
						return
					}
					streamFrom(5, func() {})(w, r)
				})
				got := f.send("POST", c.path, "")
				got.header = nil
				is.Equal(got, c.want)
			})
		}
	}
}

// Guards against a stream that is cut where the length that its first endpoint announced does not fit the events
// of the endpoint that continues it.
func TestResumedStreamIgnoresAnnouncedLength(t *testing.T) {
	for name, length := range map[string]string{"too short": "60", "too long": "1000"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", length)
				streamFrom(2, abortConnection)(w, r)
			})
			f.endpoint("b", streamFrom(5, func() {}))
			got := f.send("POST", "/resumed/", "")
			is.Equal(got.body, events(5))
			is.True(got.complete)
		})
	}
}
