// Package admitter implements admission control and queueing. More urgent ranks are served first, each
// rank gets at least its configured share while it has demand, and the callers of a rank share it by
// weighted fair queueing. Requests that can't meet their target behind the work already accepted are
// refused on arrival. A Queue serves one pool of endpoints and is owned by one goroutine.
package admitter

import (
	"math/rand/v2"
	"time"

	"apricotspool/asserter"
	"apricotspool/classifier"
	"apricotspool/namer"
)

// Rules are the settings of one rank. Ranks are ordered with the most urgent first.
type Rules struct {
	Name   namer.Rank
	Target namer.Seconds // first-token target
	Share  float64
	Limit  int // maximum number of waiting requests; 0 means DefaultLimit
}

// DefaultLimit is the queue limit of ranks without a configured one.
const DefaultLimit = 256

// Entry is a waiting request.
type Entry struct {
	ID      namer.StreamID
	Caller  namer.Caller
	Weight  float64       // weight of the caller; positive
	Cost    namer.Seconds // predicted engine time
	StartBy namer.Seconds // latest dispatch that still meets the target and the deadline
	// Forced entries have been accepted before and bypass all limits: they are requeued after a failed
	// attempt or because their rank was removed.
	Forced bool

	tag float64
	seq uint64
}

// Queue orders the waiting requests of one pool.
type Queue struct {
	Random *rand.Rand

	ranks    []rankQueue
	seq      uint64
	capacity capacityMeter
}

// NewQueue returns a queue for the ranks. Capacity is the initial estimate of this host's capacity, in
// engine seconds per second.
func NewQueue(random *rand.Rand, rules []Rules, capacity float64) *Queue {
	q := &Queue{Random: random}
	q.Configure(rules, capacity)
	return q
}

// Configure replaces the rules and keeps the queues of ranks that still exist. It returns the entries
// of removed ranks.
func (q *Queue) Configure(rules []Rules, capacity float64) []Entry {
	old := q.ranks
	q.ranks = make([]rankQueue, len(rules))
	for i, r := range rules {
		for j := range old {
			if old[j].rules.Name == r.Name {
				q.ranks[i] = old[j]
				old[j] = rankQueue{}
			}
		}
		if r.Limit == 0 {
			r.Limit = DefaultLimit
		}
		q.ranks[i].rules = r
	}
	q.capacity.prior = capacity
	var orphans []Entry
	for _, rq := range old {
		orphans = append(orphans, rq.entries...)
	}
	return orphans
}

// Waiting returns the number of waiting requests of all ranks.
func (q *Queue) Waiting() int {
	total := 0
	for i := range q.ranks {
		total += len(q.ranks[i].entries)
	}
	return total
}

// WaitingInRank returns the number of waiting requests of one rank.
func (q *Queue) WaitingInRank(rank int) int { return len(q.ranks[rank].entries) }

// CanBypass reports whether a request of the rank can be dispatched without queueing: no request of
// its own or a more urgent rank waits, and no waiting rank has credit.
func (q *Queue) CanBypass(rank int) bool {
	for i := range q.ranks {
		if len(q.ranks[i].entries) > 0 && (i <= rank || q.ranks[i].credit > 0) {
			return false
		}
	}
	return true
}

// Verdict is the result of Offer.
type Verdict struct {
	Accepted bool
	Outcome  classifier.Outcome // of the refused request
	// Evicted is the waiting request that was evicted to make room; its ID is empty if there is none.
	Evicted Entry
}

// Offer queues or refuses a request, depending on the work already accepted.
func (q *Queue) Offer(now namer.Seconds, rank int, e Entry) Verdict {
	q.advanceMeter(now)
	rq := &q.ranks[rank]
	q.seq++
	e.seq = q.seq
	e.tag = rq.startTag(e.Caller)
	if !e.Forced {
		// An empty rank queue always accepts a request: its wait depends on when the rank is next
		// served on its share, which the estimate can't resolve.
		if wait := q.estimateWait(now, rank, e.tag); len(rq.entries) > 0 && now+wait > e.StartBy {
			rq.refused.add(now, float64(e.Cost))
			return Verdict{Outcome: classifier.TargetUnreachable}
		}
		if len(rq.entries) >= rq.rules.Limit {
			last, ok := rq.lastEvictable()
			if !ok || !e.before(last) || last.Caller == e.Caller {
				rq.refused.add(now, float64(e.Cost))
				return Verdict{Outcome: q.fullOutcome(rq, e.Caller)}
			}
			rq.remove(last.ID)
			rq.refund(last)
			rq.refused.add(now, float64(last.Cost))
			rq.push(e)
			rq.charge(e)
			return Verdict{Accepted: true, Evicted: last}
		}
	}
	rq.push(e)
	rq.charge(e)
	asserter.Check(e.Forced || len(rq.entries) <= rq.rules.Limit, "a rank queue stays within its limit", "rank %d has %d entries, limit %d", rank, len(rq.entries), rq.rules.Limit)
	return Verdict{Accepted: true}
}

// fullOutcome distinguishes a caller with requests of its own in the full queue from one that meets a
// queue filled by others.
func (q *Queue) fullOutcome(rq *rankQueue, caller namer.Caller) classifier.Outcome {
	for i := range rq.entries {
		if rq.entries[i].Caller == caller {
			return classifier.RateLimited
		}
	}
	return classifier.QueueFull
}

