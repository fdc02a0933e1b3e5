// Package fetcher limits the rate of model loads to the rate of the weight store. The lease holder of
// each data centre gets an equal share of that rate, so data centres need no coordination.
package fetcher

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Budget is a token bucket with the share of the weight store's rate that one data centre may use. Set
// the exported fields before the first call. It is safe for concurrent use.
type Budget struct {
	LoadsPerSecond float64 // rate of the weight store for the whole fleet
	DataCentres    int     // number of data centres that share the rate; 0 counts as 1
	Burst          int     // maximum burst of loads in this data centre; 0 means 1

	mu      sync.Mutex
	limiter *rate.Limiter
}

// Reset empties the token bucket. A new lease holder calls it because it does not know how much its
// predecessor has recently spent.
func (b *Budget) Reset(now time.Time) {
	burst := max(b.Burst, 1)
	limiter := rate.NewLimiter(rate.Limit(b.LoadsPerSecond/float64(max(b.DataCentres, 1))), burst)
	limiter.AllowN(now, burst)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limiter = limiter
}

// Take takes one load from the budget, or returns how long to wait until one is available. It always
// fails before the first Reset.
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
