package inspector

import (
	"context"
	"time"

	"apricotspool/accountant"
)

// accounted reports whether the connection belongs to a budget.
func (c *Connection) accounted() bool { return c != nil && c.budget != nil }

// Reserve takes bytes for the connection's request, and reports false if there is no room. It may wait for a while, except
// for a request that has been sent to an endpoint.
func (c *Connection) Reserve(kind accountant.Kind, bytes int64) bool {
	return !c.accounted() || c.budget.reserve(c, kind, bytes)
}

// Force takes bytes that are held already, or without which a request that has been sent can't go on.
func (c *Connection) Force(kind accountant.Kind, bytes int64) {
	if c.accounted() {
		c.budget.with(c, func(a *accountant.Account) { a.Force(&c.holding, kind, bytes) })
	}
}

// Return gives back bytes before the request has ended.
func (c *Connection) Return(kind accountant.Kind, bytes int64) {
	if c.accounted() {
		c.budget.with(c, func(a *accountant.Account) {
			a.Give(&c.holding, kind, bytes)
			c.budget.notify()
		})
	}
}

// Received counts bytes that have come for a request, which is progress.
func (c *Connection) Received(bytes int64) {
	if c.accounted() {
		now := time.Now()
		c.budget.with(c, func(a *accountant.Account) { a.Receive(&c.holding, bytes, now) })
	}
}

// StartRequest enters a request whose head has been read. It reports false if there is no room for it.
func (c *Connection) StartRequest(headerLines int) bool {
	if !c.accounted() {
		return true
	}
	now, uncounted := time.Now(), int64(headerLines-c.endHead())*lineBytes // in the bytes read with an earlier request
	taken := false
	c.budget.with(c, func(a *accountant.Account) {
		a.Advance(&c.holding, accountant.Reading, 0, now)
		taken = a.Take(&c.holding, accountant.Request, requestBytes+max(0, uncounted))
	})
	return taken || c.budget.reserve(c, accountant.Request, requestBytes+max(0, uncounted))
}

// StartShared enters one of several requests that share a connection, as with HTTP/2. They keep their memory; Reserve doesn't
// wait for them. EndShared has to be called at their end.
func (c *Connection) StartShared() bool {
	return c.advance(accountant.Sent, 0, nil) && c.Reserve(accountant.Request, requestBytes)
}

// EndShared gives back what one of several requests that share a connection has held.
func (c *Connection) EndShared(body int64) {
	c.Return(accountant.Body, body)
	c.Return(accountant.Request, requestBytes)
}

// beginHead says that a part of a head has come. net/http may have read it in the background during the request before.
func (c *Connection) beginHead() {
	now := time.Now()
	c.budget.with(c, func(a *accountant.Account) {
		if stage := c.holding.Stage(); stage == accountant.Silent || stage == accountant.Idle {
			a.Advance(&c.holding, accountant.Heading, 0, now)
		}
	})
}

// SetRank sets the rank of the request; 0 is the most urgent.
func (c *Connection) SetRank(rank int) {
	c.advance(accountant.Reading, rank, nil)
}

// Wait says that the request has been read and waits to be sent. cancel is called if it has to give up its memory before; Wait
// reports false if it had to already.
func (c *Connection) Wait(rank int, cancel context.CancelFunc) bool {
	return c.advance(accountant.Waiting, rank, cancel)
}

// Keep says that the request is about to be sent to an endpoint. It keeps its memory from now on. Keep reports false if it
// has had to give it up.
func (c *Connection) Keep() bool { return c.advance(accountant.Sent, 0, nil) }

// Released reports whether the request had to give up its memory. It must not be sent then.
func (c *Connection) Released() (released bool) {
	if c.accounted() {
		c.budget.with(c, func(*accountant.Account) { released = c.holding.Released() })
	}
	return released
}

func (c *Connection) advance(stage accountant.Stage, rank int, cancel context.CancelFunc) bool {
	if !c.accounted() {
		return true
	}
	now, advanced := time.Now(), true
	c.budget.with(c, func(a *accountant.Account) {
		c.cancel = cancel
		advanced = a.Advance(&c.holding, stage, rank, now)
	})
	return advanced
}

// with calls a function with the account, unless the connection has left it.
func (b *Budget) with(c *Connection, do func(*accountant.Account)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owners[&c.holding] != nil {
		do(&b.account)
	}
}

// SetWriteDeadline bounds the writing of the answer of the current request. It ends with the request.
func (c *Connection) SetWriteDeadline(deadline time.Time) {
	if c.accounted() && c.conn.SetWriteDeadline(deadline) == nil {
		c.writeDeadline = true
	}
}

// idle ends the request of a connection that stays open. It is called on the connection's goroutine.
func (c *Connection) idle() {
	c.expectHead()
	if c.writeDeadline {
		c.writeDeadline = false
		c.conn.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	}
	now := time.Now()
	c.budget.with(c, func(a *accountant.Account) {
		c.cancel = nil
		a.EndRequest(&c.holding, now)
		c.budget.notify()
	})
}

// giveUp makes the goroutine that holds the connection's memory give it back. The caller holds the budget's lock.
func (c *Connection) giveUp() {
	switch c.holding.Stage() {
	case accountant.Reading:
		c.conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	case accountant.Waiting:
		if c.cancel != nil {
			c.cancel()
		}
	default:
		go c.close() // takes the lock
	}
}

// close closes the connection.
func (c *Connection) close() { c.conn.Close() }
