package experimenter

import (
	"math/rand/v2"
	"time"
)

// The usual length of a measurement and its load, relative to the fluid capacity.
const (
	usualLength = 20 * time.Minute
	usualLower  = 0.5
	// floodFactor is the multiple of a rank's usual arrivals in a flood.
	floodFactor = 10
)

// usualLoad is 87% of the calibrated capacity of mixed engines for the usual mix, which is 52% of the
// fluid capacity at Siamrak.
const usualLoad = 0.45

// shiftLoad is above what mixed engines sustain and below what a good split into roles does.
const shiftLoad = 0.75

// Steady returns a schedule with an unchanging mix.
func Steady(site Site, load, lower float64, length time.Duration, seed uint64) Schedule {
	return Play("steady", site, seed, []Phase{{length, load, lower}})
}

// Usual returns a steady schedule at the usual load.
func Usual(site Site, length time.Duration, seed uint64) Schedule {
	return Steady(site, usualLoad, usualLower, length, seed)
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

func flooded(name string, site Site, length time.Duration, seed uint64, floods ...Flood) Schedule {
	return Play(name, site, seed, []Phase{{length, usualLoad, usualLower}}, floods...)
}

// Shifts returns a schedule in which the two workloads trade places as the dominant load every 3 to
// 10 minutes, scaled by the given factor, at a load that only a good choice of roles sustains.
func Shifts(site Site, load float64, phases int, scale float64, seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, 4))
	var list []Phase
	for n := range phases {
		minutes := scale * (3 + 7*random.Float64())
		lower := []float64{0.85, 0.15}[n%2]
		list = append(list, Phase{time.Duration(minutes * float64(time.Minute)), load, lower})
	}
	return Play("shifts", site, seed, list)
}

// Schedules returns the schedules of the measurement.
func Schedules(seed uint64) []Schedule {
	siamrak, igisasu := Siamrak(), Igisasu()
	return []Schedule{
		Usual(siamrak, usualLength, seed),
		FreeFlood(siamrak, usualLength, seed),
		UrgentFlood(siamrak, usualLength, seed),
		BothFloods(siamrak, usualLength, seed),
		Shifts(igisasu, shiftLoad, 4, 1, seed),
	}
}
