package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/forwarder"
)

// Guards against a response without length and chunks that is cut short, looks complete after a reset, or whose
// connection is used again.
func TestUnframedResponses(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20<<10)
	for name, c := range map[string]struct {
		head, body string
		reset      bool
	}{
		"plain":            {"HTTP/1.1 200 OK\r\n", "body", false},
		"announced close":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n", "body", false},
		"kept alive":       {"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nKeep-Alive: timeout=30\r\n", "body", false},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\n", "body", false},
		"empty":            {"HTTP/1.1 200 OK\r\n", "", false},
		"long":             {"HTTP/1.1 200 OK\r\n", long, false},
		"stream":           {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n", false},
		"reset":            {"HTTP/1.1 200 OK\r\nConnection: close\r\n", "body", true},
		"long, then reset": {"HTTP/1.1 200 OK\r\n", long, true},
		"stream reset":     {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
				id, _, _ := request(in)
				io.WriteString(out, c.head+"Request-Id: "+id+"\r\n\r\n"+c.body)
				if c.reset {
					time.Sleep(20 * time.Millisecond)
					out.(*net.TCPConn).SetLinger(0) // closing resets the connection
				}
			})
			client := &forwarder.Client{EchoHeader: "Request-Id"}
			for _, id := range []string{"1", "2"} {
				body, err := send(t, client, e.target(), call(id))
				is.Equal(err != nil, c.reset)
				is.True(body == c.body || (c.reset && strings.HasPrefix(c.body, body))) // a reset discards what is not yet sent
			}
			is.Equal(e.connections.Load(), int32(2))
		})
	}
}

// Guards against a call that waits for the end of another call's response although nothing can follow it on the
// connection.
func TestUnframedMismatchedResponseEndsTheCall(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	e := listen(t, func(n int, in *bufio.Reader, out net.Conn) {
		id, _, _ := request(in)
		if n > 1 {
			respond(out, id, "own")
			return
		}
		defer close(ended)
		io.WriteString(out, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\nnot ours")
		in.ReadByte() // returns when the client closes the connection
	})
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	client := &forwarder.Client{EchoHeader: "Request-Id"}
	_, err := client.Forward(ctx, e.target(), call("1"))
	is.True(err != nil)
	is.NoErr(ctx.Err()) // the call has ended by itself
	<-ended
	body, err := send(t, client, e.target(), call("2"))
	is.NoErr(err)
	is.Equal(body, "own")
}
