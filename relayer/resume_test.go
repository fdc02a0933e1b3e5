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

// rawResponse returns a handler that writes the text of a response, in which ID stands for the request's id, and closes
// the connection, or resets it.
func rawResponse(text string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Id")))
		if reset {
			time.Sleep(50 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

func withLength(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %sX-Id: ID\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// resumedResponses are responses to an attempt that should continue a stream of four events.
var resumedResponses = map[string]string{
	"error with text":               withLength("500 Internal Server Error\r\nX-Stamp: b\r\n", "out of memory\n\n"),
	"error with events":             withLength("500 Internal Server Error\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", event(4)),
	"error of the client":           withLength("404 Not Found\r\nX-Stamp: b\r\n", "no such stream\n\n"),
	"refusal with events":           withLength("503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Type: text/event-stream\r\n", event(4)),
	"unsigned events":               withLength("200 OK\r\nContent-Type: text/event-stream\r\n", event(4)),
	"other content type":            withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/plain\r\n", event(4)),
	"no content type":               withLength("200 OK\r\nX-Stamp: b\r\n", event(4)),
	"text as a stream":              withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", "error: out of memory\n\n"),
	"lines as a stream":             withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", "out of memory\nat 0x17\n\n"),
	"head as a stream":              withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", "HTTP/1.1 500 Internal Server Error\nContent-Type: text/plain\n\nout of memory\n\n"),
	"event without an id":           withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", "event: error\ndata: out of memory\n\n"),
	"event with an odd id":          withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", "id: x\ndata: out of memory\n\n"),
	"two events run together":       withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", "id: 8\ndata: out of\nid: 9\ndata: memory\n\n"),
	"events from the start":         withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", events(4)),
	"the last event again":          withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", event(2)+event(3)+event(4)),
	"encoded events":                withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\n", event(4)),
	"no event":                      withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", ""),
	"no event, chunked":             "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"no event, ends with its close": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n\r\n",
	"blank lines":                   withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", "\n\n\n\n"),
	"a comment only":                withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", ": out of memory\n\n"),
	"cut in its head":               "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: b\r\nContent-Ty",
	"cut in an event":               withLength("200 OK\r\nX-Stamp: b\r\nContent-Type: text/event-stream\r\n", "id: 9\ndata: eve"),
	"no content":                    "HTTP/1.1 204 No Content\r\nX-Id: ID\r\nX-Stamp: b\r\n\r\n",
	"moved":                         withLength("302 Found\r\nX-Stamp: b\r\nLocation: /\r\nContent-Type: text/event-stream\r\n", event(4)),
}

// Guards against the text of an error, at times its whole head, in the middle of a stream, and against a stream that ends
// as if it were complete, when a stream has begun and broken off and the next endpoint doesn't continue it.
func TestStreamIsOnlyContinuedByItsEvents(t *testing.T) {
	for name, text := range resumedResponses {
		for sent := range 5 { // events before the stream breaks off
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s after %d events, reset %t", name, sent, reset), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					f := newFixture(t, dispatchTo("a", "b", "c")...)
					f.endpoint("a", streamFrom(sent, abortConnection))
					f.endpoint("b", rawResponse(text, reset))
					f.endpoint("c", streamFrom(4, func() {}))
					if sent == 4 {
						f.core.actions = f.core.actions[:2] // nothing is left that an endpoint could send
					}
					got := f.send("POST", "/resumed/", "")
					if sent == 0 {
						return // an endpoint's error response is passed on
					}
					is.Equal(got.status, http.StatusOK)
					is.True(strings.HasPrefix(events(4), got.body))
					if got.complete {
						is.Equal(got.body, events(4))
					}
					if sent < 4 {
						is.Equal(got.body, events(4)) // the third endpoint has continued it
						is.True(got.complete)
					}
				})
			}
		}
	}
}

// Guards against a whole stream that is taken for a broken one, because its connection broke after the last event and
// the next endpoint has nothing to add; and against one that isn't whole and is taken for it.
func TestStreamEndsWhenNothingIsLeft(t *testing.T) {
	for name, c := range map[string]struct {
		sent     int
		limit    string // of the output, in tokens; the fixture's events have 10
		complete bool
	}{
		"all that was asked for": {sent: 4, limit: "40", complete: true},
		"a part of the last":     {sent: 4, limit: "31", complete: true},
		"less than asked for":    {sent: 4, limit: "41"},
		"limit unknown":          {sent: 4},
	} {
		for form, text := range resumedResponses {
			if !strings.HasPrefix(form, "no event") {
				continue
			}
			t.Run(name+", "+form, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, dispatchTo("a", "b")...)
				f.endpoint("a", streamFrom(c.sent, abortConnection))
				f.endpoint("b", rawResponse(text, false))
				got := f.send("POST", "/engine/", "", "X-Output", c.limit)
				is.Equal(got.body, events(c.sent))
				is.Equal(got.complete, c.complete)
			})
		}
	}
}

// Guards against comments of a sound endpoint that are dropped or taken for events.
func TestCommentsOfAStreamArePassedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	f.endpoint("a", rawResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: a\r\nContent-Type: text/event-stream\r\n\r\n"+event(1)+": alive\n\n"+event(2)+"id: 3\nda", false))
	f.endpoint("b", rawResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: a\r\nContent-Type: text/event-stream\r\n\r\n: resumed\n\n"+event(3)+": alive\n\n", false))
	got := f.send("POST", "/resumed/", "")
	is.True(got.complete)
	is.Equal(got.body, event(1)+": alive\n\n"+event(2)+event(3)+": alive\n\n")
}
