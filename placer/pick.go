package placer

import (
	"math"

	"apricotspool/namer"
)

// choice is the result of selecting an endpoint for a request.
type choice struct {
	endpoint      *endpoint     // nil if no endpoint is usable
	prefill       bool          // only the prompt is processed there
	fetchFrom     *endpoint     // engine that most probably has the prefix cached
	fromBackup    bool          // the endpoint has a copy of the request's KV cache
	prefixFetched bool          // the prefix is expected to come from fetchFrom
	expectedDelay namer.Seconds // until the first event, including preference costs
	prefillBudget namer.Seconds
	late          bool // the first event can't meet its target
	overloaded    bool // endpoints are usable but have too much work
	permitOnly    bool // the request needs no reservation, only room in the rate limit
	permitted     bool // the rate limit has room, and has been charged
}

// pickLeastLoaded returns the endpoint of a plain service with the fewest requests of this daemon.
func (c *Core) pickLeastLoaded(now namer.Seconds, q *request) *endpoint {
	var least lowestScore
	for _, e := range q.pool.endpoints {
		if c.open(now, q, e) && !q.hasTried(e) && !contains(q.declined, e) {
			least.consider(e, namer.Seconds(float64(e.running)+0.5*c.random.Float64()))
		}
	}
	return least.endpoint
}

func (q *request) hasTried(e *endpoint) bool { return contains(q.tried, e) }

func contains(list []*endpoint, e *endpoint) bool {
	for _, other := range list {
		if other == e {
			return true
		}
	}
	return false
}

const (
	// onTimeMargin is the fraction of a target that is used for planning; the rest covers estimation errors.
	onTimeMargin = 0.9
	// dispatchOverhead is the time from dispatch to the first event, without prefill: the network delay and
	// the step in progress at the engine.
	dispatchOverhead namer.Seconds = 0.012
	// transferOverhead is the time to start a transfer between engines, and to send the request to the second.
	transferOverhead namer.Seconds = 0.005
	// transferFactor covers transfers between data centres, which take twice as long, and waiting for others.
	transferFactor = 2
	// affinityMissFactor is the factor of the queue delay that is added for engines other than the affinity
	// engine.
	affinityMissFactor = 1.5
	// overflowRankCost is added per affinity rank, as a fraction of the target, to keep the overflow of a prefix
	// on few engines. Spread over a large fleet, the prefix was processed again in one case of five.
	overflowRankCost = 0.4
	// resumeBudget is the time within which a broken stream must resume; callers give up after 2 s.
	resumeBudget namer.Seconds = 0.7
	// streamEngineCost keeps prompts away from engines with long streams. It is a fraction of the target.
	streamEngineCost = 0.06
	// eventPauseCost keeps requests with several events off decode engines. These process prompts between
	// tokens, so the second event comes after a long pause. It is a fraction of the target.
	eventPauseCost = 0.2
	// streamDelayCost is added for engines with streams of equal or higher urgency, as a fraction of the target.
	streamDelayCost = 0.3
)

// pick returns the engine with the earliest estimated first event. It is a decode engine, or a prefill engine
// that only processes the prompt.
func (c *Core) pick(now namer.Seconds, q *request) choice {
	if q.decodeHeavy() && q.deliveredTokens == 0 {
		if q.late {
			return choice{overloaded: true} // an engine without a free slot would preempt the stream
		}
		if found := c.pickStream(now, q); found.endpoint != nil {
			return found
		}
	}
	affinity := q.pool.prefixAffinity(now, q)
	target, longest := namer.SecondsOf(q.Target), q.pool.longestExpress(now, q)
	ownTokens := max(1, float64(q.PromptTokens)-q.prefixTokens()+q.deliveredTokens)
	var onTime, late lowestScore
	paceFull := false // there are engines that only their pace keeps the request from
	// Prompts are processed apart only for an engine that can generate then.
	decodeUnavailable := c.rateLimited(now, q, true) || (c.choosesBuild(now, q) && !c.buildOpen(now, q))
	for _, e := range q.pool.endpoints {
		if !c.open(now, q, e) || q.hasTried(e) || contains(q.declined, e) {
			continue
		}
		if e.paceFull(now) {
			paceFull = true
			continue
		}
		rank := affinity.rank(e)
		first := q.prefixDelay(now, e, &affinity) + e.prefillTime(now, q.pool, ownTokens)
		if e.express && first > longest {
			continue
		}
		if e.view.Role == namer.RolePrefill {
			if q.deliveredTokens > 0 || q.skipPrefill || decodeUnavailable {
				continue // a stream resumes on a decode engine
			}
			first += q.pool.transferTime(float64(q.PromptTokens))
		} else {
			if e.streams(now) > 0 {
				first += streamEngineCost * target
			}
			if q.hasSeveralEvents() {
				first += eventPauseCost * target
			}
		}
		if rank > 0 {
			first += transferOverhead + affinityMissFactor*e.queueDelay(now, q.class()) + overflowRankCost*target*namer.Seconds(rank-1)
		}
		if !e.delaysStreams(now, q.class()) {
			late.consider(e, e.queueDelay(now, lateClass)+first)
		} else {
			first += streamDelayCost * target
		}
		onTime.consider(e, e.queueDelay(now, q.class())+first)
	}
	if onTime.endpoint == nil {
		return choice{overloaded: len(q.declined) > 0 || paceFull}
	}
	budget := namer.Seconds(onTimeMargin)*namer.SecondsOf(q.Target) - (now - q.arrived) - dispatchOverhead
	if q.deliveredTokens > 0 {
		budget = resumeBudget
	}
	if !q.late && onTime.score <= budget {
		return q.newChoice(now, onTime, &affinity, budget)
	}
	if late.endpoint == nil || late.score+dispatchOverhead > q.firstEventBy-now {
		return choice{overloaded: true}
	}
	found := q.newChoice(now, late, &affinity, q.firstEventBy-now-dispatchOverhead)
	found.late = true
	return found
}

