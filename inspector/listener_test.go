package inspector_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"apricotspool/inspector"
)

// Guards against a daemon that falls behind and reads what its callers have given up before it gets to those that wait.
func TestConnectionsOfCallersThatLeftAreNotRead(t *testing.T) {
	const callers = 50
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	left := 0
	listener := &inspector.Listener{Listener: raw, OnLeft: func() { left++ }}
	defer listener.Close()
	for i := range callers {
		conn, err := net.Dial("tcp", raw.Addr().String())
		is.NoErr(err)
		write(is, conn)
		if i%2 == 0 {
			is.NoErr(conn.(*net.TCPConn).SetLinger(0))
		}
		is.NoErr(conn.Close())
	}
	waiting, err := net.Dial("tcp", raw.Addr().String())
	is.NoErr(err)
	defer waiting.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	is.Equal(accepted.RemoteAddr().String(), waiting.LocalAddr().String())
	is.Equal(left, callers)
}
