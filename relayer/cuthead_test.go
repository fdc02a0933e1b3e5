package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutHeads returns responses, in the middle of which an endpoint stops.
func cutHeads(stream bool) map[string]string {
	body, kind := "a whole body", "text/plain"
	if stream {
		body, kind = events(3), "text/event-stream"
	}
	head := "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: a\r\nContent-Type: " + kind + "\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	return map[string]string{
		"length":           head + length + body,
		"length first":     strings.Replace(head, "X-Id", fmt.Sprintf("Content-Length: %d\r\nX-Id", len(body)), 1) + "\r\n" + body,
		"chunked":          head + chunked + "\r\n",
		"with trailers":    head + "Trailer: X-Sum\r\n" + chunked + "X-Sum: 1\r\n\r\n",
		"lines end in LF":  strings.ReplaceAll(head+length, "\r\n", "\n") + body,
		"ends with close":  head + "Connection: close\r\n\r\n",
		"after early hint": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + length + body,
	}
}

// Guards against a response that stops in its head and reaches the caller as a success with an empty or short body, on the
// whole way: each place of the cut, with the connection closed, reset, byte by byte, or used for another response, before and
// after the request's body has been read, retried and resumed.
func TestResponseCutInItsHeadIsNoSuccess(t *testing.T) {
	const later = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Stamp: a\r\nContent-Length: 5\r\n\r\nother"
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumed/"} {
		stream := path == "/stream/" || path == "/resumed/"
		for framing, text := range cutHeads(stream) {
			t.Run(path+" "+framing, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newFixture(t)
				f.acceptUploads(1 << 20)
				var script atomic.Pointer[func(in *bufio.Reader, out net.Conn)]
				f.targets["a"] = rawEndpoint(t, func(in *bufio.Reader, out net.Conn) { (*script.Load())(in, out) })
				f.endpoint("b", func(w http.ResponseWriter, r *http.Request) {
					if stream {
						streamFrom(3, func() {})(w, r)
						return
					}
					io.WriteString(w, "a whole body")
				})
				want := "a whole body"
				if stream {
					want = events(3)
				}
				end := len(text)
				if framing == "ends with close" {
					end-- // its body is empty, and whole with the end of the head
				}
				headEnd := strings.LastIndex(text, "\n\r\n") + len("\n\r\n")
				if framing == "lines end in LF" {
					headEnd = strings.Index(text, "\n\n") + len("\n\n")
				}
				if strings.Contains(text, "chunked") {
					headEnd = strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
				}
				for cut := range end {
					for n, ending := range []string{"closed", "reset", "byte by byte", "another response", "early"} {
						if ending == "another response" && cut >= headEnd {
							continue // nothing but its length tells where a body ends
						}
						do := func(in *bufio.Reader, out net.Conn) {
							r, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							if ending != "early" {
								io.Copy(io.Discard, r.Body)
							}
							part := strings.ReplaceAll(text[:cut], "ID", r.Header.Get("X-Id"))
							switch ending {
							case "byte by byte":
								for i := range part {
									io.WriteString(out, part[i:i+1])
								}
							case "another response":
								io.WriteString(out, part+later)
							default:
								io.WriteString(out, part)
							}
							if ending == "reset" {
								time.Sleep(time.Millisecond)
								out.(*net.TCPConn).SetLinger(0)
							}
						}
						script.Store(&do)
						f.core.reset(dispatchTo("a", "b"))
						if path == "/unsafe/" || path == "/stream/" {
							f.core.reset(dispatchTo("a"))
						}
						got := f.send("POST", path, strings.Repeat("x", []int{0, 9 << 10}[n%2]), "X-Id", fmt.Sprintf("id-%d-%d", cut, n))
						if got.status == http.StatusOK && got.complete && got.body != want {
							t.Errorf("cut after %q, %s: %q as a whole response", text[:cut], ending, got.body)
						}
						if path == "/safe/" || path == "/resumed/" {
							is.Equal(got.body, want) // the other endpoint has it
						}
					}
				}
			})
		}
	}
}
