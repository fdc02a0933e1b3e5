package router

import (
	"slices"

	"apricotspool/namer"
)

// None is the Slot value for no endpoint.
const None Slot = -1

// Query describes a request that needs an endpoint.
type Query struct {
	Class  int     // priority at the engine; 0 is the most urgent
	Prompt float64 // prompt tokens; 1 for a plain service
	Output float64 // expected output tokens
	Prefix []uint64
	// Budget is the time left to the first token. Only idle endpoints may be chosen beyond it.
	Budget namer.Seconds
	// Reserve is the number of slots of each endpoint that stay free for more urgent ranks.
	Reserve float64
	// IdleOnly restricts the choice to idle endpoints.
	IdleOnly   bool
	Exclude    Slot // endpoint of the failed attempt, or None
	Idempotent bool
}

// Choice is the endpoint for a request, with the prediction that led to it.
type Choice struct {
	Slot        Slot
	Prefill     Slot // engine that runs the prefill if it is not Slot, else None
	FirstToken  namer.Seconds
	Uncached    float64 // prompt tokens that are not cached
	QueuedAhead float64 // prompt tokens queued ahead
}

// PrefillEngine returns the engine that runs the prefill.
func (c Choice) PrefillEngine() Slot {
	if c.Prefill != None {
		return c.Prefill
	}
	return c.Slot
}

// Weights of the score, in seconds per second. See docs/measurements-decisions.md for the experiments.
const (
	// decodeWeight weighs the time to generate the output, which balances the batch sizes.
	decodeWeight = 0.1
	// prefillInterferenceWeight weighs the time by which this request's prefill slows the urgent
	// streams of the engine. It concentrates long prompts on engines without urgent streams and needs
	// no fixed partition.
	prefillInterferenceWeight = 0.05
	// decodeInterferenceWeight weighs the time by which queued prefill of other requests slows this
	// request's output.
	decodeInterferenceWeight = 0.1
	// noiseWeight scales the random term that keeps hosts with the same load reports from choosing the
	// same endpoint.
	noiseWeight = 0.1
	// maxLowClassBacklog bounds the prefill that classes below the most urgent one queue at an engine;
	// the rest waits in the hosts' queues, where shares and fairness are enforced.
	maxLowClassBacklog namer.Seconds = 1.0
	// idleThreshold is the number of running requests below which an endpoint counts as idle.
	idleThreshold = 0.5
)

const (
	// maxFullScan is the pool size up to which every member is scored.
	maxFullScan = 32
	// Numbers of random candidates in larger pools; most are from the nearest data centre.
	nearSamples = 12
	poolSamples = 6
)

// best is the candidate with the lowest score so far.
type best struct {
	slot        Slot
	score       float64
	firstToken  namer.Seconds
	uncached    float64
	queuedAhead float64
}

type search struct {
	router       *Router
	pool         *Pool
	query        *Query
	now          namer.Seconds
	levels       []match
	remoteRate   [groupCount]float64 // prompt tokens per second that other hosts send to one member, in classes up to the query's
	ignoreHealth bool                // all members are ejected

	single, prefill, decode best
}

// Pick chooses an endpoint for the query. It returns false if no member may take the request now.
func (r *Router) Pick(now namer.Seconds, p *Pool, q *Query) (Choice, bool) {
	var found [maxLevels]match
	levels := 0
	if len(q.Prefix) > 0 {
		levels = r.prefixes.matches(q.Prefix, &found)
	}
	f := search{router: r, pool: p, query: q, now: now, levels: found[:levels]}
	f.single.slot, f.prefill.slot, f.decode.slot = None, None, None
	f.ignoreHealth = p.allEjected()
	for c := 0; c <= min(q.Class, Classes-1); c++ {
		for g := range p.remoteRate {
			f.remoteRate[g] += p.remoteRate[g][c]
		}
	}
	markCached(r.cachedBlocks, f.levels)
	if len(p.members) <= maxFullScan {
		for _, s := range p.members {
			f.score(s)
		}
	} else {
		f.scoreSample()
	}
	clearCached(r.cachedBlocks, f.levels)
	return f.choose()
}

