package router

import (
	"slices"

	"apricotspool/namer"
)

// None stands for no endpoint.
const None Slot = -1

// Query describes a request that needs an endpoint.
type Query struct {
	Class  int     // priority at the engine; 0 is the most urgent
	Prompt float64 // tokens; 1 for a plain service
	Output float64 // expected tokens
	Prefix []uint64
	// Budget is the time left to the first token. Only an idle endpoint may exceed it.
	Budget namer.Seconds
	// Reserve is the number of slots of each endpoint that stay free for more urgent ranks.
	Reserve float64
	// IdleOnly restricts the choice to idle endpoints.
	IdleOnly   bool
	Exclude    Slot // endpoint of the failed attempt, or None
	Repeatable bool
}

// Choice is the endpoint for a request, with the prediction that led to it.
type Choice struct {
	Slot       Slot
	Prefill    Slot // engine that processes the prompt, when it is another one
	FirstToken namer.Seconds
	Uncached   float64 // prompt tokens to process
	Ahead      float64 // prompt tokens that are processed before
}

// Processor returns the engine that processes the prompt.
func (c Choice) Processor() Slot {
	if c.Prefill != None {
		return c.Prefill
	}
	return c.Slot
}

// Weights of the score, in seconds a second. See docs/measurements-decisions.md for the rounds.
const (
	// decodeWeight prices the time to generate the output, which balances the batch sizes.
	decodeWeight = 0.1
	// harmWeight prices the time that a prompt's prefill slows the urgent streams of its engine. It
	// keeps long prompts together and away from urgent streams without a fixed partition.
	harmWeight = 0.05
	// sufferWeight prices the time that waiting prefill of others slows this request's output.
	sufferWeight = 0.1
	// noiseWeight scales the random term that keeps hosts with the same report apart.
	noiseWeight = 0.1
	// lowBacklog bounds the prefill that lower classes queue at an engine; more waits in the
	// hosts' queues, where shares and fairness hold.
	lowBacklog namer.Seconds = 1.0
	// idleRunning is the load below which an endpoint counts as idle.
	idleRunning = 0.5
)

const (
	// scanAll is the pool size up to which every member is a candidate.
	scanAll = 32
	// Random candidates of larger pools: most from the nearest data centre.
	sampleNear = 12
	sampleAll  = 6
)

// best keeps the least score.
type best struct {
	slot     Slot
	score    float64
	first    namer.Seconds
	uncached float64
	ahead    float64
}

type search struct {
	router *Router
	pool   *Pool
	query  *Query
	now    namer.Seconds
	levels []match
	unseen [groups]float64 // prompt tokens a second of other hosts at a member, up to the query's class
	forced bool            // health is ignored, because all members are ejected

	whole, prefill, decode best
}

// Pick chooses an endpoint for the query. It reports false when no member may take the request now.
func (r *Router) Pick(now namer.Seconds, p *Pool, q *Query) (Choice, bool) {
	var found [maxLevels]match
	levels := 0
	if len(q.Prefix) > 0 {
		levels = r.prefixes.matches(q.Prefix, &found)
	}
	f := search{router: r, pool: p, query: q, now: now, levels: found[:levels]}
	f.whole.slot, f.prefill.slot, f.decode.slot = None, None, None
	f.forced = p.allEjected()
	for c := 0; c <= min(q.Class, Classes-1); c++ {
		for g := range p.others {
			f.unseen[g] += p.others[g][c]
		}
	}
	mark(r.depth, f.levels)
	if len(p.members) <= scanAll {
		for _, s := range p.members {
			f.consider(s)
		}
	} else {
		f.sample()
	}
	unmark(r.depth, f.levels)
	return f.choose()
}

// sample considers random members and the holders of the prompt's prefix.
func (f *search) sample() {
	p, random := f.pool, f.router.Random
	for range min(sampleNear, p.near) {
		f.consider(p.members[random.IntN(p.near)])
	}
	for range sampleAll {
		f.consider(p.members[random.IntN(len(p.members))])
	}
	for _, m := range f.levels {
		for _, h := range m.block.holders[:m.block.n] {
			f.considerMember(Slot(h))
		}
	}
	// Sampling can miss the few members that may take the request, for example when most leave.
	if f.whole.slot != None || f.decode.slot != None {
		return
	}
	start := random.IntN(len(p.members))
	for i := range p.members {
		f.consider(p.members[(start+i)%len(p.members)])
		if f.whole.slot != None {
			return
		}
	}
}

// considerMember considers a holder of the prefix if it belongs to the pool; an engine with several
// models belongs to several pools.
func (f *search) considerMember(s Slot) {
	if slices.Contains(f.router.endpoints[s].pools, f.pool) {
		f.consider(s)
	}
}

// consider scores one member.
func (f *search) consider(s Slot) {
	e := &f.router.endpoints[s]
	q := f.query
	if e.Leaving || s == q.Exclude {
		return
	}
	if e.health.ejected {
		e.health.advance(f.now)
		if !f.forced && !e.health.open(q.Repeatable) {
			return
		}
	}
	f.router.advance(f.now, e, f.pool)
	running := e.running(f.router.Hosts)
	switch {
	case f.pool.Plain:
		f.plain(s, e, running)
	case f.pool.split:
		f.phases(s, e, running)
	case e.mixed:
		f.mixed(s, e, running)
	}
}

