package experimenter

import (
	"math/rand/v2"
	"time"

	"apricotspool/modeler"
	"apricotspool/namer"
)

const (
	// usualLower is the part of the less urgent rank in the usual work.
	usualLower = 0.5
	// floodFactor is the multiple of a rank's usual arrivals in a flood.
	floodFactor = 10
	// shiftLoad is far above what mixed engines sustain and below what a good split into roles does.
	shiftLoad = 0.8
	// shiftLower is the part of the dominant workload in the work between two shifts.
	shiftLower = 0.7
	// slowFactor makes an engine slow enough to miss the urgent targets.
	slowFactor = 4
	// staleLag is the age of load reports in target T4.
	staleLag = 5 * time.Second
	// newModelPart is the part of the requests that ask for a new model.
	newModelPart = 0.25
	// newModel starts to be served in the middle of a run.
	newModel namer.Model = "large-next"
)

// The mix at Igisasu's shifts every 3 to 10 minutes.
const (
	ShortestPhase = 3 * time.Minute
	LongestPhase  = 10 * time.Minute
)

// Steady returns a schedule with an unchanging mix.
func Steady(site Site, load, lower float64, length time.Duration, seed uint64) Schedule {
	return Play("steady", site, seed, []Phase{{length, load, lower}})
}

// Usual returns a steady schedule at the usual load.
func Usual(site Site, length time.Duration, seed uint64) Schedule {
	return Steady(site, site.Load, usualLower, length, seed)
}

// FreeFlood returns a steady schedule in which the middle third has ten times the usual work of the
// lower rank.
func FreeFlood(site Site, length time.Duration, seed uint64) Schedule {
	return flooded("lower flood", site, length, seed, Flood{site.Lower().Name, length / 3, 2 * length / 3, floodFactor})
}

// UrgentFlood returns a steady schedule in which the middle third has ten times the usual urgent work.
func UrgentFlood(site Site, length time.Duration, seed uint64) Schedule {
	return flooded("urgent flood", site, length, seed, Flood{RankUrgent, length / 3, 2 * length / 3, floodFactor})
}

// BothFloods returns a schedule with a flood of the lower rank and one of urgent work right after it.
func BothFloods(site Site, length time.Duration, seed uint64) Schedule {
	return flooded("both floods", site, length, seed,
		Flood{site.Lower().Name, length / 4, length / 2, floodFactor},
		Flood{RankUrgent, length / 2, 3 * length / 4, floodFactor})
}

// RetryStorm returns the flood of urgent work with callers that ask again at once when refused.
func RetryStorm(site Site, length time.Duration, seed uint64) Schedule {
	s := UrgentFlood(site, length, seed)
	s.AskAgain = true
	return s.named("retry storm")
}

func flooded(name string, site Site, length time.Duration, seed uint64, floods ...Flood) Schedule {
	return Play(name, site, seed, []Phase{{length, site.Load, usualLower}}, floods...)
}

// Shifts returns a schedule in which the two workloads trade places as the dominant load after times
// between the shortest and the longest phase, at a load that only a good choice of roles sustains.
func Shifts(site Site, phases int, longest time.Duration, seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, 4))
	var list []Phase
	for n := range phases {
		length := ShortestPhase + time.Duration(random.Float64()*float64(longest-ShortestPhase))
		lower := []float64{shiftLower, 1 - shiftLower}[n%2]
		list = append(list, Phase{length, shiftLoad, lower})
	}
	return Play("shifts", site, seed, list)
}

// Stale returns the schedule with load reports that are 5 s old.
func Stale(s Schedule) Schedule {
	s.ReportLag = staleLag
	s.Name += ", stale reports"
	return s
}

// Crashes returns a steady schedule in which one engine crashes, and later two at once.
func Crashes(site Site, length time.Duration, seed uint64) Schedule {
	s := Usual(site, length, seed)
	s.Faults = []Fault{
		{Kind: FaultCrash, Engine: 1, From: length / 5, To: length/5 + time.Minute},
		{Kind: FaultCrash, Engine: 2, From: length / 2, To: length/2 + time.Minute},
		{Kind: FaultCrash, Engine: 5, From: length / 2, To: length/2 + 2*time.Minute},
	}
	return s.named("crashes")
}

// CrashInChange returns a steady schedule in which an operator gives an engine another role, and the
// engine crashes one second into the change.
func CrashInChange(site Site, length time.Duration, seed uint64) Schedule {
	s := Usual(site, length, seed)
	s.Faults = []Fault{{
		Kind: FaultRoleChange, Engine: 3, From: length / 3, Role: namer.RoleDecode,
		CrashAfter: time.Second, To: time.Minute,
	}}
	return s.named("crash in change")
}

// Slow returns a steady schedule in which one engine is slow for a third of the time.
func Slow(site Site, length time.Duration, seed uint64) Schedule {
	s := Usual(site, length, seed)
	s.Faults = []Fault{{Kind: FaultSlow, Engine: 1, From: length / 3, To: 2 * length / 3, Factor: slowFactor}}
	return s.named("slow engine")
}

// Partition returns a steady schedule in which the last data centre is cut off for a third of the time.
func Partition(site Site, length time.Duration, seed uint64) Schedule {
	s := Usual(site, length, seed)
	last := site.DataCentres[len(site.DataCentres)-1]
	s.Faults = []Fault{{Kind: FaultPartition, DataCentre: last, From: length / 3, To: 2 * length / 3}}
	return s.named("partition")
}

// NewModel returns a steady schedule in which two engines with a new model without known rates join
// the fleet, and a quarter of the requests ask for it from then on.
func NewModel(site Site, length time.Duration, seed uint64) Schedule {
	s := Usual(site, length, seed)
	from := length / 4
	for range 2 {
		s.Site.Engines = append(s.Site.Engines, Placed{Class: modeler.Medium13B, Model: newModel, From: from, NoPriors: true})
	}
	random := rand.New(rand.NewPCG(seed, 7))
	for n := range s.Arrivals {
		if s.Arrivals[n].At > from && random.Float64() < newModelPart {
			s.Arrivals[n].Model = newModel
		}
	}
	return s.named("new model")
}

func (s Schedule) named(name string) Schedule {
	s.Name = s.Site.Name + " " + name
	return s
}

// Schedules returns the schedules of the measurement.
func Schedules(seed uint64) []Schedule {
	const long, short = 20 * time.Minute, 12 * time.Minute
	siamrak, igisasu := Siamrak(), Igisasu()
	shifts := Shifts(igisasu, 4, LongestPhase, seed)
	return []Schedule{
		Usual(siamrak, long, seed),
		Stale(Usual(siamrak, long, seed)),
		FreeFlood(siamrak, long, seed),
		UrgentFlood(siamrak, short, seed),
		BothFloods(siamrak, long, seed),
		RetryStorm(siamrak, short, seed),
		Slow(siamrak, short, seed),
		Partition(siamrak, short, seed),
		NewModel(siamrak, short, seed),
		Usual(igisasu, long, seed),
		shifts,
		Stale(shifts),
		Crashes(igisasu, short, seed),
		CrashInChange(igisasu, short, seed),
	}
}
