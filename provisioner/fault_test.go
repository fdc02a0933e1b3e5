package provisioner_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/namer"
	"apricotspool/provisioner"
)

// settled returns a fleet that has replaced the engines of its start.
func settled(work func(time.Duration) float64) *fleet {
	f := loaded(15, work)
	f.run(90 * time.Second)
	f.lowest = math.Inf(1)
	return f
}

// Guards against engines that are missing because none are to be had for a while, anywhere and of any kind, and against a
// flood of orders meanwhile.
func TestNothingToBeHad(t *testing.T) {
	is := is.New(t)
	f := settled(wave(8))
	begin := f.at()
	f.answer = func(at time.Duration, _ provisioner.Order) (provisioner.Result, bool) {
		if at < begin+12*time.Second {
			return provisioner.Unavailable, false
		}
		return provisioner.Accepted, true
	}
	f.reclaim("a")
	f.run(12 * time.Second)
	refused := f.ordersSince(begin)
	is.True(refused >= 4)
	is.True(refused <= 40) // 50 calls a second are accepted from all
	is.True(f.lowest > 1.2)
	f.run(12 * time.Second)
	is.True(len(f.members(provisioner.Group{DataCentre: "b", Kind: provisioner.Preemptible})) > 17)
}

// Guards against preemptible engines that are waited for although the platform doesn't deliver them: on-demand ones take
// their place, and are released once preemptible ones serve again.
func TestOnDemandWhilePreemptibleEnginesAreNotToBeHad(t *testing.T) {
	for name, answer := range map[string]provisioner.Result{"refused": provisioner.Unavailable, "not delivered": provisioner.Accepted} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := settled(wave(8))
			begin := f.at()
			f.answer = func(at time.Duration, o provisioner.Order) (provisioner.Result, bool) {
				if o.Kind == provisioner.Preemptible && o.Desired > o.Before && at < begin+30*time.Second {
					return answer, false
				}
				return provisioner.Accepted, true
			}
			f.reclaim("a")
			f.run(16 * time.Second)
			is.True(f.count(provisioner.OnDemand) > 0)
			f.run(2 * time.Minute)
			is.Equal(f.count(provisioner.OnDemand), 0)
			is.True(f.lowest > 1.2)
			is.True(f.overMax == 0)
		})
	}
}

// Guards against orders that are lost, or repeated with other effects, because the platform carries them out without an
// answer, or answers nothing at all.
func TestOrdersWithoutAnswer(t *testing.T) {
	for name, done := range map[string]bool{"carried out": true, "lost": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := loaded(15, wave(8))
			f.answer = func(at time.Duration, _ provisioner.Order) (provisioner.Result, bool) {
				if at < lead+20*time.Second {
					return provisioner.Failed, done
				}
				return provisioner.Accepted, true
			}
			f.run(20 * time.Second)
			is.True(f.ordersSince(lead) <= 60)
			is.True(done || f.count(provisioner.OnDemand) == 45)
			f.run(time.Minute)
			is.Equal(f.count(provisioner.OnDemand), 0)
			is.True(f.lowest > 2)
			is.True(f.overMax == 0)
		})
	}
}

// Guards against another holder that orders more or fewer engines than the last one, in the middle of a replacement or
// in a steady state.
func TestHolderChanges(t *testing.T) {
	for name, change := range map[string]func(*fleet){
		"candidate": func(f *fleet) { f.planner.Reset() },
		"newcomer":  func(f *fleet) { f.planner = &provisioner.Planner{} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := loaded(15, wave(8))
			for range 8 { // during the replacement
				f.run(2500 * time.Millisecond)
				change(f)
			}
			f.run(2 * time.Minute)
			is.Equal(f.count(provisioner.OnDemand), 0)
			is.True(f.overMax == 0)
			is.True(f.lowest > 2)
			engines := f.count(provisioner.Preemptible)
			change(f)
			f.run(12 * time.Second)
			is.True(f.count(provisioner.Preemptible) >= engines)
			is.True(f.count(provisioner.Preemptible) <= engines+6)
		})
	}
}