// prefixDelay estimates how long an engine takes to get the prefix of a prompt.
func (q *request) prefixDelay(now namer.Seconds, e *endpoint, affinity *prefixAffinity) namer.Seconds {
	prefix := q.prefix()
	if prefix == 0 || e.holds(now, prefix) {
		return 0
	}
	if _, offered := affinity.fetchSource(now, e, prefix); offered {
		return q.pool.transferTime(q.prefixTokens())
	}
	delay := e.prefillTime(now, q.pool, q.prefixTokens())
	if affinity.rank(e) == affinityRanks && affinity.held(now, prefix) {
		delay *= 2 // processing a prefix on one more engine takes capacity from other requests
	}
	return delay
}

// transferTime estimates how long it takes to transfer the KV cache of a number of tokens between engines.
func (p *pool) transferTime(tokens float64) namer.Seconds {
	return transferOverhead + transferFactor*namer.Seconds(tokens)*p.kvTransfer
}

func (q *request) newChoice(now namer.Seconds, best lowestScore, affinity *prefixAffinity, budget namer.Seconds) choice {
	found := choice{endpoint: best.endpoint, prefill: best.endpoint.view.Role == namer.RolePrefill, expectedDelay: best.score, prefillBudget: budget}
	if found.prefill {
		found.prefillBudget -= q.pool.transferTime(float64(q.PromptTokens))
	}
	found.fetchFrom, found.prefixFetched = affinity.fetchSource(now, best.endpoint, q.prefix())
	return found
}

// hasSeveralEvents reports whether the response probably has more than one event.
func (q *request) hasSeveralEvents() bool {
	return float64(q.MaxTokens) > q.pool.tokensPerEvent
}

// prefix returns the ID of the part that ends the prefix that the prompt shares with others; 0 for none.
func (q *request) prefix() uint64 {
	if len(q.Parts) < 2 {
		return 0
	}
	return q.Parts[len(q.Parts)-2].ID
}

// prefixTokens returns the number of prompt tokens that are shared with other prompts.
func (q *request) prefixTokens() float64 {
	tokens := 0.0
	for i := range len(q.Parts) - 1 {
		tokens += float64(q.Parts[i].Tokens)
	}
	return tokens
}

// pickStream returns the engine for a long stream: the first one in stream order that has room.
func (c *Core) pickStream(now namer.Seconds, q *request) choice {
	var first *endpoint
	least := math.MaxInt
	for _, e := range q.pool.endpoints {
		if e.view.Role == namer.RolePrefill || !c.open(now, q, e) || e.paceFull(now) || q.hasTried(e) || contains(q.declined, e) {
			continue
		}
		order := e.streamOrder
		if float64(e.streams(now)) >= streamFillRatio*float64(e.view.Concurrency) {
			order += len(q.pool.endpoints) // used only if all are full
		}
		if order < least {
			first, least = e, order
		}
	}
	found := choice{endpoint: first, prefillBudget: q.deadline - now}
	if first != nil {
		found.expectedDelay = first.queueDelay(now, q.class()) + first.prefillTime(now, q.pool, float64(q.PromptTokens))
	}
	return found
}

// pickDecodeEngine returns the engine that generates the output after a prefill engine has processed the
// prompt.
func (c *Core) pickDecodeEngine(now namer.Seconds, q *request) *endpoint {
	preferred := q.pool.prefixAffinity(now, q).decode[0]
	var least lowestScore
	for _, e := range q.pool.endpoints {
		if e.view.Role == namer.RolePrefill || !c.open(now, q, e) || q.hasTried(e) || contains(q.declined, e) {
			continue
		}
		score := namer.Seconds(float64(e.activeRequests(now))/float64(max(1, e.view.Concurrency)) + 0.05*c.random.Float64())
		score += e.inProgress(now) / (fullEngineDelay * max(namer.SecondsOf(q.Target), minTarget))
		if e.paceFull(now) {
			score++ // as a full engine
		}
		if e != preferred {
			score += affinityMissLoad
		}
		least.consider(e, score)
	}
	return least.endpoint
}

const (
	// fullEngineDelay is the time until the prompt in progress has been processed that is as bad as a full
	// engine, as a fraction of the target. The engine generates nothing new before.
	fullEngineDelay = 0.3
	// minTarget is assumed for requests with shorter targets or none.
	minTarget namer.Seconds = 0.05
	// affinityMissLoad is the load of the affinity engine at which an idle engine is as good. The affinity
	// engine caches the prefix for later prompts.
	affinityMissLoad = 0.5
)

// lowestScore keeps the endpoint with the lowest score.
type lowestScore struct {
	endpoint *endpoint
	score    namer.Seconds
}

func (l *lowestScore) consider(e *endpoint, score namer.Seconds) {
	if l.endpoint == nil || score < l.score {
		*l = lowestScore{e, score}
	}
}
