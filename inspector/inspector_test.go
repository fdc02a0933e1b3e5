package inspector_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/inspector"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (caller *net.TCPConn, accepted net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { dialed.Close(); accepted.Close() })
	return dialed.(*net.TCPConn), accepted
}

// Guards against a caller that has left and counts as present, whatever it sent before and however it closed, and against
// one that is present and counts as gone.
func TestCallerThatLeft(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(is *is.I, caller *net.TCPConn, accepted net.Conn)
		left  bool
	}{
		"silent":               {func(*is.I, *net.TCPConn, net.Conn) {}, false},
		"bytes unread":         {func(is *is.I, c *net.TCPConn, _ net.Conn) { write(is, c) }, false},
		"closed":               {func(is *is.I, c *net.TCPConn, _ net.Conn) { is.NoErr(c.Close()) }, true},
		"closed, bytes unread": {func(is *is.I, c *net.TCPConn, _ net.Conn) { write(is, c); is.NoErr(c.Close()) }, true},
		"sending side closed":  {func(is *is.I, c *net.TCPConn, _ net.Conn) { is.NoErr(c.CloseWrite()) }, true},
		"reset":                {func(is *is.I, c *net.TCPConn, _ net.Conn) { is.NoErr(c.SetLinger(0)); is.NoErr(c.Close()) }, true},
		"reset, bytes unread": {func(is *is.I, c *net.TCPConn, _ net.Conn) {
			write(is, c)
			is.NoErr(c.SetLinger(0))
			is.NoErr(c.Close())
		}, true},
		"closed by this end":    {func(is *is.I, _ *net.TCPConn, a net.Conn) { is.NoErr(a.Close()) }, true},
		"closed, all read":      {func(is *is.I, c *net.TCPConn, a net.Conn) { write(is, c); is.NoErr(c.Close()); io.ReadAll(a) }, true},
		"receiving side closed": {func(is *is.I, c *net.TCPConn, _ net.Conn) { is.NoErr(c.CloseRead()) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			caller, accepted := pair(t)
			connection := inspector.New(accepted)
			c.leave(is, caller, accepted)
			if c.left {
				for !connection.Inspect().Left { // loopback delivers at once, but for the kernel's own threads
					time.Sleep(time.Millisecond)
				}
				return
			}
			time.Sleep(20 * time.Millisecond)
			is.True(!connection.Inspect().Left)
		})
	}
}

func write(is *is.I, c net.Conn) {
	is.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
}

// Guards against bytes whose time in the kernel's buffer isn't counted.
func TestTimeUnread(t *testing.T) {
	is := is.New(t)
	caller, accepted := pair(t)
	connection := inspector.New(accepted)
	write(is, caller)
	const wait = 60 * time.Millisecond
	time.Sleep(wait)
	is.True(connection.Inspect().Quiet >= wait/2)
	is.True(connection.Age() >= wait)
}

// Guards against connections that can't be inspected and count as left.
func TestUnknownConnection(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	is.Equal(inspector.New(a).Inspect(), inspector.State{})
	is.Equal(inspector.Of(t.Context()).Inspect(), inspector.State{})
	is.Equal(inspector.Of(t.Context()).Age(), time.Duration(0))
}
