package inspector

import (
	"net/netip"
	"sync"
	"time"

	"apricotspool/accountant"
)

// What a connection and a request take besides their bytes: goroutines with their stacks, and the buffers of net/http and
// of the connection to an endpoint.
const (
	connectionBytes = 20 << 10
	requestBytes    = 40 << 10
	// lineBytes is what a line of a head takes: a key, a value and their entry in the header of the request, in its copy for
	// an attempt and in the copy that is written.
	lineBytes = 400
	// byteFactor is how often a byte of a head is held: as it is read, as a string and as it is written.
	byteFactor = 3
	// headSlop is how much longer than the limit a head may be. net/http reads that many bytes at once, of which the last
	// may belong to the body, and allows as many itself.
	headSlop = 4 << 10
	// defaultHeadBytes bounds heads until the limit of the configuration is known.
	defaultHeadBytes = 64 << 10
	// pause is how long reading pauses for others to give back memory, before holdings without progress in that time are
	// released, and once more until they have been.
	pause = 250 * time.Millisecond
)

// Budget bounds the memory and the connections that a process holds for its callers. The exported fields must be set before
// use. All methods may be called on nil, which has no limits, and concurrently.
type Budget struct {
	Bytes       int64 // 0 means no limit
	Connections int   // 0 means no limit
	// HeadBytes returns the limit of a request's head; 0 if it isn't known yet.
	HeadBytes func() int
	// OnRefused is called for each connection, head or request that is refused or closed for lack of room; may be nil.
	OnRefused func(kind accountant.Kind)

	mu        sync.Mutex // guards the fields below, the holdings of all connections and what is said so there
	account   accountant.Account
	owners    map[*accountant.Holding]*Connection
	addresses map[netip.Addr]int
	measured  time.Time     // when Measure was last called
	changed   chan struct{} // closed when something is given back; nil if nobody waits
}

// Usage returns what is held of a kind.
func (b *Budget) Usage(kind accountant.Kind) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.Held(kind)
}

// Open returns the number of open connections.
func (b *Budget) Open() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account.Len()
}

// admit enters an accepted connection into the account. If there is no room, holdings without progress are released, and
// connections without a request make room. admit reports false if there are none.
func (b *Budget) admit(c *Connection, address netip.Addr) bool {
	c.budget, c.address = b, address
	for {
		b.mu.Lock()
		if b.enter(c) {
			b.mu.Unlock()
			return true
		}
		victim := b.account.Unused(b.eligible(address))
		owner := b.owners[victim]
		b.mu.Unlock()
		b.refused(accountant.Connection)
		if owner == nil {
			return false
		}
		owner.close()
	}
}

// enter adds a connection if there is room. The caller holds b.mu.
func (b *Budget) enter(c *Connection) bool {
	if b.owners == nil {
		b.owners, b.addresses = map[*accountant.Holding]*Connection{}, map[netip.Addr]int{}
	}
	b.account.Limit = b.Bytes
	if b.Connections > 0 && b.account.Len() >= b.Connections {
		return false
	}
	now := time.Now()
	b.account.Open(&c.holding, now)
	if !b.account.Take(&c.holding, accountant.Connection, connectionBytes) {
		for _, h := range b.account.Free(connectionBytes+requestBytes, now.Add(-pause)) {
			b.owners[h].giveUp()
		}
		if !b.account.TakeReserved(&c.holding, accountant.Connection, connectionBytes) {
			b.account.Close(&c.holding)
			return false
		}
	}
	b.owners[&c.holding] = c
	b.addresses[c.address]++
	return true
}

// eligible returns which connections may be closed for a new one from an address. An address that has more than half of all
// connections gets no further ones at the cost of others. The caller holds b.mu.
func (b *Budget) eligible(address netip.Addr) func(*accountant.Holding) bool {
	largest, most := address, 0
	for a, n := range b.addresses {
		if n > most {
			largest, most = a, n
		}
	}
	if most*2 <= b.account.Len() {
		return func(*accountant.Holding) bool { return true }
	}
	return func(h *accountant.Holding) bool { return b.owners[h].address == largest }
}

// leave removes a closed connection from the account.
func (b *Budget) leave(c *Connection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owners[&c.holding] == nil {
		return
	}
	delete(b.owners, &c.holding)
	if b.addresses[c.address]--; b.addresses[c.address] == 0 {
		delete(b.addresses, c.address)
	}
	b.account.Close(&c.holding)
	b.notify()
}

// notify wakes up those that wait for room. The caller holds b.mu.
func (b *Budget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// reserve takes bytes for a connection. If there is no room, it waits for a pause; then holdings of others are released,
// and it waits for these.
func (b *Budget) reserve(c *Connection, kind accountant.Kind, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owners[&c.holding] == nil {
		return false // closed
	}
	if b.account.Take(&c.holding, kind, bytes) {
		return true
	}
	if c.holding.Released() || c.holding.Stage() == accountant.Sent {
		if kind == accountant.Answer {
			b.refused(kind)
		}
		return false // a request that has been sent goes on without the room
	}
	since := time.Now()
	if b.wait(c, kind, bytes, since.Add(pause)) {
		return true
	}
	if c.holding.Released() || b.owners[&c.holding] == nil {
		return false
	}
	released := b.account.Release(&c.holding, bytes, since)
	for _, h := range released {
		b.owners[h].giveUp()
	}
	if b.wait(c, kind, bytes, time.Now().Add(pause)) {
		return true
	}
	b.refused(kind)
	return false
}

// wait waits until bytes can be taken, at most until a time. The caller holds b.mu, which is released meanwhile.
func (b *Budget) wait(c *Connection, kind accountant.Kind, bytes int64, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		if b.changed == nil {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
		b.mu.Lock()
		if b.owners[&c.holding] != nil && b.account.Take(&c.holding, kind, bytes) {
			return true
		}
		if expired || c.holding.Released() || b.owners[&c.holding] == nil {
			return false
		}
	}
}

func (b *Budget) refused(kind accountant.Kind) {
	if b.OnRefused != nil {
		b.OnRefused(kind)
	}
}
