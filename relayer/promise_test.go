package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"apricotspool/forwarder"
)

// Guards against a status that promises "not run" for a request that an endpoint has run: the endpoint's own status was
// passed on without a proof, or a proof was believed beside a status that contradicts it.
func TestStatusPromisesNotRunOnlyWithProof(t *testing.T) {
	const promise = "X-Not-Run: 1\r\n"
	for name, c := range map[string]struct {
		head  string // of the response, without its id
		early bool   // sent before the body is read
		ran   bool
	}{
		"503 without a promise":        {"503 Service Unavailable\r\nX-Stamp: a\r\n", false, true},
		"429 without a promise":        {"429 Too Many Requests\r\nX-Stamp: a\r\n", false, true},
		"the same with a delay":        {"503 Service Unavailable\r\nX-Stamp: a\r\nRetry-After: 1\r\n", false, true},
		"promise with status 200":      {"200 OK\r\nX-Stamp: a\r\n" + promise, false, true},
		"promise with status 500":      {"500 Internal Server Error\r\nX-Stamp: a\r\n" + promise, false, true},
		"promise with status 504":      {"504 Gateway Timeout\r\n" + promise, false, true},
		"promise before the response":  {"103 Early Hints\r\n" + promise + "\r\nHTTP/1.1 500 Internal Server Error\r\nX-Stamp: a\r\n", false, true},
		"promise":                      {"503 Service Unavailable\r\n" + promise, false, false},
		"promise before the body":      {"503 Service Unavailable\r\n" + promise, true, false},
		"no promise before the body":   {"503 Service Unavailable\r\nX-Stamp: a\r\n", true, true},
		"unsigned without a promise":   {"503 Service Unavailable\r\n", false, true},
		"promise with status 429":      {"429 Too Many Requests\r\n" + promise, false, false},
		"promise of the wrong process": {"421 Misdirected Request\r\n" + promise, false, false},
	} {
		for _, route := range []string{"/unsafe/", "/stream/"} {
			for _, size := range []int{0, 9 << 10, 55 << 10} {
				t.Run(fmt.Sprintf("%s %s %d bytes", name, route, size), func(t *testing.T) {
					is := is.New(t)
					f := newFixture(t, dispatchTo("a")...)
					f.acceptUploads(1 << 20)
					var ran atomic.Bool
					f.targets["a"] = rawEndpoint(t, func(in *bufio.Reader, out net.Conn) {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						ran.Store(c.ran)
						if !c.early {
							io.Copy(io.Discard, r.Body)
						}
						fmt.Fprintf(out, "HTTP/1.1 %sX-Id: id-1\r\nContent-Length: 0\r\n\r\n", c.head)
						io.Copy(io.Discard, in)
					})
					got := f.send("POST", route, strings.Repeat("x", size))
					promised := got.status == 408 || got.status == 421 || got.status == 429 || got.status == 503
					is.Equal(promised, !ran.Load())
				})
			}
		}
	}
}

// Guards against a caller that strips headers of the daemon from a call by naming them in Connection: a prompt-only call would
// run the request, and any endpoint at the address would accept it.
func TestCallerCannotStripHeaders(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s %s %q", r.Header.Get("X-Endpoint"), r.Header.Get("X-Prefill"), r.Header.Get("X-Hop"))
	})
	got := f.send("POST", "/unsafe/", "x", "Connection", "X-Endpoint, X-Prefill, X-Hop", "X-Hop", "1")
	is.Equal(got.body, `a false ""`)
}

// rawEndpoint starts an endpoint that runs a script on each connection.
func rawEndpoint(t *testing.T, script func(in *bufio.Reader, out net.Conn)) forwarder.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				script(bufio.NewReader(conn), conn)
			}()
		}
	}()
	return forwarder.Target{Endpoint: "a", Address: netip.MustParseAddrPort(listener.Addr().String())}
}
