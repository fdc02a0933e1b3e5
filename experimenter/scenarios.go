package experimenter

import (
	"math/rand/v2"
	"time"

	"apricotspool/modeler"
	"apricotspool/namer"
)

const (
	// nominalLowerShare is the less urgent rank's fraction of the work at nominal load.
	nominalLowerShare = 0.5
	// floodFactor multiplies a rank's nominal arrival rate in a flood.
	floodFactor = 10
	// shiftLoad is far above what mixed engines sustain and below what a good role split sustains.
	shiftLoad = 0.8
	// dominantShare is the dominant workload's fraction of the work between two shifts.
	dominantShare = 0.7
	// slowFactor makes an engine slow enough to miss the urgent targets.
	slowFactor = 4
	// staleLag is the age of load reports in target T4.
	staleLag = 5 * time.Second
	// newModelShare is the fraction of requests for the new model.
	newModelShare = 0.25
	// newModel is added to the fleet during a run.
	newModel namer.Model = "large-next"
)

// Range of the time between two shifts of the mix at Igisasu.
const (
	ShortestPhase = 3 * time.Minute
	LongestPhase  = 10 * time.Minute
)

// Steady returns a schedule with a constant mix.
func Steady(site Site, load, lowerShare float64, length time.Duration, seed uint64) Schedule {
	return NewSchedule("steady", site, seed, []Phase{{length, load, lowerShare}})
}

// NominalLoad returns a steady schedule at the site's nominal load.
func NominalLoad(site Site, length time.Duration, seed uint64) Schedule {
	return Steady(site, site.Load, nominalLowerShare, length, seed)
}

// LowerRankFlood returns a steady schedule with ten times the nominal arrivals of the lower rank in the
// middle third.
func LowerRankFlood(site Site, length time.Duration, seed uint64) Schedule {
	return floodSchedule("lower flood", site, length, seed, Flood{site.LowerRank().Name, length / 3, 2 * length / 3, floodFactor})
}

// UrgentFlood returns a steady schedule with ten times the nominal urgent arrivals in the middle third.
func UrgentFlood(site Site, length time.Duration, seed uint64) Schedule {
	return floodSchedule("urgent flood", site, length, seed, Flood{RankUrgent, length / 3, 2 * length / 3, floodFactor})
}

// BothFloods returns a schedule with a flood of the lower rank followed directly by an urgent flood.
func BothFloods(site Site, length time.Duration, seed uint64) Schedule {
	return floodSchedule("both floods", site, length, seed,
		Flood{site.LowerRank().Name, length / 4, length / 2, floodFactor},
		Flood{RankUrgent, length / 2, 3 * length / 4, floodFactor})
}

// RetryStorm returns the urgent flood with callers that resend refused requests without backoff.
func RetryStorm(site Site, length time.Duration, seed uint64) Schedule {
	s := UrgentFlood(site, length, seed)
	s.CallersRetry = true
	return s.withName("retry storm")
}

func floodSchedule(name string, site Site, length time.Duration, seed uint64, floods ...Flood) Schedule {
	return NewSchedule(name, site, seed, []Phase{{length, site.Load, nominalLowerShare}}, floods...)
}

// MixShifts returns a schedule in which the two workloads alternate as the dominant one. Each phase
// lasts between ShortestPhase and longest, at a load that only a good choice of roles sustains.
func MixShifts(site Site, phases int, longest time.Duration, seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, 4))
	var list []Phase
	for n := range phases {
		length := ShortestPhase + time.Duration(random.Float64()*float64(longest-ShortestPhase))
		lowerShare := []float64{dominantShare, 1 - dominantShare}[n%2]
		list = append(list, Phase{length, shiftLoad, lowerShare})
	}
	return NewSchedule("shifts", site, seed, list)
}

// WithStaleReports returns the schedule with load reports that are 5 s old.
func WithStaleReports(s Schedule) Schedule {
	s.ReportLag = staleLag
	s.Name += ", stale reports"
	return s
}

// Crashes returns a steady schedule in which one engine crashes, and later two at the same time.
func Crashes(site Site, length time.Duration, seed uint64) Schedule {
	s := NominalLoad(site, length, seed)
	s.Faults = []Fault{
		{Kind: FaultCrash, Engine: 1, From: length / 5, To: length/5 + time.Minute},
		{Kind: FaultCrash, Engine: 2, From: length / 2, To: length/2 + time.Minute},
		{Kind: FaultCrash, Engine: 5, From: length / 2, To: length/2 + 2*time.Minute},
	}
	return s.withName("crashes")
}

// CrashDuringRoleChange returns a steady schedule in which an operator changes the role of an engine
// and the engine crashes one second into the change.
func CrashDuringRoleChange(site Site, length time.Duration, seed uint64) Schedule {
	s := NominalLoad(site, length, seed)
	s.Faults = []Fault{{
		Kind: FaultRoleChange, Engine: 3, From: length / 3, Role: namer.RoleDecode,
		CrashAfter: time.Second, To: time.Minute,
	}}
	return s.withName("crash in change")
}

// SlowEngine returns a steady schedule in which one engine is slow for a third of the time.
func SlowEngine(site Site, length time.Duration, seed uint64) Schedule {
	s := NominalLoad(site, length, seed)
	s.Faults = []Fault{{Kind: FaultSlow, Engine: 1, From: length / 3, To: 2 * length / 3, Factor: slowFactor}}
	return s.withName("slow engine")
}

// Partition returns a steady schedule in which the last data centre is partitioned from the others for
// a third of the time.
func Partition(site Site, length time.Duration, seed uint64) Schedule {
	s := NominalLoad(site, length, seed)
	last := site.DataCentres[len(site.DataCentres)-1]
	s.Faults = []Fault{{Kind: FaultPartition, DataCentre: last, From: length / 3, To: 2 * length / 3}}
	return s.withName("partition")
}

// NewModel returns a steady schedule in which two engines with a new model of unknown rates join the
// fleet. From then on, a quarter of the requests are for the new model.
func NewModel(site Site, length time.Duration, seed uint64) Schedule {
	s := NominalLoad(site, length, seed)
	from := length / 4
	for range 2 {
		s.Site.Engines = append(s.Site.Engines, EngineSpec{Class: modeler.Medium13B, Model: newModel, JoinsAt: from, OmitRates: true})
	}
	random := rand.New(rand.NewPCG(seed, 7))
	for n := range s.Arrivals {
		if s.Arrivals[n].At > from && random.Float64() < newModelShare {
			s.Arrivals[n].Model = newModel
		}
	}
	return s.withName("new model")
}

func (s Schedule) withName(name string) Schedule {
	s.Name = s.Site.Name + " " + name
	return s
}

// Schedules returns the schedules of the benchmark.
func Schedules(seed uint64) []Schedule {
	const long, short = 20 * time.Minute, 12 * time.Minute
	siamrak, igisasu := Siamrak(), Igisasu()
	shifts := MixShifts(igisasu, 4, LongestPhase, seed)
	return []Schedule{
		NominalLoad(siamrak, long, seed),
		WithStaleReports(NominalLoad(siamrak, long, seed)),
		LowerRankFlood(siamrak, long, seed),
		UrgentFlood(siamrak, short, seed),
		BothFloods(siamrak, long, seed),
		RetryStorm(siamrak, short, seed),
		SlowEngine(siamrak, short, seed),
		Partition(siamrak, short, seed),
		NewModel(siamrak, short, seed),
		NominalLoad(igisasu, long, seed),
		shifts,
		WithStaleReports(shifts),
		Crashes(igisasu, short, seed),
		CrashDuringRoleChange(igisasu, short, seed),
	}
}
