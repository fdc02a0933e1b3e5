// Package planner proposes role changes of engines when the mix of prefill and decode work shifts.
// It is pure; it runs only at the holder of a data centre's lease, and only package director carries
// its changes out. A Planner belongs to one goroutine and one set of interchangeable engines.
package planner

import (
	"cmp"
	"slices"

	"apricotspool/asserter"
	"apricotspool/namer"
)

// Engine is one engine as the planner sees it.
type Engine struct {
	Name     namer.Endpoint
	Role     namer.Role
	Changing bool // drains or carries out a command
	Leaving  bool
	// Of the last load report.
	Running        int
	WaitingPrefill namer.Tokens
	KVUsed         float64 // part of the KV memory, 0 to 1
	// PrefillRate and DecodeRate are tokens a second when idle, the latter of one stream.
	PrefillRate, DecodeRate float64
	Concurrency             int
}

// View is the state of one set of engines.
type View struct {
	Engines []Engine
	// Prompt and Output are the offered tokens a second, refused requests included.
	Prompt, Output float64
	// Missed is the part of the recent requests that were refused or missed their first-token target, 0 to 1.
	Missed float64
}

// Change is a proposed role change.
type Change struct {
	Endpoint namer.Endpoint
	From, To namer.Role
}

// Defaults of the planner's settings.
const (
	DefaultHorizon    namer.Seconds = 120 // shifts last 3 to 10 minutes
	DefaultChangeTime namer.Seconds = 8   // upper end of what engines take
	DefaultCooldown   namer.Seconds = 95  // at most two changes of an engine in a shift of 3 minutes
	// DefaultMixedLoss is what separate steps for decoding cost an engine that also processes prompts.
	DefaultMixedLoss = 0.4
)

// Planner holds the settings and what it remembers between plans. The zero value uses the defaults.
type Planner struct {
	Horizon    namer.Seconds // time over which a change must pay back
	ChangeTime namer.Seconds // an engine is unavailable for this long
	Cooldown   namer.Seconds // between two changes of one engine
	// MixedLoss is the part of an engine's capacity within targets that is lost while it serves both phases.
	MixedLoss float64

	fast, slow  offer
	at          namer.Seconds
	started     bool
	wanted      split
	wantedSince namer.Seconds
	changed     map[namer.Endpoint]record
}

const (
	// Both averages of the demand must agree: the fast one follows a shift within a quarter of a
	// minute, the slow one keeps a burst of long prompts from looking like a shift.
	fastTime namer.Seconds = 15
	slowTime namer.Seconds = 40
	// settle is how long the same change must look right.
	settle namer.Seconds = 6
	// payback is how many times their cost changes must gain within the horizon. With 2 the planner
	// stopped after the first step, since the second gains less than the whole way costs.
	payback = 1.0
	// satisfied is the part of the demand below which the present roles must fall before anything
	// changes. The demand is scaled up from one host and noisy even on a steady mix.
	satisfied = 0.93
	// tolerated is the part of the requests that may miss their target before anything changes. The
	// rates that engines are believed to have are learned under other loads and roles; while the
	// requests are served, a prediction that they can't be is wrong.
	tolerated = 0.05
	// flood is the part of the demand that the best split must be able to serve. Far more demand than
	// that is not a shift of the mix: most of it is refused, and roles that follow it fail the rest.
	flood = 0.85
	// headroom is the load above the offered one that roles are planned for.
	headroom = 1.2
)

// record holds the last changes of an engine.
type record struct {
	at, before namer.Seconds // of the last one and of the one before it
	to         namer.Role
}

// longestShift is the longest time between two shifts of the mix. An engine changes at most twice in it.
const longestShift namer.Seconds = 600

// split counts engines by role.
type split struct{ mixed, prefill, decode int }

func (s split) engines() int { return s.mixed + s.prefill + s.decode }