// RecordBypass accounts for a request that is dispatched without queueing.
func (q *Queue) RecordBypass(now namer.Seconds, rank int, e Entry) {
	q.advanceMeter(now)
	rq := &q.ranks[rank]
	e.tag = rq.startTag(e.Caller)
	rq.charge(e)
	rq.virtualTime = max(rq.virtualTime, e.tag)
	q.chargeRank(now, rank, e.Cost)
}

// Next returns the rank to serve next: the waiting rank with the most credit, or the most urgent
// waiting rank if none has credit. ByShare reports the first case. Ranks whose bit in blocked is set
// are excluded.
func (q *Queue) Next(blocked uint32) (rank int, byShare, ok bool) {
	first, mostCredit := -1, -1
	for i := range q.ranks {
		rq := &q.ranks[i]
		if len(rq.entries) == 0 || blocked&(1<<i) != 0 {
			continue
		}
		if first < 0 {
			first = i
		}
		if rq.credit > 0 && (mostCredit < 0 || rq.credit > q.ranks[mostCredit].credit) {
			mostCredit = i
		}
	}
	if mostCredit >= 0 {
		return mostCredit, true, true
	}
	return first, false, first >= 0
}

// Head returns the next request of a rank, which must have one.
func (q *Queue) Head(rank int) Entry { return q.ranks[rank].entries[0] }

// Pop removes the head of a rank and accounts for its dispatch.
func (q *Queue) Pop(now namer.Seconds, rank int) Entry {
	q.advanceMeter(now)
	rq := &q.ranks[rank]
	e := rq.entries[0]
	asserter.Check(e.tag >= rq.virtualTime || e.Forced, "virtual time never runs backwards", "start tag %v, virtual time %v", e.tag, rq.virtualTime)
	rq.remove(e.ID)
	if !e.Forced { // forced entries are served out of order
		rq.virtualTime = max(rq.virtualTime, e.tag)
	}
	q.chargeRank(now, rank, e.Cost)
	return e
}

// Remove removes a waiting request.
func (q *Queue) Remove(rank int, id namer.StreamID) bool {
	rq := &q.ranks[rank]
	e, ok := rq.remove(id)
	if ok {
		rq.refund(e)
	}
	return ok
}

// Expire removes and returns a request of a rank that can no longer be dispatched in time.
func (q *Queue) Expire(now namer.Seconds, rank int) (Entry, bool) {
	q.advanceMeter(now)
	rq := &q.ranks[rank]
	for i := range rq.entries {
		if rq.entries[i].StartBy < now {
			e, _ := rq.remove(rq.entries[i].ID)
			rq.refund(e)
			rq.refused.add(now, float64(e.Cost))
			return e, true
		}
	}
	return Entry{}, false
}

const (
	// maxCredit bounds the credit of a rank, in engine seconds, so that a rank whose demand returns
	// gets its share evenly and does not delay urgent work for long.
	maxCredit = 1.0
	// maxDebt bounds the negative credit of a rank that has used idle capacity. The rank works it off
	// before it earns credit again.
	maxDebt = 1.0
)

// chargeRank distributes the cost of a dispatch: every rank earns credit for its share of the cost,
// and the dispatched rank is charged the cost. A rank with positive credit is charged in full, even
// beyond maxDebt, so that large requests don't exceed its share.
func (q *Queue) chargeRank(now namer.Seconds, rank int, cost namer.Seconds) {
	q.ranks[rank].dispatched.add(now, float64(cost))
	for i := range q.ranks {
		rq := &q.ranks[i]
		earned := rq.rules.Share * float64(cost)
		switch {
		case i == rank && rq.credit > 0:
			rq.credit += earned - float64(cost)
		case i == rank:
			rq.credit = max(min(rq.credit, -maxDebt), rq.credit+earned-float64(cost))
		case len(rq.entries) == 0:
			rq.credit = min(rq.credit+earned, 0)
		default:
			rq.credit = min(rq.credit+earned, maxCredit)
		}
	}
	q.capacity.addCost(float64(cost), q.Waiting() > 0)
}

func (q *Queue) advanceMeter(now namer.Seconds) { q.capacity.advance(now, q.Waiting() > 0) }

// estimateWait estimates the time until the dispatch of a new request of the rank.
func (q *Queue) estimateWait(now namer.Seconds, rank int, tag float64) namer.Seconds {
	rate := q.capacity.rate()
	rq := &q.ranks[rank]
	ahead := rq.costBefore(tag)
	urgent, others, arriving := 0.0, 0.0, 0.0
	for i := range q.ranks {
		switch {
		case i < rank:
			urgent += q.ranks[i].totalCost
			arriving += q.ranks[i].dispatched.rate(now)
		case i > rank && len(q.ranks[i].entries) > 0:
			others += q.ranks[i].rules.Share * rate
		}
	}
	byRank := (urgent + ahead) / max(rate-others-arriving, 1e-3*rate, 1e-9)
	byShare := ahead / max(rq.rules.Share*rate, 1e-9)
	return namer.Seconds(min(byRank, byShare))
}

const (
	minRetryAfter = 1.0
	maxRetryAfter = 60.0
)

// RetryAfter returns the delay after which a refused caller should retry: the time that the rank needs
// for the waiting and recently refused work, with jitter so that callers don't retry at the same time.
func (q *Queue) RetryAfter(now namer.Seconds, rank int) time.Duration {
	rq := &q.ranks[rank]
	rq.refused.decay(now)
	share := max(rq.rules.Share, 0.1)
	seconds := (rq.totalCost + rq.refused.sum) / max(share*q.capacity.rate(), 1e-9)
	seconds = min(max(seconds, minRetryAfter), maxRetryAfter)
	return namer.Seconds(seconds * (0.5 + q.Random.Float64())).Duration()
}
