package relayer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/decider"
	"apricotspool/forwarder"
	"apricotspool/inspector"
	"apricotspool/namer"
)

// connections collects the accepted connections of a server.
type connections struct {
	mu  sync.Mutex
	all []*inspector.Connection
}

func (c *connections) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, inspector.New(conn))
	return inspector.ConnContext(ctx, conn)
}

// waitLeft blocks until the kernel knows that the callers of all connections have left.
func (c *connections) waitLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.all {
		for !connection.Inspect().Left {
			runtime.Gosched()
		}
	}
}

// leaver is a caller that sends a request and leaves.
type leaver struct{ *net.TCPConn }

func newLeaver(t testing.TB, address string) leaver {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { conn.Close() })
	return leaver{conn.(*net.TCPConn)}
}

func (l leaver) send(t testing.TB, method, path, id, after string, header ...string) {
	t.Helper()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nContent-Length: 4\r\n%s\r\nbody%s", method, path, id, strings.Join(header, ""), after)
	_, err := io.WriteString(l, text)
	is.New(t).NoErr(err)
}

func (l leaver) reset() {
	l.SetLinger(0)
	l.Close()
}

// manyDispatches returns actions that send n requests to one endpoint, once each.
func manyDispatches(n int) []decider.Action {
	names := make([]namer.Endpoint, n)
	for i := range names {
		names[i] = "a"
	}
	return dispatchTo(names...)
}

// Guards against requests that reach an endpoint although their callers had left before the daemon read them.
func TestUnreadRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	const callers = 200
	for _, path := range []string{"/safe/", "/unsafe/", "/resumed/"} {
		for name, c := range map[string]struct {
			after string // sent after the body
			leave func(leaver)
		}{
			"closed":                   {"", func(l leaver) { l.Close() }},
			"reset":                    {"", leaver.reset},
			"closed after a line end":  {"\r\n", func(l leaver) { l.Close() }},
			"closed after a next call": {"GET /safe/ HTTP/1.1\r\n", func(l leaver) { l.Close() }},
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, manyDispatches(callers)...)
				var arrived atomic.Int32
				f.endpoint("a", func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				for i := range callers {
					l := newLeaver(t, listener.Addr().String())
					l.send(t, http.MethodPost, path, fmt.Sprintf("id-%d", i), c.after)
					c.leave(l)
				}
				var open atomic.Int32
				server := &http.Server{Handler: f.relayer, ConnContext: inspector.ConnContext, ConnState: func(_ net.Conn, s http.ConnState) {
					switch s {
					case http.StateNew:
						open.Add(1)
					case http.StateClosed:
						open.Add(-1)
					}
				}}
				go server.Serve(listener)
				// A caller that stays comes after all others.
				response, err := http.Get("http://" + listener.Addr().String() + "/none")
				is.NoErr(err)
				response.Body.Close()
				http.DefaultClient.CloseIdleConnections()
				for open.Load() > 0 {
					time.Sleep(time.Millisecond)
				}
				is.NoErr(server.Close())
				is.Equal(arrived.Load(), int32(0))
			})
		}
	}
}

