package provisioner_test

import (
	"fmt"
	"math"
	"time"

	"apricotspool/matcher"
	"apricotspool/namer"
	"apricotspool/provisioner"
)

const (
	planPeriod = 250 * time.Millisecond
	boot       = 4 * time.Second
	slots      = 64
	rate       = 50_000.0
	// inflowTime is the time constant of the loads that the decision core reports.
	inflowTime = 2 * time.Second
	leaveTime  = 2500 * time.Millisecond
)

// fleet is a platform in virtual time whose engines are ordered by a planner.
type fleet struct {
	planner *provisioner.Planner
	scaling matcher.Scaling
	now     time.Time
	begun   time.Time
	engines []*engine
	names   int
	work    func(at time.Duration) float64 // in engines
	smooth  float64
	// answer, if set, decides on an order and whether it is carried out.
	answer func(at time.Duration, o provisioner.Order) (r provisioner.Result, done bool)
	cutOff map[namer.DataCentre]bool
	silent bool // loads are unknown

	orders   []sent
	cost     float64       // in seconds of an on-demand engine at price 1
	lowest   float64       // least serving engines for each engine of work
	overMax  time.Duration // first time at which a data centre had more than the maximum
	underMin bool
}

type sent struct {
	provisioner.Order
	at     time.Duration
	result provisioner.Result
}

type engine struct {
	provisioner.Engine
	servesAt, endsAt time.Time
}

// newFleet returns a fleet with on-demand engines in each data centre.
func newFleet(each int, prices map[namer.DataCentre]float64) *fleet {
	f := &fleet{
		planner: &provisioner.Planner{}, now: time.Unix(1_700_000_000, 0), cutOff: map[namer.DataCentre]bool{}, lowest: math.Inf(1),
		scaling: matcher.Scaling{Min: 1, Max: 30, Boot: boot, PreemptiblePrice: 0.15, Prices: prices},
		work:    func(time.Duration) float64 { return 0 },
	}
	f.begun = f.now
	for d := range prices {
		f.add(provisioner.Group{DataCentre: d, Kind: provisioner.OnDemand}, each, time.Time{})
	}
	return f
}

func threeDataCentres() map[namer.DataCentre]float64 {
	return map[namer.DataCentre]float64{"a": 1, "b": 1, "c": 1}
}

func (f *fleet) add(g provisioner.Group, count int, servesAt time.Time) {
	for range count {
		f.names++
		f.engines = append(f.engines, &engine{Engine: provisioner.Engine{
			Name: namer.Endpoint(fmt.Sprintf("e-%04d", f.names)), DataCentre: g.DataCentre, Kind: g.Kind, Slots: slots, Rate: rate, Answering: true,
		}, servesAt: servesAt})
	}
}

func (f *fleet) at() time.Duration { return f.now.Sub(f.begun) }

// members returns the engines of a group that aren't leaving, with those that boot.
func (f *fleet) members(g provisioner.Group) []*engine {
	var found []*engine
	for _, e := range f.engines {
		if e.DataCentre == g.DataCentre && e.Kind == g.Kind && !e.Leaving {
			found = append(found, e)
		}
	}
	return found
}

func (f *fleet) count(kind provisioner.Kind) int {
	count := 0
	for d := range f.scaling.Prices {
		count += len(f.members(provisioner.Group{DataCentre: d, Kind: kind}))
	}
	return count
}

// carryOut sets the number of engines of a group.
func (f *fleet) carryOut(o provisioner.Order) {
	members := f.members(o.Group)
	if more := o.Desired - len(members); more > 0 {
		f.add(o.Group, more, f.now.Add(boot))
	}
	for i := o.Desired; i < len(members); i++ {
		members[i].Leaving, members[i].endsAt = true, f.now.Add(leaveTime)
	}
}

