package throttler

import (
	"math"

	"apricotspool/namer"
)

// Urgency orders requests at a bucket.
type Urgency int

// The urgencies.
const (
	Urgent   Urgency = iota // of the highest rank, and can be on time
	Ordinary                // uses what the urgent requests leave
	Urgencies
)

const (
	// burstTime is the time for which an endpoint's unused rate is kept for later requests.
	burstTime namer.Seconds = 0.25
	// urgentShare is the part of the burst that only urgent requests use.
	urgentShare = 0.5
	// maxWait bounds the time that a bucket tells to wait, after which the limit may have changed.
	maxWait namer.Seconds = 2
	// minWait keeps a wait from being lost in rounding.
	minWait namer.Seconds = 0.001
	// maxDebt is the time for which a bucket can be overdrawn by requests that can't wait.
	maxDebt namer.Seconds = 2
)

// Bucket holds the requests that an endpoint still takes. It is empty when the limit is first stated.
type Bucket struct {
	level     float64
	updatedAt namer.Seconds
	started   bool
	// free is when those who have been told to wait will have had their turn.
	free [Urgencies]namer.Seconds
}

func (b *Bucket) advance(now namer.Seconds, s Statement) {
	if !b.started {
		b.updatedAt, b.started = min(now, s.ReceivedAt), true
	}
	b.level = min(b.level+float64(now-b.updatedAt)*s.rate(), 1+float64(burstTime)*s.rate())
	b.updatedAt = now
}

// need returns the level that a request requires.
func need(s Statement, u Urgency) float64 {
	if u == Urgent {
		return 1
	}
	return 1 + urgentShare*float64(burstTime)*s.rate()
}

// Wait returns the time until the endpoint takes a request; 0 if it does now. Each caller that has to wait is told a
// time of its own, so that they don't return together.
func (b *Bucket) Wait(now namer.Seconds, s Statement, u Urgency) namer.Seconds {
	b.advance(now, s)
	missing := need(s, u) - b.level
	if missing <= 0 {
		return 0
	}
	b.free[u] = min(max(b.free[u], now+namer.Seconds(missing/s.rate())), now+maxWait)
	wait := max(minWait, b.free[u]-now)
	b.free[u] += namer.Seconds(1 / s.rate())
	return wait
}

// Take grants a request, or returns the time to wait for one.
func (b *Bucket) Take(now namer.Seconds, s Statement, u Urgency) (wait namer.Seconds) {
	if wait = b.Wait(now, s, u); wait > 0 {
		return wait
	}
	b.level--
	return 0
}

// Charge counts a request that has been sent without a grant.
func (b *Bucket) Charge(now namer.Seconds, s Statement) {
	b.advance(now, s)
	b.level = max(b.level-1, -1-float64(maxDebt)*s.rate())
}

const (
	// shareRatio is the part of the limit that all shares together use. A part of the daemons may use the bucket at
	// the same time.
	shareRatio = 0.5
	// shareValidity bounds the time for which an unused share is kept, so that the daemons don't use those of a long
	// time together.
	shareValidity namer.Seconds = 1
)

// Share is one daemon's part of a limit. It permits one request in each of its periods. Set Phase before the first
// use.
type Share struct {
	Phase  float64 // from 0 to 1, spreads the periods of the daemons
	used   bool
	usedAt namer.Seconds
}

// Take permits a request, or returns the time to wait for one.
func (h *Share) Take(now namer.Seconds, s Statement, daemons int) (wait namer.Seconds) {
	period := namer.Seconds(float64(max(1, daemons)) / (shareRatio * s.rate()))
	start := namer.Seconds(math.Floor(float64(now/period)+h.Phase)-h.Phase) * period
	if (h.used && (h.usedAt >= start || now-h.usedAt < period/2)) || now-start > min(period, shareValidity) {
		return min(max(minWait, start+period-now), maxWait)
	}
	h.used, h.usedAt = true, now
	return 0
}
