package inspector

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"apricotspool/accountant"
)

const (
	// measurePeriod is how often the unread bytes are measured. A caller fills a receive buffer in less, which bounds what
	// isn't known.
	measurePeriod = 250 * time.Millisecond
	// unmeasuredShare is the part of the limit that the receive buffers of all connections may reach unmeasured.
	unmeasuredShare = 16
)

// Run measures what the kernel has received for the connections until ctx ends.
func (b *Budget) Run(ctx context.Context) error {
	ticks := time.NewTicker(measurePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			b.Measure()
		}
	}
}

// Measure enters into the account what the kernel has received and nobody has read yet. If it takes the account over its
// limit, connections that have made no progress since the last measurement are released.
func (b *Budget) Measure() {
	var connections []*Connection
	b.mu.Lock()
	since, now := b.measured, time.Now()
	b.measured = now
	if b.Bytes > 0 && int64(b.account.Len())*receiveBuffer > b.Bytes/unmeasuredShare {
		for _, c := range b.owners {
			connections = append(connections, c)
		}
	}
	b.mu.Unlock()
	for _, c := range connections {
		unread := c.unread()
		b.with(c, func(a *accountant.Account) { a.Set(&c.holding, accountant.Unread, unread) })
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if excess := b.account.Total() - b.Bytes; len(connections) > 0 && excess > 0 {
		for _, h := range b.account.Free(excess, since) {
			b.refused(accountant.Unread)
			b.owners[h].giveUp()
		}
	}
}

// unread returns the bytes that the kernel has received; 0 if the connection is closed.
func (c *Connection) unread() (bytes int64) {
	c.raw.Control(func(fd uintptr) { // fails only if the connection is closed
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			bytes = int64(n)
		}
	})
	return bytes
}