// Plan returns the changes to start now. It is called every second or so.
func (p *Planner) Plan(now namer.Seconds, v View) []Change {
	p.defaults()
	p.smooth(now, v)
	current, changing := p.count(v.Engines)
	if current.engines() < 2 {
		return nil
	}
	fast := p.load(v, p.fast)
	slow := p.load(v, p.slow)
	if v.Missed < tolerated || p.served(current, fast) >= satisfied || p.served(current, slow) >= satisfied {
		p.wanted = split{}
		return nil
	}
	best := p.best(current, slow.times(headroom))
	if p.served(best, fast) < flood || p.served(best, slow) < flood {
		p.wanted = split{}
		return nil
	}
	allowed := max(1, len(v.Engines)/4) - changing
	chosen := p.choose(now, v, current, best, allowed)
	if len(chosen) == 0 || !p.pays(v, current, best, fast) || !p.pays(v, current, best, slow) {
		p.wanted = split{}
		return nil
	}
	if !sameDirection(p.wanted, best, current) {
		p.wanted, p.wantedSince = best, now
	}
	if now-p.wantedSince < settle {
		return nil
	}
	for _, c := range chosen {
		last, again := p.changed[c.Endpoint]
		if !again {
			last.at = -longestShift
		}
		p.changed[c.Endpoint] = record{at: now, before: last.at, to: c.To}
	}
	asserter.Check(changing+len(chosen) <= max(1, len(v.Engines)/4), "at most one engine in four changes at once",
		"%d changing, %d chosen of %d", changing, len(chosen), len(v.Engines))
	return chosen
}

func (p *Planner) defaults() {
	p.Horizon = cmp.Or(p.Horizon, DefaultHorizon)
	p.ChangeTime = cmp.Or(p.ChangeTime, DefaultChangeTime)
	p.Cooldown = cmp.Or(p.Cooldown, DefaultCooldown)
	p.MixedLoss = cmp.Or(p.MixedLoss, DefaultMixedLoss)
	if p.changed == nil {
		p.changed = map[namer.Endpoint]record{}
	}
}

func (p *Planner) smooth(now namer.Seconds, v View) {
	present := offer{v.Prompt, v.Output}
	if !p.started {
		p.started, p.at, p.fast, p.slow = true, now, present, present
		return
	}
	p.fast.follow(present, (now-p.at)/fastTime)
	p.slow.follow(present, (now-p.at)/slowTime)
	p.at = now
}

// offer is the offered work in tokens a second.
type offer struct{ prompt, output float64 }

func (o *offer) follow(present offer, step namer.Seconds) {
	part := float64(min(1, step))
	o.prompt += (present.prompt - o.prompt) * part
	o.output += (present.output - o.output) * part
}

