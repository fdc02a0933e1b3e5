package admitter

import (
	"math"

	"apricotspool/namer"
)

// rankQueue holds the waiting requests of one rank as a heap ordered by start tag (start-time fair
// queueing): the start tag of a caller's next request is the finish tag of its previous one.
type rankQueue struct {
	rules       Rules
	entries     []Entry
	totalCost   float64
	virtualTime float64 // greatest start tag dispatched so far
	finishTags  map[namer.Caller]float64
	credit      float64     // engine seconds of its guaranteed share that the rank has not received; negative when it used more
	dispatched  decayingSum // cost of dispatched requests
	refused     decayingSum // cost of refused requests
}

// purgeThreshold is the number of finish tags at which those that virtual time has passed are deleted.
const purgeThreshold = 4096

func (e Entry) before(other Entry) bool {
	if e.Forced != other.Forced {
		return e.Forced
	}
	if e.tag != other.tag {
		return e.tag < other.tag
	}
	return e.seq < other.seq
}

func (rq *rankQueue) startTag(caller namer.Caller) float64 {
	return max(rq.virtualTime, rq.finishTags[caller])
}

func (rq *rankQueue) charge(e Entry) {
	if e.Forced {
		return // already charged when first accepted
	}
	if rq.finishTags == nil {
		rq.finishTags = map[namer.Caller]float64{}
	}
	rq.finishTags[e.Caller] = e.tag + float64(e.Cost)/e.Weight
	if len(rq.finishTags) < purgeThreshold {
		return
	}
	for caller, finish := range rq.finishTags {
		if finish <= rq.virtualTime {
			delete(rq.finishTags, caller)
		}
	}
}

// refund reverses the charge of a request that was never dispatched.
func (rq *rankQueue) refund(e Entry) {
	if finish, ok := rq.finishTags[e.Caller]; ok && !e.Forced {
		rq.finishTags[e.Caller] = max(rq.virtualTime, finish-float64(e.Cost)/e.Weight)
	}
}

func (rq *rankQueue) costBefore(tag float64) float64 {
	sum := 0.0
	for i := range rq.entries {
		if rq.entries[i].tag <= tag {
			sum += float64(rq.entries[i].Cost)
		}
	}
	return sum
}

// lastEvictable returns the entry that would be served last, excluding forced ones.
func (rq *rankQueue) lastEvictable() (Entry, bool) {
	found := -1
	for i := range rq.entries {
		if !rq.entries[i].Forced && (found < 0 || rq.entries[found].before(rq.entries[i])) {
			found = i
		}
	}
	if found < 0 {
		return Entry{}, false
	}
	return rq.entries[found], true
}

func (rq *rankQueue) push(e Entry) {
	rq.entries = append(rq.entries, e)
	rq.totalCost += float64(e.Cost)
	rq.siftUp(len(rq.entries) - 1)
}

func (rq *rankQueue) remove(id namer.StreamID) (Entry, bool) {
	for i := range rq.entries {
		if rq.entries[i].ID != id {
			continue
		}
		e := rq.entries[i]
		last := len(rq.entries) - 1
		rq.entries[i] = rq.entries[last]
		rq.entries = rq.entries[:last]
		if i < last {
			rq.siftDown(i)
			rq.siftUp(i)
		}
		rq.totalCost = max(0, rq.totalCost-float64(e.Cost))
		if last == 0 {
			rq.totalCost = 0
		}
		return e, true
	}
	return Entry{}, false
}

func (rq *rankQueue) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !rq.entries[i].before(rq.entries[parent]) {
			return
		}
		rq.entries[i], rq.entries[parent] = rq.entries[parent], rq.entries[i]
		i = parent
	}
}

func (rq *rankQueue) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(rq.entries); child++ {
			if rq.entries[child].before(rq.entries[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		rq.entries[i], rq.entries[least] = rq.entries[least], rq.entries[i]
		i = least
	}
}

// decayTimeConstant, in seconds, applies to all decaying sums; it covers the lag of load reports.
const decayTimeConstant = 5.0

// decayingSum is an exponentially decaying sum; sum/decayTimeConstant is a rate.
type decayingSum struct {
	sum float64
	at  namer.Seconds
}

func (d *decayingSum) decay(now namer.Seconds) {
	if now > d.at {
		d.sum *= math.Exp(-float64(now-d.at) / decayTimeConstant)
		d.at = now
	}
}

func (d *decayingSum) add(now namer.Seconds, x float64) {
	d.decay(now)
	d.sum += x
}

func (d *decayingSum) rate(now namer.Seconds) float64 {
	d.decay(now)
	return d.sum / decayTimeConstant
}

// capacityMeter measures the capacity: the engine seconds dispatched per second while requests wait.
// Dispatches while none waits are excluded, since they reflect the demand rather than the capacity.
type capacityMeter struct {
	prior            float64
	at               namer.Seconds
	busy, dispatched float64
}

func (m *capacityMeter) advance(now namer.Seconds, backlogged bool) {
	if now <= m.at {
		return
	}
	elapsed := float64(now - m.at)
	m.at = now
	if !backlogged {
		return
	}
	decay := math.Exp(-elapsed / decayTimeConstant)
	m.busy = m.busy*decay + elapsed
	m.dispatched *= decay
}

func (m *capacityMeter) addCost(cost float64, backlogged bool) {
	if backlogged {
		m.dispatched += cost
	}
}

const (
	// priorTime is the weight of the prior, in seconds of measurement: a brief queue behind one long
	// prompt says little about the capacity.
	priorTime = 5.0
	// minRateFraction is the lower bound of the rate, as a fraction of the prior.
	minRateFraction = 0.2
)

func (m *capacityMeter) rate() float64 {
	return max((m.prior*priorTime+m.dispatched)/(priorTime+m.busy), minRateFraction*m.prior)
}
