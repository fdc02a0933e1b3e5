package placer

import (
	"apricotspool/namer"
)

// ledger records what all daemons have placed on one engine. Only the daemon that owns it grants
// reservations, so that daemons that decide concurrently don't claim the same capacity.
type ledger struct {
	reservations   map[reservationKey]*reservation
	queuedTokens   [buckets]float64 // prompt tokens not yet processed
	running        int
	lateRunning    int // of the running ones, those with lateClass
	streams        int
	minGap         namer.Seconds // smallest Work.Gap of the streams; 0 without any
	topStreamClass int           // most urgent class of the streams; noStreamClass without any

	// The prompt queue has not been empty since busySince; the last prompt was processed at lastPrefillAt.
	busySince, lastPrefillAt namer.Seconds
	measuredTokens           float64 // tokens processed since busySince
	rate                     float64 // tokens per second; 0 before the first measurement

	prefillQuota   leakyBucket
	lateness       latenessEstimate
	recentPrefixes map[uint64]namer.Seconds // when a prefix was last placed here
	idleReported   bool                     // the last summary reported an empty ledger
}

type reservationKey struct {
	host namer.Host
	id   ReservationID
}

type reservation struct {
	work         Work
	tokens       float64 // prompt tokens that the engine has to process
	prefilled    bool
	prefillDueAt namer.Seconds
	expiresAt    namer.Seconds
}

const (
	// rateSample is the minimum busy time for a measurement of the rate.
	rateSample namer.Seconds = 0.03
	// Late work is declined while an engine runs lateOvercommit times as many requests as it has slots, so
	// that the engine's own queue keeps room for work that can meet its target.
	lateOvercommit = 2
	// rateWeight is the weight of one measurement in the moving average.
	rateWeight = 0.25
)

func (l *ledger) totalQueuedTokens() float64 {
	sum := 0.0
	for _, tokens := range l.queuedTokens {
		sum += tokens
	}
	return sum
}

// queueDelay returns the time until the prompts of a bucket and of all more urgent buckets have been
// processed.
func (l *ledger) queueDelay(now namer.Seconds, upTo int, defaultRate float64) namer.Seconds {
	rate := l.rateOrDefault(defaultRate)
	sum := 0.0
	for b := 0; b <= upTo; b++ {
		sum += l.queuedTokens[b]
	}
	if sum <= 0 {
		return 0
	}
	// Estimate of the tokens processed since the last prompt was completed.
	done := min(float64(now-l.lastPrefillAt)*rate, sum)
	return namer.Seconds((sum - max(0, done)) / rate)
}

func (l *ledger) rateOrDefault(defaultRate float64) float64 {
	if l.rate > 0 {
		return l.rate
	}
	return defaultRate
}

// reserve grants a reservation if the prompt can be processed within its budget and without exceeding the
// pause target of the engine's streams.
func (l *ledger) reserve(now namer.Seconds, key reservationKey, r *ReserveRequest, slots int, defaultRate float64) bool {
	l.expire(now)
	if r.Work.Class >= lateClass {
		if l.running >= lateOvercommit*slots {
			return false
		}
		l.add(now, key, r.Work)
		return true
	}
	if l.running-l.lateRunning >= slots {
		return false
	}
	prefillTime := namer.Seconds(l.uncachedTokens(now, r.Work) / l.rateOrDefault(defaultRate))
	if l.queueDelay(now, bucket(r.Work.Class), defaultRate)+prefillTime+l.lateness.value > r.Budget {
		return false
	}
	if l.minGap > 0 && !r.Work.Stream && l.topStreamClass <= r.Work.Class && !l.prefillQuota.allows(now, prefillTime, l.minGap) {
		return false
	}
	l.add(now, key, r.Work)
	return true
}

// add adds a reservation.
func (l *ledger) add(now namer.Seconds, key reservationKey, w Work) {
	if l.reservations == nil {
		l.reservations = map[reservationKey]*reservation{}
	}
	if l.reservations[key] != nil {
		return // duplicate message
	}
	if l.totalQueuedTokens() <= 0 {
		l.busySince, l.lastPrefillAt, l.measuredTokens = now, now, 0
	}
	tokens := l.uncachedTokens(now, w)
	r := &reservation{work: w, tokens: tokens, expiresAt: now + w.Until}
	r.prefillDueAt = now + l.queueDelay(now, bucket(w.Class), defaultPrefillRate) + namer.Seconds(tokens/l.rateOrDefault(defaultPrefillRate))
	l.reservations[key] = r
	l.queuedTokens[bucket(w.Class)] += tokens
	l.recordPrefix(now, w.Prefix)
	l.running++
	if w.Class >= lateClass {
		l.lateRunning++
	}
	if w.Stream {
		l.streams++
		l.updateStreamLimits()
	}
	if tokens > 0 {
		l.prefillQuota.add(now, namer.Seconds(tokens/l.rateOrDefault(defaultPrefillRate)))
	}
}

// Limits of the record of prefixes that an engine has probably cached. Engines evict the least recently used
// prefixes; prefixTTL is about the time in which a busy engine replaces its whole cache.
const (
	maxRecentPrefixes               = 4096
	prefixTTL         namer.Seconds = 15
)

