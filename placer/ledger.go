package placer

import (
	"apricotspool/namer"
)

// ledger records what all daemons have placed on one engine. Only the daemon that owns it grants
// reservations, so that daemons that decide concurrently don't claim the same capacity.
type ledger struct {
	reservations   map[reservationKey]*reservation
	sequence       uint64
	queuedTokens   [classes]float64 // prompt tokens not yet processed
	running        int
	lateRunning    int // of the running ones, those with lateClass
	streams        int
	minGap         namer.Seconds // smallest Work.Gap of the streams; 0 without any
	topStreamClass int           // most urgent class of the streams; noStreamClass without any

	// current is the prompt that the engine is assumed to process since currentSince. Engines finish a prompt
	// that they have begun, whatever comes after it.
	current      *reservation
	currentSince namer.Seconds
	rate         rateEstimate
	defaultRate  float64 // until rate has been measured
	presumed     bool    // the engine is presumed to be as fast as its kind
	cacheTokens  float64 // capacity of the engine's memory; 0 when unknown
	newTokens    inflow  // tokens that enter the cache
	placedTokens inflow  // prompt tokens to process

	prefillQuota   leakyBucket
	lateness       latenessEstimate
	recentPrefixes map[uint64]namer.Seconds // when a prefix was last placed here
	newPrefixes    [scopes][]uint64         // recorded since the last summary
	idleReported   [scopes]bool             // the last summary reported an empty ledger
}

type reservationKey struct {
	host namer.Host
	id   ReservationID
}

type reservation struct {
	work         Work
	tokens       float64 // prompt tokens that the engine has to process
	placedAt     namer.Seconds
	sequence     uint64 // order of the reservations of the ledger
	fillsCache   bool   // the engine did not hold the prefix
	prefilled    bool
	prefillDueAt namer.Seconds
	expiresAt    namer.Seconds
}

const (
	// Late work is declined while an engine runs lateOvercommit times as many requests as it has slots, so
	// that the engine's own queue keeps room for work that can meet its target.
	lateOvercommit = 2
	// rateWeight is the weight of one summary in the average rate of a pool.
	rateWeight = 0.25
)

// queueDelay returns the time until the prompts of a class and of all more urgent classes have been
// processed. Engines finish a prompt that they have begun, also a less urgent one.
func (l *ledger) queueDelay(now namer.Seconds, upTo int) namer.Seconds {
	rate := l.rateOrDefault()
	sum := 0.0
	for class := range upTo + 1 {
		sum += l.queuedTokens[class]
	}
	if l.current != nil {
		if l.current.work.Class <= upTo {
			sum -= l.current.tokens
		}
		sum = max(0, sum)
	}
	return namer.Seconds(sum/rate) + l.inProgress(now)
}

// overdueShare is the expected rest of a prompt that has taken longer than estimated, relative to the time
// it has taken.
const overdueShare = 0.25

// inProgress estimates the time until the current prompt has been processed.
func (l *ledger) inProgress(now namer.Seconds) namer.Seconds {
	if l.current == nil {
		return 0
	}
	taken := now - l.currentSince
	estimated := namer.Seconds(l.current.tokens / l.rateOrDefault())
	return max(estimated-taken, overdueShare*(taken-estimated), 0)
}

// startNext assumes that the engine begins with the first of the most urgent prompts.
func (l *ledger) startNext(now namer.Seconds) {
	l.current, l.currentSince = nil, now
	for _, r := range l.reservations {
		if !r.prefilled && r.tokens > 0 && (l.current == nil || r.before(l.current)) {
			l.current = r
		}
	}
}

// before reports whether an engine begins with a prompt before another one.
func (r *reservation) before(other *reservation) bool {
	if r.work.Class != other.work.Class {
		return r.work.Class < other.work.Class
	}
	if r.placedAt != other.placedAt {
		return r.placedAt < other.placedAt
	}
	return r.sequence < other.sequence
}

func (l *ledger) rateOrDefault() float64 {
	if rate := l.rate.value(); rate > 0 && (!l.presumed || rate > l.defaultRate) {
		return rate
	}
	if l.defaultRate > 0 {
		return l.defaultRate
	}
	return defaultPrefillRate
}

func (l *ledger) usualLateness() namer.Seconds {
	if l.presumed {
		return 0
	}
	return l.lateness.value
}

// reserve grants a reservation if the prompt can be processed within its budget and without exceeding the
// pause target of the engine's streams.
func (l *ledger) reserve(now namer.Seconds, key reservationKey, r *ReserveRequest, slots int) bool {
	l.expire(now)
	if r.Work.Class >= lateClass {
		if l.running >= lateOvercommit*slots || l.queueDelay(now, lateClass)+l.prefillTime(now, r.Work) > r.Budget {
			return false
		}
		l.add(now, key, r.Work)
		return true
	}
	if l.running-l.lateRunning >= slots {
		return false
	}
	prefillTime := l.prefillTime(now, r.Work)
	if l.queueDelay(now, r.Work.Class)+prefillTime+l.usualLateness() > r.Budget {
		return false
	}
	if l.minGap > 0 && !r.Work.Stream && l.topStreamClass <= r.Work.Class && !l.prefillQuota.allows(now, prefillTime, l.minGap) {
		return false
	}
	l.add(now, key, r.Work)
	return true
}

