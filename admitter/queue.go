// Package admitter decides which requests wait and in which order: urgent ranks first, each rank at
// least at its configured share while it has demand, and fairly by weight between the callers of a
// rank. Requests that can't meet their target behind what is already accepted are refused at once.
// A Queue serves one pool of endpoints and belongs to one goroutine.
package admitter

import (
	"math/rand/v2"
	"time"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/namer"
)

// Rules are the settings of one rank; ranks are given with the most urgent first.
type Rules struct {
	Name   namer.Rank
	Target namer.Seconds // to the first token
	Share  float64
	Limit  int // most waiting requests; 0 means DefaultLimit
}

// DefaultLimit bounds a lane whose rank has no limit.
const DefaultLimit = 256

// Entry is a request that waits.
type Entry struct {
	ID      namer.StreamID
	Caller  namer.Caller
	Weight  float64       // of the caller, above 0
	Cost    namer.Seconds // predicted engine time
	StartBy namer.Seconds // latest dispatch that still meets the target and the deadline
	// Forced entries were accepted before; they return after a failed attempt and skip all limits.
	Forced bool

	tag float64
	seq uint64
}

// Queue orders the waiting requests of one pool.
type Queue struct {
	Random *rand.Rand

	lanes []lane
	seq   uint64
	drain meter
}

// NewQueue returns a queue for the ranks. Capacity is the engine time a second that this host can
// count on before anything has been measured.
func NewQueue(random *rand.Rand, rules []Rules, capacity float64) *Queue {
	q := &Queue{Random: random}
	q.Configure(rules, capacity)
	return q
}

// Configure changes the rules and keeps the lanes of ranks that still exist. Entries of removed
// ranks are returned.
func (q *Queue) Configure(rules []Rules, capacity float64) []Entry {
	old := q.lanes
	q.lanes = make([]lane, len(rules))
	for i, r := range rules {
		for j := range old {
			if old[j].rules.Name == r.Name {
				q.lanes[i] = old[j]
				old[j] = lane{}
			}
		}
		if r.Limit == 0 {
			r.Limit = DefaultLimit
		}
		q.lanes[i].rules = r
	}
	q.drain.prior = capacity
	var orphans []Entry
	for _, l := range old {
		orphans = append(orphans, l.entries...)
	}
	return orphans
}

// Waiting returns the number of waiting requests of all ranks.
func (q *Queue) Waiting() int {
	total := 0
	for i := range q.lanes {
		total += len(q.lanes[i].entries)
	}
	return total
}

// WaitingOf returns the number of waiting requests of one rank.
func (q *Queue) WaitingOf(rank int) int { return len(q.lanes[rank].entries) }

// MayPass reports whether a request of the rank can be dispatched without waiting: nothing of its
// own or a more urgent rank waits, and no other rank is owed its share.
func (q *Queue) MayPass(rank int) bool {
	for i := range q.lanes {
		if len(q.lanes[i].entries) > 0 && (i <= rank || q.lanes[i].credit > 0) {
			return false
		}
	}
	return true
}

// Verdict is the result of Offer.
type Verdict struct {
	Accepted bool
	Outcome  classifier.Outcome // of the refused request
	// Evicted is a waiting request that gave way; its ID is empty when there is none.
	Evicted Entry
}

// Offer queues a request or refuses it. The work already accepted decides.
func (q *Queue) Offer(now namer.Seconds, rank int, e Entry) Verdict {
	q.observe(now)
	l := &q.lanes[rank]
	q.seq++
	e.seq = q.seq
	e.tag = l.start(e.Caller)
	if !e.Forced {
		// An empty lane always takes one request: the wait of the first one depends on when the
		// rank's share comes round, which the estimate can't resolve.
		if wait := q.wait(now, rank, e.tag); len(l.entries) > 0 && now+wait > e.StartBy {
			l.refused.add(now, float64(e.Cost))
			return Verdict{Outcome: classifier.TargetUnreachable}
		}
		if len(l.entries) >= l.rules.Limit {
			last, ok := l.last()
			if !ok || !e.before(last) || last.Caller == e.Caller {
				l.refused.add(now, float64(e.Cost))
				return Verdict{Outcome: q.fullOutcome(l, e.Caller)}
			}
			l.remove(last.ID)
			l.refund(last)
			l.refused.add(now, float64(last.Cost))
			l.push(e)
			l.charge(e)
			return Verdict{Accepted: true, Evicted: last}
		}
	}
	l.push(e)
	l.charge(e)
	asserter.Check(e.Forced || len(l.entries) <= l.rules.Limit, "a lane stays within its limit", "rank %d has %d entries, limit %d", rank, len(l.entries), l.rules.Limit)
	return Verdict{Accepted: true}
}

// fullOutcome tells a caller that fills the lane itself apart from one that meets a lane full of others.
func (q *Queue) fullOutcome(l *lane, caller namer.Caller) classifier.Outcome {
	for i := range l.entries {
		if l.entries[i].Caller == caller {
			return classifier.RateLimited
		}
	}
	return classifier.QueueFull
}