// Guards against requests that get more time than their callers have left, because they lay unread for a while.
func TestTimeUnreadCounts(t *testing.T) {
	const unread = 200 * time.Millisecond
	for name, c := range map[string]struct {
		patience time.Duration
		sent     bool
	}{
		"time left":    {time.Second, true},
		"no time left": {unread / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a")...)
			var remaining atomic.Int64
			f.endpoint("a", func(_ http.ResponseWriter, r *http.Request) {
				ms, _ := strconv.ParseInt(r.Header.Get("X-Remaining"), 10, 64)
				remaining.Store(ms)
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			conn := newLeaver(t, listener.Addr().String())
			conn.send(t, http.MethodPost, "/unsafe/", "id-1", "", fmt.Sprintf("X-Patience: %d\r\n", c.patience.Milliseconds()))
			time.Sleep(unread)
			server := &http.Server{Handler: f.relayer, ConnContext: inspector.ConnContext}
			go server.Serve(listener)
			defer server.Close()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			response.Body.Close()
			if !c.sent {
				is.Equal(response.StatusCode, http.StatusGatewayTimeout)
				is.Equal(remaining.Load(), int64(0))
				return
			}
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(remaining.Load() > 0)
			is.True(time.Duration(remaining.Load())*time.Millisecond <= c.patience-unread*9/10) // the kernel counts in coarse steps
		})
	}
}

// Guards against calls to endpoints for a caller that has left while its request was being decided about, was waiting for a
// connection, or was at another endpoint.
func TestCallerThatLeavesIsNotServedFurther(t *testing.T) {
	const rounds = 30
	abort := func(http.ResponseWriter, *http.Request) { abortConnection() }
	both := dispatchTo("a", "b")
	prompt := dispatchTo("a", "b")
	prompt[0].Kind = decider.ActionPrefill
	for name, c := range map[string]struct {
		path    string
		header  string
		actions []decider.Action
		first   http.HandlerFunc // at endpoint a, after the caller has left
		at      leavePoint
	}{
		"while the request is decided about":         {"/unsafe/", "", dispatchTo("b"), nil, leaveAtDecision},
		"while a stream's take-up is decided about":  {"/resumed/", "X-Last-Event: 1\r\n", dispatchTo("b"), nil, leaveAtDecision},
		"while a connection to the endpoint opens":   {"/unsafe/", "", dispatchTo("b"), nil, leaveAtDial},
		"while a connection for the next one opens":  {"/safe/", "", both, abort, leaveAtSecondDial},
		"before a refusal":                           {"/unsafe/", "", both, refuseNotRun, leaveAtEndpoint},
		"before a failure":                           {"/safe/", "", both, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, leaveAtEndpoint},
		"before the endpoint cuts its connection":    {"/safe/", "", both, abort, leaveAtEndpoint},
		"before the endpoint breaks off a stream":    {"/resumed/", "", both, streamFrom(2, abortConnection), leaveAtEndpoint},
		"before its prompt has been processed":       {"/stream/", "", prompt, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `"handle"`) }, leaveAtEndpoint},
		"before processing of its prompt is refused": {"/stream/", "", []decider.Action{prompt[0], {Kind: decider.ActionPrefill, Attempt: 2, Endpoint: "b"}}, refuseNotRun, leaveAtEndpoint},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var further atomic.Int32
			for round := range rounds {
				further.Add(leaveOnce(t, c.path, c.header, c.actions, c.first, c.at, fmt.Sprintf("id-%d", round)))
			}
			is.Equal(further.Load(), int32(0))
		})
	}
}

func refuseNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// leavePoint says when the caller leaves.
type leavePoint int

const (
	leaveAtDecision leavePoint = iota
	leaveAtDial
	leaveAtSecondDial
	leaveAtEndpoint
)

// leaveOnce sends a request whose caller leaves at the given point, and returns how often it reaches endpoint b.
func leaveOnce(t *testing.T, path, header string, actions []decider.Action, first http.HandlerFunc, at leavePoint, id string) int32 {
	f := newFixture(t, append([]decider.Action{}, actions...)...)
	accepted := &connections{}
	server := httptest.NewUnstartedServer(f.relayer)
	server.Config.ConnContext = accepted.connContext
	server.Start()
	defer server.Close()
	l := newLeaver(t, server.Listener.Addr().String())
	leave := func() {
		l.Close()
		accepted.waitLeft()
	}
	var reached atomic.Int32
	f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
		if at == leaveAtEndpoint {
			leave()
		}
		first(w, r)
	})
	f.endpoint("b", func(http.ResponseWriter, *http.Request) { reached.Add(1) })
	if at == leaveAtDecision {
		f.core.onArrive = leave
	}
	dials := 0
	f.relayer.Endpoints = &forwarder.Client{EchoHeader: "X-Id", Dial: func(_ context.Context, address netip.AddrPort) (net.Conn, error) {
		dials++
		conn, err := net.Dial("tcp", address.String())
		if (at == leaveAtDial && dials == 1) || (at == leaveAtSecondDial && dials == 2) {
			leave()
		}
		return conn, err
	}}
	l.send(t, http.MethodPost, path, id, "", header)
	for !accepted.any() || f.relayer.InFlight() > 0 || !f.relayed(id) {
		time.Sleep(100 * time.Microsecond)
	}
	return reached.Load()
}

func (c *connections) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all) > 0
}

// relayed reports whether a request has ended.
func (f *fixture) relayed(id string) bool {
	f.t.Helper()
	for _, line := range f.log.requestLines(f.t, id) {
		if line == "request-ended" {
			return true
		}
	}
	return false
}