// scoreSample scores random members and the holders of the prompt's prefix.
func (f *search) scoreSample() {
	p, random := f.pool, f.router.Random
	for range min(nearSamples, p.nearCount) {
		f.score(p.members[random.IntN(p.nearCount)])
	}
	for range poolSamples {
		f.score(p.members[random.IntN(len(p.members))])
	}
	for _, m := range f.levels {
		for _, h := range m.block.holders[:m.block.holderCount] {
			f.scoreHolder(Slot(h))
		}
	}
	// Sampling can miss the few eligible members, for example when most are leaving.
	if f.single.slot != None || f.decode.slot != None {
		return
	}
	start := random.IntN(len(p.members))
	for i := range p.members {
		f.score(p.members[(start+i)%len(p.members)])
		if f.single.slot != None {
			return
		}
	}
}

// scoreHolder scores a holder of the prefix if it belongs to the pool; an engine with several models
// belongs to several pools.
func (f *search) scoreHolder(s Slot) {
	if slices.Contains(f.router.endpoints[s].pools, f.pool) {
		f.score(s)
	}
}

// score scores one member if it may take the request.
func (f *search) score(s Slot) {
	e := &f.router.endpoints[s]
	q := f.query
	if e.Leaving || s == q.Exclude {
		return
	}
	if e.health.ejected {
		e.health.advance(f.now)
		if !f.ignoreHealth && !e.health.admits(q.Idempotent) {
			return
		}
	}
	f.router.advanceBacklog(f.now, e, f.pool)
	running := e.running(f.router.Hosts)
	switch {
	case f.pool.Plain:
		f.scorePlain(s, e, running)
	case f.pool.hasPrefillEngines:
		f.scoreDisaggregated(s, e, running)
	case e.mixed:
		f.scoreMixed(s, e, running)
	}
}

func (f *search) scorePlain(s Slot, e *endpoint, running float64) {
	if !f.hasSlot(e, running) {
		return
	}
	first := e.Rates.Prefill(1, running) + 2*e.Distance
	if first > f.query.Budget && running >= idleThreshold {
		return
	}
	f.single.update(s, float64(first)*(1+0.1*f.router.Random.Float64()), first, 1, 0)
}

func (f *search) scoreMixed(s Slot, e *endpoint, running float64) {
	if !f.hasSlot(e, running) {
		return
	}
	perToken := e.Rates.Prefill(1, running)
	wait, own, uncached, ahead := f.predictPrefill(s, e, perToken)
	tokenInterval := float64(e.Rates.TokenInterval(running + 1))
	first := wait + own + e.Rates.Overhead() + 2*e.Distance + namer.Seconds(tokenInterval)
	if !f.meetsBudget(e, running, wait, first) {
		return
	}
	score := float64(first) + f.decodeCost(e, perToken, tokenInterval) + f.prefillInterference(e, own) + f.noise(e, perToken)
	f.single.update(s, score, first, uncached, ahead)
}

// scoreDisaggregated scores a member of a pool in which some engines run only prefill or only decode.
func (f *search) scoreDisaggregated(s Slot, e *endpoint, running float64) {
	if e.mixed {
		f.scoreMixed(s, e, running)
	}
	if !f.hasSlot(e, running) {
		return
	}
	perToken := e.Rates.Prefill(1, running)
	if e.group == prefillGroup {
		wait, own, uncached, ahead := f.predictPrefill(s, e, perToken)
		if first := wait + own + e.Rates.Overhead() + 2*e.Distance; f.meetsBudget(e, running, wait, first) {
			f.prefill.update(s, float64(first)+f.noise(e, perToken), first, uncached, ahead)
		}
		return
	}
	tokenInterval := float64(e.Rates.TokenInterval(running + 1))
	first := 2*e.Distance + namer.Seconds(tokenInterval) + namer.Seconds(f.query.Prompt)*f.pool.TransferTime
	f.decode.update(s, float64(first)+f.decodeCost(e, perToken, tokenInterval)+f.noise(e, perToken), first, 0, 0)
}

