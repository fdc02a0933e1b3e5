package provisioner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"apricotspool/matcher"
	"apricotspool/namer"
)

const (
	// fill is the part of the engines that the peak of the load may take, and lossFill the part after all preemptible
	// engines of a data centre are gone. The wait for an engine is about fill/(1-fill) times the time that a prompt
	// takes: half of it at 0.35, once at 0.5. Prompts take up to 100 ms, the strictest targets are 100 to 200 ms.
	// Loads are moving averages over 2 s, so that bursts exceed them, and new engines have cold caches.
	fill     = 0.35
	lossFill = 0.5
	// unprovenLossShare is the part of the engines at the first load that must be left after a loss while the load isn't
	// proven.
	unprovenLossShare = 2.0 / 3
	// releaseMargin is the factor by which the load may grow without more engines being ordered after a release.
	releaseMargin = 1.15
	// maxReleaseShare is the part of the engines that is released at a time.
	maxReleaseShare = 1.0 / 2
	// settleBoots is the part of the boot time for which an engine serves before it replaces another one: its cache is
	// cold at first.
	settleBoots = 0.5
	// silenceBoots is the part of the boot time after which an engine that doesn't answer is no longer supply. Crashed
	// engines are often back before.
	silenceBoots = 0.5
	// appearBoots is the time for an ordered engine to appear, in boot times, and appearMargin is added for the store.
	appearBoots  = 1.25
	appearMargin = 2 * time.Second
	// holdBoots is how long a lower number must be wanted before engines are released, and effectBoots the time between
	// two releases, in which the first one shows in the load.
	holdBoots, effectBoots = 1, 1
	// reclaimBoots is how long preemptible engines count as not to be had after the platform has taken some back.
	reclaimBoots = 3
	// Engines that were refused count as not to be had for refusedBoots at first, and those that were accepted and haven't
	// appeared for undeliveredBoots, in boot times: asking again for these costs the time for them to appear. The platform
	// says that a shortage lasts 2 to 3 boot times.
	refusedBoots, undeliveredBoots, maxBlockBoots = 0.5, 2, 2
	// minRetryPause is the pause after a first failed order.
	minRetryPause = 500 * time.Millisecond
	// minKnownShare is the part of the engines whose load has to be known. A holder that is cut off from the daemons which
	// report loads must not take the silence for an idle fleet.
	minKnownShare = 0.75
	// maxEngines bounds the engines of a data centre, whatever the configuration says. The design target is 1,600 in all.
	maxEngines = 2000
	// maxPrice bounds the relative prices, so that sums of them can be compared.
	maxPrice = 1e6
	// minBoot bounds the boot time, from which the other times are derived.
	minBoot = 100 * time.Millisecond
)

// boots returns a time in boot times.
func boots(s *matcher.Scaling, count float64) time.Duration {
	return time.Duration(count * float64(s.Boot))
}

func appearTime(s *matcher.Scaling) time.Duration { return boots(s, appearBoots) + appearMargin }

// Planner plans the engines of one service. The zero value has observed nothing.
type Planner struct {
	demand     demand
	groups     map[Group]*group
	sightings  map[namer.Endpoint]*sighting
	start      need      // what the engines at the first load could do
	releasedAt time.Time // last release
	heldAt     time.Time // first observation of this holder; zero before
	fixed      int       // serving engines in data centres without a price
	lost       time.Time // last loss of engines
	blind      bool      // the load of too many engines is unknown
}

// sighting is what is known of one engine.
type sighting struct {
	servesSince, silentSince time.Time
	reclaimed, seen          bool
}

// Observe records the engines and their load.
func (p *Planner) Observe(now time.Time, s matcher.Scaling, engines []Engine) {
	s.Boot = max(s.Boot, minBoot)
	if p.groups == nil {
		p.groups, p.sightings = map[Group]*group{}, map[namer.Endpoint]*sighting{}
	}
	if p.heldAt.IsZero() {
		p.heldAt = now
	}
	p.demand.period = boots(&s, periodBoots)
	for _, g := range p.groups {
		g.present, g.serving, g.settled, g.leaving = 0, 0, 0, 0
	}
	for d := range s.Prices {
		p.group(Group{d, OnDemand})
		p.group(Group{d, Preemptible})
	}
	for _, e := range p.sightings {
		e.seen = false
	}
	work, known := 0.0, 0
	speed := p.speed(now, engines)
	for i := range engines {
		if p.observeEngine(now, &s, &engines[i]); engines[i].LoadKnown {
			work += engines[i].work(speed)
			known++
		}
	}
	p.observeReclaims(now, &s, engines)
	maps.DeleteFunc(p.sightings, func(_ namer.Endpoint, e *sighting) bool { return !e.seen })
	for name, g := range p.groups {
		if p.cutOff(name.DataCentre) {
			g.settled = 0
		}
	}
	wasKnown := p.demand.known()
	if p.blind = float64(known) < minKnownShare*float64(len(engines)); !p.blind && known > 0 {
		p.demand.observe(now, work*float64(len(engines))/float64(known), len(engines))
	}
	if p.demand.known() && !wasKnown {
		p.start.all, p.start.afterLoss = p.supply()
	}
	for _, g := range p.groups {
		g.expire(now, &s)
	}
}

