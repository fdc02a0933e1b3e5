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
	// boundSlot is the length of a time slot of the bound.
	boundSlot = 10 * time.Second
	// costStep is the ratio between the costs of two groups of requests.
	costStep = 1.02
	// memoryWeights is the number of steps of the weight that LeastCost gives to memory.
	memoryWeights = 4
)

// Bound returns an upper bound on the goodput of a schedule under any decisions, with full knowledge
// of the future.
//
// A request that meets its targets gets at least its least cost in engine seconds (see
// modeler.Class.LeastCost) between its arrival and the latest end that its targets allow. Engines
// give at most one engine second a second, less the times in which they are down or slow. The bound
// leaves out everything else: work can be divided and moved freely, roles change at no cost, every
// block of an earlier prompt of a conversation is cached everywhere, and a request may use the whole of
// the time slots in which it arrives and ends.
//
// What is left is a fluid problem: choose amounts of work that fit into the slots. The amounts that fit
// form a polymatroid, since they are the flows from requests into slots, so that the greedy choice by
// goodput for each engine second, the cheapest requests first, is the best one. An amount fits if for
// each interval of slots the work that must be done inside it is at most the interval's capacity. Each
// weight of memory gives a valid cost, and the least of their bounds is returned.
func Bound(s Schedule) float64 {
	best := math.Inf(1)
	for step := range memoryWeights + 1 {
		weight := float64(step) / memoryWeights
		met := 0.0
		for _, m := range s.models() {
			met += newFluid(s, m).fill(groups(s, m, weight))
		}
		best = min(best, met/s.Length.Seconds())
	}
	return best
}

// models returns the models of the site's engines, each once.
func (s Schedule) models() []namer.Model {
	var models []namer.Model
	for _, p := range s.Site.Engines {
		if !slices.Contains(models, p.Model) {
			models = append(models, p.Model)
		}
	}
	return models
}

// group is a number of requests with nearly the same cost in the same slots.
type group struct {
	from, to int // slots
	bucket   int
}

// groups counts the requests of a model that can meet their targets at all.
func groups(s Schedule, m namer.Model, weight float64) map[group]int {
	class := s.class(m)
	counts := map[group]int{}
	for _, a := range s.Arrivals {
		if a.Model != m {
			continue
		}
		cost := class.LeastCost(a.Prompt, a.cached(), a.Output, weight)
		end := a.Workload.FirstToken + time.Duration(a.Output-1)*a.Workload.BetweenTokens
		counts[group{
			from:   int(a.At / boundSlot),
			to:     int((a.At + min(end, s.Site.Service.Deadline)) / boundSlot),
			bucket: int(math.Floor(math.Log(cost) / math.Log(costStep))), // rounded down, which keeps the bound
		}]++
	}
	return counts
}

// class returns the class of the engines that serve a model.
func (s Schedule) class(m namer.Model) modeler.Class {
	at := slices.IndexFunc(s.Site.Engines, func(p Placed) bool { return p.Model == m })
	return s.Site.Engines[at].Class
}

// cached returns the most prompt tokens that an engine can have in its prefix cache.
func (a Arrival) cached() namer.Tokens {
	return min(a.Known/decider.PrefixBlock*decider.PrefixBlock, a.Prompt-1)
}

// fluid holds for each interval of slots, by its first and last, the engine seconds that are left.
type fluid struct{ left [][]float64 }

func newFluid(s Schedule, m namer.Model) *fluid {
	slots := int((s.Length+s.Site.Service.Deadline)/boundSlot) + 1
	f := &fluid{left: make([][]float64, slots)}
	for first := range slots {
		f.left[first] = make([]float64, slots)
		sum := 0.0
		for last := first; last < slots; last++ {
			sum += s.capacity(m, last)
			f.left[first][last] = sum
		}
	}
	return f
}

// capacity returns the engine seconds that a model's engines have in a slot.
func (s Schedule) capacity(m namer.Model, slot int) float64 {
	from := time.Duration(slot) * boundSlot
	sum := 0.0
	for n, p := range s.Site.Engines {
		if p.Model != m {
			continue
		}
		available := overlap(from, p.From, time.Duration(math.MaxInt64))
		for _, f := range s.Faults {
			if f.Engine != n {
				continue
			}
			switch f.Kind {
			case FaultCrash:
				available -= overlap(from, f.From, f.To)
			case FaultSlow:
				available -= time.Duration(float64(overlap(from, f.From, f.To)) * (1 - 1/f.Factor))
			}
		}
		sum += max(available, 0).Seconds()
	}
	return sum
}

// overlap returns the part of the slot that begins at the given time between two times.
func overlap(slot, from, to time.Duration) time.Duration {
	return max(0, min(slot+boundSlot, to)-max(slot, from))
}

// fill takes as many requests as fit, the cheapest first, and returns their number.
func (f *fluid) fill(counts map[group]int) float64 {
	order := make([]group, 0, len(counts))
	for g := range counts {
		order = append(order, g)
	}
	slices.SortFunc(order, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.bucket, b.bucket), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	met := 0.0
	for _, g := range order {
		cost := math.Pow(costStep, float64(g.bucket))
		met += f.take(g, cost*float64(counts[g])) / cost
	}
	return met
}

// take takes up to the given work out of the slots of a group and returns how much fits.
func (f *fluid) take(g group, work float64) float64 {
	for first := 0; first <= g.from; first++ {
		for _, left := range f.left[first][g.to:] {
			work = min(work, left)
		}
	}
	for first := 0; first <= g.from; first++ {
		row := f.left[first][g.to:]
		for last := range row {
			row[last] -= work
		}
	}
	return work
}
