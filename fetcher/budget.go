// Package fetcher keeps model loads within the rate of the weight store. Each data centre's lease
// holder spends an equal part of that rate, so no coordination between data centres is needed.
package fetcher

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget is the part of the weight store's rate that one data centre may use. Set the exported
// fields before the first call. It is safe for concurrent use.
type Budget struct {
	LoadsPerSecond float64 // rate of the weight store over the whole fleet
	DataCentres    int     // number of data centres that share the rate; 0 counts as 1
	Burst          int     // most loads at once in this data centre; 0 means 1

	mu      sync.Mutex
	limiter *rate.Limiter
}

// Restart empties the bucket. A new lease holder calls it, because it doesn't know how much its
// predecessor has just spent.
func (b *Budget) Restart(now time.Time) {
	burst := max(b.Burst, 1)
	limiter := rate.NewLimiter(rate.Limit(b.LoadsPerSecond/float64(max(b.DataCentres, 1))), burst)
	limiter.AllowN(now, burst)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limiter = limiter
}

// Take spends one load, or returns how long to wait until one is available. It grants nothing
// before the first Restart.
func (b *Budget) Take(now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter == nil {
		return time.Second, false
	}
	reservation := b.limiter.ReserveN(now, 1)
	if !reservation.OK() {
		return time.Hour, false
	}
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return min(wait, time.Hour), false
	}
	return 0, true
}
