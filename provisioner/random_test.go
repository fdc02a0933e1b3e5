package provisioner_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotspool/namer"
	"apricotspool/provisioner"
)

// Guards against numbers over the maximum, releases without replacement and plans that never settle, under any sequence of
// refused, lost and unanswered orders, undelivered engines, preemptions, partitions and changes of holder.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := loaded(15, wave(rapid.Float64Range(2, 10).Draw(t, "work")))
		results := []provisioner.Result{provisioner.Accepted, provisioner.Accepted, provisioner.Unavailable, provisioner.Throttled, provisioner.Failed}
		f.answer = func(time.Duration, provisioner.Order) (provisioner.Result, bool) {
			r := rapid.SampledFrom(results).Draw(t, "result")
			done := r == provisioner.Accepted || (r == provisioner.Failed && rapid.Bool().Draw(t, "done"))
			return r, done
		}
		dataCentres := []namer.DataCentre{"a", "b", "c"}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			f.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "periods")) * planPeriod)
			d := rapid.SampledFrom(dataCentres).Draw(t, "data-centre")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				f.reclaim(d)
			case 1:
				f.cutOff = map[namer.DataCentre]bool{d: true}
			case 2:
				f.cutOff = map[namer.DataCentre]bool{}
			case 3:
				f.planner.Reset()
			case 4:
				f.planner = &provisioner.Planner{}
			}
		}
		f.cutOff, f.answer = map[namer.DataCentre]bool{}, nil
		f.run(3 * time.Minute)
		if f.overMax > 0 {
			t.Fatalf("over the maximum at %v", f.overMax)
		}
		if on := f.count(provisioner.OnDemand); on > 0 {
			t.Fatalf("%d on-demand engines are left: %v", on, f.planner.Counts())
		}
		before := f.at()
		f.lowest = 1000
		f.run(time.Minute)
		if f.lowest < 2 || f.ordersSince(before) > 18 {
			t.Fatalf("lowest %g, %d orders", f.lowest, f.ordersSince(before))
		}
	})
}
