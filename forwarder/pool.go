package forwarder

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// sweepPeriod is the minimum interval between two sweeps of expired idle connections.
	sweepPeriod = time.Second
	// TCP keep-alive probes detect dead connections within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// errConnLimit means that the target's MaxConns connections, or Client.MaxOpen to all targets, are in use.
var errConnLimit = errors.New("connection limit reached")

// pool holds the connections to one address. Client.mu guards its fields.
type pool struct {
	idle []*conn // in order of last use, the most recent last
	open int     // including idle ones
}

// acquireConn returns the most recently used idle connection that is still usable for a call with an id, or dials a new
// one.
func (c *Client) acquireConn(ctx context.Context, to Target, maxIdle time.Duration, id string) (*conn, error) {
	for {
		idle, err := c.takeIdleOrReserve(to, maxIdle)
		if err != nil {
			return nil, err
		}
		if idle == nil {
			return c.dial(ctx, to)
		}
		if idle.reusable() && !idle.hasCarried(id) {
			return idle, nil
		}
		idle.discard()
	}
}

// takeIdleOrReserve removes the most recently used idle connection from the target's pool and returns it.
// If there is none, it reserves a slot for a new connection and returns nil.
func (c *Client) takeIdleOrReserve(to Target, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	if c.pools == nil {
		c.pools = map[netip.AddrPort]*pool{}
	}
	p := c.pools[to.Address]
	if p == nil {
		p = &pool{}
		c.pools[to.Address] = p
	}
	if n := len(p.idle); n > 0 {
		last := p.idle[n-1]
		if now.Before(last.expires) && (maxIdle == 0 || now.Sub(last.idleSince) <= maxIdle) {
			p.idle = p.idle[:n-1]
			return last, nil
		}
	}
	if to.MaxConns > 0 && p.open >= to.MaxConns {
		if len(p.idle) == 0 {
			return nil, errConnLimit
		}
		p.idle[0].closeIdle() // frees a slot for the new connection
		p.idle = p.idle[1:]
		p.open--
		c.open--
	}
	if c.MaxOpen > 0 && c.open >= c.MaxOpen && !c.closeOldest() {
		return nil, errConnLimit
	}
	p.open++
	c.open++
	return nil, nil
}

// closeOldest closes the connection of all pools that has been idle longest, and reports whether there was one. The caller
// holds c.mu.
func (c *Client) closeOldest() bool {
	var from *pool
	for _, p := range c.pools {
		if len(p.idle) > 0 && (from == nil || p.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = p
		}
	}
	if from == nil {
		return false
	}
	from.idle[0].closeIdle()
	from.idle = from.idle[1:]
	from.open--
	c.open--
	return true
}

// sweep closes expired idle connections, at most once per sweepPeriod. The caller holds c.mu.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < sweepPeriod {
		return
	}
	c.lastSweep = now
	for address, p := range c.pools {
		kept := p.idle[:0]
		for _, idle := range p.idle {
			if now.Before(idle.expires) {
				kept = append(kept, idle)
				continue
			}
			idle.closeIdle()
			p.open--
			c.open--
		}
		clear(p.idle[len(kept):])
		p.idle = kept
		if p.open == 0 {
			delete(c.pools, address)
		}
	}
}

func (c *Client) dial(ctx context.Context, to Target) (*conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = c.dialTCP
	}
	raw, err := dial(ctx, to.Address)
	if err != nil {
		c.connClosed(to.Address)
		return nil, err
	}
	return newConn(c, to.Address, raw), nil
}

func (c *Client) dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	timeout := c.DialTimeout
	if timeout == 0 {
		timeout = DefaultDialTimeout
	}
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if socket, ok := conn.(*net.TCPConn); ok && c.ReceiveBuffer > 0 {
		socket.SetReadBuffer(c.ReceiveBuffer) // fails only if the connection is closed
	}
	return conn, err
}

// connClosed removes a closed connection from the count of open ones.
func (c *Client) connClosed(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.pools[address]; p != nil {
		p.open--
		c.open--
	}
}

// putIdle returns a connection to its pool, where it expires after the timeout.
func (c *Client) putIdle(idle *conn, timeout time.Duration) {
	now := time.Now()
	idle.idleSince, idle.expires = now, now.Add(timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[idle.address]
	p.idle = append(p.idle, idle)
	c.sweep(now)
}

// putBack returns a connection to its pool on which nothing has been sent since it was taken out or dialed.
func (c *Client) putBack(unused *conn) {
	timeout := c.idleTimeout()
	if !unused.expires.IsZero() {
		timeout = time.Until(unused.expires)
	}
	if unused.discarded.Load() || timeout <= 0 {
		unused.discard()
		return
	}
	c.putIdle(unused, timeout)
}

// hasCarried reports whether one of the last calls on the connection had the id, so that it would not tell their
// responses apart.
func (n *conn) hasCarried(id string) bool {
	return id != "" && slices.Contains(n.carried[:], id)
}

// reusable reports whether an idle connection is still open and has received no unsolicited bytes.
func (n *conn) reusable() bool {
	raw, ok := n.raw().(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errno == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