// speed returns how much faster engines have recently processed prompts than they do now.
func (p *Planner) speed(now time.Time, engines []Engine) float64 {
	fastest := 0.0
	for i := range engines {
		fastest = max(fastest, engines[i].Rate)
	}
	if fastest <= 0 {
		return 1
	}
	return p.demand.bestRate(now, fastest) / fastest
}

func (p *Planner) group(name Group) *group {
	if p.groups[name] == nil {
		p.groups[name] = &group{}
	}
	return p.groups[name]
}

func (p *Planner) observeEngine(now time.Time, s *matcher.Scaling, e *Engine) {
	g, seen := p.group(Group{e.DataCentre, e.Kind}), p.sightings[e.Name]
	if seen == nil {
		seen = &sighting{servesSince: now}
		p.sightings[e.Name] = seen
	}
	seen.seen = true
	if e.Leaving {
		g.leaving++
		if e.LeavesIn > 0 && !seen.reclaimed {
			seen.reclaimed = true
			p.reclaim(now, s, g, e.Kind)
		}
		return
	}
	g.present++
	switch {
	case e.Answering:
		seen.silentSince = time.Time{}
	case seen.silentSince.IsZero():
		seen.silentSince = now
	}
	if !seen.silentSince.IsZero() && now.Sub(seen.silentSince) >= boots(s, silenceBoots) {
		seen.servesSince, p.lost = now, now
		return
	}
	g.serving++
	if now.Sub(seen.servesSince) >= boots(s, settleBoots) {
		g.settled++
	}
}

// observeReclaims notes groups of preemptible engines of which most leave, although that wasn't ordered. An entry need not
// say when its engine ends: the platform takes back all of a data centre at once, while other causes leave most of them.
func (p *Planner) observeReclaims(now time.Time, s *matcher.Scaling, engines []Engine) {
	for i := range engines {
		e := &engines[i]
		g, seen := p.groups[Group{e.DataCentre, e.Kind}], p.sightings[e.Name]
		if e.Leaving && e.Kind == Preemptible && !seen.reclaimed && g.leaving > g.present {
			seen.reclaimed = true
			p.reclaim(now, s, g, e.Kind)
		}
	}
}

// reclaim notes that the platform takes an engine back, unless that was ordered.
func (p *Planner) reclaim(now time.Time, s *matcher.Scaling, g *group, kind Kind) {
	if kind != Preemptible || g.lowered {
		return
	}
	p.lost = now
	g.orderedAt, g.blockedTill = time.Time{}, now.Add(boots(s, reclaimBoots))
}

// supply returns the number of serving engines, and the number that is left after the worst loss.
func (p *Planner) supply() (all, afterLoss int) {
	counts := map[Group]int{}
	for name, g := range p.groups {
		if !p.cutOff(name.DataCentre) {
			counts[name] = g.serving
		}
	}
	return remaining(counts)
}

// Plan returns the orders to send now. The caller reports the result of each with Record before the next call.
func (p *Planner) Plan(now time.Time, s matcher.Scaling) []Order {
	s.Boot, s.Max = max(s.Boot, minBoot), min(s.Max, maxEngines)
	if len(s.Prices) == 0 || s.Max <= 0 || p.groups == nil {
		return nil
	}
	offers := p.offers(now, &s)
	wanted, kept := p.need(now, 1), p.need(now, releaseMargin)
	wanted.min, kept.min = min(s.Min, s.Max), min(s.Min, s.Max)
	p.setTargets(now, &s, offers, wanted, kept)
	orders := p.increases(now, &s, offers, wanted)
	if len(orders) == 0 {
		orders = p.releases(now, &s, kept)
	}
	return orders
}

// need returns what the engines have to fulfil if the load grows by a factor. Until the load is proven they replace those
// that were there at its beginning, so that no data centre's loss leaves fewer than before.
func (p *Planner) need(now time.Time, factor float64) need {
	work := factor * p.demand.peak()
	n := need{all: int(math.Ceil(work / fill)), afterLoss: int(math.Ceil(work / lossFill))}
	if !p.demand.proven(now) {
		n.all = max(n.all, p.start.all)
		n.afterLoss = max(n.afterLoss, min(p.start.afterLoss, int(math.Ceil(unprovenLossShare*float64(p.start.all)))))
	}
	return n
}

