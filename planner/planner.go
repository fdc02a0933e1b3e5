// Package planner proposes role changes of engines when the mix of prefill and decode work shifts. It
// does no I/O. Package coordinator runs it on the holder of the housekeeping lease, and package director
// executes the changes. A Planner serves one set of interchangeable engines and is not safe for
// concurrent use.
package planner

import (
	"cmp"
	"slices"

	"apricotspool/asserter"
	"apricotspool/namer"
)

// Engine is the state of one engine.
type Engine struct {
	Name     namer.Endpoint
	Role     namer.Role
	Changing bool // drains or executes a command
	Leaving  bool
	// Running, WaitingPrefill and KVUsed are from the last load report.
	Running        int
	WaitingPrefill namer.Tokens
	KVUsed         float64 // fraction of the KV memory, 0 to 1
	// PrefillRate and DecodeRate are the tokens per second of an idle engine, for decoding of one stream.
	PrefillRate, DecodeRate float64
	Concurrency             int
}

// View is the state of one set of engines.
type View struct {
	Engines []Engine
	// Prompt and Output are the offered tokens per second, including those of refused requests.
	Prompt, Output float64
	// Missed is the fraction of recent requests that were refused or missed their first-token target.
	Missed float64
}

// Change is a proposed role change.
type Change struct {
	Endpoint namer.Endpoint
	From, To namer.Role
}

// Default settings of a Planner.
const (
	DefaultHorizon    namer.Seconds = 120 // shifts of the mix last 3 to 10 minutes
	DefaultChangeTime namer.Seconds = 8   // upper end of the time that engines take
	DefaultCooldown   namer.Seconds = 95  // at most two changes per engine in a shift of 3 minutes
	// DefaultMixedLoss is the cost of separate decode steps on an engine that also processes prompts.
	DefaultMixedLoss = 0.4
)

// Planner holds the settings and the state kept between plans. The zero value uses the defaults.
type Planner struct {
	Horizon    namer.Seconds // time within which a change must gain more than it costs
	ChangeTime namer.Seconds // time for which a changing engine is unavailable
	Cooldown   namer.Seconds // minimum time between two changes of one engine
	// MixedLoss is the fraction of an engine's capacity within targets that it loses by serving both phases.
	MixedLoss float64

	fastAverage, slowAverage demand
	averagedAt               namer.Seconds
	started                  bool
	pending                  split
	pendingSince             namer.Seconds
	history                  map[namer.Endpoint]changeHistory
}

const (
	// Time constants of the two averages of the demand, which must both call for a change: the fast
	// one follows a shift within 15 s, the slow one keeps a burst of long prompts from counting as a
	// shift.
	fastTimeConstant namer.Seconds = 15
	slowTimeConstant namer.Seconds = 40
	// settleTime is how long changes in the same direction must be called for before they start.
	settleTime namer.Seconds = 6
	// paybackFactor is the minimum ratio of gain to cost within the horizon. With 2 the planner stopped
	// after the first step, since the second gains less than the whole transition costs.
	paybackFactor = 1.0
	// servedThreshold is the fraction of the demand above which the current roles suffice and nothing
	// changes. The demand is extrapolated from one host and noisy even on a steady mix.
	servedThreshold = 0.93
	// missTolerance is the fraction of requests that may miss their target before anything changes.
	// The estimated rates of engines are learned under other loads and roles. While the requests are
	// served, a prediction that they can't be is wrong.
	missTolerance = 0.05
	// servableThreshold is the fraction of the demand that the best split must be able to serve. A much
	// higher demand is overload, not a shift of the mix: most of it is refused, and roles that follow
	// it fail the requests that are served.
	servableThreshold = 0.85
	// headroom is the factor by which the load that roles are planned for exceeds the offered load.
	headroom = 1.2
)

// changeHistory is the history of changes of one engine.
type changeHistory struct {
	lastAt, previousAt namer.Seconds // times of the last change and of the one before it
	role               namer.Role
}

// maxShiftInterval is the longest time between two shifts of the mix. An engine changes at most twice
// within it.
const maxShiftInterval namer.Seconds = 600

// split counts engines by role.
type split struct{ mixed, prefill, decode int }

func (s split) engines() int { return s.mixed + s.prefill + s.decode }

