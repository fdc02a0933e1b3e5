package provisioner

import (
	"cmp"
	"sort"

	"apricotspool/namer"
)

// offer is what can be ordered in a data centre. Offers are in order of the data centres' names.
type offer struct {
	dataCentre  namer.DataCentre
	price       float64 // of an on-demand engine
	max         int     // engines of both kinds
	limits      [kinds]int
	present     [kinds]int // breaks ties between equally cheap data centres, so that a plan stays as it is
	preemptible float64    // price of a preemptible engine
}

// need is what a set of engines has to fulfil.
type need struct {
	all       int // engines
	afterLoss int // engines that are left after all preemptible engines of any one data centre are gone
	min       int // engines of both kinds in each data centre
}

// allocation holds the number of engines of each kind by data centre.
type allocation map[namer.DataCentre][kinds]int

// cheapest returns the cheapest set that fulfils the need. If none does, it gives up engines after a loss first, and then
// engines.
func cheapest(offers []offer, n need) allocation {
	all := max(n.all, n.afterLoss)
	found := cheapestAfterLoss(offers, n, all, n.afterLoss)
	if found == nil {
		given := sort.Search(n.afterLoss, func(given int) bool { return cheapestAfterLoss(offers, n, all, n.afterLoss-given) != nil })
		found = cheapestAfterLoss(offers, n, all, n.afterLoss-given)
	}
	if found == nil {
		found, _, _ = cheapestOf(offers, n, all, all)
	}
	result := allocation{}
	for i := range offers {
		result[offers[i].dataCentre] = found[i]
	}
	return result
}

// cheapestAfterLoss returns the cheapest set of which a number of engines is left after any loss, or nil. The cost is a
// convex function of the number of engines, so that the search ends when it no longer falls.
func cheapestAfterLoss(offers []offer, n need, all, afterLoss int) [][kinds]int {
	var best [][kinds]int
	lowest, most := 0.0, 0
	for i := range offers {
		most += max(0, min(offers[i].max, count(offers[i].limits)))
	}
	for all := max(all, len(offers)*n.min); all <= most; all++ {
		found, cost, ok := cheapestOf(offers, n, all, all-afterLoss)
		switch {
		case ok && (best == nil || cost < lowest-epsilon):
			best, lowest = found, cost
		case best != nil:
			return best
		}
	}
	return best
}

// epsilon is the difference up to which costs count as equal.
const epsilon = 1e-9

// cheapestOf returns the cheapest set with a number of engines and at most limit preemptible ones in each data centre. It
// adds the cheapest engine until there are enough, which is exact because the cost of a data centre is convex, too.
func cheapestOf(offers []offer, n need, all, limit int) (found [][kinds]int, cost float64, ok bool) {
	found = make([][kinds]int, len(offers))
	total := 0
	add := func(i int, kind Kind, price float64) {
		found[i][kind]++
		cost += price
		total++
	}
	for i := range offers {
		for count(found[i]) < n.min {
			kind, price, available := offers[i].next(found[i], limit)
			if !available {
				break
			}
			add(i, kind, price)
		}
	}
	for total < all {
		best, bestKind, bestPrice := -1, OnDemand, 0.0
		for i := range offers {
			kind, price, available := offers[i].next(found[i], limit)
			if available && (best < 0 || cmp.Or(cmp.Compare(price, bestPrice), cmp.Compare(count(found[i]), count(found[best])),
				cmp.Compare(count(offers[best].present), count(offers[i].present))) < 0) {
				best, bestKind, bestPrice = i, kind, price
			}
		}
		if best < 0 {
			return found, cost, false
		}
		add(best, bestKind, bestPrice)
	}
	return found, cost, true
}

func count(of [kinds]int) int { return of[OnDemand] + of[Preemptible] }

// next returns the kind and the price of the next engine to add in a data centre.
func (o *offer) next(counts [kinds]int, limit int) (kind Kind, price float64, available bool) {
	if counts[OnDemand]+counts[Preemptible] >= o.max {
		return OnDemand, 0, false
	}
	preemptible := counts[Preemptible] < min(limit, o.limits[Preemptible])
	onDemand := counts[OnDemand] < o.limits[OnDemand]
	if preemptible && (!onDemand || o.preemptible < o.price) {
		return Preemptible, o.preemptible, true
	}
	return OnDemand, o.price, onDemand
}
