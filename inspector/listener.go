package inspector

import (
	"net"
	"net/netip"
)

// Listener closes accepted connections whose peer has left already, without reading from them. A daemon that accepts late
// spends next to nothing on callers that have given up, and reaches sooner those that wait.
type Listener struct {
	net.Listener
	// OnLeft is called for each connection that is closed. If it is nil, connections whose peer has left are kept.
	OnLeft func()
	// Budget bounds the connections; nil means no limits.
	Budget *Budget
	// TLS says that callers use TLS above the listener.
	TLS bool
}

// Accept returns the next connection whose peer is still there.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		connection := New(conn)
		if l.OnLeft != nil && connection.Inspect().Left {
			conn.Close()
			l.OnLeft()
			continue
		}
		if l.Budget == nil || connection == nil {
			return conn, nil
		}
		if admitted := l.admit(conn, connection); admitted != nil {
			return admitted, nil
		}
	}
}

// receiveBuffer bounds the bytes that the kernel receives on a connection before they are read. The kernel takes twice as
// many for them.
const receiveBuffer = 64 << 10

// admit enters a connection into the budget. It closes it and returns nil if there is no room.
func (l *Listener) admit(conn net.Conn, connection *Connection) net.Conn {
	c := &callerConn{Conn: conn, connection: connection, plain: !l.TLS}
	connection.conn, connection.head.reading = c, !l.TLS
	var address netip.Addr
	if remote, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		address = remote.AddrPort().Addr()
	}
	if !l.Budget.admit(connection, address) {
		conn.Close()
		return nil
	}
	if socket, ok := conn.(*net.TCPConn); ok {
		socket.SetReadBuffer(receiveBuffer) // fails only if the connection is closed
	}
	return c
}
