package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/forwarder"
)

// scriptedEndpoint is a TCP server that runs a script on each connection, with the connection's number
// starting at 1.
type scriptedEndpoint struct {
	address     netip.AddrPort
	connections atomic.Int32
}

func listen(t *testing.T, script func(n int, in *bufio.Reader, out net.Conn)) *scriptedEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	e := &scriptedEndpoint{address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := int(e.connections.Add(1))
			go func() {
				defer conn.Close()
				script(n, bufio.NewReader(conn), conn)
			}()
		}
	}()
	return e
}

func (e *scriptedEndpoint) target() forwarder.Target {
	return forwarder.Target{Endpoint: "e", Address: e.address}
}

// request reads one request and returns its Request-Id and body.
func request(in *bufio.Reader) (id, body string, ok bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", "", false
	}
	text, err := io.ReadAll(r.Body)
	return r.Header.Get("Request-Id"), string(text), err == nil
}

func respond(out net.Conn, id, body string, header ...string) {
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(header, ""), body)
}

func call(id string) forwarder.Call {
	return forwarder.Call{Method: "GET", Path: "/", Host: "h", Header: http.Header{"Request-Id": {id}}}
}

func send(t *testing.T, c *forwarder.Client, to forwarder.Target, call forwarder.Call) (string, error) {
	t.Helper()
	response, err := c.Forward(t.Context(), to, call)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a late response to an earlier call that is taken for the response to the current one, and against
// reusing the connection on which it came.
func TestMismatchedResponsesAreSkipped(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
		for {
			id, _, ok := request(in)
			if !ok {
				return
			}
			if id == "2" {
				respond(out, "1", "late")
			}
			respond(out, id, "own "+id)
		}
	})
	client := &forwarder.Client{EchoHeader: "Request-Id"}
	for i := range 4 {
		body, err := send(t, client, e.target(), call(strconv.Itoa(i)))
		is.NoErr(err)
		is.Equal(body, "own "+strconv.Itoa(i))
	}
	is.Equal(e.connections.Load(), int32(2)) // one more after the late response
}

// Guards against reusing a connection on which unsolicited bytes have arrived.
func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
		for {
			id, _, ok := request(in)
			if !ok {
				return
			}
			respond(out, id, "body")
			time.Sleep(20 * time.Millisecond)
			respond(out, id, "again")
		}
	})
	client := &forwarder.Client{EchoHeader: "Request-Id"}
	for i := range 3 {
		body, err := send(t, client, e.target(), call(strconv.Itoa(i)))
		is.NoErr(err)
		is.Equal(body, "body")
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(e.connections.Load(), int32(3))
}

// Guards against calls on a connection that the endpoint has closed, or has announced to close.
func TestIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		close  bool
		idle   time.Duration // MaxIdle of the second call
		wait   time.Duration // between the calls
		opened int32
	}{
		"kept":                           {opened: 1},
		"closed by the endpoint":         {close: true, opened: 2, wait: 50 * time.Millisecond},
		"announced to close":             {header: "Connection: close\r\n", opened: 2},
		"announced idle timeout is over": {header: "Keep-Alive: timeout=1\r\n", wait: 600 * time.Millisecond, opened: 2},
		"idle longer than MaxIdle": {
			wait: 50 * time.Millisecond, idle: 20 * time.Millisecond, opened: 2,
		},
		"idle shorter than MaxIdle": {wait: 20 * time.Millisecond, idle: 10 * time.Second, opened: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
				for {
					id, _, ok := request(in)
					if !ok {
						return
					}
					respond(out, id, "x", c.header)
					if c.close {
						return
					}
				}
			})
			client := &forwarder.Client{}
			_, err := send(t, client, e.target(), call("1"))
			is.NoErr(err)
			time.Sleep(c.wait)
			second := call("2")
			second.MaxIdle = c.idle
			_, err = send(t, client, e.target(), second)
			is.NoErr(err)
			is.Equal(e.connections.Load(), c.opened)
		})
	}
}

// Guards against reusing a connection whose endpoint has responded early and still expects the rest of the
// body: it would take the next call for it.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 1)
	e := listen(t, func(n int, in *bufio.Reader, out net.Conn) {
		if n > 1 {
			id, _, _ := request(in)
			respond(out, id, "second")
			return
		}
		in.ReadString('\n') // a part of the header
		respond(out, "1", "early")
		rest, _ := io.ReadAll(in)
		got <- string(rest)
	})
	client := &forwarder.Client{}
	body, pipe := io.Pipe()
	first := call("1")
	first.Method, first.Body, first.Length = "POST", body, 10
	text, err := send(t, client, e.target(), first)
	is.NoErr(err)
	is.Equal(text, "early")
	text, err = send(t, client, e.target(), call("2"))
	is.NoErr(err)
	is.Equal(text, "second")
	pipe.Close()
	is.True(!strings.Contains(<-got, "Request-Id: 2"))
}

// Guards against malformed or truncated responses that are returned as complete.
func TestMalformedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":            "",
		"not HTTP":           "what?\r\n\r\n",
		"status below 100":   "HTTP/1.1 042 OK\r\nContent-Length: 0\r\n\r\n",
		"change of protocol": "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"cut in the header":  "HTTP/1.1 200 OK\r\nContent-",
		"cut in the body":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
		"cut in a chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
		"no last chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"chunk size garbled": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n12345\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
				request(in)
				io.WriteString(out, text)
			})
			_, err := send(t, &forwarder.Client{}, e.target(), call("1"))
			is.True(err != nil)
		})
	}
}

