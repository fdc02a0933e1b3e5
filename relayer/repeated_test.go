package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/forwarder"
)

// repeater is an endpoint that refuses its first call, keeps the connection, and writes the refusal again before each
// later response.
type repeater struct {
	refusal string // what is written again
	runs    atomic.Int32
}

func (e *repeater) serve(conn net.Conn, stream bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Id")
		if r.Header.Get("X-First") != "" {
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		e.runs.Add(1)
		io.WriteString(conn, e.refusal)
		body, contentType := "served", "text/plain"
		if stream {
			body, contentType = events(3), "text/event-stream"
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: a\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", id, contentType, len(body), body)
	}
}

// Guards against callers that are told that their request has not run, and against a second run of what may run once,
// after an endpoint has written an earlier refusal again on a kept connection.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	forms := map[string]string{
		"as it was":      "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: first\r\nContent-Length: 0\r\n\r\n",
		"without its id": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"cut in a value": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX: ",
	}
	for form, text := range forms {
		for _, route := range []string{"/safe/", "/unsafe/", "/stream/", "/resumed/"} {
			t.Run(form+" "+route, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer listener.Close()
				e := &repeater{refusal: text}
				stream := strings.HasPrefix(route, "/stream") || strings.HasPrefix(route, "/resumed")
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						go e.serve(conn, stream)
					}
				}()
				f.targets["a"] = forwarder.Target{Endpoint: "a", Address: netip.MustParseAddrPort(listener.Addr().String())}
				f.endpoint("b", func(w http.ResponseWriter, r *http.Request) {
					e.runs.Add(1)
					if stream {
						streamFrom(3, func() {})(w, r)
						return
					}
					io.WriteString(w, "served")
				})
				f.core.actions = []decider.Action{
					{Kind: decider.ActionDispatch, Attempt: 1, Endpoint: "a"},
					{Kind: decider.ActionRefuse, Outcome: classifier.EndpointRefused},
				}
				first := f.send("GET", route, "", "X-Id", "first", "X-First", "1")
				is.Equal(first.status, http.StatusServiceUnavailable)
				f.core.actions = dispatchTo("a", "b")
				if route == "/unsafe/" || route == "/stream/" {
					f.core.actions[1] = decider.Action{Kind: decider.ActionRefuse, Outcome: classifier.EndpointRefused}
				}
				second := f.send("GET", route, "", "X-Id", "second")
				is.True(second.status != http.StatusServiceUnavailable) // it has run
				is.True(second.status == http.StatusOK || e.runs.Load() == 1)
				if route == "/unsafe/" || route == "/stream/" {
					is.Equal(e.runs.Load(), int32(1))
				}
				if second.status == http.StatusOK && second.complete {
					is.True(second.body == "served" || second.body == events(3))
				}
			})
		}
	}
}

// Guards against a request without an id that gets the response to an earlier one on a kept connection.
func TestRequestWithoutIDHasItsOwnConnection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	var mu sync.Mutex
	addresses := map[string]bool{}
	f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		addresses[r.RemoteAddr] = true
		mu.Unlock()
		w.Header().Del("X-Id")
		if id := r.Header.Get("X-Id"); id != "" {
			w.Header().Set("X-Id", id)
		}
		io.WriteString(w, "served")
	})
	for range 3 {
		f.core.actions = dispatchTo("a")
		is.Equal(f.send("GET", "/safe/", "", "X-Id", "").status, http.StatusOK)
	}
	is.Equal(len(addresses), 3)
}

// Guards against an earlier report of an engine that is taken for the current one, on a connection with earlier calls: it
// says nothing about the attempts that are in doubt now.
func TestReportsHaveTheirOwnConnections(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	var mu sync.Mutex // guards used, reports and reused
	used, reports, reused := map[string]bool{}, 0, 0
	var silence atomic.Int64
	silence.Store(int64(200 * time.Millisecond))
	f.endpoint("e", func(w http.ResponseWriter, r *http.Request) {
		report := r.URL.Path == "/report"
		mu.Lock()
		if report {
			reports++
			if used[r.RemoteAddr] {
				reused++
			}
		}
		used[r.RemoteAddr] = true
		mu.Unlock()
		if report {
			io.WriteString(w, `{"Running":1}`)
			return
		}
		time.Sleep(time.Duration(silence.Load()))
		streamFrom(3, func() {})(w, r)
	})
	f.endpoint("other", streamFrom(3, func() {}))
	for range 3 {
		f.core.actions = dispatchTo("e", "other")
		f.send("GET", "/engine/", "")
		time.Sleep(600 * time.Millisecond) // reports are shared for a while
		silence.Store(3 * silence.Load())
	}
	mu.Lock()
	defer mu.Unlock()
	is.True(reports >= 2)
	is.Equal(reused, 0)
}