func (f *search) plain(s Slot, e *endpoint, running float64) {
	if !f.room(e, running) {
		return
	}
	first := e.Rates.Prefill(1, running) + 2*e.Distance
	if first > f.query.Budget && running >= idleRunning {
		return
	}
	f.whole.offer(s, float64(first)*(1+0.1*f.router.Random.Float64()), first, 1, 0)
}

func (f *search) mixed(s Slot, e *endpoint, running float64) {
	if !f.room(e, running) {
		return
	}
	perToken := e.Rates.Prefill(1, running)
	wait, own, uncached, ahead := f.prompt(s, e, perToken)
	pace := float64(e.Rates.Token(running + 1))
	first := wait + own + e.Rates.Overhead() + 2*e.Distance + namer.Seconds(pace)
	if !f.inTime(e, running, wait, first) {
		return
	}
	score := float64(first) + f.output(e, perToken, pace) + f.harm(e, own) + f.noise(e, perToken)
	f.whole.offer(s, score, first, uncached, ahead)
}

// phases scores a member of a pool in which some engines process only prompts or only generate.
func (f *search) phases(s Slot, e *endpoint, running float64) {
	if e.mixed {
		f.mixed(s, e, running)
	}
	if !f.room(e, running) {
		return
	}
	perToken := e.Rates.Prefill(1, running)
	if e.group == prefillGroup {
		wait, own, uncached, ahead := f.prompt(s, e, perToken)
		if first := wait + own + e.Rates.Overhead() + 2*e.Distance; f.inTime(e, running, wait, first) {
			f.prefill.offer(s, float64(first)+f.noise(e, perToken), first, uncached, ahead)
		}
		return
	}
	pace := float64(e.Rates.Token(running + 1))
	first := 2*e.Distance + namer.Seconds(pace) + namer.Seconds(f.query.Prompt)*f.pool.TransferTime
	f.decode.offer(s, float64(first)+f.output(e, perToken, pace)+f.noise(e, perToken), first, 0, 0)
}

// room reports whether the endpoint has a free slot for the class of the query.
func (f *search) room(e *endpoint, running float64) bool {
	if running < idleRunning {
		return true
	}
	limit := e.limit.Value()
	return running+1 <= max(1, limit-min(f.query.Reserve, limit/4))
}

// inTime reports whether the first token comes within the budget and the backlog leaves room for
// urgent work. An idle endpoint is never refused.
func (f *search) inTime(e *endpoint, running float64, wait, first namer.Seconds) bool {
	if running < idleRunning && wait < lowBacklog/10 {
		return true
	}
	if f.query.IdleOnly {
		return false
	}
	if f.query.Class > 0 && wait > lowBacklog {
		return false
	}
	return first <= f.query.Budget
}

// prompt predicts the wait for prefill and the prefill itself.
func (f *search) prompt(s Slot, e *endpoint, perToken namer.Seconds) (wait, own namer.Seconds, uncached, ahead float64) {
	class := min(f.query.Class, Classes-1)
	for c := 0; c <= class; c++ {
		ahead += e.backlog[c]
	}
	uncached = max(1, f.query.Prompt-float64(f.router.depth[s])*BlockTokens)
	return namer.Seconds(ahead) * perToken, namer.Seconds(uncached) * perToken, uncached, ahead
}

// output prices the generation of the output beside the running requests and waiting prefill.
func (f *search) output(e *endpoint, perToken namer.Seconds, pace float64) float64 {
	generate := f.query.Output * pace
	waiting := 0.0
	for _, tokens := range e.backlog {
		waiting += tokens
	}
	suffer := min(waiting*float64(perToken), generate)
	return decodeWeight*generate + sufferWeight*suffer
}

func (f *search) harm(e *endpoint, own namer.Seconds) float64 {
	return harmWeight * float64(own) * float64(e.urgent*f.router.Hosts)
}

// noise grows with the work that other hosts may have sent since the report.
func (f *search) noise(e *endpoint, perToken namer.Seconds) float64 {
	age := float64(f.now - e.reportAt)
	seconds := f.unseen[e.group] * min(age, flowTime) * float64(perToken)
	return noiseWeight * (0.002 + min(seconds, 1)) * f.router.Random.Float64()
}

func (b *best) offer(s Slot, score float64, first namer.Seconds, uncached, ahead float64) {
	if b.slot == None || score < b.score {
		*b = best{s, score, first, uncached, ahead}
	}
}

// choose compares the best single engine with the best pair of a prefill and a decode engine.
func (f *search) choose() (Choice, bool) {
	w := f.whole
	if p, d := f.prefill, f.decode; p.slot != None && d.slot != None {
		first := p.first + d.first
		if first <= f.query.Budget && (w.slot == None || p.score+d.score < w.score) {
			return Choice{Slot: d.slot, Prefill: p.slot, FirstToken: first, Uncached: p.uncached, Ahead: p.ahead}, true
		}
	}
	if w.slot == None {
		return Choice{Slot: None, Prefill: None}, false
	}
	return Choice{Slot: w.slot, Prefill: None, FirstToken: w.first, Uncached: w.uncached, Ahead: w.ahead}, true
}

// allEjected reports whether every member is ejected: then the cause is likely not in the endpoints,
// and using them is better than using none. Fewer are no reason: in a partition most endpoints are
// out of reach and the rest must carry on alone.
func (p *Pool) allEjected() bool { return p.ejected == len(p.members) }