// cutOff reports whether most engines of a data centre don't answer.
func (p *Planner) cutOff(d namer.DataCentre) bool {
	present, serving := 0, 0
	for kind := range kinds {
		if g := p.groups[Group{d, kind}]; g != nil {
			present, serving = present+g.present, serving+g.serving
		}
	}
	return 2*serving < present
}

// offers returns what can be ordered. A data centre that is cut off offers nothing, and engines that don't answer take
// their place in the maximum.
func (p *Planner) offers(now time.Time, s *matcher.Scaling) []offer {
	var offers []offer
	p.fixed = 0
	for name, g := range p.groups {
		if _, priced := s.Prices[name.DataCentre]; !priced && !p.cutOff(name.DataCentre) {
			p.fixed += g.serving
		}
	}
	for _, d := range slices.Sorted(maps.Keys(s.Prices)) {
		if p.cutOff(d) {
			continue
		}
		price := min(max(0, s.Prices[d]), maxPrice)
		o := offer{dataCentre: d, price: price, preemptible: price * s.PreemptiblePrice, max: s.Max}
		for kind := range kinds {
			g := p.groups[Group{d, kind}]
			o.max -= g.present - g.serving
			o.present[kind], o.limits[kind] = g.present, s.Max
			if now.Before(g.blockedTill) {
				o.limits[kind] = max(g.serving, g.assumed()-(g.present-g.serving))
			}
		}
		if s.PreemptiblePrice <= 0 || s.PreemptiblePrice >= 1 { // not offered, or no gain for its risk
			o.limits[Preemptible] = 0
		}
		offers = append(offers, o)
	}
	return offers
}

// setTargets computes the numbers that are wanted. Numbers of data centres that are cut off stay as they are.
func (p *Planner) setTargets(now time.Time, s *matcher.Scaling, offers []offer, wanted, kept need) {
	wanted.all, wanted.afterLoss = max(0, wanted.all-p.fixed), max(0, wanted.afterLoss-p.fixed)
	kept.all, kept.afterLoss = max(0, kept.all-p.fixed), max(0, kept.afterLoss-p.fixed)
	plan, keep := cheapest(offers, wanted), cheapest(offers, kept)
	hold, replacing := boots(s, holdBoots), false
	for name, g := range p.groups {
		replacing = replacing || (name.Kind == OnDemand && p.demand.known() && g.present > keep[name.DataCentre][OnDemand])
	}
	for name, g := range p.groups {
		if !slices.ContainsFunc(offers, func(o offer) bool { return o.dataCentre == name.DataCentre }) {
			g.targets = nil
			g.setTarget(now, g.assumed(), hold)
			continue
		}
		silent := g.present - g.serving
		count, atLeast := plan[name.DataCentre][name.Kind], keep[name.DataCentre][name.Kind]
		if !p.demand.known() { // nothing but the minimum is known
			count = max(g.assumed()-silent, min(count, g.assumed()-silent+max(0, wanted.min-p.assumedIn(name.DataCentre))))
			atLeast = count
		}
		g.setTarget(now, max(count, atLeast)+silent, hold)
		if replacing && name.Kind == Preemptible {
			count = max(count, atLeast) // enough for the release of the dearer engines
		}
		g.wanted = count + silent
	}
}

func (p *Planner) assumedIn(d namer.DataCentre) int {
	return p.groups[Group{d, OnDemand}].assumed() + p.groups[Group{d, Preemptible}].assumed()
}

// names returns the groups in a fixed order.
func (p *Planner) names() []Group {
	return slices.SortedFunc(maps.Keys(p.groups), func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(b.Kind, a.Kind))
	})
}

// increases returns the orders of more engines, which are sent at once. If ordered engines of the other kind that haven't
// appeared leave no room, these are withdrawn first, since the platform may still bring them.
func (p *Planner) increases(now time.Time, s *matcher.Scaling, offers []offer, n need) []Order {
	var orders []Order
	added := map[Group]int{}
	add := func(name Group, desired int) {
		g := p.groups[name]
		added[name] = desired
		if !now.Before(g.retryAt) {
			orders = append(orders, Order{Group: name, Desired: desired, Before: g.assumed(), Reason: p.reason(now, s, offers, n), Basis: p.basis(n)})
		}
	}
	for _, name := range p.names() {
		g, otherName := p.groups[name], Group{name.DataCentre, 1 - name.Kind}
		other := p.groups[otherName]
		if other == nil || g.wanted <= g.assumed() || now.Before(g.blockedTill) {
			continue
		}
		room := s.Max - max(p.atMost(now, s, other), added[otherName])
		if needed := max(other.present, min(other.wanted, other.assumed())); g.wanted > room && other.booting() == 0 && p.atMost(now, s, other) > needed {
			add(otherName, needed)
			continue
		}
		if desired := min(g.wanted, room); desired > g.assumed() {
			add(name, desired)
		}
	}
	return orders
}

