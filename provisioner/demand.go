package provisioner

import (
	"math"
	"time"
)

const (
	// periodBoots is the shortest observation from which engines are released, in boot times. With the platform's boot
	// time of 4 s it exceeds the longest period of the load, 15 s.
	periodBoots = 4
	// memoryPeriods is how long a peak counts, in periods. Several patterns with different periods have their common
	// peaks more rarely: counting them for one period made the plan rise and fall by a fifth.
	memoryPeriods = 4
	// idleWork is the part of the engines up to which they count as idle.
	idleWork = 0.01
	// floorShare is the part of an earlier peak that is kept ready, since load that has ended may return faster than
	// engines boot. floorPeriods is the time constant with which the earlier peak is forgotten, in periods.
	floorShare   = 0.5
	floorPeriods = 16
)

// demand keeps the peak of the load. The zero value has observed nothing.
type demand struct {
	period    time.Duration // of the load
	started   time.Time     // first observation of a load
	updatedAt time.Time
	samples   []sample // that count, with falling work: the first is the peak
	longPeak  float64
	rate      float64 // highest prompt rate of an engine, forgotten as longPeak is
	ratedAt   time.Time
}

// bestRate returns the highest prompt rate that an engine has recently shown. Rates are measured while prompts wait, so that
// they halve when some engines are slow for a while; the work of the others isn't twice as much then.
func (d *demand) bestRate(now time.Time, rate float64) float64 {
	if !d.ratedAt.IsZero() {
		d.rate *= math.Exp(-float64(now.Sub(d.ratedAt)) / float64(floorPeriods*d.period))
	}
	d.rate, d.ratedAt = max(d.rate, rate), now
	return d.rate
}

type sample struct {
	at   time.Time
	work float64
}

// observe records the load, in engines.
func (d *demand) observe(now time.Time, work float64, engines int) {
	if d.started.IsZero() {
		if work <= idleWork*float64(engines) {
			return
		}
		d.started, d.updatedAt = now, now
	}
	for len(d.samples) > 0 && d.samples[len(d.samples)-1].work <= work {
		d.samples = d.samples[:len(d.samples)-1]
	}
	d.samples = append(d.samples, sample{now, work})
	for now.Sub(d.samples[0].at) > memoryPeriods*d.period {
		d.samples = d.samples[1:]
	}
	decay := math.Exp(-float64(now.Sub(d.updatedAt)) / float64(floorPeriods*d.period))
	d.longPeak = max(d.samples[0].work, d.longPeak*decay)
	d.updatedAt = now
}

// known reports whether a load has been observed.
func (d *demand) known() bool { return !d.started.IsZero() }

// proven reports whether a load has been observed for a period.
func (d *demand) proven(now time.Time) bool { return d.known() && now.Sub(d.started) >= d.period }

// peak returns the work to plan for, in engines.
func (d *demand) peak() float64 {
	if !d.known() {
		return 0
	}
	return max(d.samples[0].work, floorShare*d.longPeak)
}