// Plan returns the changes to start now. Callers call it about once per second.
func (p *Planner) Plan(now namer.Seconds, v View) []Change {
	p.defaults()
	p.updateAverages(now, v)
	current, changing := p.countRoles(v.Engines)
	if current.engines() < 2 {
		return nil
	}
	fast := p.predictLoad(v, p.fastAverage)
	slow := p.predictLoad(v, p.slowAverage)
	if v.Missed < missTolerance || p.servedFraction(current, fast) >= servedThreshold || p.servedFraction(current, slow) >= servedThreshold {
		p.pending = split{}
		return nil
	}
	best := p.bestSplit(current, slow.scale(headroom))
	if p.servedFraction(best, fast) < servableThreshold || p.servedFraction(best, slow) < servableThreshold {
		p.pending = split{}
		return nil
	}
	limit := max(1, len(v.Engines)/4) - changing
	chosen := p.selectChanges(now, v, current, best, limit)
	if len(chosen) == 0 || !p.paysBack(v, current, best, fast) || !p.paysBack(v, current, best, slow) {
		p.pending = split{}
		return nil
	}
	if !sameDirection(p.pending, best, current) {
		p.pending, p.pendingSince = best, now
	}
	if now-p.pendingSince < settleTime {
		return nil
	}
	for _, c := range chosen {
		last, known := p.history[c.Endpoint]
		if !known {
			last.lastAt = -maxShiftInterval
		}
		p.history[c.Endpoint] = changeHistory{lastAt: now, previousAt: last.lastAt, role: c.To}
	}
	asserter.Check(changing+len(chosen) <= max(1, len(v.Engines)/4), "at most a quarter of the engines changes at once",
		"%d changing, %d chosen of %d", changing, len(chosen), len(v.Engines))
	return chosen
}

func (p *Planner) defaults() {
	p.Horizon = cmp.Or(p.Horizon, DefaultHorizon)
	p.ChangeTime = cmp.Or(p.ChangeTime, DefaultChangeTime)
	p.Cooldown = cmp.Or(p.Cooldown, DefaultCooldown)
	p.MixedLoss = cmp.Or(p.MixedLoss, DefaultMixedLoss)
	if p.history == nil {
		p.history = map[namer.Endpoint]changeHistory{}
	}
}

func (p *Planner) updateAverages(now namer.Seconds, v View) {
	current := demand{v.Prompt, v.Output}
	if !p.started {
		p.started, p.averagedAt, p.fastAverage, p.slowAverage = true, now, current, current
		return
	}
	p.fastAverage.moveToward(current, (now-p.averagedAt)/fastTimeConstant)
	p.slowAverage.moveToward(current, (now-p.averagedAt)/slowTimeConstant)
	p.averagedAt = now
}

// demand is the offered work in tokens per second.
type demand struct{ prompt, output float64 }

// moveToward moves the average by the fraction step, at most 1, of its distance to current.
func (d *demand) moveToward(current demand, step namer.Seconds) {
	fraction := float64(min(1, step))
	d.prompt += (current.prompt - d.prompt) * fraction
	d.output += (current.output - d.output) * fraction
}

// countRoles counts the engines by role. A changing engine counts under its planned role.
func (p *Planner) countRoles(engines []Engine) (current split, changing int) {
	for _, e := range engines {
		role := e.Role
		if e.Changing {
			changing++
			if last, planned := p.history[e.Name]; planned {
				role = last.role
			}
		}
		switch {
		case e.Leaving:
		case role == namer.RolePrefill:
			current.prefill++
		case role == namer.RoleDecode:
			current.decode++
		default:
			current.mixed++
		}
	}
	return current, changing
}

// load is the offered work in units of engines: the seconds that one engine needs for the requests of
// one second.
type load struct{ prefill, decode float64 }

func (l load) scale(factor float64) load { return load{l.prefill * factor, l.decode * factor} }

const (
	// usableKVFraction is the fraction of the KV memory that streams can fill before engines preempt them.
	usableKVFraction = 0.85
	// prefillGain is the ratio of an engine's rate in the prefill role to the configured rate. It is
	// above 1 because such an engine processes longer chunks per step.
	prefillGain = 1.3
	// batchSlowdown is the ratio of the time between tokens in a full batch to that of a single stream.
	batchSlowdown = 2.0
)

// predictLoad predicts the load that the offered tokens cause. The decode capacity of an engine depends
// on the KV memory that the streams of the current mix use.
func (p *Planner) predictLoad(v View, d demand) load {
	prefillRate, decodeRate, streams, running, memory := 0.0, 0.0, 0.0, 0.0, 0.0
	prefillEngines, prefillEngineRate := 0.0, 0.0 // engines with the prefill role report their actual rate
	n := float64(len(v.Engines))
	for _, e := range v.Engines {
		prefillRate += e.PrefillRate / n
		decodeRate += e.DecodeRate / n
		streams += float64(e.Concurrency) / n
		if e.Role == namer.RolePrefill {
			prefillEngines++
			prefillEngineRate += e.PrefillRate
		}
		if e.Role.CanDecode() {
			running += float64(e.Running)
			memory += e.KVUsed
		}
	}
	if memory > 0 && running > 0 {
		streams = min(streams, usableKVFraction*running/memory)
	}
	prefillRate *= prefillGain
	if prefillEngines > 0 {
		prefillRate = max(prefillRate, prefillEngineRate/prefillEngines)
	}
	decodeRate *= max(streams, 1) / batchSlowdown
	return load{
		prefill: d.prompt / max(prefillRate, 1), decode: d.output / max(decodeRate, 1),
	}
}

