// Package accountant keeps the account of the memory that a process holds for others, decides what is admitted, and in
// which order holdings are released when the memory is short. It is pure: it has no clock, and its caller guards it.
package accountant

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what a part of the memory is held for.
type Kind uint8

// The kinds.
const (
	Connection Kind = iota // the connection itself: its goroutine and buffers
	Head                   // of a request
	Body                   // of a request
	Request                // a request that is being served, and its connection to an endpoint
	Answer                 // bytes received from an endpoint
	Unread                 // bytes that the kernel has received on the connection and that haven't been read
	kinds
)

// Kinds are the names of the kinds, by kind.
var Kinds = [kinds]string{"connection", "head", "body", "request", "answer", "unread"}

// Stage is how far a connection's request has come.
type Stage uint8

// The stages. A request that has been sent to an endpoint keeps its
// memory, since it may run.
const (
	Silent  Stage = iota // the connection has never sent a request
	Idle                 // the connection waits for its next request
	Heading              // a part of a request's head has come
	Reading              // a part of a request's body has come
	Waiting              // the request is complete and hasn't been sent to an endpoint
	Sent
)

// progressBytes is how many bytes a holding receives until it counts as progress: a byte now and then doesn't.
const progressBytes = 16 << 10

// answerShare is the part of the limit that answers can take. An answer that grows without end must leave room for the requests
// of others, so it gives way first.
const answerShare = 4

// sentShare is the part of the limit that only requests which have been sent can take, for their answers.
const sentShare = 8

// Holding is what is held for one connection. Its zero value is unused; see Account.Open.
type Holding struct {
	held     [kinds]int64
	total    int64
	stage    Stage
	rank     int // of its request; 0 is the most urgent
	progress time.Time
	received int64 // since progress
	released bool
	index    int
}

// Held returns the bytes that are held.
func (h *Holding) Held() int64 { return h.total }

// Stage returns the stage.
func (h *Holding) Stage() Stage { return h.stage }

// Released reports whether the holding has to give up its request.
func (h *Holding) Released() bool { return h.released }

// Account is the sum of all holdings. The limit must be set before use; 0 means no limit.
type Account struct {
	Limit    int64
	held     [kinds]int64
	total    int64
	holdings []*Holding
}

// Total returns the bytes that are held.
func (a *Account) Total() int64 { return a.total }

// Held returns the bytes of a kind that are held.
func (a *Account) Held(kind Kind) int64 { return a.held[kind] }

// Len returns the number of holdings.
func (a *Account) Len() int { return len(a.holdings) }

// Open adds a holding, whose zero value is passed.
func (a *Account) Open(h *Holding, now time.Time) {
	*h = Holding{progress: now, index: len(a.holdings)}
	a.holdings = append(a.holdings, h)
}

// Close gives back all that is held and removes the holding.
func (a *Account) Close(h *Holding) {
	for kind := range h.held {
		a.Give(h, Kind(kind), h.held[kind])
	}
	last := len(a.holdings) - 1
	a.holdings[h.index] = a.holdings[last]
	a.holdings[h.index].index = h.index
	a.holdings[last] = nil
	a.holdings = a.holdings[:last]
}

// Take adds bytes to a holding if the limit allows it, and reports whether it did.
func (a *Account) Take(h *Holding, kind Kind, bytes int64) bool {
	if h.released || bytes > a.room(h) || (kind == Answer && a.Limit > 0 && a.held[Answer]+bytes > a.Limit/answerShare) {
		return false
	}
	a.Force(h, kind, bytes)
	return true
}

// TakeReserved is Take from what is kept for requests that have been sent. It is for the connections of callers while others
// that hold memory are being released.
func (a *Account) TakeReserved(h *Holding, kind Kind, bytes int64) bool {
	if a.Limit > 0 && a.total+bytes > a.Limit {
		return false
	}
	a.Force(h, kind, bytes)
	return true
}

// room returns the bytes that a holding can take.
func (a *Account) room(h *Holding) int64 {
	if a.Limit == 0 {
		return 1<<63 - 1
	}
	limit := a.Limit
	if h.stage != Sent {
		limit -= limit / sentShare
	}
	return limit - a.total
}

// Force adds bytes to a holding that are held already, even above the limit.
func (a *Account) Force(h *Holding, kind Kind, bytes int64) {
	h.held[kind] += bytes
	h.total += bytes
	a.held[kind] += bytes
	a.total += bytes
}

// Give takes bytes off a holding.
func (a *Account) Give(h *Holding, kind Kind, bytes int64) {
	a.Force(h, kind, -min(bytes, h.held[kind]))
}

