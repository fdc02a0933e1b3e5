package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/matcher"
)

// acceptUploads raises the fixture's limit on the bodies of requests.
func (f *fixture) acceptUploads(limit int64) {
	table := *f.relayer.Table()
	table.Limits.BodyBytes = limit
	f.relayer.Table = func() *matcher.Table { return &table }
}

// respondEarly returns an endpoint's script that responds to the head of a request, without a length, and then ends the
// connection.
func respondEarly(header, body string, end func(out *net.TCPConn)) func(in *bufio.Reader, out net.Conn) {
	return func(in *bufio.Reader, out net.Conn) {
		out.(*net.TCPConn).SetReadBuffer(4 << 10) // a long request doesn't fit into the buffers of the kernel
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: raw\r\n%s\r\n%s", r.Header.Get("X-Id"), header, body)
		end(out.(*net.TCPConn))
	}
}

// Guards against a part of a response that passes for the whole one because the reset that cut it short was reported to the
// goroutine that still wrote the request, so that the one that read the response saw an orderly end.
func TestEarlyResponseCutShortByResetIsNotWhole(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumed/"} {
		header, part, whole := "", "bo", "a whole body"
		if path == "/stream/" || path == "/resumed/" {
			header, part, whole = stream, events(3), events(5)
		}
		for _, size := range []int{100 << 10, 1 << 20, 6 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 50 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s %d bytes, reset after %s", strings.Trim(path, "/"), size, pause), func(t *testing.T) {
					is := is.New(t)
					f := newFixture(t, dispatchTo("a")...)
					retried := path == "/safe/" || path == "/resumed/"
					if retried {
						f.core.actions = dispatchTo("a", "b")
					}
					f.acceptUploads(8 << 20)
					f.targets["a"] = rawEndpoint(t, respondEarly(header, part, func(out *net.TCPConn) {
						time.Sleep(pause)
						out.SetLinger(0) // closing resets the connection
					}))
					f.endpoint("b", func(w http.ResponseWriter, r *http.Request) {
						io.Copy(io.Discard, r.Body)
						if header == "" {
							io.WriteString(w, whole)
							return
						}
						streamFrom(5, func() {})(w, r)
					})
					got := f.send("POST", path, strings.Repeat("x", size))
					if retried {
						is.Equal(got.body, whole)
						is.True(got.complete)
						return
					}
					is.True(got.status != http.StatusOK || !got.complete) // the part is not passed on as a whole response
				})
			}
		}
	}
}

// Guards against refusing, or holding back, the early response of a sound endpoint that ends the connection in order, whether
// it reads the rest of the request, ignores it or closes the connection.
func TestEarlyResponseThatEndsInOrderIsWhole(t *testing.T) {
	for name, end := range map[string]func(out *net.TCPConn, received <-chan struct{}){
		"reads on": func(out *net.TCPConn, _ <-chan struct{}) {
			out.CloseWrite()
			io.Copy(io.Discard, out)
		},
		"reads no more": func(out *net.TCPConn, received <-chan struct{}) {
			out.CloseWrite()
			<-received // the caller has its response first
		},
		"closes": func(out *net.TCPConn, _ <-chan struct{}) {
			out.CloseWrite() // what arrives afterwards is answered with a reset
		},
	} {
		for _, kind := range []string{"unsafe", "stream"} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				header, body := "", "a whole body"
				if kind == "stream" {
					header, body = "Content-Type: text/event-stream\r\n", events(3)
				}
				f := newFixture(t, dispatchTo("a")...)
				f.acceptUploads(8 << 20)
				received := make(chan struct{})
				f.targets["a"] = rawEndpoint(t, respondEarly(header, body, func(out *net.TCPConn) { end(out, received) }))
				got := f.send("POST", "/"+kind+"/", strings.Repeat("x", 6<<20))
				close(received)
				got.header = nil
				is.Equal(got, response{status: 200, body: body, complete: true})
			})
		}
	}
}