// count counts the engines by role, those that change by their next one.
func (p *Planner) count(engines []Engine) (current split, changing int) {
	for _, e := range engines {
		role := e.Role
		if e.Changing {
			changing++
			if last, planned := p.changed[e.Name]; planned {
				role = last.to
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

// load is the offered work in engines: the time that one engine needs for one second's requests.
type load struct{ prefill, decode float64 }

func (l load) times(factor float64) load { return load{l.prefill * factor, l.decode * factor} }

const (
	// memoryUse is the part of the KV memory that streams fill before engines preempt them.
	memoryUse = 0.85
	// prefillGain is the rate of an engine with the prefill role relative to the configured one, since
	// it processes longer chunks in a step.
	prefillGain = 1.3
	// batchSlowdown is the time between tokens in a full batch relative to that of a single stream.
	batchSlowdown = 2.0
)

// load predicts the work of the offered tokens. The decode capacity of an engine depends on the
// memory that the streams of the present mix take.
func (p *Planner) load(v View, o offer) load {
	prefillRate, decodeRate, streams, running, memory := 0.0, 0.0, 0.0, 0.0, 0.0
	special, specialRate := 0.0, 0.0 // engines with the prefill role show its rate themselves
	n := float64(len(v.Engines))
	for _, e := range v.Engines {
		prefillRate += e.PrefillRate / n
		decodeRate += e.DecodeRate / n
		streams += float64(e.Concurrency) / n
		if e.Role == namer.RolePrefill {
			special++
			specialRate += e.PrefillRate
		}
		if e.Role.CanDecode() {
			running += float64(e.Running)
			memory += e.KVUsed
		}
	}
	if memory > 0 && running > 0 {
		streams = min(streams, memoryUse*running/memory)
	}
	prefillRate *= prefillGain
	if special > 0 {
		prefillRate = max(prefillRate, specialRate/special)
	}
	decodeRate *= max(streams, 1) / batchSlowdown
	return load{
		prefill: o.prompt / max(prefillRate, 1), decode: o.output / max(decodeRate, 1),
	}
}

// served returns the part of the load that a split can serve, at most 1. Prompts go to prefill
// engines first; mixed engines take the rest, at a loss, and the decoding.
func (p *Planner) served(s split, l load) float64 {
	prefill, mixed, others := float64(s.prefill), float64(s.mixed), float64(s.mixed+s.decode)
	part := 1.0
	if l.decode > 0 {
		part = min(part, others/l.decode)
	}
	if l.prefill == 0 || part*l.prefill <= prefill {
		return part
	}
	whole := 1 - p.MixedLoss
	part = min(part, (prefill+mixed*whole)/l.prefill)
	return min(part, (others+prefill/whole)/(l.prefill/whole+l.decode))
}

// granularity bounds the splits that are compared in large sets.
const granularity = 48

// best returns the split that serves most; of equal ones that with the fewest changes. Mixed engines
// decode what prefill engines have processed, so none is given up for the decode role.
func (p *Planner) best(current split, l load) split {
	n := current.engines()
	step := max(1, n/granularity)
	best, bestServed := current, p.served(current, l)
	for prefill := 0; prefill < n; prefill += step {
		for decode := 0; decode <= min(current.decode, n-prefill); decode += step {
			s := split{n - prefill - decode, prefill, decode}
			if (s.mixed == 0 && s.decode == 0) || (s.mixed == 0 && s.prefill == 0) {
				continue
			}
			served := p.served(s, l)
			if served > bestServed+1e-9 || (served > bestServed-1e-9 && moves(current, s) < moves(current, best)) {
				best, bestServed = s, max(served, bestServed)
			}
		}
	}
	return best
}

func moves(from, to split) int {
	return max(0, to.mixed-from.mixed) + max(0, to.prefill-from.prefill) + max(0, to.decode-from.decode)
}

// choose picks the engines whose change is cheapest.
func (p *Planner) choose(now namer.Seconds, v View, current, best split, allowed int) []Change {
	surplus := map[namer.Role]int{
		namer.RoleMixed: current.mixed - best.mixed, namer.RolePrefill: current.prefill - best.prefill, namer.RoleDecode: current.decode - best.decode,
	}
	candidates := slices.Clone(v.Engines)
	slices.SortStableFunc(candidates, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(p.cost(a), p.cost(b)), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Change
	for _, e := range candidates {
		last, before := p.changed[e.Name]
		if len(chosen) >= allowed || e.Changing || e.Leaving || surplus[e.Role] <= 0 ||
			(before && (now-last.at < p.Cooldown || now-last.before < longestShift)) {
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

// drainTime is about the time in which the streams of an engine end.
const drainTime namer.Seconds = 10

func (e Engine) drain() namer.Seconds {
	return drainTime * namer.Seconds(min(1, float64(e.Running)/max(1, float64(e.Concurrency)/4)))
}

// cost is the engine time that a change of the engine loses.
func (p *Planner) cost(e Engine) namer.Seconds {
	// While it drains an engine is half used on average.
	return p.ChangeTime + e.drain()/2
}

// pays reports whether the whole way to a split gains more within the horizon than it costs. A step
// on the way can gain little by itself.
func (p *Planner) pays(v View, current, best split, l load) bool {
	dearest := namer.Seconds(0)
	for _, e := range v.Engines {
		dearest = max(dearest, p.cost(e))
	}
	gain := (p.served(best, l) - p.served(current, l)) * (l.prefill + l.decode)
	return namer.Seconds(gain)*p.Horizon > payback*dearest*namer.Seconds(moves(current, best))
}

// sameDirection reports whether two wanted splits ask for more of the same phase.
func sameDirection(a, b, current split) bool {
	if a.engines() == 0 {
		return false
	}
	direction := func(s split) int {
		return cmp.Compare(s.prefill-s.decode, current.prefill-current.decode)
	}
	return direction(a) == direction(b)
}