// Guards against a response without a length that looks complete although its connection was reset.
func TestResetIsNotEndOfBody(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(n int, in *bufio.Reader, out net.Conn) {
		request(in)
		io.WriteString(out, "HTTP/1.1 200 OK\r\n\r\nsome")
		time.Sleep(20 * time.Millisecond)
		if n == 1 {
			out.(*net.TCPConn).SetLinger(0) // closing resets the connection
		}
	})
	_, err := send(t, &forwarder.Client{}, e.target(), call("1"))
	is.True(err != nil)
	body, err := send(t, &forwarder.Client{}, e.target(), call("2"))
	is.NoErr(err)
	is.Equal(body, "some")
}

// Guards against more connections to an endpoint than Target.MaxConns.
func TestMaxConns(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
		id, _, _ := request(in)
		<-release
		respond(out, id, "x", "Connection: close\r\n")
	})
	client := &forwarder.Client{}
	to := e.target()
	to.MaxConns = 2
	results := make(chan error, 2)
	for i := range 2 {
		go func() {
			_, err := send(t, client, to, call(strconv.Itoa(i)))
			results <- err
		}()
	}
	for e.connections.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	_, err := send(t, client, to, call("3"))
	is.True(errors.Is(err, forwarder.ErrNotSent))
	close(release)
	is.NoErr(<-results)
	is.NoErr(<-results)
	_, err = send(t, client, to, call("4"))
	is.NoErr(err)
}

// Guards against idle connections to many endpoints that together exceed Client.MaxOpen.
func TestMaxOpen(t *testing.T) {
	is := is.New(t)
	client := &forwarder.Client{MaxOpen: 2}
	var closed atomic.Int32
	for i := range 6 {
		e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
			id, _, _ := request(in)
			respond(out, id, "x", "")
			in.ReadByte()
			closed.Add(1)
		})
		_, err := send(t, client, e.target(), call(strconv.Itoa(i)))
		is.NoErr(err)
		for int(closed.Load()) < i-1 {
			time.Sleep(time.Millisecond) // the oldest connections are closed
		}
	}
}

// Guards against an endpoint that keeps working on a call whose context was cancelled.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
		request(in)
		io.WriteString(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n")
		in.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	response, err := (&forwarder.Client{}).Forward(ctx, e.target(), call("1"))
	is.NoErr(err)
	defer response.Body.Close()
	io.ReadFull(response.Body, make([]byte, 5))
	cancel()
	<-closed
	_, err = response.Body.Read(make([]byte, 1))
	is.True(err != nil)
}

// endless writes a text again and again until the connection is closed, and counts the bytes.
func endless(out net.Conn, text string, written *atomic.Int64) {
	out.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for {
		n, err := io.WriteString(out, text)
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against endpoints in trouble that send bytes without end, in a head, between heads or after a body:
// the call must fail, soon and without a time limit of its caller, and close the connection.
func TestEndlessBytesEndTheCall(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ start, repeat string }{
		"status line":            {"HTTP/1.1 200 ", "x"},
		"no answer at all":       {"", "\x00\xff~"},
		"empty lines":            {"", "\r\n"},
		"header names":           {head, "X-A: b\r\n"},
		"short lines":            {head, "a:\r\n"},
		"one header":             {head + "X-A: ", "b"},
		"informational answers":  {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		"chunk size":             {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":        {head + "Transfer-Encoding: chunked\r\n\r\n5;", "a"},
		"empty-looking chunks":   {head + "Transfer-Encoding: chunked\r\n\r\n", "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n"},
		"trailer":                {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
		"answers to other calls": {"", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			ended := make(chan struct{})
			e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
				defer close(ended)
				request(in)
				io.WriteString(out, c.start)
				endless(out, strings.Repeat(c.repeat, 1+4000/len(c.repeat)), &written)
			})
			client := &forwarder.Client{EchoHeader: "Request-Id", MaxResponse: 1 << 20}
			_, err := send(t, client, e.target(), call("1"))
			is.True(err != nil)
			<-ended                          // the connection is closed
			is.True(written.Load() < 16<<20) // the rest is in the buffers of the kernel
		})
	}
}

// Guards against a header of many short lines, which takes many times its size, and against refusing a body of many lines with
// a usual header.
func TestHeaderLinesAreLimited(t *testing.T) {
	many := &strings.Builder{}
	for n := range 4000 {
		fmt.Fprintf(many, "%x: b\r\n", n)
	}
	for name, c := range map[string]struct {
		response string
		passes   bool
	}{
		"header of many lines": {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + many.String() + "\r\n", false},
		"body of many lines":   {"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("\n", 3000), true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
				request(in)
				io.WriteString(out, c.response)
			})
			_, err := send(t, &forwarder.Client{}, e.target(), call("1"))
			is.Equal(err == nil, c.passes)
		})
	}
}

// Guards against a body without end that is read until memory or time runs out.
func TestEndlessBodyIsLimited(t *testing.T) {
	for name, header := range map[string]string{
		"no length": "Connection: close\r\n", "chunked": "Transfer-Encoding: chunked\r\n", "enormous length": "Content-Length: 1000000000000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var written atomic.Int64
			ended := make(chan struct{})
			e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
				defer close(ended)
				request(in)
				fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n%s\r\n", header)
				text := strings.Repeat("x", 4096)
				if strings.HasPrefix(header, "Transfer") {
					text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
				}
				endless(out, text, &written)
			})
			client := &forwarder.Client{MaxResponse: 1 << 20}
			response, err := client.Forward(t.Context(), e.target(), call("1"))
			is.NoErr(err)
			n, err := io.Copy(io.Discard, response.Body)
			is.True(errors.Is(err, forwarder.ErrResponseTooLarge))
			is.True(n <= 1<<20)
			response.Body.Close()
			<-ended
		})
	}
}