// Guards against engines of a data centre that is cut off being counted as supply, against orders for it, and against more
// than the maximum elsewhere.
func TestDataCentreCutOff(t *testing.T) {
	is := is.New(t)
	f := settled(wave(8))
	begin := f.at()
	there := len(f.members(provisioner.Group{DataCentre: "a", Kind: provisioner.Preemptible}))
	elsewhere := f.count(provisioner.Preemptible) - there
	f.cutOff["a"] = true
	f.run(20 * time.Second)
	for _, o := range f.orders {
		is.True(o.at < begin || o.DataCentre != "a")
	}
	is.True(f.count(provisioner.Preemptible)+f.count(provisioner.OnDemand)-there > elsewhere)
	is.True(f.overMax == 0)
	delete(f.cutOff, "a")
	f.run(3 * time.Minute)
	is.Equal(f.count(provisioner.OnDemand), 0)
	is.True(f.count(provisioner.Preemptible) <= there+elsewhere+3)
}

// Guards against a holder that takes the silence of the daemons which report loads for an idle fleet.
func TestUnknownLoadReleasesNothing(t *testing.T) {
	is := is.New(t)
	f := settled(wave(8))
	before := f.count(provisioner.Preemptible)
	f.silent = true
	f.run(10 * time.Minute)
	is.Equal(f.count(provisioner.Preemptible), before)
}

// Guards against engines in dear data centres while cheap ones have room, and against all preemptible engines in the
// cheapest, which the platform may take back at once.
func TestPricesDiffer(t *testing.T) {
	is := is.New(t)
	f := newFleet(15, map[namer.DataCentre]float64{"a": 1, "b": 1.1, "c": 3, "d": 1.05})
	f.run(lead)
	f.work = wave(8)
	f.run(2 * time.Minute)
	each := func(d namer.DataCentre) int {
		return len(f.members(provisioner.Group{DataCentre: d, Kind: provisioner.Preemptible}))
	}
	is.Equal(f.count(provisioner.OnDemand), 0)
	is.True(each("c") < each("b"))
	is.True(each("a") <= each("b")+each("c")+each("d"))
	is.True(3*(each("b")+each("c")+each("d")) >= 3*30) // what a loss of the cheapest leaves
}

// Guards against numbers outside the minimum and the maximum of a data centre, which hold for both kinds together.
func TestMinimumAndMaximum(t *testing.T) {
	for _, c := range []struct{ min, max, each int }{{1, 16, 15}, {1, 15, 15}, {5, 30, 15}, {4, 4, 4}, {0, 30, 3}} {
		is := is.New(t)
		f := newFleet(c.each, threeDataCentres())
		f.scaling.Min, f.scaling.Max = c.min, c.max
		f.run(lead)
		f.work = wave(float64(c.each) / 2)
		f.run(2 * time.Minute)
		f.work = func(time.Duration) float64 { return 0 }
		f.run(time.Hour)
		is.True(f.overMax == 0)
		is.True(!f.underMin)
	}
}

// Guards against a fleet that is released at the end of a day's load and is missing when the load returns, and against one
// that is never released.
func TestLoadEndsAndReturns(t *testing.T) {
	is := is.New(t)
	f := settled(wave(8))
	f.work = func(time.Duration) float64 { return 0 }
	f.run(2 * time.Minute)
	f.work = wave(8)
	f.run(time.Minute)
	is.True(f.lowest > 1.1)
	f.work = func(time.Duration) float64 { return 0 }
	f.run(2 * time.Hour)
	is.Equal(f.count(provisioner.Preemptible)+f.count(provisioner.OnDemand), 3)
}