// prefillTime estimates how long the engine takes to process a prompt.
func (l *ledger) prefillTime(now namer.Seconds, w Work) namer.Seconds {
	return namer.Seconds(l.uncachedTokens(now, w) / l.rateOrDefault())
}

// add adds a reservation.
func (l *ledger) add(now namer.Seconds, key reservationKey, w Work) {
	if l.reservations == nil {
		l.reservations = map[reservationKey]*reservation{}
	}
	if l.reservations[key] != nil {
		return // duplicate message
	}
	tokens := l.uncachedTokens(now, w)
	l.sequence++
	r := &reservation{work: w, tokens: tokens, placedAt: now, sequence: l.sequence, expiresAt: now + w.Until, fillsCache: w.Prefix != 0 && !l.holdsPrefix(now, w.Prefix)}
	r.prefillDueAt = now + l.queueDelay(now, w.Class) + namer.Seconds(tokens/l.rateOrDefault())
	l.reservations[key] = r
	l.queuedTokens[w.Class] += tokens
	l.placedTokens.add(now, demandInflowTime, tokens)
	if l.current == nil && tokens > 0 {
		l.current, l.currentSince = r, now
	}
	l.recordPrefix(now, w)
	l.running++
	if w.Class >= lateClass {
		l.lateRunning++
	}
	if w.Stream {
		l.streams++
		l.updateStreamLimits()
	}
	if tokens > 0 {
		l.prefillQuota.add(now, namer.Seconds(tokens/l.rateOrDefault()))
	}
}

// Limits of the record of prefixes that an engine has probably cached.
const (
	maxRecentPrefixes = 4096
	maxNewPrefixes    = 256
)

// Engines evict the least recently used prefixes. They keep one for about the time in which new tokens fill
// cacheTurnover of their memory; the rest holds the requests in progress.
const (
	cacheTurnover                  = 0.5
	minPrefixTTL     namer.Seconds = 2
	maxPrefixTTL     namer.Seconds = 60
	unknownPrefixTTL namer.Seconds = 15 // of engines whose memory is unknown
)

func (l *ledger) prefixTTL(now namer.Seconds) namer.Seconds {
	if l.cacheTokens <= 0 {
		return unknownPrefixTTL
	}
	rate := l.newTokens.perSecond(now, cacheInflowTime)
	if rate <= 0 {
		return maxPrefixTTL
	}
	return min(max(namer.Seconds(cacheTurnover*l.cacheTokens/rate), minPrefixTTL), maxPrefixTTL)
}

// holdsPrefix reports whether the engine has probably cached a prefix.
func (l *ledger) holdsPrefix(now namer.Seconds, prefix uint64) bool {
	seen, known := l.recentPrefixes[prefix]
	return known && now-seen < l.prefixTTL(now)
}

// recordPrefix records the tokens that a prompt adds to the engine's cache.
func (l *ledger) recordPrefix(now namer.Seconds, w Work) {
	added := w.Tokens
	if w.Prefix != 0 && !l.holdsPrefix(now, w.Prefix) {
		added += w.PrefixTokens
	}
	l.newTokens.add(now, cacheInflowTime, added)
	if w.Prefix == 0 {
		return
	}
	if l.recentPrefixes == nil || len(l.recentPrefixes) >= maxRecentPrefixes {
		l.recentPrefixes = map[uint64]namer.Seconds{}
	}
	l.recentPrefixes[w.Prefix] = now
}

// uncachedTokens estimates the prompt tokens that the engine has to process for a request.
func (l *ledger) uncachedTokens(now namer.Seconds, w Work) float64 {
	if w.PrefixTokens == 0 || w.Fetched || l.holdsPrefix(now, w.Prefix) {
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
	class := r.work.Class
	l.queuedTokens[class] = max(0, l.queuedTokens[class]-r.tokens)
	if measure && r.tokens > 1 {
		if r == l.current && (r.placedAt < l.currentSince || l.rate.value() == 0) {
			l.rate.observe(r.tokens, now-l.currentSince)
		}
		for s := range l.newPrefixes {
			if r.fillsCache && len(l.newPrefixes[s]) < maxNewPrefixes {
				l.newPrefixes[s] = append(l.newPrefixes[s], r.work.Prefix)
			}
		}
		if r.work.Class < lateClass {
			l.lateness.observe(r.prefillDueAt-r.placedAt, now-r.prefillDueAt)
		}
	}
	if r == l.current {
		l.startNext(now)
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
		l.queuedTokens, l.current = [classes]float64{}, nil
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
func (l *ledger) summary(now namer.Seconds, name namer.Endpoint) Load {
	load := Load{
		Endpoint: name, Rate: l.rateOrDefault(), InProgress: min(l.inProgress(now), maxMessageTime), Running: l.running, Streams: l.streams, Urgent: noStreamClass, PrefixTTL: l.prefixTTL(now),
		Inflow: l.placedTokens.perSecond(now, demandInflowTime),
	}
	if l.streams > 0 {
		load.Urgent = l.topStreamClass
	}
	for _, r := range l.reservations {
		if r.prefilled || r.tokens == 0 {
			load.Generating++
		}
	}
	for class := range load.QueueDelay {
		load.QueueDelay[class] = shortDelayOf(l.queueDelay(now, class) + l.usualLateness())
	}
	return load
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
