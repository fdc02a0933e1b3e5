package quarantiner

import (
	"math"

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

// RecordLost counts requests of a service that were lost with their engine.
func (t *Table) RecordLost(now namer.Seconds, service namer.Service, requests int) {
	t.tally(service).add(now, 0, requests)
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

// significance is the probability with which any sound part may have the endings of the one in question by chance.
const significance = 2e-3

// Convicts reports whether a part's endings are no coincidence, given how many requests of the service have
// succeeded since the first one, and how many were lost.
func (t *Table) Convicts(part Part, served, lost int) bool {
	r := t.records[part]
	if r == nil || len(r.endings) == 0 {
		return false
	}
	suspects := 0 // since the first ending
	for _, other := range t.records {
		if other.usedAt >= r.endings[0].at {
			suspects++
		}
	}
	others := max(0, lost-len(r.endings))
	chance := float64(others+1) / float64(others+served+2) // of one request to be lost
	return float64(suspects)*math.Pow(chance, float64(len(r.endings))) <= significance
}
