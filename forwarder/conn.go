package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"apricotspool/receiver"
)

const (
	readBufferBytes = 4 << 10
	// maxInlineBytes is the size up to which a call is written before its response is read. A larger one
	// is written concurrently, because an endpoint may respond before it reads the body.
	maxInlineBytes = 2 << 10
	// idleTimeoutMargin is subtracted from the idle timeout that an endpoint announces, so that the endpoint
	// does not close a connection while a call is in transit.
	idleTimeoutMargin = 500 * time.Millisecond
	// maxHeaderLines is the number of lines of a response header after which no more of it is read: the shortest lines take
	// many times their size.
	maxHeaderLines = 256
	// maxMismatched bounds the responses to other calls that are skipped while waiting for one response.
	maxMismatched = 4
	// maxInformational bounds the informational responses before a response.
	maxInformational = 16
	// maxMismatchedBytes bounds the body of a skipped response.
	maxMismatchedBytes = 1 << 20
)

// maxCarried is the number of calls whose ids a connection remembers.
const maxCarried = 16

// conn is a connection to an endpoint, owned by one call at a time.
type conn struct {
	*receiver.Conn
	client    *Client
	address   netip.AddrPort
	reader    *bufio.Reader
	limiter   *responseLimiter
	closing   sync.Once
	discarded atomic.Bool
	stray     bool               // a response to another call has arrived
	carried   [maxCarried]string // ids of the last calls
	calls     int

	idleSince, expires time.Time // guarded by Client.mu while idle
}

func newConn(c *Client, address netip.AddrPort, raw net.Conn) *conn {
	n := &conn{Conn: &receiver.Conn{Conn: raw}, client: c, address: address}
	n.limiter = &responseLimiter{reader: n.Conn}
	n.reader = bufio.NewReaderSize(n.limiter, readBufferBytes)
	return n
}

// raw returns the connection that Client.Dial has opened.
func (n *conn) raw() net.Conn { return n.Conn.Conn }

// responseLimiter limits the bytes that are read for a call.
type responseLimiter struct {
	reader   io.Reader
	response int64 // bytes left for the response
}

func (l *responseLimiter) Read(p []byte) (int, error) {
	if l.response <= 0 {
		return 0, ErrResponseTooLarge
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.response)])
	l.response -= int64(n)
	return n, err
}

// discard closes the connection and removes it from the count of open ones. It may be called repeatedly. Nothing is sent
// on the connection after it has returned, even if another goroutine has begun to close it.
func (n *conn) discard() {
	if n.closeOnce() {
		n.client.connClosed(n.address)
	}
}

// closeIdle closes an idle connection. The caller holds Client.mu and updates the count of open ones.
func (n *conn) closeIdle() { n.closeOnce() }

// closeOnce closes the connection, or waits until it is closed, and reports whether it was the first to close it.
func (n *conn) closeOnce() (first bool) {
	n.closing.Do(func() {
		n.discarded.Store(true)
		n.Close()
		first = true
	})
	return first
}

// resetOnClose makes the end of the connection reset it instead of sending what still waits.
func (n *conn) resetOnClose() error {
	socket, ok := n.raw().(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.Errorf("connection of type %T can't be reset", n.raw())
	}
	return errors.Wrap(socket.SetLinger(0), "make closing reset the connection")
}

