package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Default limits on calls.
const (
	DefaultMaxHeader  = 64 << 10
	DefaultMaxRequest = 64 << 20
)

// Client is a Service that speaks HTTP/1.1. Set the exported fields before the first call.
type Client struct {
	MaxHeader  int   // bytes of a call's path, query and header, and of an answer's header; 0 means DefaultMaxHeader
	MaxRequest int64 // bytes of a call's body; 0 means DefaultMaxRequest

	transport atomic.Pointer[http.Transport]
}

var _ Service = (*Client)(nil)

// Forward sends a call once.
func (c *Client) Forward(ctx context.Context, to Target, call Call) (*Answer, error) {
	if err := c.check(call); err != nil {
		return nil, errors.Wrapf(err, "forward to endpoint %q", to.Endpoint)
	}
	var used *countedConn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*countedConn)
		before = used.writes.Load()
	}}
	request, err := c.request(httptrace.WithClientTrace(ctx, trace), to, call)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "forward to endpoint %q: %v", to.Endpoint, err)
	}
	// RoundTrip follows no redirects; they belong to the caller.
	response, err := c.roundTripper().RoundTrip(request)
	if err != nil {
		class := ErrUncertain
		if used == nil || used.writes.Load() == before {
			class = ErrNotSent
		}
		return nil, errors.Wrapf(class, "forward to endpoint %q: %v", to.Endpoint, err)
	}
	removeHopByHop(response.Header)
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}

func (c *Client) check(call Call) error {
	size := len(call.Path) + len(call.Query)
	for name, values := range call.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if limit := c.maxHeader(); size > limit {
		return errors.Wrapf(ErrTooLarge, "path, query and header have %d bytes; at most %d are allowed", size, limit)
	}
	if limit := c.maxRequest(); call.Length > limit {
		return errors.Wrapf(ErrTooLarge, "body has %d bytes; at most %d are allowed", call.Length, limit)
	}
	return nil
}

func (c *Client) request(ctx context.Context, to Target, call Call) (*http.Request, error) {
	url := "http://" + to.Address.String() + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, url, nil)
	if err != nil {
		return nil, err
	}
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	removeHopByHop(request.Header)
	if _, set := request.Header["User-Agent"]; !set {
		request.Header.Set("User-Agent", "") // keeps net/http from sending its own
	}
	// net/http repeats a call with an Idempotency-Key, or of a safe method, on a fresh connection
	// unless it has a body that can't be rewound. Every call gets such a body, an empty one too.
	request.Body = &onceBody{in: call.Body, left: c.maxRequest()}
	request.ContentLength = call.Length
	return request, nil
}

func (c *Client) roundTripper() *http.Transport {
	if t := c.transport.Load(); t != nil {
		return t
	}
	dialer := &net.Dialer{Timeout: time.Second}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    256,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: int64(c.maxHeader()),
	}
	if !c.transport.CompareAndSwap(nil, t) {
		return c.transport.Load()
	}
	return t
}

func (c *Client) maxHeader() int {
	if c.MaxHeader != 0 {
		return c.MaxHeader
	}
	return DefaultMaxHeader
}

func (c *Client) maxRequest() int64 {
	if c.MaxRequest != 0 {
		return c.MaxRequest
	}
	return DefaultMaxRequest
}

// countedConn counts the writes that were begun, so that a call whose connection failed before its
// first write is known not to have left.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// onceBody is a request body that can't be rewound and fails over the limit.
type onceBody struct {
	in   io.Reader
	left int64
}

func (b *onceBody) Read(p []byte) (int, error) {
	if b.in == nil {
		return 0, io.EOF
	}
	n, err := b.in.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, ErrTooLarge
	}
	return n, err
}

func (b *onceBody) Close() error { return nil }
