package receiver

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a TCP connection on which Read returns io.EOF only if the peer has ended its side. After any other end, each Read
// returns an error.
//
// The kernel reports a reset or a time-out of a connection once, to the call that asks first. If that is a Write, a concurrent
// Read is told that the stream has ended. A response that ends with its connection would then look whole.
type Conn struct {
	net.Conn

	readErr error // of a Read that the kernel has told of the connection's failure; owned by the reader

	mu       sync.Mutex // held while a Write runs
	writeErr error      // of the first Write that failed; guarded by mu
}

// Write sends bytes. Once Read has returned the end of the stream, it sends no more and may fail with os.ErrDeadlineExceeded.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read receives bytes. It returns io.EOF only if the peer has ended its side.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	switch {
	case err == io.EOF:
		if cause := c.brokenBy(); cause != nil {
			err = errors.Wrap(cause, "connection ended while the request was written")
		}
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded): // a Read after a deadline can succeed
		c.readErr = err
	}
	return n, err
}

// brokenBy returns the error that has ended the connection, if a Write has taken it from the kernel, or nil.
func (c *Conn) brokenBy() error {
	// Interrupts a Write that waits for the peer, which has not taken an error. Without it, the end of an early response would
	// wait until the peer has read the request. It fails only if the connection is closed.
	c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || c.peerEndedFirst() {
		return nil
	}
	return c.writeErr
}

// peerEndedFirst reports whether the peer had ended its side before it reset the connection. Linux then reports EPIPE instead of
// ECONNRESET, and keeps what came before the end. The caller holds c.mu.
func (c *Conn) peerEndedFirst() bool { return errors.Is(c.writeErr, syscall.EPIPE) }

// WriteFailed reports whether a Write has failed. What the peer has sent before can still be read.
func (c *Conn) WriteFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr != nil
}
