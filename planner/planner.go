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
	Changing bool // a command is being carried out
	Leaving  bool
	// Drain is the time until the work in progress has finished.
	Drain    namer.Seconds
	KVTokens float64 // tokens of KV cache that would have to be moved or computed again
	// PrefillRate and DecodeRate are tokens a second of an engine that does nothing else and meets
	// the targets.
	PrefillRate, DecodeRate float64
}

// View is the state of one set of engines.
type View struct {
	Engines []Engine
	// Prompt and Output are the offered tokens a second, refused requests included.
	Prompt, Output float64
	TransferTime   namer.Seconds // to move the KV cache of one token
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
	DefaultMixedLoss                = 0.1
)

// Planner holds the settings and what it remembers between plans. The zero value uses the defaults.
type Planner struct {
	Horizon    namer.Seconds // time over which a change must pay back
	ChangeTime namer.Seconds // an engine is unavailable for this long
	Cooldown   namer.Seconds // between two changes of one engine
	// MixedLoss is the part of an engine's capacity within targets that is lost while it serves both phases.
	MixedLoss float64

	slowPrompt, slowOutput float64
	at                     namer.Seconds
	started                bool
	wanted                 split
	wantedSince            namer.Seconds
	changed                map[namer.Endpoint]namer.Seconds
}

const (
	// slowTime smooths the demand so that a burst of long prompts does not look like a shift.
	slowTime namer.Seconds = 30
	// settle is how long the same change must look right.
	settle namer.Seconds = 6
	// payback is how many times its cost a change must gain within the horizon.
	payback = 2.0
	// satisfied is the part of the demand that the present roles must fail to serve before anything
	// changes: on a steady mix that fits, nothing is changed for a small gain.
	satisfied = 0.97
	// headroom is the load above the offered one that roles are planned for.
	headroom = 1.1
)

// split counts engines by role.
type split struct{ mixed, prefill, decode int }

func (s split) engines() int { return s.mixed + s.prefill + s.decode }

// Plan returns the changes to start now. It is called every second or so.
func (p *Planner) Plan(now namer.Seconds, v View) []Change {
	p.defaults()
	p.smooth(now, v)
	current, changing := count(v.Engines)
	if current.engines() < 2 {
		return nil
	}
	fast := p.load(v, v.Prompt, v.Output)
	slow := p.load(v, p.slowPrompt, p.slowOutput)
	if p.served(current, fast) >= satisfied || p.served(current, slow) >= satisfied {
		p.wanted = split{}
		return nil
	}
	best := p.best(current, slow)
	allowed := max(1, len(v.Engines)/4) - changing
	chosen := p.choose(now, v, current, best, allowed)
	if len(chosen) == 0 || !p.pays(v, current, chosen, fast) || !p.pays(v, current, chosen, slow) {
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
		p.changed[c.Endpoint] = now
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
		p.changed = map[namer.Endpoint]namer.Seconds{}
	}
}

func (p *Planner) smooth(now namer.Seconds, v View) {
	if !p.started {
		p.started, p.at, p.slowPrompt, p.slowOutput = true, now, v.Prompt, v.Output
		return
	}
	step := float64(min(1, (now-p.at)/slowTime))
	p.at = now
	p.slowPrompt += (v.Prompt - p.slowPrompt) * step
	p.slowOutput += (v.Output - p.slowOutput) * step
}

func count(engines []Engine) (current split, changing int) {
	for _, e := range engines {
		switch {
		case e.Changing:
			changing++
		case e.Leaving:
		case e.Role == namer.RolePrefill:
			current.prefill++
		case e.Role == namer.RoleDecode:
			current.decode++
		default:
			current.mixed++
		}
	}
	return current, changing
}

// load is the offered work in engines: the time that one engine needs for one second's requests.
type load struct{ prefill, decode, transfer float64 }

func (p *Planner) load(v View, prompt, output float64) load {
	prefillRate, decodeRate := 0.0, 0.0
	for _, e := range v.Engines {
		prefillRate += e.PrefillRate / float64(len(v.Engines))
		decodeRate += e.DecodeRate / float64(len(v.Engines))
	}
	return load{
		prefill: headroom * prompt / max(prefillRate, 1), decode: headroom * output / max(decodeRate, 1),
		transfer: headroom * prompt * float64(v.TransferTime),
	}
}

// served returns the part of the load that a split can serve, at most 1.
func (p *Planner) served(s split, l load) float64 {
	if l.prefill+l.decode == 0 {
		return 1
	}
	mixed := float64(s.mixed) * (1 - p.MixedLoss)
	prefill, decode := float64(s.prefill), float64(s.decode)
	// Prompts that prefill engines process move their KV cache to the others.
	moved := l.transfer
	if l.prefill > 0 {
		moved *= min(1, prefill/l.prefill)
	}
	part := (prefill + decode + mixed) / (l.prefill + l.decode + moved)
	if l.prefill > 0 {
		part = min(part, (prefill+mixed)/l.prefill)
	}
	if l.decode > 0 {
		part = min(part, (decode+mixed)/(l.decode+moved))
	}
	return min(1, part)
}

// granularity bounds the splits that are compared in large sets.
const granularity = 48

// best returns the split that serves most; of equal ones that with the fewest changes.
func (p *Planner) best(current split, l load) split {
	n := current.engines()
	step := max(1, n/granularity)
	best, bestServed := current, p.served(current, l)
	for prefill := 0; prefill < n; prefill += step {
		for decode := 0; prefill+decode <= n; decode += step {
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
		return cmp.Or(cmp.Compare(p.cost(v, a), p.cost(v, b)), cmp.Compare(a.Name, b.Name))
	})
	var chosen []Change
	for _, e := range candidates {
		last, before := p.changed[e.Name]
		if len(chosen) >= allowed || e.Changing || e.Leaving || surplus[e.Role] <= 0 || (before && now-last < p.Cooldown) {
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

// cost is the engine time that a change of the engine loses.
func (p *Planner) cost(v View, e Engine) namer.Seconds {
	// While it drains an engine is half used on average.
	return p.ChangeTime + e.Drain/2 + namer.Seconds(e.KVTokens)*v.TransferTime
}

// pays reports whether the changes gain more within the horizon than they cost.
func (p *Planner) pays(v View, current split, chosen []Change, l load) bool {
	after := current
	cost := namer.Seconds(0)
	for _, c := range chosen {
		after = after.move(c)
		i := slices.IndexFunc(v.Engines, func(e Engine) bool { return e.Name == c.Endpoint })
		cost += p.cost(v, v.Engines[i])
	}
	gain := (p.served(after, l) - p.served(current, l)) * (l.prefill + l.decode)
	return namer.Seconds(gain)*p.Horizon > payback*cost
}

func (s split) move(c Change) split {
	for _, role := range []struct {
		name  namer.Role
		delta int
	}{{c.From, -1}, {c.To, 1}} {
		switch role.name {
		case namer.RolePrefill:
			s.prefill += role.delta
		case namer.RoleDecode:
			s.decode += role.delta
		default:
			s.mixed += role.delta
		}
	}
	return s
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
