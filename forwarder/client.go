package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Default limits on calls and connections.
const (
	DefaultMaxHeader   = 64 << 10
	DefaultMaxRequest  = 64 << 20
	DefaultMaxResponse = 64 << 20
	DefaultDialTimeout = time.Second
	DefaultIdleTimeout = time.Minute
)

// Client is a Service that speaks HTTP/1.1 over pooled connections. Set the exported fields before the
// first call.
//
// It has its own connection pool instead of using http.Transport, which retries some requests by itself,
// takes a late response to an earlier request for the response to the current one, and ignores the idle
// timeout that an endpoint announces in Keep-Alive. Requests are serialized with net/http, and responses parsed with receiver.
type Client struct {
	MaxHeader  int   // bytes of a call's path, query and header, and of a response's header; 0 means DefaultMaxHeader
	MaxRequest int64 // bytes of a call's body; 0 means DefaultMaxRequest
	// MaxResponse is the limit on the bytes received for one call, its framing included; 0 means
	// DefaultMaxResponse.
	MaxResponse int64
	// EchoHeader names a header that endpoints copy from a call to its response, which identifies the call. A response
	// with another value belongs to another call and is skipped; one without a value fails the call. Calls without the
	// header accept responses without it. Empty disables the check.
	EchoHeader  string
	DialTimeout time.Duration // 0 means DefaultDialTimeout
	// Dial opens a connection; nil means TCP with keep-alive probes.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// IdleTimeout is how long an idle connection is kept, unless the endpoint announces a shorter
	// timeout; 0 means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxOpen is the number of connections to all endpoints together; 0 means no limit. An idle connection is closed for a
	// new one.
	MaxOpen int
	// ReceiveBuffer bounds the bytes that the kernel receives on a connection before they are read; 0 leaves it to the system.
	ReceiveBuffer int

	mu        sync.Mutex
	open      int // connections of all pools, including idle ones
	pools     map[netip.AddrPort]*pool
	lastSweep time.Time
}

var _ Service = (*Client)(nil)

// Forward sends a call once; see Service.
func (c *Client) Forward(ctx context.Context, to Target, call Call) (*Response, error) {
	response, err := c.forward(ctx, to, call)
	return response, errors.Wrapf(err, "forward to endpoint %q", to.Endpoint)
}

func (c *Client) forward(ctx context.Context, to Target, call Call) (*Response, error) {
	if err := c.checkLimits(call); err != nil {
		return nil, err
	}
	conn, err := c.acquireConn(ctx, to, call.MaxIdle, call.Header.Get(c.EchoHeader))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", err, ErrNotSent)
	}
	return conn.roundTrip(ctx, c, call)
}

func (c *Client) checkLimits(call Call) error {
	size := len(call.Path) + len(call.Query)
	for name, values := range call.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if limit := c.maxHeader(); size > limit {
		return errors.Wrapf(ErrTooLarge, "path, query and header have %d bytes, limit is %d", size, limit)
	}
	if limit := c.maxRequest(); call.Length > limit {
		return errors.Wrapf(ErrTooLarge, "body has %d bytes, limit is %d", call.Length, limit)
	}
	return nil
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

func (c *Client) maxResponse() int64 {
	if c.MaxResponse != 0 {
		return c.MaxResponse
	}
	return DefaultMaxResponse
}

func (c *Client) idleTimeout() time.Duration {
	if c.IdleTimeout != 0 {
		return c.IdleTimeout
	}
	return DefaultIdleTimeout
}

// belongsTo reports whether a response belongs to a call. It returns an error if that can't be told: a response without
// the id may be that of any earlier call on the connection.
func (c *Client) belongsTo(call Call, response http.Header) (bool, error) {
	if c.EchoHeader == "" {
		return true, nil
	}
	own, echoed := call.Header.Get(c.EchoHeader), response.Values(c.EchoHeader)
	switch {
	case len(echoed) > 1:
		return false, errors.Errorf("response has %d ids", len(echoed))
	case len(echoed) == 0 || echoed[0] == "":
		if own != "" {
			return false, errors.New("response has no id")
		}
		return true, nil
	}
	return echoed[0] == own, nil
}
