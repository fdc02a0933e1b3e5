package provisioner_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/provisioner"
)

// clairvoyantCost is the cost of a plan that knows the load: preemptible engines, as many as carry the highest load within a
// boot time from now at full use, and still after the loss of a data centre, with no on-demand engines at all. It has no
// headroom, so that no plan which has some reaches it.
func clairvoyantCost(f *fleet, from, to time.Duration) float64 {
	cost := 0.0
	dataCentres := float64(len(f.scaling.Prices))
	for at := from; at < to; at += planPeriod {
		peak := 0.0
		for ahead := at; ahead < at+boot; ahead += planPeriod {
			peak = max(peak, f.work(ahead))
		}
		engines := max(math.Ceil(peak*dataCentres/(dataCentres-1)), dataCentres*float64(f.scaling.Min))
		cost += engines * f.scaling.PreemptiblePrice * planPeriod.Seconds()
	}
	return cost
}

// Guards against a plan that costs much more than what the fleet of the start costs less: it must save half on a day as short
// as 40 s of load, and most of what a clairvoyant plan saves once it has settled. Reports both costs.
func TestCostAgainstClairvoyantPlan(t *testing.T) {
	is := is.New(t)
	f := loaded(15, wave(8))
	before := f.cost
	f.run(40 * time.Second)
	day, clairvoyant, kept := f.cost-before, clairvoyantCost(f, lead, f.at()), 45*40.0
	t.Logf("40 s of load: %.0f; clairvoyant %.0f; 45 on-demand engines %.0f", day, clairvoyant, kept)
	is.True(day <= 0.5*kept)
	before, from := f.cost, f.at()
	f.run(5 * time.Minute)
	steady := f.cost - before
	clairvoyant, kept = clairvoyantCost(f, from, f.at()), 45*300.0
	t.Logf("300 s more: %.0f; clairvoyant %.0f; 45 on-demand engines %.0f", steady, clairvoyant, kept)
	is.True(kept-steady >= 0.85*(kept-clairvoyant))
	is.Equal(f.count(provisioner.OnDemand), 0)
}