// reclaim takes all preemptible engines of a data centre back.
func (f *fleet) reclaim(d namer.DataCentre) {
	for _, e := range f.members(provisioner.Group{DataCentre: d, Kind: provisioner.Preemptible}) {
		e.Leaving, e.LeavesIn, e.endsAt = true, leaveTime, f.now.Add(leaveTime)
	}
}

// run plans for a time.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(planPeriod) {
		f.advance()
		f.plan()
	}
}

// advance ends engines and spreads the load over those that serve.
func (f *fleet) advance() {
	var left, serving []*engine
	each := map[namer.DataCentre]int{}
	for _, e := range f.engines {
		if !e.endsAt.IsZero() && !f.now.Before(e.endsAt) {
			continue
		}
		left = append(left, e)
		each[e.DataCentre]++
		price := f.scaling.Prices[e.DataCentre]
		if e.Kind == provisioner.Preemptible {
			price *= f.scaling.PreemptiblePrice
		}
		f.cost += price * planPeriod.Seconds()
		e.Generating, e.Inflow, e.LoadKnown, e.Answering = 0, 0, !f.silent, !f.cutOff[e.DataCentre]
		if !e.Leaving && e.Answering && !f.now.Before(e.servesAt) {
			serving = append(serving, e)
		}
	}
	f.engines = left
	for d := range f.scaling.Prices {
		members := len(f.members(provisioner.Group{DataCentre: d, Kind: provisioner.OnDemand})) + len(f.members(provisioner.Group{DataCentre: d, Kind: provisioner.Preemptible}))
		if members > f.scaling.Max && f.overMax == 0 {
			f.overMax = f.at()
		}
		f.underMin = f.underMin || members < f.scaling.Min
	}
	work := f.work(f.at())
	f.smooth += (1 - math.Exp(-float64(planPeriod)/float64(inflowTime))) * (work - f.smooth)
	if work > 0 {
		f.lowest = min(f.lowest, float64(len(serving))/work)
	}
	for _, e := range serving {
		e.Inflow = rate * min(f.smooth/float64(len(serving)), 1)
	}
}

func (f *fleet) plan() {
	var engines []provisioner.Engine
	for _, e := range f.engines {
		if !f.now.Before(e.servesAt) { // entries are written when engines serve
			engines = append(engines, e.Engine)
		}
	}
	f.planner.Observe(f.now, f.scaling, engines)
	for _, o := range f.planner.Plan(f.now, f.scaling) {
		result, done := provisioner.Accepted, true
		if f.answer != nil {
			result, done = f.answer(f.at(), o)
		}
		if done {
			f.carryOut(o)
		}
		f.orders = append(f.orders, sent{o, f.at(), result})
		f.planner.Record(f.now, f.scaling, o, result)
	}
}

// ordersSince returns the number of orders from a time on.
func (f *fleet) ordersSince(at time.Duration) int {
	count := 0
	for _, o := range f.orders {
		if o.at >= at {
			count++
		}
	}
	return count
}

// reversals returns the times between an order for more engines of a group and one for fewer, or the reverse, after the
// engines of the start have been replaced.
func (f *fleet) reversals() []time.Duration {
	var times []time.Duration
	last := map[provisioner.Group]sent{}
	for _, o := range f.orders {
		if o.at < time.Minute {
			continue
		}
		if before, known := last[o.Group]; known && (o.Desired > o.Before) != (before.Desired > before.Before) {
			times = append(times, o.at-before.at)
		}
		last[o.Group] = o
	}
	return times
}

// wave is a load with the pattern of the busiest deployment: an alternating mix, bursts every 15 s, and a wave of 11 s.
func wave(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		t := at.Seconds()
		work := mean * (1 + 0.3*math.Sin(2*math.Pi*t/11))
		if math.Mod(t, 5.6) < 2.8 {
			work *= 1.3
		} else {
			work *= 0.8
		}
		if math.Mod(t, 15) < 3 {
			work *= 1.5
		}
		return work
	}
}
