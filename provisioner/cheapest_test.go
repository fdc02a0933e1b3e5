package provisioner_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/namer"
	"apricotspool/provisioner"
)

func init() { flag.Set("rapid.seed", "1") } // -rapid.seed on the command line overrides it

type counts = [2]int // by kind

// Guards against a set that isn't the cheapest, or doesn't fulfil the need although one does, compared with all sets.
func TestCheapestSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 4).Draw(t, "max")
		n := provisioner.Need{All: rapid.IntRange(0, 14).Draw(t, "all"), Min: rapid.IntRange(0, 1).Draw(t, "min")}
		n.AfterLoss = rapid.IntRange(0, n.All).Draw(t, "after-loss")
		ratio := rapid.SampledFrom([]float64{0.15, 0.9, 1.5}).Draw(t, "ratio")
		var offers []provisioner.Offer
		for i := range rapid.IntRange(1, 3).Draw(t, "data-centres") {
			price := rapid.SampledFrom([]float64{1, 1.2, 3}).Draw(t, "price")
			o := provisioner.Offer{DataCentre: namer.DataCentre(fmt.Sprint(i)), Price: price, Preemptible: ratio * price, Max: most}
			o.Limits = counts{rapid.SampledFrom([]int{most, most, 1}).Draw(t, "on-demand"), rapid.SampledFrom([]int{most, most, 0}).Draw(t, "preemptible")}
			offers = append(offers, o)
		}
		lowest, possible := lowestCost(offers, n, nil)
		found := provisioner.Cheapest(offers, n)
		cost, all, worst := 0.0, 0, 0
		for _, o := range offers {
			each := found[o.DataCentre]
			cost += float64(each[provisioner.OnDemand])*o.Price + float64(each[provisioner.Preemptible])*o.Preemptible
			all, worst = all+count(each), max(worst, each[provisioner.Preemptible])
			if count(each) > most || each[provisioner.OnDemand] > o.Limits[provisioner.OnDemand] || each[provisioner.Preemptible] > o.Limits[provisioner.Preemptible] {
				t.Fatalf("%v exceeds %v", each, o)
			}
		}
		if possible && (all < n.All || all-worst < n.AfterLoss || cost > lowest+1e-9) {
			t.Fatalf("found %v at %g, possible at %g", found, cost, lowest)
		}
	})
}

func count(c counts) int { return c[provisioner.OnDemand] + c[provisioner.Preemptible] }

// lowestCost tries all sets.
func lowestCost(offers []provisioner.Offer, n provisioner.Need, chosen []counts) (lowest float64, possible bool) {
	if len(chosen) == len(offers) {
		all, worst := 0, 0
		for i, each := range chosen {
			if all, worst = all+count(each), max(worst, each[provisioner.Preemptible]); count(each) < min(n.Min, count(offers[i].Limits)) {
				return 0, false
			}
			lowest += float64(each[provisioner.OnDemand])*offers[i].Price + float64(each[provisioner.Preemptible])*offers[i].Preemptible
		}
		return lowest, all >= n.All && all-worst >= n.AfterLoss
	}
	o := offers[len(chosen)]
	for onDemand := range o.Limits[provisioner.OnDemand] + 1 {
		for preemptible := range min(o.Limits[provisioner.Preemptible], o.Max-onDemand) + 1 {
			cost, ok := lowestCost(offers, n, append(chosen[:len(chosen):len(chosen)], counts{onDemand, preemptible}))
			if ok && (!possible || cost < lowest) {
				lowest, possible = cost, true
			}
		}
	}
	return lowest, possible
}

// Guards against planning that takes a noticeable part of a small host's processor: the design target, four plans a second.
func BenchmarkCheapest(b *testing.B) {
	for _, dataCentres := range []int{3, 13} {
		b.Run(fmt.Sprint(dataCentres), func(b *testing.B) {
			var offers []provisioner.Offer
			for i := range dataCentres {
				offers = append(offers, provisioner.Offer{DataCentre: namer.DataCentre(fmt.Sprint(i)), Price: 1, Preemptible: 0.15, Max: 30, Limits: counts{30, 30}})
			}
			for b.Loop() {
				provisioner.Cheapest(offers, provisioner.Need{All: 14 * dataCentres, AfterLoss: 13 * dataCentres, Min: 1})
			}
		})
	}
}

// Guards against a need that no set fulfils being answered with nothing.
func TestImpossibleNeedGetsAllThereIs(t *testing.T) {
	is := is.New(t)
	offers := []provisioner.Offer{
		{DataCentre: "a", Price: 1, Preemptible: 0.15, Max: 3, Limits: counts{0, 3}},
		{DataCentre: "b", Price: 1, Preemptible: 0.15, Max: 3, Limits: counts{0, 3}},
	}
	found := provisioner.Cheapest(offers, provisioner.Need{All: 20, AfterLoss: 10})
	is.Equal(found["a"][provisioner.Preemptible]+found["b"][provisioner.Preemptible], 6)
	found = provisioner.Cheapest(offers, provisioner.Need{All: 4, AfterLoss: 4})
	is.Equal(found["a"][provisioner.Preemptible]+found["b"][provisioner.Preemptible], 6) // only 3 are left after a loss
}
