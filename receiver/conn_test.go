package receiver_test

import (
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/receiver"
)

// scriptedConn is a connection whose Write blocks until it is released or its deadline is set, and whose Read returns the end of
// the stream, once after an error if there is one.
type scriptedConn struct {
	net.Conn
	writing, deadline chan struct{}
	release           chan struct{}
	err               error // of a Write that is released; if nil, only the deadline ends it
	readErr           error // of the first Read
	once              sync.Once
}

func (c *scriptedConn) Write([]byte) (int, error) {
	close(c.writing)
	if c.err == nil {
		<-c.deadline
		return 0, os.ErrDeadlineExceeded
	}
	<-c.release
	return 0, c.err
}

func (c *scriptedConn) Read([]byte) (int, error) {
	err := cmp.Or(c.readErr, io.EOF)
	c.readErr = nil
	return 0, err
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

// Guards against taking the end of a broken connection for the peer's end while the Write that was told of the failure has not
// returned yet, and against an end in order that is reported as a failure, or waits for a Write that does not end.
func TestReadTellsFailureFromEnd(t *testing.T) {
	for name, c := range map[string]struct {
		write error
		want  error
	}{
		"reset":                       {write: syscall.ECONNRESET, want: syscall.ECONNRESET},
		"peer does not respond":       {write: syscall.ETIMEDOUT, want: syscall.ETIMEDOUT},
		"reset after the peer's end":  {write: syscall.EPIPE, want: io.EOF},
		"Write that waits for a peer": {want: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw := &scriptedConn{writing: make(chan struct{}), deadline: make(chan struct{}), release: make(chan struct{})}
			if c.write != nil {
				raw.err = &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.write)}
			}
			conn := &receiver.Conn{Conn: raw}
			go conn.Write([]byte("request"))
			<-raw.writing
			time.AfterFunc(10*time.Millisecond, func() { close(raw.release) })
			_, err := conn.Read(make([]byte, 1))
			is.True(errors.Is(err, c.want))
			is.Equal(err == io.EOF, c.want == io.EOF)
		})
	}
}

// Guards against a connection that seems to end in order when it is read once more after it has failed.
func TestFailureIsReportedAgain(t *testing.T) {
	is := is.New(t)
	conn := &receiver.Conn{Conn: &scriptedConn{readErr: syscall.ECONNRESET, deadline: make(chan struct{})}}
	for range 3 {
		_, err := conn.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
	}
}
