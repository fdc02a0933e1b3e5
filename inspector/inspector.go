// Package inspector asks the kernel about the connections of callers. net/http learns that a caller has left only by
// reading, which it does in the background and not while a request's bytes are unread.
package inspector

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"apricotspool/accountant"
)

// State is what the kernel knows of a connection. The zero value knows nothing.
type State struct {
	// Left says that the peer has closed or reset the connection. Bytes that it sent before may still be unread. A peer that
	// has closed only its sending side looks the same; net/http takes it for gone too.
	Left bool
	// Quiet is the time since the last bytes arrived.
	Quiet time.Duration
}

// Connection is an accepted connection. All methods may be called on nil and concurrently.
type Connection struct {
	raw      syscall.RawConn
	accepted time.Time

	// The fields below are unset if the connection belongs to no budget.
	budget        *Budget
	conn          *callerConn
	address       netip.Addr
	holding       accountant.Holding // guarded by Budget.mu
	cancel        context.CancelFunc // of the request that waits to be sent; guarded by Budget.mu
	headMu        sync.Mutex         // net/http reads in the background while a request is served
	head          headCount          // guarded by headMu
	writeDeadline bool               // a deadline of writes is set; used on the goroutine that serves the connection
}

// States of TCP in which the peer can receive a response.
const (
	tcpUnknown     = 0
	tcpEstablished = 1
)

// New returns the inspected form of a connection that has just been accepted, or nil if it isn't a socket.
func New(conn net.Conn) *Connection {
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return &Connection{raw: raw, accepted: time.Now()}
}

// Age returns the time since the connection was accepted.
func (c *Connection) Age() time.Duration {
	if c == nil {
		return 0
	}
	return time.Since(c.accepted)
}

// Inspect returns the state of the connection.
func (c *Connection) Inspect() State {
	if c == nil {
		return State{}
	}
	var state State
	err := c.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return // not TCP: nothing is known
		}
		state.Left = info.State != tcpEstablished && info.State != tcpUnknown
		state.Quiet = time.Duration(info.Last_data_recv) * time.Millisecond
	})
	if err != nil {
		state.Left = true // closed by this process
	}
	return state
}

type contextKey struct{}

// ConnContext is an http.Server.ConnContext that makes the connection known to handlers.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, connectionOf(conn))
}

// connectionOf returns the inspected form of a connection that Listener has accepted, with or without TLS.
func connectionOf(conn net.Conn) *Connection {
	inner := conn
	if secured, ok := conn.(*tls.Conn); ok {
		inner = secured.NetConn()
	}
	if c, ok := inner.(*callerConn); ok {
		return c.connection
	}
	return New(conn)
}

// Of returns the connection of a handler's request, or nil if it is unknown.
func Of(ctx context.Context) *Connection {
	c, _ := ctx.Value(contextKey{}).(*Connection)
	return c
}
