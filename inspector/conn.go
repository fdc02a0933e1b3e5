package inspector

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotspool/accountant"
)

// callerConn is a caller's connection that is entered into a budget. It counts the heads of requests while they are read,
// before net/http parses them.
type callerConn struct {
	net.Conn
	connection *Connection
	closing    sync.Once
	plain      bool // bytes are not encrypted, so that a refusal can be written
}

// headCount is what has been read of a head.
type headCount struct {
	reading bool // a head is expected, or a part of it has come
	bytes   int
	lines   int
	line    int // bytes of the current line, without its end
}

var errHeadRefused = errors.New("head of a request refused")

// Read reads from the connection. The lines of a head are entered into the budget before net/http sees them.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.countHead(p[:n]) {
		return 0, errHeadRefused
	}
	return n, err
}

// countHead counts bytes of a head and reports whether there is room for them. Otherwise the request has been refused.
func (c *callerConn) countHead(p []byte) bool {
	bytes, lines, total := c.connection.countHead(p)
	if bytes == 0 {
		return true
	}
	if total > c.connection.budget.headBytes() {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, "")
		c.connection.budget.refused(accountant.Head)
		return false
	}
	if bytes == total {
		c.connection.beginHead()
	}
	if !c.connection.Reserve(accountant.Head, int64(bytes)*byteFactor+int64(lines)*lineBytes) {
		c.refuse(http.StatusServiceUnavailable, "Retry-After: 1\r\n")
		return false
	}
	return true
}

// countHead returns how many bytes and lines belong to a head, and how many bytes of it have come in all.
func (c *Connection) countHead(p []byte) (bytes, lines, total int) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if !c.head.reading {
		return 0, 0, 0
	}
	bytes, lines = c.head.count(p)
	return bytes, lines, c.head.bytes
}

// count adds bytes up to the end of the head and returns how many bytes and lines came.
func (h *headCount) count(p []byte) (read, lines int) {
	rest := p
	for h.reading && len(rest) > 0 {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.line += len(rest)
			rest = nil
			break
		}
		h.line += len(bytes.TrimSuffix(rest[:end], []byte("\r")))
		rest = rest[end+1:]
		if h.line == 0 && h.lines > 0 {
			h.reading = false
		}
		if h.line > 0 {
			lines++
			h.lines++
		}
		h.line = 0
	}
	read = len(p) - len(rest)
	h.bytes += read
	return read, lines
}

// endHead stops counting, since net/http has read the whole head, and returns how many lines have been counted.
func (c *Connection) endHead() int {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head.reading = false
	return c.head.lines
}

// expectHead starts counting the next head.
func (c *Connection) expectHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = headCount{reading: c.conn.plain}
}

func (b *Budget) headBytes() int {
	if b.HeadBytes != nil {
		if limit := b.HeadBytes(); limit > 0 {
			return limit + headSlop
		}
	}
	return defaultHeadBytes + headSlop
}

// refusalTimeout bounds the writing of a refusal, which fits into the kernel's buffer unless the caller reads nothing.
const refusalTimeout = 100 * time.Millisecond

// refuse answers a request whose head isn't read further. The connection is closed after it.
func (c *callerConn) refuse(status int, header string) {
	if c.plain {
		c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n%s\r\n", status, http.StatusText(status), header) // the caller may have left
	}
	c.Close()
}

// Close closes the connection and takes it off the budget.
func (c *callerConn) Close() error {
	err := net.ErrClosed
	c.closing.Do(func() {
		err = c.Conn.Close()
		c.connection.budget.leave(c.connection)
	})
	return err
}

// NetConn returns the accepted connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// ReadFrom lets net/http use what the connection offers.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(c.Conn, r) }

// ConnState is an http.Server.ConnState that ends the request of a connection in its budget.
func ConnState(conn net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		if inner, ok := secured.NetConn().(*callerConn); ok {
			conn = inner
		}
	}
	if c, ok := conn.(*callerConn); ok {
		c.connection.idle()
	}
}