// hasSlot reports whether the endpoint has a free slot beyond the query's reserve.
func (f *search) hasSlot(e *endpoint, running float64) bool {
	if running < idleThreshold {
		return true
	}
	limit := e.limit.Value()
	return running+1 <= max(1, limit-min(f.query.Reserve, limit/4))
}

// meetsBudget reports whether the first token is predicted within the budget and the backlog leaves
// capacity for urgent work. An idle endpoint always qualifies.
func (f *search) meetsBudget(e *endpoint, running float64, wait, first namer.Seconds) bool {
	if running < idleThreshold && wait < maxLowClassBacklog/10 {
		return true
	}
	if f.query.IdleOnly {
		return false
	}
	if f.query.Class > 0 && wait > maxLowClassBacklog {
		return false
	}
	return first <= f.query.Budget
}

// predictPrefill predicts the wait for prefill, the request's own prefill time and the tokens of both.
func (f *search) predictPrefill(s Slot, e *endpoint, perToken namer.Seconds) (wait, own namer.Seconds, uncached, ahead float64) {
	class := min(f.query.Class, Classes-1)
	for c := 0; c <= class; c++ {
		ahead += e.backlog[c]
	}
	uncached = max(1, f.query.Prompt-float64(f.router.cachedBlocks[s])*BlockTokens)
	return namer.Seconds(ahead) * perToken, namer.Seconds(uncached) * perToken, uncached, ahead
}

// decodeCost returns the cost of generating the output alongside the running requests and the queued
// prefill.
func (f *search) decodeCost(e *endpoint, perToken namer.Seconds, tokenInterval float64) float64 {
	generate := f.query.Output * tokenInterval
	waiting := 0.0
	for _, tokens := range e.backlog {
		waiting += tokens
	}
	interference := min(waiting*float64(perToken), generate)
	return decodeWeight*generate + decodeInterferenceWeight*interference
}

func (f *search) prefillInterference(e *endpoint, own namer.Seconds) float64 {
	return prefillInterferenceWeight * float64(own) * float64(e.ownUrgent*f.router.Hosts)
}

// noise returns a random term that grows with the work that other hosts may have sent since the last
// report.
func (f *search) noise(e *endpoint, perToken namer.Seconds) float64 {
	age := float64(f.now - e.reportAt)
	seconds := f.remoteRate[e.group] * min(age, tokenTimeConstant) * float64(perToken)
	return noiseWeight * (0.002 + min(seconds, 1)) * f.router.Random.Float64()
}

func (b *best) update(s Slot, score float64, first namer.Seconds, uncached, ahead float64) {
	if b.slot == None || score < b.score {
		*b = best{s, score, first, uncached, ahead}
	}
}

// choose picks between the best single engine and the best pair of a prefill and a decode engine.
func (f *search) choose() (Choice, bool) {
	w := f.single
	if p, d := f.prefill, f.decode; p.slot != None && d.slot != None {
		first := p.firstToken + d.firstToken
		if first <= f.query.Budget && (w.slot == None || p.score+d.score < w.score) {
			return Choice{Slot: d.slot, Prefill: p.slot, FirstToken: first, Uncached: p.uncached, QueuedAhead: p.queuedAhead}, true
		}
	}
	if w.slot == None {
		return Choice{Slot: None, Prefill: None}, false
	}
	return Choice{Slot: w.slot, Prefill: None, FirstToken: w.firstToken, Uncached: w.uncached, QueuedAhead: w.queuedAhead}, true
}

// allEjected reports whether every member is ejected. The cause is then likely elsewhere, and health
// is ignored rather than refusing all requests. A lower threshold would be wrong: in a network
// partition most endpoints are unreachable, and the rest must serve alone.
func (p *Pool) allEjected() bool { return p.ejectedCount == len(p.members) }
