package provisioner

import (
	"time"

	"apricotspool/matcher"
)

// group is what the planner knows of a group.
type group struct {
	present int // engines in the entries that aren't leaving
	serving int // of these, the ones that answer
	settled int // of these, the ones that have served for a while
	leaving int

	ordered   int
	orderedAt time.Time // zero if no order is in effect
	confirmed bool      // the platform has accepted it
	lowered   bool      // it was for fewer engines
	// standing is the number up to which the platform may still bring engines: that of the last order which it has accepted
	// or may have carried out. known says that there has been one.
	standing int
	known    bool
	// bootingSince is since when ordered engines have been missing without any appearing; zero if none are missing.
	bootingSince  time.Time
	presentBefore int // at the last observation
	retryAt       time.Time
	retryPause    time.Duration
	blockedTill   time.Time // no more are to be had until then
	blockPause    time.Duration
	wanted        int
	targets       []target // of the time for which a lower target must hold, with falling numbers
}

type target struct {
	at    time.Time
	count int
}

// assumed returns the number of engines that are there or have been ordered.
func (g *group) assumed() int {
	if g.orderedAt.IsZero() || !g.confirmed {
		return g.present
	}
	return g.ordered
}

// atLeast returns the number of settled engines that remain if all orders are carried out.
func (g *group) atLeast() int {
	if g.orderedAt.IsZero() {
		return g.settled
	}
	return max(0, min(g.settled, g.ordered-(g.present-g.settled)))
}

func (g *group) booting() int { return max(0, g.assumed()-g.present) }

// releasing reports whether engines that have been released are still there.
func (g *group) releasing() bool { return g.assumed() < g.present }

// expire ends the effect of orders after the time in which they should have shown. Engines that haven't appeared by then are
// not to be had for a while. The time counts from the first order without an effect: a rising load brings a new one at each
// plan.
func (g *group) expire(now time.Time, s *matcher.Scaling) {
	switch {
	case g.booting() == 0:
		g.bootingSince = time.Time{}
	case g.bootingSince.IsZero() || g.present > g.presentBefore:
		g.bootingSince = now
	case now.Sub(g.bootingSince) >= appearTime(s):
		g.block(now, boots(s, undeliveredBoots), s)
		g.orderedAt, g.bootingSince = time.Time{}, time.Time{}
	}
	g.presentBefore = g.present
	if g.orderedAt.IsZero() || now.Sub(g.orderedAt) < appearTime(s) {
		return
	}
	if g.present >= g.ordered {
		g.blockPause = 0
	}
	g.orderedAt, g.lowered = time.Time{}, false
}

// block assumes that no more engines are to be had for a while, at least for a time, and for longer each time in a row.
func (g *group) block(now time.Time, atLeast time.Duration, s *matcher.Scaling) {
	g.blockPause = min(max(atLeast, 2*g.blockPause), boots(s, maxBlockBoots))
	g.blockedTill = now.Add(g.blockPause)
}

// setTarget records the number that is wanted.
func (g *group) setTarget(now time.Time, count int, hold time.Duration) {
	g.wanted = count
	for len(g.targets) > 0 && g.targets[len(g.targets)-1].count <= count {
		g.targets = g.targets[:len(g.targets)-1]
	}
	g.targets = append(g.targets, target{now, count})
	for now.Sub(g.targets[0].at) > hold {
		g.targets = g.targets[1:]
	}
}

// heldTarget returns the highest number that was wanted while a lower one must hold.
func (g *group) heldTarget() int { return g.targets[0].count }

// record notes the result of an order.
func (g *group) record(now time.Time, o Order, r Result, s *matcher.Scaling) {
	if r == Unavailable { // an earlier order stays in effect
		g.block(now, boots(s, refusedBoots), s)
		return
	}
	g.ordered, g.orderedAt, g.confirmed, g.lowered = o.Desired, now, r == Accepted, o.Desired < o.Before
	switch r {
	case Accepted:
		g.standing, g.known = o.Desired, true
		g.retryPause, g.retryAt = 0, time.Time{}
	default:
		if r == Failed {
			g.standing = max(g.standing, o.Desired)
		}
		g.retryPause = min(max(minRetryPause, 2*g.retryPause), s.Boot)
		g.retryAt = now.Add(g.retryPause)
	}
}