func (l *ledger) recordPrefix(now namer.Seconds, prefix uint64) {
	if prefix == 0 {
		return
	}
	if l.recentPrefixes == nil || len(l.recentPrefixes) >= maxRecentPrefixes {
		l.recentPrefixes = map[uint64]namer.Seconds{}
	}
	l.recentPrefixes[prefix] = now
}

// uncachedTokens estimates the prompt tokens that the engine has to process for a request.
func (l *ledger) uncachedTokens(now namer.Seconds, w Work) float64 {
	if w.PrefixTokens == 0 || w.Fetched {
		return w.Tokens
	}
	if seen, known := l.recentPrefixes[w.Prefix]; known && now-seen < prefixTTL {
		return w.Tokens
	}
	return w.Tokens + w.PrefixTokens
}

// update applies the progress of a request.
func (l *ledger) update(now namer.Seconds, key reservationKey, u *ProgressUpdate) {
	l.expire(now)
	r := l.reservations[key]
	if r == nil {
		if u.Progress == Placed {
			l.add(now, key, u.Work)
		}
		return
	}
	switch u.Progress {
	case Prefilled:
		l.finishPrefill(now, r, true)
	case Ended:
		l.finishPrefill(now, r, false)
		l.remove(key, r)
	}
}

// finishPrefill removes a prompt from the queue. With measure, it updates the rate and the lateness.
func (l *ledger) finishPrefill(now namer.Seconds, r *reservation, measure bool) {
	if r.prefilled {
		return
	}
	r.prefilled = true
	b := bucket(r.work.Class)
	l.queuedTokens[b] = max(0, l.queuedTokens[b]-r.tokens)
	l.lastPrefillAt = now
	if measure && r.work.Class < lateClass && r.tokens > 1 {
		l.lateness.observe(now - r.prefillDueAt)
	}
	l.measuredTokens += r.tokens
	busy := now - l.busySince
	if measure && busy >= rateSample {
		sample := l.measuredTokens / float64(busy)
		if l.rate == 0 {
			l.rate = sample
		}
		l.rate += rateWeight * (sample - l.rate)
		l.busySince, l.measuredTokens = now, 0
	}
}

func (l *ledger) remove(key reservationKey, r *reservation) {
	delete(l.reservations, key)
	l.running--
	if r.work.Class >= lateClass {
		l.lateRunning--
	}
	if r.work.Stream {
		l.streams--
		l.updateStreamLimits()
	}
	if len(l.reservations) == 0 {
		l.queuedTokens = [buckets]float64{}
	}
}

// noStreamClass is less urgent than any class.
const noStreamClass = lateClass + 1

// updateStreamLimits recomputes the smallest pause target and the most urgent class of the streams.
func (l *ledger) updateStreamLimits() {
	l.minGap, l.topStreamClass = 0, noStreamClass
	for _, r := range l.reservations {
		if !r.work.Stream {
			continue
		}
		l.topStreamClass = min(l.topStreamClass, r.work.Class)
		if r.work.Gap > 0 && (l.minGap == 0 || r.work.Gap < l.minGap) {
			l.minGap = r.work.Gap
		}
	}
}

// expire removes reservations whose end was not reported in time.
func (l *ledger) expire(now namer.Seconds) {
	for key, r := range l.reservations {
		if now >= r.expiresAt {
			l.finishPrefill(now, r, false)
			l.remove(key, r)
		}
	}
}

// summary returns the load summary of the ledger.
func (l *ledger) summary(now namer.Seconds, name namer.Endpoint, defaultRate float64) Load {
	load := Load{Endpoint: name, Rate: l.rateOrDefault(defaultRate), Running: l.running, Streams: l.streams, Urgent: noStreamClass}
	if l.streams > 0 {
		load.Urgent = l.topStreamClass
	}
	for b := range load.QueueDelay {
		load.QueueDelay[b] = l.queueDelay(now, b, defaultRate) + l.lateness.value
	}
	return load
}

// latenessEstimate tracks a high quantile of the time by which prompts are processed later than estimated.
// Reservations include it because the rate and the number of cached tokens are estimates.
type latenessEstimate struct{ value namer.Seconds }

const (
	latenessQuantile = 0.8
	// latenessStep lets the estimate follow a typical overload within a third of a second.
	latenessStep namer.Seconds = 0.004
	maxLateness  namer.Seconds = 0.2
)

func (s *latenessEstimate) observe(late namer.Seconds) {
	if late > s.value {
		s.value += latenessQuantile * latenessStep
	} else {
		s.value -= (1 - latenessQuantile) * latenessStep
	}
	s.value = min(max(s.value, 0), maxLateness)
}

// leakyBucket accumulates the time that prompts take on an engine. It drains at maxPrefillShare.
type leakyBucket struct {
	level     namer.Seconds
	updatedAt namer.Seconds
}

// maxPrefillShare is the fraction of the time that prompts may take while streams run. The engine generates
// few tokens while it processes a prompt; with a larger share the pauses of streams exceed their target.
const maxPrefillShare = 0.25

func (b *leakyBucket) add(now, work namer.Seconds) {
	b.level = max(0, b.level-maxPrefillShare*(now-b.updatedAt)) + work
	b.updatedAt = now
}

// allows reports whether the pauses of streams stay within their target if another prompt is added.
func (b *leakyBucket) allows(now, work, gap namer.Seconds) bool {
	return max(0, b.level-maxPrefillShare*(now-b.updatedAt))+work <= maxPrefillShare*gap
}