// roundTrip sends a call and reads the header of its response.
func (n *conn) roundTrip(ctx context.Context, c *Client, call Call) (*Response, error) {
	if call.abandoned(ctx) {
		c.putBack(n)
		return nil, fmt.Errorf("%w: %w", ErrAbandoned, ErrNotSent)
	}
	if call.Reset {
		if err := n.resetOnClose(); err != nil {
			n.discard()
			return nil, fmt.Errorf("%w: %w", err, ErrNotSent)
		}
	}
	n.carried[n.calls%maxCarried] = call.Header.Get(c.EchoHeader)
	n.calls++
	stop := context.AfterFunc(ctx, n.discard)
	w := &requestWriter{conn: n, limit: c.maxRequest()}
	w.start(ctx, call)
	response, err := n.readResponse(c, call)
	if err != nil {
		stop()
		n.discard()
		class := ErrUncertain
		if w.nothingSent() {
			class = ErrNotSent
		}
		switch {
		case w.wasAbandoned.Load():
			class = fmt.Errorf("%w: %w", ErrAbandoned, class)
		case ctx.Err() != nil:
			err = ctx.Err()
		}
		return nil, errors.Wrap(class, err.Error())
	}
	idleTimeout := keepAliveTimeout(response, c.idleTimeout())
	if response.Close || hasConnectionClose(call.Header) || call.Reset {
		idleTimeout = 0
	}
	RemoveHopByHop(response.Header)
	body := &responseBody{ReadCloser: response.Body, conn: n, writer: w, idleTimeout: idleTimeout, stop: stop}
	if response.Body == http.NoBody {
		body.finish()
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body}, nil
}

// readResponse returns the next response that belongs to the call. It skips informational ones.
func (n *conn) readResponse(c *Client, call Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	n.limiter.response = c.maxResponse()
	limits := receiver.Limits{Bytes: c.maxHeader(), Lines: maxHeaderLines}
	for skipped, informational := 0, 0; ; {
		response, err := receiver.ReadResponse(n.reader, request, limits)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Errorf("unexpected status %d", response.StatusCode)
		}
		if response.StatusCode < 200 {
			if informational++; informational > maxInformational {
				return nil, errors.New("too many informational responses")
			}
			continue
		}
		belongs, err := c.belongsTo(call, response.Header)
		if err != nil {
			return nil, err
		}
		if belongs {
			return response, nil
		}
		n.stray = true
		if skipped++; skipped > maxMismatched {
			return nil, errors.New("too many responses to other calls")
		}
		if response.Close {
			return nil, errors.New("connection ends with a response to another call")
		}
		read, err := io.CopyN(io.Discard, response.Body, maxMismatchedBytes)
		if err != io.EOF {
			return nil, errors.Errorf("skip response to another call: read %d bytes, then %v", read, err)
		}
	}
}

