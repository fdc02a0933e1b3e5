package inspector

import "net"

// Listener closes accepted connections whose peer has left already, without reading from them. A daemon that accepts late
// spends next to nothing on callers that have given up, and reaches sooner those that wait.
type Listener struct {
	net.Listener
	// OnLeft is called for each connection that is closed.
	OnLeft func()
}

// Accept returns the next connection whose peer is still there.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !New(conn).Inspect().Left {
			return conn, nil
		}
		conn.Close()
		l.OnLeft()
	}
}
