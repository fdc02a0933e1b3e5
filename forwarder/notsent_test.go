package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/forwarder"
)

// slowConn is a connection whose Close and Read wait to be released.
type slowConn struct {
	net.Conn
	closing      chan struct{} // closed when Close is called
	finishClose  chan struct{}
	failRead     chan struct{}
	closed, sent atomic.Bool
}

func (c *slowConn) Close() error {
	close(c.closing)
	<-c.finishClose
	c.closed.Store(true)
	return nil
}

func (c *slowConn) Read([]byte) (int, error) {
	<-c.failRead
	return 0, errors.New("connection reset")
}

func (c *slowConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.sent.Store(true)
	return len(p), nil
}

// slowBody is a body in memory that is read late, as by a writer that gets no processor time.
type slowBody struct {
	release chan struct{}
	left    int
}

func (b *slowBody) Len() int { return b.left }

func (b *slowBody) Read(p []byte) (int, error) {
	<-b.release
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// Guards against a call that is reported as not sent and is sent afterwards: its connection was marked as discarded by
// another goroutine, but not closed yet.
func TestCallReportedAsNotSentIsNotSent(t *testing.T) {
	is := is.New(t)
	raw := &slowConn{closing: make(chan struct{}), finishClose: make(chan struct{}), failRead: make(chan struct{})}
	c := &forwarder.Client{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) { return raw, nil }}
	body := &slowBody{release: make(chan struct{}), left: 9 << 10}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := c.Forward(ctx, forwarder.Target{Endpoint: "e"}, forwarder.Call{
			Method: "POST", Path: "/", Header: http.Header{}, Body: body, Length: 9 << 10,
		})
		result <- err
	}()
	cancelWhenReading := time.AfterFunc(10*time.Millisecond, cancel)
	defer cancelWhenReading.Stop()
	<-raw.closing // by the context
	close(raw.failRead)
	var err error
	select {
	case err = <-result:
	case <-time.After(50 * time.Millisecond): // Forward waits until the connection is closed
	}
	close(body.release)
	for range 50 {
		if raw.sent.Load() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	close(raw.finishClose)
	if err == nil {
		err = <-result
	}
	is.True(err != nil)
	is.True(!(errors.Is(err, forwarder.ErrNotSent) && raw.sent.Load()))
}