// keepAliveTimeout returns how long the connection may stay idle after a response: the limit, or less if
// the endpoint announces a shorter timeout in Keep-Alive.
func keepAliveTimeout(response *http.Response, limit time.Duration) time.Duration {
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			limit = min(limit, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return limit
}

func hasConnectionClose(header http.Header) bool {
	return strings.Contains(strings.ToLower(header.Get("Connection")), "close")
}

// requestWriter writes one call to its connection.
type requestWriter struct {
	conn    *conn
	limit   int64
	done    chan struct{} // nil if the call was written before start returned
	err     error         // valid once done is closed
	started atomic.Bool   // some byte may have been sent
	// wasAbandoned is set if the call was abandoned after the writing goroutine had been started, and before it wrote.
	wasAbandoned atomic.Bool
}

// abandoned reports whether the call is not to be sent any more.
func (c *Call) abandoned(ctx context.Context) bool {
	return ctx.Err() != nil || (c.Abandoned != nil && c.Abandoned())
}

func (w *requestWriter) start(ctx context.Context, call Call) {
	head := headBuffers.Get().(*bytes.Buffer)
	head.Reset()
	writeHead(head, call)
	if call.Body == nil || (inMemory(call.Body) && call.Length >= 0 && int64(head.Len())+call.Length <= maxInlineBytes) {
		w.write(head, call)
		return
	}
	w.done = make(chan struct{})
	go func() {
		defer close(w.done)
		if call.abandoned(ctx) { // again, since the goroutine may have waited for processor time
			headBuffers.Put(head)
			w.wasAbandoned.Store(true)
			w.fail(ErrAbandoned)
			return
		}
		w.write(head, call)
	}()
}

var headBuffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

func (w *requestWriter) write(head *bytes.Buffer, call Call) {
	defer headBuffers.Put(head)
	coalesce := inMemory(call.Body) && call.Length >= 0 && call.Length <= maxCoalescedBytes
	if coalesce {
		if n, err := io.CopyN(head, call.Body, call.Length); err != nil {
			w.fail(errors.Wrapf(err, "body ended after %d bytes", n))
			return
		}
	}
	w.started.Store(true)
	if _, err := w.conn.Write(head.Bytes()); err != nil {
		w.fail(err)
		return
	}
	if call.Body == nil || coalesce {
		return
	}
	if err := w.writeBody(call); err != nil {
		w.fail(err)
	}
}

// inMemory reports whether a body can be read without blocking.
func inMemory(body io.Reader) bool {
	_, ok := body.(interface{ Len() int })
	return ok
}

// maxCoalescedBytes is the size up to which a body is written in one call together with the header.
const maxCoalescedBytes = 64 << 10

func (w *requestWriter) writeBody(call Call) error {
	if call.Length >= 0 {
		n, err := io.CopyN(w.conn, call.Body, call.Length)
		return errors.Wrapf(err, "body ended after %d bytes", n)
	}
	chunks := httputil.NewChunkedWriter(w.conn)
	n, err := io.Copy(chunks, io.LimitReader(call.Body, w.limit+1))
	if err != nil {
		return err
	}
	if n > w.limit {
		return ErrTooLarge
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err = io.WriteString(w.conn, "\r\n") // the chunked writer does not write the end of the trailer section
	return err
}

// fail records the error and discards the connection: no other call may follow an incomplete one on it. If the connection itself
// has failed, the response's reader discards it, because what the endpoint sent before the failure can still be read.
func (w *requestWriter) fail(err error) {
	w.err = err
	if !w.conn.WriteFailed() {
		w.conn.discard()
	}
}

// nothingSent reports whether certainly no byte of the call was sent.
func (w *requestWriter) nothingSent() bool { return !w.started.Load() }

// complete reports whether the whole call has been written.
func (w *requestWriter) complete() bool {
	if w.done == nil {
		return w.err == nil
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

func writeHead(head *bytes.Buffer, call Call) {
	head.WriteString(call.Method)
	head.WriteByte(' ')
	head.WriteString(call.Path)
	if call.Query != "" || call.ForceQuery {
		head.WriteByte('?')
		head.WriteString(call.Query)
	}
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(call.Host)
	head.WriteString("\r\n")
	header := call.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	RemoveHopByHop(header)
	header.Del("Host")
	header.Del("Content-Length")
	switch {
	case call.Body == nil:
		if call.Method != http.MethodGet && call.Method != http.MethodHead {
			header.Set("Content-Length", "0")
		}
	case call.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(call.Length, 10))
	default:
		header.Set("Transfer-Encoding", "chunked")
	}
	header.Write(head) // writes to a Buffer never fail
	head.WriteString("\r\n")
}

// responseBody is the body of a response. When it has been read to the end, the connection returns to the
// pool.
type responseBody struct {
	io.ReadCloser
	conn        *conn
	writer      *requestWriter
	idleTimeout time.Duration
	stop        func() bool // stops closing the connection when the call's context is done
	done        bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.finish()
	} else if err != nil {
		b.abort()
	}
	return n, err
}

// Close aborts the call and discards the connection unless the body has been read to its end.
func (b *responseBody) Close() error {
	b.abort()
	return nil
}

func (b *responseBody) abort() {
	if !b.done {
		b.done = true
		b.stop()
		b.conn.discard()
	}
}

// finish returns the connection to the pool. It discards it if unread bytes or a response to another call have
// arrived on it, or the call has not been written completely, since the endpoint would take the next call for the rest of
// this one.
func (b *responseBody) finish() {
	if b.done {
		return
	}
	b.done = true
	if !b.stop() || b.idleTimeout <= 0 || !b.writer.complete() || b.conn.stray || b.conn.reader.Buffered() > 0 || b.conn.discarded.Load() {
		b.conn.discard()
		return
	}
	b.conn.client.putIdle(b.conn, b.idleTimeout)
}