// Set replaces what a holding holds of a kind, even above the limit.
func (a *Account) Set(h *Holding, kind Kind, bytes int64) { a.Force(h, kind, bytes-h.held[kind]) }

// Advance changes the stage of a holding, which is progress. It reports false if the holding has been released.
func (a *Account) Advance(h *Holding, stage Stage, rank int, now time.Time) bool {
	if h.released {
		return false
	}
	h.stage, h.rank, h.progress, h.received = stage, rank, now, 0
	return true
}

// Receive counts bytes that have come for a holding.
func (a *Account) Receive(h *Holding, bytes int64, now time.Time) {
	if h.received += bytes; h.received >= progressBytes {
		h.progress, h.received = now, 0
	}
}

// EndRequest gives back all that is held for the request of a connection, which stays open.
func (a *Account) EndRequest(h *Holding, now time.Time) {
	for kind := Head; kind < kinds; kind++ {
		a.Give(h, kind, h.held[kind])
	}
	h.released = false
	a.Advance(h, Idle, 0, now)
}

// Release chooses holdings that give up their space so that another one, which has waited since a time, can take bytes.
// It chooses those that have made no progress since then and those of less urgent ranks, in the order of release, and none
// if they don't suffice.
func (a *Account) Release(asking *Holding, bytes int64, since time.Time) []*Holding {
	chosen, missing := a.choose(bytes-a.room(asking), since, func(h *Holding) bool { return h != asking && mayRelease(h, asking, since) })
	if missing > 0 {
		return nil
	}
	return release(chosen)
}

// Free chooses holdings that have made no progress since a time and give up their space, until bytes are free.
func (a *Account) Free(bytes int64, since time.Time) []*Holding {
	chosen, _ := a.choose(bytes, since, func(h *Holding) bool { return stalled(h, since) })
	return release(chosen)
}

func release(holdings []*Holding) []*Holding {
	for _, h := range holdings {
		h.released = true
	}
	return holdings
}

// choose returns the first holdings in the order of release which together hold the bytes, and how many bytes are missing.
func (a *Account) choose(bytes int64, since time.Time, eligible func(*Holding) bool) (chosen []*Holding, missing int64) {
	for _, h := range a.holdings {
		switch {
		case h.released:
			bytes -= h.total // on its way
		case eligible(h):
			chosen = append(chosen, h)
		}
	}
	slices.SortFunc(chosen, func(a, b *Holding) int { return compareRelease(a, b, since) })
	for i, h := range chosen {
		if bytes <= 0 {
			return chosen[:i], 0
		}
		bytes -= h.total
	}
	return chosen, bytes
}

// stalled reports whether more bytes were due and none have come since a time.
func stalled(h *Holding, since time.Time) bool { return h.stage < Waiting && h.progress.Before(since) }

// mayRelease reports whether a holding may be released for another one.
func mayRelease(h, asking *Holding, since time.Time) bool {
	return stalled(h, since) || (h.rank > asking.rank && (h.stage == Reading || h.stage == Waiting))
}

// compareRelease orders holdings by release: those without progress since a time first, the less urgent ranks first among
// the others, and then by stage and by progress.
func compareRelease(a, b *Holding, since time.Time) int {
	stalledA, stalledB := stalled(a, since), stalled(b, since)
	if stalledA != stalledB {
		if stalledA {
			return -1
		}
		return 1
	}
	if !stalledA {
		if order := cmp.Compare(b.rank, a.rank); order != 0 {
			return order
		}
	}
	return cmp.Or(cmp.Compare(releaseOrder[a.stage], releaseOrder[b.stage]), a.progress.Compare(b.progress))
}

// releaseOrder is the order of the stages among holdings without progress. Idle connections come last: a caller may be
// sending on one that is closed.
var releaseOrder = [...]int{Silent: 0, Heading: 1, Reading: 2, Idle: 3, Waiting: 4, Sent: 5}

// Unused returns the connection without a request that is closed to make place for a new one, or nil. Among those that
// are eligible, the ones that have sent nothing come first, then the ones in mid-head, then idle ones.
func (a *Account) Unused(eligible func(*Holding) bool) *Holding {
	var first *Holding
	for _, h := range a.holdings {
		if h.stage > Heading || h.released || !eligible(h) {
			continue
		}
		if first == nil || cmp.Or(cmp.Compare(releaseOrder[h.stage], releaseOrder[first.stage]), h.progress.Compare(first.progress)) < 0 {
			first = h
		}
	}
	return first
}
