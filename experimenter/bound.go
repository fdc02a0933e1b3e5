package experimenter

import (
	"cmp"
	"math"
	"slices"
	"time"

	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

const (
	// slotLength is the length of the time slots in which the bound counts capacity.
	slotLength = 10 * time.Second
	// costBucketRatio is the ratio between the costs of two adjacent cost buckets.
	costBucketRatio = 1.02
	// memoryWeightSteps is the number of steps from 0 to 1 of the memory weight passed to LeastCost.
	memoryWeightSteps = 4
)

// Bound returns an upper bound on the goodput of a schedule under any policy, including a clairvoyant
// one.
//
// A request that meets its targets receives at least its least cost in engine seconds (see
// modeler.Class.LeastCost) between its arrival and the latest completion that its targets allow. An
// engine provides at most one engine second per second, minus the time in which it is down or slow.
// All other constraints are relaxed: work can be split and moved freely, role changes cost nothing,
// every block of an earlier prompt of a conversation is cached on every engine, and a request may use
// the whole of the time slots in which it arrives and ends.
//
// The relaxed problem is a fluid allocation of work to slots. The feasible amounts are the flows from
// requests into slots and form a polymatroid, so the greedy allocation by goodput per engine second,
// cheapest requests first, is optimal. An allocation is feasible if for each interval of slots the work
// that must be done within it does not exceed the capacity of the interval. Each memory weight gives a
// valid cost; the smallest of the resulting bounds is returned.
func Bound(s Schedule) float64 {
	best := math.Inf(1)
	for step := range memoryWeightSteps + 1 {
		weight := float64(step) / memoryWeightSteps
		met := 0.0
		for _, m := range s.models() {
			met += newIntervalCapacity(s, m).fill(groupRequests(s, m, weight))
		}
		best = min(best, met/s.Length.Seconds())
	}
	return best
}

// models returns the distinct models of the site's engines.
func (s Schedule) models() []namer.Model {
	var models []namer.Model
	for _, p := range s.Site.Engines {
		if !slices.Contains(models, p.Model) {
			models = append(models, p.Model)
		}
	}
	return models
}

// requestGroup identifies requests of nearly the same cost that arrive in the same slot and must end
// in the same slot.
type requestGroup struct {
	from, to int // slot indexes
	bucket   int
}

// groupRequests counts the requests for a model by group.
func groupRequests(s Schedule, m namer.Model, weight float64) map[requestGroup]int {
	class := s.class(m)
	counts := map[requestGroup]int{}
	for _, a := range s.Arrivals {
		if a.Model != m {
			continue
		}
		cost := class.LeastCost(a.Prompt, a.maxCached(), a.Output, weight)
		end := a.Workload.FirstToken + time.Duration(a.Output-1)*a.Workload.BetweenTokens
		counts[requestGroup{
			from:   int(a.At / slotLength),
			to:     int((a.At + min(end, s.Site.Service.Deadline)) / slotLength),
			bucket: int(math.Floor(math.Log(cost) / math.Log(costBucketRatio))), // rounded down, so that the bound stays valid
		}]++
	}
	return counts
}

// class returns the class of the engines that serve a model.
func (s Schedule) class(m namer.Model) modeler.Class {
	at := slices.IndexFunc(s.Site.Engines, func(p EngineSpec) bool { return p.Model == m })
	return s.Site.Engines[at].Class
}

// maxCached returns the largest number of prompt tokens that a prefix cache can hold on arrival.
func (a Arrival) maxCached() namer.Tokens {
	return min(a.SharedPrefix/decider.PrefixBlock*decider.PrefixBlock, a.Prompt-1)
}

// intervalCapacity holds the remaining engine seconds of each interval of slots, indexed by the first
// and last slot of the interval.
type intervalCapacity struct{ remaining [][]float64 }

func newIntervalCapacity(s Schedule, m namer.Model) *intervalCapacity {
	slots := int((s.Length+s.Site.Service.Deadline)/slotLength) + 1
	c := &intervalCapacity{remaining: make([][]float64, slots)}
	for first := range slots {
		c.remaining[first] = make([]float64, slots)
		sum := 0.0
		for last := first; last < slots; last++ {
			sum += s.capacity(m, last)
			c.remaining[first][last] = sum
		}
	}
	return c
}

// capacity returns the engine seconds that a model's engines provide in a slot.
func (s Schedule) capacity(m namer.Model, slot int) float64 {
	from := time.Duration(slot) * slotLength
	sum := 0.0
	for n, p := range s.Site.Engines {
		if p.Model != m {
			continue
		}
		available := overlapWithSlot(from, p.JoinsAt, time.Duration(math.MaxInt64))
		for _, f := range s.Faults {
			if f.Engine != n {
				continue
			}
			switch f.Kind {
			case FaultCrash:
				available -= overlapWithSlot(from, f.From, f.To)
			case FaultSlow:
				available -= time.Duration(float64(overlapWithSlot(from, f.From, f.To)) * (1 - 1/f.Factor))
			}
		}
		sum += max(available, 0).Seconds()
	}
	return sum
}

// overlapWithSlot returns how much of the slot that starts at the given time lies in [from, to].
func overlapWithSlot(slot, from, to time.Duration) time.Duration {
	return max(0, min(slot+slotLength, to)-max(slot, from))
}

// fill admits as many requests as fit, cheapest first, and returns their number.
func (c *intervalCapacity) fill(counts map[requestGroup]int) float64 {
	order := make([]requestGroup, 0, len(counts))
	for g := range counts {
		order = append(order, g)
	}
	slices.SortFunc(order, func(a, b requestGroup) int {
		return cmp.Or(cmp.Compare(a.bucket, b.bucket), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	met := 0.0
	for _, g := range order {
		cost := math.Pow(costBucketRatio, float64(g.bucket))
		met += c.allocate(g, cost*float64(counts[g])) / cost
	}
	return met
}

// allocate reserves up to the given work in the slots of a group and returns the amount that fits.
func (c *intervalCapacity) allocate(g requestGroup, work float64) float64 {
	for first := 0; first <= g.from; first++ {
		for _, left := range c.remaining[first][g.to:] {
			work = min(work, left)
		}
	}
	for first := 0; first <= g.from; first++ {
		row := c.remaining[first][g.to:]
		for last := range row {
			row[last] -= work
		}
	}
	return work
}
