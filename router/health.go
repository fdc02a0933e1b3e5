package router

import (
	"math/rand/v2"

	"apricotspool/namer"
)

const (
	// ejectAt is the decayed number of failures that ejects an endpoint. One failure is chance.
	ejectAt = 2.5
	// A success halves the count, so an endpoint that fails one call in two stays below ejectAt
	// only when its failures are spread out.
	successFactor = 0.5
	// slowFailure is what a first token far later than predicted counts as.
	slowFailure = 0.4
	// probesToReadmit successes in a row readmit an endpoint.
	probesToReadmit = 3

	minEjection namer.Seconds = 1
	maxEjection namer.Seconds = 60
	// Ejections further apart than this are unrelated.
	forgetAfter namer.Seconds = 300
)

// health follows the failures of one endpoint. After an ejection it admits one request at a time
// until enough of them have succeeded.
type health struct {
	failures  float64
	ejected   bool
	until     namer.Seconds
	ejections int
	last      namer.Seconds
	probing   bool
	probes    int // successes while probing
	probe     int // requests in flight while probing
}

func (h *health) failed(now namer.Seconds, amount float64, random *rand.Rand) {
	h.failures += amount
	if h.probing && amount >= 1 || h.failures >= ejectAt {
		h.eject(now, random)
	}
}

func (h *health) eject(now namer.Seconds, random *rand.Rand) {
	if h.ejected && now < h.until {
		return // attempts that were sent before the ejection still come back
	}
	if now-h.last > forgetAfter {
		h.ejections = 0
	}
	h.ejections++
	h.last = now
	period := min(minEjection*namer.Seconds(int(1)<<min(h.ejections-1, 10)), maxEjection)
	// Jitter keeps hosts from probing together.
	h.until = now + period*namer.Seconds(0.75+0.5*random.Float64())
	h.ejected, h.probing, h.probes, h.failures = true, false, 0, 0
}

func (h *health) succeeded() {
	h.failures *= successFactor
	if !h.probing {
		return
	}
	h.probes++
	if h.probes >= probesToReadmit {
		h.ejected, h.probing, h.probes = false, false, 0
	}
}

// advance ends the ejection when its time is over; probes come next.
func (h *health) advance(now namer.Seconds) {
	if h.ejected && !h.probing && now >= h.until {
		h.probing, h.probes = true, 0
	}
}

// open reports whether the endpoint may take a request; probes are only for repeatable requests.
func (h *health) open(repeatable bool) bool {
	if !h.ejected {
		return true
	}
	return h.probing && h.probe == 0 && repeatable
}
