// Package throttler keeps the requests of all daemons to an endpoint within the rate limit that the endpoint
// states in its responses. It does no I/O and reads no clock: times are passed in. Values are owned by one
// goroutine.
//
// One daemon, the owner, grants the requests of all from a Bucket. A daemon that the owner doesn't respond to uses
// its Share.
package throttler

import (
	"math"

	"apricotspool/namer"
)

// Statement is what one response of an endpoint says about its rate limit.
type Statement struct {
	Limited bool       // Rate is valid; otherwise the endpoint has no limit
	Rate    namer.Rate // over all daemons
	// The endpoint made the statement between these times.
	RequestedAt, ReceivedAt namer.Seconds
}

// stricter reports whether a statement allows fewer requests than another one.
func (s Statement) stricter(than Statement) bool {
	return s.Limited && (!than.Limited || s.Rate < than.Rate)
}

// Limit is the last statement of an endpoint. The zero value is an endpoint that has stated no limit.
type Limit struct {
	last  Statement
	known bool
}

// Limited reports whether the endpoint has a limit.
func (l *Limit) Limited() bool { return l.last.Limited }

// Known reports whether the endpoint has, or had, a limit.
func (l *Limit) Known() bool { return l.known }

// Statement returns the statement in force.
func (l *Limit) Statement() Statement { return l.last }

// Update applies a statement and reports whether the limit has changed. Responses overtake each other, so of two
// statements whose order is not certain the stricter one holds.
func (l *Limit) Update(s Statement) bool {
	newer := s.RequestedAt >= l.last.ReceivedAt
	older := s.ReceivedAt <= l.last.RequestedAt
	if l.known && !newer && (older || l.last.stricter(s)) {
		return false
	}
	if !l.known && !s.Limited {
		return false
	}
	changed := s.Limited != l.last.Limited || s.Rate != l.last.Rate
	l.last, l.known = s, true
	return changed
}

// minRate is the rate at which requests are sent to an endpoint whose limit is zero or close to it, since only a
// response shows that the limit has been lifted.
const minRate namer.Rate = 0.1

func (s Statement) rate() float64 { return float64(max(s.Rate, minRate)) }

// ValidRate reports whether an endpoint can state a rate.
func ValidRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 0) }
