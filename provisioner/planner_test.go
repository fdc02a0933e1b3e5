package provisioner_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/matcher"
	"apricotspool/namer"
	"apricotspool/provisioner"
)

// lead is the time without a load before a day begins.
const lead = 14 * time.Second

// loaded returns a fleet after its lead, with a load that begins now.
func loaded(each int, work func(time.Duration) float64) *fleet {
	f := newFleet(each, threeDataCentres())
	f.run(lead)
	f.work = func(at time.Duration) float64 { return work(at - lead) }
	return f
}

// Guards against a plan that follows a wave or an alternating mix, against on-demand engines that are kept although
// preemptible ones could replace them, and against fewer engines than the peak needs meanwhile.
func TestWaves(t *testing.T) {
	for name, work := range map[string]func(time.Duration) float64{
		"wave":     func(at time.Duration) float64 { return 8 * (1 + 0.6*math.Sin(2*math.Pi*at.Seconds()/11)) },
		"long":     func(at time.Duration) float64 { return 8 * (1 + 0.6*math.Sin(2*math.Pi*at.Seconds()/15)) },
		"mix":      func(at time.Duration) float64 { return 8 * (0.55 + 1.32*float64(int(at.Seconds()/2.8)%2)) },
		"together": wave(8),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := loaded(15, work)
			f.run(time.Minute)
			is.Equal(f.count(provisioner.OnDemand), 0)
			before := f.at()
			f.run(10 * time.Minute)
			is.True(f.lowest > 2)
			is.True(f.overMax == 0)
			if name != "together" {
				is.Equal(f.ordersSince(before), 0)
			}
			// The common peaks of several patterns come minutes apart: the plan may follow these, but not the patterns.
			for _, change := range f.reversals() {
				is.True(change >= 30*time.Second)
			}
		})
	}
}

// Guards against fewer engines before any load is known, and against calls in a steady state.
func TestStartWithoutLoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(15, threeDataCentres())
	f.run(10 * time.Minute)
	is.Equal(len(f.orders), 0)
	f = newFleet(0, threeDataCentres())
	f.run(10 * time.Minute)
	more := 0
	for _, o := range f.orders {
		if o.Desired > o.Before {
			more++
		}
	}
	is.Equal(more, 3) // the minimum
	is.Equal(f.ordersSince(time.Second), 0)
	is.Equal(len(f.members(provisioner.Group{DataCentre: namer.DataCentre("a"), Kind: provisioner.Preemptible})), 1)
}

// Guards against a plan that can't carry the load once the platform takes back all preemptible engines of a data centre,
// also when it does so again elsewhere during a burst, and against replacements in the place that has just lost them.
func TestPreemption(t *testing.T) {
	is := is.New(t)
	f := loaded(15, wave(8))
	f.run(80 * time.Second)
	f.lowest = math.Inf(1)
	begin := f.at()
	f.reclaim("a")
	f.run(6 * time.Second)
	f.reclaim("b")
	f.run(6 * time.Second)
	for _, o := range f.orders {
		if o.at >= begin && o.DataCentre == "a" && o.Kind == provisioner.Preemptible && o.Desired > o.Before {
			t.Errorf("order at %v: %v", o.at, o)
		}
	}
	is.Equal(f.orders[len(f.orders)-f.ordersSince(begin)].Reason, provisioner.ReasonLoss)
	is.Equal(f.orders[len(f.orders)-f.ordersSince(begin)].at, begin)
	f.run(2 * time.Minute)
	is.True(f.lowest > 1.2)
	is.Equal(f.count(provisioner.OnDemand), 0) // preemptible engines are to be had again
	is.True(f.overMax == 0)
}

// Guards against engines that are ordered because some are slow for a while: the measured rate of all falls then, and the
// load seems to be twice as much.
func TestSlowEnginesAreNoLoad(t *testing.T) {
	is := is.New(t)
	p := &provisioner.Planner{}
	s := matcher.Scaling{Min: 1, Max: 90, Boot: 4 * time.Second, PreemptiblePrice: 0.15, Prices: map[namer.DataCentre]float64{"a": 1}}
	engines := make([]provisioner.Engine, 30)
	for i := range engines {
		engines[i] = provisioner.Engine{
			Name: namer.Endpoint(fmt.Sprint("e-", i)), DataCentre: "a", Answering: true, LoadKnown: true, Slots: 64, Inflow: 40_000, Rate: 200_000,
		}
	}
	work := func(from, to time.Duration, rate float64) (peak float64) {
		for at := from; at < to; at += 250 * time.Millisecond {
			for i := range engines {
				engines[i].Rate = rate
			}
			now := time.Unix(0, 0).Add(at)
			p.Observe(now, s, engines)
			for _, o := range p.Plan(now, s) {
				peak = max(peak, o.Basis.Work)
				p.Record(now, s, o, provisioner.Unavailable)
			}
		}
		return peak
	}
	is.True(work(0, 20*time.Second, 200_000) < 6.1)
	is.True(work(20*time.Second, 24*time.Second, 90_000) < 8) // 13 engines' work by the present rate
}

// Guards against replacements that are ordered only when the orders for the reclaimed engines have expired, because the
// entries of these engines say that they leave, but not when.
func TestReclaimWithoutTimeIsNoticed(t *testing.T) {
	is := is.New(t)
	p := &provisioner.Planner{}
	s := matcher.Scaling{
		Min: 1, Max: 90, Boot: 4 * time.Second, PreemptiblePrice: 0.15,
		Prices: map[namer.DataCentre]float64{"a": 1, "b": 1, "c": 1},
	}
	var engines []provisioner.Engine
	for i := range 45 {
		engines = append(engines, provisioner.Engine{
			Name: namer.Endpoint(fmt.Sprint("e-", i)), DataCentre: []namer.DataCentre{"a", "b", "c"}[i%3], Kind: provisioner.Preemptible,
			Answering: true, LoadKnown: true, Slots: 64, Inflow: 66_000, Rate: 200_000,
		})
	}
	at := time.Unix(0, 0)
	ordered := func() (orders []provisioner.Order) {
		p.Observe(at, s, engines)
		for _, o := range p.Plan(at, s) {
			orders = append(orders, o)
			p.Record(at, s, o, provisioner.Accepted)
		}
		at = at.Add(250 * time.Millisecond)
		return orders
	}
	for range 80 {
		for _, o := range ordered() {
			for n := o.Before; n < o.Desired; n++ {
				engines = append(engines, provisioner.Engine{
					Name: namer.Endpoint(fmt.Sprint(o.DataCentre, "-", n)), DataCentre: o.DataCentre, Kind: o.Kind, Answering: true, LoadKnown: true, Slots: 64, Rate: 200_000,
				})
			}
		}
	}
	for i := range engines {
		if engines[i].DataCentre == "b" {
			engines[i].Leaving = true
		}
	}
	elsewhere := 0
	for _, o := range ordered() {
		if o.DataCentre != "b" {
			elsewhere += o.Desired - o.Before
		}
	}
	is.True(elsewhere > 0)
}