// Pass accounts for a request that is dispatched without waiting.
func (q *Queue) Pass(now namer.Seconds, rank int, e Entry) {
	q.observe(now)
	l := &q.lanes[rank]
	e.tag = l.start(e.Caller)
	l.charge(e)
	l.virtual = max(l.virtual, e.tag)
	q.spend(now, rank, e.Cost)
}

// Next returns the rank to serve now: the one that is owed most, else the most urgent one that
// waits. Owed reports the former. Bits of blocked exclude ranks.
func (q *Queue) Next(blocked uint32) (rank int, owed, ok bool) {
	first, most := -1, -1
	for i := range q.lanes {
		l := &q.lanes[i]
		if len(l.entries) == 0 || blocked&(1<<i) != 0 {
			continue
		}
		if first < 0 {
			first = i
		}
		if l.credit > 0 && (most < 0 || l.credit > q.lanes[most].credit) {
			most = i
		}
	}
	if most >= 0 {
		return most, true, true
	}
	return first, false, first >= 0
}

// Head returns the next request of a rank that waits.
func (q *Queue) Head(rank int) Entry { return q.lanes[rank].entries[0] }

// Pop removes the head of a rank, which is dispatched.
func (q *Queue) Pop(now namer.Seconds, rank int) Entry {
	q.observe(now)
	l := &q.lanes[rank]
	e := l.entries[0]
	asserter.Check(e.tag >= l.virtual || e.Forced, "virtual time never runs backwards", "tag %v virtual %v", e.tag, l.virtual)
	l.remove(e.ID)
	if !e.Forced { // a returning request is served out of turn
		l.virtual = max(l.virtual, e.tag)
	}
	q.spend(now, rank, e.Cost)
	return e
}

// Remove takes out a waiting request whose caller is gone.
func (q *Queue) Remove(rank int, id namer.StreamID) bool {
	l := &q.lanes[rank]
	e, ok := l.remove(id)
	if ok {
		l.refund(e)
	}
	return ok
}

// Expire removes and returns the first request of a rank that can no longer be dispatched in time.
func (q *Queue) Expire(now namer.Seconds, rank int) (Entry, bool) {
	q.observe(now)
	l := &q.lanes[rank]
	for i := range l.entries {
		if l.entries[i].StartBy < now {
			e, _ := l.remove(l.entries[i].ID)
			l.refund(e)
			l.refused.add(now, float64(e.Cost))
			return e, true
		}
	}
	return Entry{}, false
}

const (
	// creditCap bounds what a rank can be owed, so that returning demand takes its share evenly and
	// does not hold up urgent work for long.
	creditCap = 1.0
	// debtCap bounds what a rank owes after it has used idle capacity; it pays that off before it is
	// owed its share.
	debtCap = 1.0
)

// spend distributes the cost of a dispatch: every rank earns its share of it and the rank itself
// pays for it. A rank that is owed something pays in full, so that large requests don't add up to
// more than the share.
func (q *Queue) spend(now namer.Seconds, rank int, cost namer.Seconds) {
	q.lanes[rank].inflow.add(now, float64(cost))
	for i := range q.lanes {
		l := &q.lanes[i]
		earned := l.rules.Share * float64(cost)
		switch {
		case i == rank && l.credit > 0:
			l.credit += earned - float64(cost)
		case i == rank:
			l.credit = max(min(l.credit, -debtCap), l.credit+earned-float64(cost))
		case len(l.entries) == 0:
			l.credit = min(l.credit+earned, 0)
		default:
			l.credit = min(l.credit+earned, creditCap)
		}
	}
	q.drain.work(float64(cost), q.Waiting() > 0)
}

func (q *Queue) observe(now namer.Seconds) { q.drain.pass(now, q.Waiting() > 0) }

// wait estimates how long a new request of the rank waits for its dispatch.
func (q *Queue) wait(now namer.Seconds, rank int, tag float64) namer.Seconds {
	rate := q.drain.rate()
	l := &q.lanes[rank]
	ahead := l.costBefore(tag)
	urgent, others, arriving := 0.0, 0.0, 0.0
	for i := range q.lanes {
		switch {
		case i < rank:
			urgent += q.lanes[i].total
			arriving += q.lanes[i].inflow.rate(now)
		case i > rank && len(q.lanes[i].entries) > 0:
			others += q.lanes[i].rules.Share * rate
		}
	}
	byRank := (urgent + ahead) / max(rate-others-arriving, 1e-3*rate, 1e-9)
	byShare := ahead / max(l.rules.Share*rate, 1e-9)
	return namer.Seconds(min(byRank, byShare))
}

const (
	minRetryAfter = 1.0
	maxRetryAfter = 60.0
)

// RetryAfter returns when a refused caller should ask again: after the time that the rank needs for
// what waits and for what was refused lately, with jitter so that callers don't return together.
func (q *Queue) RetryAfter(now namer.Seconds, rank int) time.Duration {
	l := &q.lanes[rank]
	l.refused.decay(now)
	share := max(l.rules.Share, 0.1)
	seconds := (l.total + l.refused.sum) / max(share*q.drain.rate(), 1e-9)
	seconds = min(max(seconds, minRetryAfter), maxRetryAfter)
	return namer.Seconds(seconds * (0.5 + q.Random.Float64())).Duration()
}
