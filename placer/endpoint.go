package placer

import (
	"cmp"
	"slices"

	"apricotspool/decider"
	"apricotspool/namer"
)

// endpoint is this daemon's view of one endpoint.
type endpoint struct {
	view        decider.EndpointView
	streamOrder int  // order in which decode engines receive long streams; the same at every daemon
	express     bool // receives no prompts that would delay more urgent ones for long
	running     int  // requests of this daemon
	// knownSince is when this daemon learned of the incarnation and its build.
	knownSince namer.Seconds
	health     health
	statements

	load          Load // latest summary from the ledger owner; engines only
	loadUpdatedAt namer.Seconds
	maxLoadAge    namer.Seconds
	cached        map[uint64]cachedPrefix

	paced // if it has started or recovered
}

// cachedPrefix is what is known of a prefix at an engine.
type cachedPrefix struct {
	usedAt namer.Seconds // when a prompt with the prefix was last sent there, as far as known
	ready  bool          // the engine has processed it
}

// recordPrefix records a prefix that an engine has cached, or will have when it has processed a prompt that
// was sent there.
func (e *endpoint) recordPrefix(now namer.Seconds, prefix uint64, ready bool) {
	if prefix == 0 {
		return
	}
	if e.cached == nil || len(e.cached) >= maxRecentPrefixes {
		e.cached = map[uint64]cachedPrefix{}
	}
	known := e.cached[prefix]
	e.cached[prefix] = cachedPrefix{usedAt: now, ready: ready || (known.ready && e.fresh(now, known))}
}

func (e *endpoint) fresh(now namer.Seconds, p cachedPrefix) bool {
	return now-p.usedAt < cmp.Or(e.load.PrefixTTL, unknownPrefixTTL)
}

// holds reports whether a prompt that is sent to an engine now will probably find its prefix cached there.
func (e *endpoint) holds(now namer.Seconds, prefix uint64) bool {
	p, known := e.cached[prefix]
	return known && e.fresh(now, p)
}

// offers reports whether other engines can fetch a prefix from an engine.
func (e *endpoint) offers(now namer.Seconds, prefix uint64) bool {
	return e.holds(now, prefix) && e.cached[prefix].ready
}

// fits reports whether the endpoint's memory, as far as known, can hold the request's prompt.
func (e *endpoint) fits(q *request) bool {
	return e.view.KVTokens <= 0 || q.PromptTokens <= e.view.KVTokens
}

// exceedsMemory reports whether the prompt fits into no endpoint of the service.
func (q *request) exceedsMemory() bool {
	return len(q.pool.endpoints) > 0 && !slices.ContainsFunc(q.pool.endpoints, func(e *endpoint) bool { return e.fits(q) })
}

// leaving reports whether the endpoint is leaving, by its entry or by its own responses.
func (e *endpoint) leaving() bool { return e.view.Leaving || e.announcedLeaving }

// accepts reports whether the endpoint has not asked for no new work. It may be ejected.
func (e *endpoint) accepts(now namer.Seconds) bool { return !e.leaving() && now >= e.turnsAwayUntil }

// usable reports whether new work may be sent to the endpoint. Prefill for another engine is always
// idempotent.
func (e *endpoint) usable(now namer.Seconds, idempotent bool) bool {
	return e.accepts(now) && e.health.admits(now, idempotent || e.view.Role == namer.RolePrefill)
}

// Load summaries are used up to an age of maxLoadPeriods times the period at which they are sent, and at least
// minLoadAge.
const (
	minLoadAge     namer.Seconds = 2
	maxLoadPeriods namer.Seconds = 2.5
)

// current reports whether the last summary is not too old.
func (e *endpoint) current(now namer.Seconds) bool { return now-e.loadUpdatedAt <= e.maxLoadAge }

// queueDelay estimates the time until the prompts of a class and of all more urgent classes have been
// processed.
func (e *endpoint) queueDelay(now namer.Seconds, upTo int) namer.Seconds {
	return max(0, e.load.QueueDelay[upTo].seconds()-(now-e.loadUpdatedAt))
}

// inProgress estimates the time until the prompt in progress at an engine has been processed.
func (e *endpoint) inProgress(now namer.Seconds) namer.Seconds {
	return max(0, e.load.InProgress-(now-e.loadUpdatedAt))
}

// streams estimates the number of long streams of all daemons at an engine.
func (e *endpoint) streams(now namer.Seconds) int {
	if !e.current(now) {
		return 0
	}
	return e.load.Streams
}

// delaysStreams reports whether prompts of a class would delay streams of equal or higher urgency.
func (e *endpoint) delaysStreams(now namer.Seconds, class int) bool {
	return e.streams(now) > 0 && e.load.Urgent <= class
}

// activeRequests estimates the number of requests of all daemons at an engine.
func (e *endpoint) activeRequests(now namer.Seconds) int {
	if !e.current(now) {
		return e.running
	}
	return max(e.running, e.load.Running)
}

// prefillTime estimates how long an engine takes to process prompt tokens.
func (e *endpoint) prefillTime(now namer.Seconds, p *pool, tokens float64) namer.Seconds {
	rate := e.load.Rate
	if rate <= 0 || e.paceUnknown(now) {
		rate = p.prefillRate(e.view.Role)
	}
	return namer.Seconds(tokens / rate)
}

// defaultPrefillRate is used until a rate has been measured, in prompt tokens per second.
const defaultPrefillRate = 100_000

// mixedRateFactor is the prefill rate of engines that also decode, relative to the others, until it has been
// measured.
const mixedRateFactor = 0.5

// prefillRate returns the average prefill rate of the pool's engines of a role.
func (p *pool) prefillRate(role namer.Role) float64 {
	if r := p.prefillRates[role]; r > 0 {
		return r
	}
	rate := cmp.Or(p.prefillRates[namer.RolePrefill], defaultPrefillRate)
	if role != namer.RolePrefill {
		rate *= mixedRateFactor
	}
	return rate
}
