package quarantiner

import (
	"math"
	"slices"

	"apricotspool/namer"
)

// tally counts the requests of a service for evidenceTTL, and more finely for the last minute.
type tally struct {
	fine, coarse ring
}

const (
	fineSlot   namer.Seconds = 1
	coarseSlot namer.Seconds = 10
	slots                    = 64
)

// ring counts requests by time slots.
type ring struct {
	served, lost [slots]int
	last         int64
}

func (r *ring) advance(slot int64) {
	for at := max(r.last+1, slot-slots+1); at <= slot; at++ {
		r.served[index(at)], r.lost[index(at)] = 0, 0
	}
	r.last = max(r.last, slot)
}

func (r *ring) since(slot int64) (served, lost int) {
	for at := max(slot, r.last-slots+1); at <= r.last; at++ {
		served += r.served[index(at)]
		lost += r.lost[index(at)]
	}
	return served, lost
}

func (r *ring) add(served, lost int) {
	r.served[index(r.last)] += served
	r.lost[index(r.last)] += lost
}

func index(slot int64) int64 { return (slot%slots + slots) % slots }

func slotOf(at, length namer.Seconds) int64 { return int64(math.Floor(float64(at / length))) }

func (y *tally) advance(now namer.Seconds) {
	y.fine.advance(slotOf(now, fineSlot))
	y.coarse.advance(slotOf(now, coarseSlot))
}

func (y *tally) add(now namer.Seconds, served, lost int) {
	y.advance(now)
	y.fine.add(served, lost)
	y.coarse.add(served, lost)
}

func (t *Table) tally(service namer.Service) *tally {
	t.init()
	y := t.tallies[service]
	if y == nil {
		y = &tally{}
		t.tallies[service] = y
	}
	return y
}

// RecordLost counts requests of a service that were lost with their engine: the suspects, and those that had generated
// for long before.
func (t *Table) RecordLost(now namer.Seconds, service namer.Service, suspects, others int) {
	t.tally(service).add(now, others, suspects)
}

// Tally returns how many requests of a service have succeeded since a time, and how many were lost with their
// engine.
func (t *Table) Tally(now namer.Seconds, service namer.Service, since namer.Seconds) (served, lost int) {
	y := t.tally(service)
	y.advance(now)
	if now-since < (slots-1)*fineSlot {
		return y.fine.since(slotOf(since, fineSlot))
	}
	return y.coarse.since(slotOf(since, coarseSlot))
}

const (
	// significance is the probability with which any sound part may have the endings of the one in question by chance.
	significance = 2e-3
	// weakSignificance is the one for a brief block.
	weakSignificance = 0.2
	// outageChance is the chance above which so many requests are lost that endings say little about a part.
	outageChance = 0.2
)

// Verdict is what the endings of a part say about it.
type Verdict int

// The verdicts.
const (
	Unproven Verdict = iota
	Probable         // worth a brief block and a trial
	Proven
)

// Judge returns whether a part's endings are no coincidence, given how many requests of the service have succeeded
// since the first one, and how many were lost.
func (t *Table) Judge(part Part, served, lost int) Verdict {
	r := t.records[part]
	if r == nil || len(r.endings) == 0 {
		return Unproven
	}
	others := max(0, lost-len(r.endings))
	chance := float64(others+1) / float64(others+served+2) // of one request to be lost
	expected := chance * float64(len(r.endings))           // losses of a part with as many requests
	alike := 0
	for _, other := range t.records {
		if float64(other.lossesSince(r.endings[0].at)) >= max(1, math.Floor(expected)) {
			alike++
		}
	}
	byChance := math.Pow(chance, float64(len(r.endings)))
	switch {
	case part.Whole() && r.suspicious():
		return Probable // a trial costs less than what more endings would prove
	case float64(alike)*byChance*t.coverage(r) <= significance:
		return Proven
	case byChance <= outageChance && t.coincidences(r) <= weakSignificance:
		return Probable
	}
	return Unproven
}

// coincidences estimates how many sound parts have as many endings as a part because they were on the same engines.
// Engines that end with many requests put many parts under suspicion, but few of them again: the others with more
// than one ending, and with more than two, show how few.
func (t *Table) coincidences(r *record) float64 {
	var with [3]float64 // other parts with more endings than the index
	for _, other := range t.records {
		if other == r || other.block != nil {
			continue
		}
		for n := range min(len(other.endings), len(with)) {
			with[n]++
		}
	}
	again := (with[1] + 1) / (with[0] + 2)
	more := max(again, (with[2]+0.5)/(with[1]+1))
	return (with[0] + 1) * again * math.Pow(more, float64(len(r.endings)-2))
}

// coverage returns the probability that a part whose requests are lost is present at as many endings of its service by
// chance, if it was present at all of them since the first one. The first and the last one are given.
func (t *Table) coverage(r *record) float64 {
	first, last := r.endings[0].at, r.endings[len(r.endings)-1].at
	between := 0
	for _, e := range t.ended {
		if e.service != r.service || e.at <= first || e.at >= last {
			continue
		}
		if !slices.Contains(r.present, e.process) {
			return 1
		}
		between++
	}
	requests := max(len(r.carriers), len(r.present)) - 2
	if between < 2 || requests < between {
		return 1
	}
	absent := math.Pow(1-1/float64(between), float64(requests)) // from one of them
	return math.Pow(1-absent, float64(between))
}

func (r *record) lossesSince(at namer.Seconds) int {
	n := 0
	for _, loss := range r.losses {
		if loss >= at {
			n++
		}
	}
	return n
}