// Guards against a release while an earlier one hasn't shown its effect.
func TestReleasesWaitForTheirEffect(t *testing.T) {
	is := is.New(t)
	f := newFleet(28, threeDataCentres())
	f.run(lead)
	f.work = func(time.Duration) float64 { return 2 }
	f.run(2 * time.Minute)
	var times []time.Duration
	for _, o := range f.orders {
		if o.Desired < o.Before && (len(times) == 0 || o.at > times[len(times)-1]) {
			times = append(times, o.at)
		}
	}
	is.True(len(times) >= 3)
	for i := range times[1:] {
		is.True(times[i+1]-times[i] >= boot)
	}
}

// Guards against a release that rests on replacements which have just begun to serve, and against one that leaves too few
// engines for the loss of a data centre.
func TestReplacementsServeBeforeARelease(t *testing.T) {
	is := is.New(t)
	f := loaded(15, wave(8))
	for range 400 {
		f.run(planPeriod)
		worst, all := 0, 0
		for d := range f.scaling.Prices {
			preemptible := len(f.members(provisioner.Group{DataCentre: d, Kind: provisioner.Preemptible}))
			worst, all = max(worst, preemptible), all+preemptible+len(f.members(provisioner.Group{DataCentre: d, Kind: provisioner.OnDemand}))
		}
		is.True(all-worst >= 33) // twice the peak of the moving average
	}
	for _, o := range f.orders {
		is.True(o.Desired > o.Before || o.at >= lead+boot+boot/2)
	}
}

// Guards against a release as soon as a lower number is wanted: bursts that come a little later than peaks are forgotten
// would take and give engines each time.
func TestLowerNumberMustHold(t *testing.T) {
	is := is.New(t)
	f := loaded(15, func(at time.Duration) float64 {
		if at%(66*time.Second) < 3*time.Second { // peaks count for 64 s
			return 14
		}
		return 4
	})
	f.run(90 * time.Second)
	before := f.at()
	f.run(10 * time.Minute)
	is.Equal(f.ordersSince(before), 0)
}

// Guards against engines that are missing because a holder relies on an order that another holder has replaced meanwhile.
func TestOrdersOfAnotherHolderMeanwhile(t *testing.T) {
	is := is.New(t)
	f := loaded(15, wave(8))
	f.run(time.Second)
	group := provisioner.Group{DataCentre: "a", Kind: provisioner.Preemptible}
	is.Equal(len(f.members(group)), 15)
	f.carryOut(provisioner.Order{Group: group, Desired: 2})
	f.planner.Reset()
	f.run(time.Second)
	is.Equal(len(f.members(group)), 15)
}

// Guards against waiting for preemptible engines for a rising load that the platform has accepted an order for and doesn't
// deliver.
func TestEnginesThatDontAppear(t *testing.T) {
	is := is.New(t)
	f := settled(wave(8))
	f.answer = func(_ time.Duration, o provisioner.Order) (provisioner.Result, bool) {
		return provisioner.Accepted, o.Kind != provisioner.Preemptible || o.Desired < o.Before
	}
	f.work = wave(12)
	f.run(10 * time.Second)
	is.Equal(f.count(provisioner.OnDemand), 0)
	f.run(20 * time.Second)
	is.True(f.count(provisioner.OnDemand) > 0)
}

// Guards against a plan that takes seconds, or orders without bound, because a configuration has a huge maximum or odd prices.
func TestOddScaling(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, map[namer.DataCentre]float64{"a": -1, "b": 0, "c": 1e300})
	f.scaling.Max, f.scaling.Min, f.scaling.PreemptiblePrice, f.scaling.Boot = math.MaxInt, math.MinInt, 1e300, -time.Second
	f.answer = func(time.Duration, provisioner.Order) (provisioner.Result, bool) {
		return provisioner.Unavailable, false
	}
	f.work = wave(8)
	f.run(30 * time.Second)
	for _, o := range f.orders {
		is.True(o.Desired >= 0)
		is.True(o.Desired <= 200)
	}
}
