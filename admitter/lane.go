package admitter

import (
	"math"

	"apricotspool/namer"
)

// lane holds the waiting requests of one rank as a heap by start tag (start-time fair queueing): a
// caller's next request starts, in virtual time, where its previous one ends.
type lane struct {
	rules   Rules
	entries []Entry
	total   float64 // cost of the entries
	virtual float64 // greatest start tag that was dispatched
	finish  map[namer.Caller]float64
	credit  float64 // engine seconds that the rank is owed while others are served before it
	inflow  decayed // cost dispatched
	refused decayed // cost refused
}

// purgeAt is the number of callers from which the lane forgets those without a claim on the future.
const purgeAt = 4096

func (e Entry) before(other Entry) bool {
	if e.Forced != other.Forced {
		return e.Forced
	}
	if e.tag != other.tag {
		return e.tag < other.tag
	}
	return e.seq < other.seq
}

func (l *lane) start(caller namer.Caller) float64 { return max(l.virtual, l.finish[caller]) }

func (l *lane) charge(e Entry) {
	if e.Forced {
		return // it was charged when it was accepted
	}
	if l.finish == nil {
		l.finish = map[namer.Caller]float64{}
	}
	l.finish[e.Caller] = e.tag + float64(e.Cost)/e.Weight
	if len(l.finish) < purgeAt {
		return
	}
	for caller, finish := range l.finish {
		if finish <= l.virtual {
			delete(l.finish, caller)
		}
	}
}

// refund returns the charge of a request that was never dispatched.
func (l *lane) refund(e Entry) {
	if finish, ok := l.finish[e.Caller]; ok && !e.Forced {
		l.finish[e.Caller] = max(l.virtual, finish-float64(e.Cost)/e.Weight)
	}
}

func (l *lane) costBefore(tag float64) float64 {
	sum := 0.0
	for i := range l.entries {
		if l.entries[i].tag <= tag {
			sum += float64(l.entries[i].Cost)
		}
	}
	return sum
}

// last returns the entry that would be served last, apart from those that must not be refused.
func (l *lane) last() (Entry, bool) {
	found := -1
	for i := range l.entries {
		if !l.entries[i].Forced && (found < 0 || l.entries[found].before(l.entries[i])) {
			found = i
		}
	}
	if found < 0 {
		return Entry{}, false
	}
	return l.entries[found], true
}

func (l *lane) push(e Entry) {
	l.entries = append(l.entries, e)
	l.total += float64(e.Cost)
	l.up(len(l.entries) - 1)
}

func (l *lane) remove(id namer.StreamID) (Entry, bool) {
	for i := range l.entries {
		if l.entries[i].ID != id {
			continue
		}
		e := l.entries[i]
		last := len(l.entries) - 1
		l.entries[i] = l.entries[last]
		l.entries = l.entries[:last]
		if i < last {
			l.down(i)
			l.up(i)
		}
		l.total = max(0, l.total-float64(e.Cost))
		if last == 0 {
			l.total = 0
		}
		return e, true
	}
	return Entry{}, false
}

func (l *lane) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !l.entries[i].before(l.entries[parent]) {
			return
		}
		l.entries[i], l.entries[parent] = l.entries[parent], l.entries[i]
		i = parent
	}
}

func (l *lane) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(l.entries); child++ {
			if l.entries[child].before(l.entries[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		l.entries[i], l.entries[least] = l.entries[least], l.entries[i]
		i = least
	}
}

// meterTime is the time constant of all decayed sums; it covers the lag of load reports.
const meterTime = 5.0

// decayed is a sum with exponential forgetting; sum/meterTime is a rate.
type decayed struct {
	sum float64
	at  namer.Seconds
}

func (d *decayed) decay(now namer.Seconds) {
	if now > d.at {
		d.sum *= math.Exp(-float64(now-d.at) / meterTime)
		d.at = now
	}
}

func (d *decayed) add(now namer.Seconds, x float64) {
	d.decay(now)
	d.sum += x
}

func (d *decayed) rate(now namer.Seconds) float64 {
	d.decay(now)
	return d.sum / meterTime
}

// meter measures the engine time a second that dispatches drain while requests wait. When nothing
// waits, the dispatches show the demand and not the capacity, so they don't count.
type meter struct {
	prior       float64
	at          namer.Seconds
	busy, spent float64
}

func (m *meter) pass(now namer.Seconds, backlogged bool) {
	if now <= m.at {
		return
	}
	elapsed := float64(now - m.at)
	m.at = now
	if !backlogged {
		return
	}
	keep := math.Exp(-elapsed / meterTime)
	m.busy = m.busy*keep + elapsed
	m.spent *= keep
}

func (m *meter) work(cost float64, backlogged bool) {
	if backlogged {
		m.spent += cost
	}
}

const (
	// priorTime weighs the prior like so many seconds of measurement: a queue that is short for a
	// moment, behind one long prompt, says little about the capacity.
	priorTime = 5.0
	// leastRate bounds the measured rate from below, as a part of the prior.
	leastRate = 0.2
)

func (m *meter) rate() float64 {
	return max((m.prior*priorTime+m.spent)/(priorTime+m.busy), leastRate*m.prior)
}