// servedFraction returns the fraction of the load that a split can serve, at most 1. Prompts go to
// prefill engines first. Mixed engines process the other prompts, at a loss, and share the decoding
// with the decode engines.
func (p *Planner) servedFraction(s split, l load) float64 {
	prefill, mixed, decoders := float64(s.prefill), float64(s.mixed), float64(s.mixed+s.decode)
	fraction := 1.0
	if l.decode > 0 {
		fraction = min(fraction, decoders/l.decode)
	}
	if l.prefill == 0 || fraction*l.prefill <= prefill {
		return fraction
	}
	efficiency := 1 - p.MixedLoss
	fraction = min(fraction, (prefill+mixed*efficiency)/l.prefill)
	return min(fraction, (decoders+prefill/efficiency)/(l.prefill/efficiency+l.decode))
}

// searchSteps bounds the search in large sets: for each role, bestSplit tries between searchSteps and
// twice as many engine counts.
const searchSteps = 48

// bestSplit returns the split that serves the largest fraction of the load, among equal ones that with
// the fewest changes. Mixed engines also decode what prefill engines have processed, so bestSplit adds
// no decode engines.
func (p *Planner) bestSplit(current split, l load) split {
	n := current.engines()
	step := max(1, n/searchSteps)
	best, bestServed := current, p.servedFraction(current, l)
	for prefill := 0; prefill < n; prefill += step {
		for decode := 0; decode <= min(current.decode, n-prefill); decode += step {
			s := split{n - prefill - decode, prefill, decode}
			if (s.mixed == 0 && s.decode == 0) || (s.mixed == 0 && s.prefill == 0) {
				continue
			}
			served := p.servedFraction(s, l)
			if served > bestServed+1e-9 || (served > bestServed-1e-9 && changeCount(current, s) < changeCount(current, best)) {
				best, bestServed = s, max(served, bestServed)
			}
		}
	}
	return best
}

// changeCount returns the number of engines that change role between two splits.
func changeCount(from, to split) int {
	return max(0, to.mixed-from.mixed) + max(0, to.prefill-from.prefill) + max(0, to.decode-from.decode)
}

// selectChanges selects up to limit changes toward the best split, the cheapest first.
func (p *Planner) selectChanges(now namer.Seconds, v View, current, best split, limit int) []Change {
	surplus := map[namer.Role]int{
		namer.RoleMixed: current.mixed - best.mixed, namer.RolePrefill: current.prefill - best.prefill, namer.RoleDecode: current.decode - best.decode,
	}
	candidates := slices.Clone(v.Engines)
	slices.SortStableFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(p.changeCost(a), p.changeCost(b)), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Change
	for _, e := range candidates {
		last, known := p.history[e.Name]
		if len(chosen) >= limit || e.Changing || e.Leaving || surplus[e.Role] <= 0 ||
			(known && (now-last.lastAt < p.Cooldown || now-last.previousAt < maxShiftInterval)) {
			continue
		}
		to := namer.RoleMixed
		for _, role := range []namer.Role{namer.RolePrefill, namer.RoleDecode} {
			if surplus[role] < surplus[to] {
				to = role
			}
		}
		surplus[e.Role]--
		surplus[to]++
		chosen = append(chosen, Change{Endpoint: e.Name, From: e.Role, To: to})
	}
	return chosen
}

// typicalDrainTime is the approximate time in which all streams of an engine end.
const typicalDrainTime namer.Seconds = 10

// drainEstimate returns the expected drain time, which is shorter for an engine with few streams.
func (e Engine) drainEstimate() namer.Seconds {
	return typicalDrainTime * namer.Seconds(min(1, float64(e.Running)/max(1, float64(e.Concurrency)/4)))
}

// changeCost returns the engine time that is lost by a change of the engine.
func (p *Planner) changeCost(e Engine) namer.Seconds {
	// A draining engine is half used on average.
	return p.ChangeTime + e.drainEstimate()/2
}

// paysBack reports whether the whole transition to a split gains more within the horizon than it costs.
// A single step of it may gain little.
func (p *Planner) paysBack(v View, current, best split, l load) bool {
	maxCost := namer.Seconds(0)
	for _, e := range v.Engines {
		maxCost = max(maxCost, p.changeCost(e))
	}
	gain := (p.servedFraction(best, l) - p.servedFraction(current, l)) * (l.prefill + l.decode)
	return namer.Seconds(gain)*p.Horizon > paybackFactor*maxCost*namer.Seconds(changeCount(current, best))
}

// sameDirection reports whether two target splits shift capacity to the same phase.
func sameDirection(a, b, current split) bool {
	if a.engines() == 0 {
		return false
	}
	direction := func(s split) int {
		return cmp.Compare(s.prefill-s.decode, current.prefill-current.decode)
	}
	return direction(a) == direction(b)
}