// atMost returns the number of engines of a group that there can be. What the last holder has ordered is unknown until it has
// appeared or has been replaced by another order.
func (p *Planner) atMost(now time.Time, s *matcher.Scaling, g *group) int {
	if !g.known && now.Sub(p.heldAt) < appearTime(s) {
		return s.Max
	}
	return max(g.assumed(), g.present, g.standing)
}

func (p *Planner) basis(n need) Basis { return Basis{p.demand.peak(), n.all, n.afterLoss} }

// reason says why more engines are wanted.
func (p *Planner) reason(now time.Time, s *matcher.Scaling, offers []offer, n need) Reason {
	all, afterLoss := p.supply()
	blocked := slices.ContainsFunc(slices.Collect(maps.Values(p.groups)), func(g *group) bool { return now.Before(g.blockedTill) })
	switch {
	case (!p.lost.IsZero() && now.Sub(p.lost) < boots(s, reclaimBoots)) || len(offers) < len(s.Prices):
		return ReasonLoss
	case blocked:
		return ReasonUnavailable
	case all >= n.all && afterLoss >= n.afterLoss:
		return ReasonReplacement
	}
	return ReasonLoad
}

// releases returns the orders of fewer engines, the dearest first. What remains fulfils the need with engines that have
// served for a while, also if an order without an answer has been carried out. One release is made at a time.
func (p *Planner) releases(now time.Time, s *matcher.Scaling, n need) []Order {
	if !p.demand.known() || p.blind || now.Sub(p.releasedAt) < boots(s, effectBoots) {
		return nil
	}
	left := map[Group]int{}
	for name, g := range p.groups {
		if g.releasing() {
			return nil
		}
		left[name] = g.atLeast()
	}
	all, _ := remaining(left)
	released := map[Group]int{}
	for limit := max(1, int(maxReleaseShare*float64(all))); limit > 0; limit-- {
		next, found := p.dearest(now, s, n, left, released)
		if !found {
			break
		}
		left[next]--
		released[next]++
	}
	var orders []Order
	for _, name := range p.names() {
		if count := released[name]; count > 0 {
			g, reason := p.groups[name], ReasonSurplus
			if name.Kind == OnDemand && p.serves(Preemptible) {
				reason = ReasonReplaced
			}
			p.releasedAt = now
			orders = append(orders, Order{Group: name, Desired: g.present - count, Before: g.present, Reason: reason, Basis: p.basis(n)})
		}
	}
	return orders
}

func (p *Planner) serves(kind Kind) bool {
	for name, g := range p.groups {
		if name.Kind == kind && g.serving > 0 {
			return true
		}
	}
	return false
}

// dearest returns the group of the dearest engine that can be released.
func (p *Planner) dearest(now time.Time, s *matcher.Scaling, n need, left, released map[Group]int) (dearest Group, found bool) {
	highest := 0.0
	for _, name := range p.names() {
		g, price := p.groups[name], s.Prices[name.DataCentre]
		if name.Kind == Preemptible {
			price *= s.PreemptiblePrice
		}
		if g.present-released[name] <= max(g.heldTarget(), 0) || left[name] <= 0 || now.Before(g.retryAt) ||
			(found && cmp.Or(cmp.Compare(price, highest), cmp.Compare(left[name], left[dearest])) <= 0) {
			continue
		}
		other := Group{name.DataCentre, 1 - name.Kind}
		if g.present-released[name]+p.group(other).present-released[other] <= n.min {
			continue
		}
		left[name]--
		all, afterLoss := remaining(left)
		left[name]++
		if all >= n.all && afterLoss >= n.afterLoss {
			dearest, highest, found = name, price, true
		}
	}
	return dearest, found
}

func remaining(left map[Group]int) (all, afterLoss int) {
	worst := 0
	for name, count := range left {
		all += count
		if name.Kind == Preemptible {
			worst = max(worst, count)
		}
	}
	return all, all - worst
}

// Record notes the result of an order.
func (p *Planner) Record(now time.Time, s matcher.Scaling, o Order, r Result) {
	s.Boot = max(s.Boot, minBoot)
	p.group(o.Group).record(now, o, r, &s)
}

// Counts returns the state of each group.
func (p *Planner) Counts() map[Group]Count {
	counts := map[Group]Count{}
	for name, g := range p.groups {
		counts[name] = Count{Wanted: g.wanted, Present: g.present, Booting: g.booting(), Leaving: g.leaving}
	}
	return counts
}

// Reset forgets all orders, since another daemon may have sent others meanwhile. What has been observed is kept.
func (p *Planner) Reset() {
	for _, g := range p.groups {
		*g = group{present: g.present, serving: g.serving, settled: g.settled, leaving: g.leaving, blockedTill: g.blockedTill}
	}
	p.releasedAt, p.heldAt = time.Time{}, time.Time{}
}
