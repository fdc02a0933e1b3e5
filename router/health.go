package router

import (
	"math/rand/v2"

	"apricotspool/namer"
)

const (
	// ejectionThreshold is the decayed number of failures that ejects an endpoint. A single failure can
	// be chance.
	ejectionThreshold = 2.5
	// A success halves the count, so an endpoint that fails every second call stays below the
	// threshold only if its failures are spread out.
	successDecay = 0.5
	// slowFailureWeight is the weight of a first token that arrives far later than predicted.
	slowFailureWeight = 0.4
	// probesToReadmit is the number of consecutive successful probes that readmits an endpoint.
	probesToReadmit = 3

	minEjection namer.Seconds = 1
	maxEjection namer.Seconds = 60
	// The ejection backoff restarts when the previous ejection is longer ago than this.
	backoffResetAfter namer.Seconds = 300
)

// health implements outlier ejection for one endpoint. After the ejection period, one request at a
// time is sent as a probe until probesToReadmit of them have succeeded.
type health struct {
	failures       float64
	ejected        bool
	ejectedUntil   namer.Seconds
	ejections      int
	lastEjection   namer.Seconds
	probing        bool
	probeSuccesses int // successes while probing
	probesInFlight int // requests in flight while probing
}

func (h *health) failed(now namer.Seconds, amount float64, random *rand.Rand) {
	h.failures += amount
	if h.probing && amount >= 1 || h.failures >= ejectionThreshold {
		h.eject(now, random)
	}
}

func (h *health) eject(now namer.Seconds, random *rand.Rand) {
	if h.ejected && now < h.ejectedUntil {
		return // a failure of an attempt sent before the ejection
	}
	if now-h.lastEjection > backoffResetAfter {
		h.ejections = 0
	}
	h.ejections++
	h.lastEjection = now
	period := min(minEjection*namer.Seconds(int(1)<<min(h.ejections-1, 10)), maxEjection)
	// Jitter keeps hosts from probing at the same time.
	h.ejectedUntil = now + period*namer.Seconds(0.75+0.5*random.Float64())
	h.ejected, h.probing, h.probeSuccesses, h.failures = true, false, 0, 0
}

func (h *health) succeeded() {
	h.failures *= successDecay
	if !h.probing {
		return
	}
	h.probeSuccesses++
	if h.probeSuccesses >= probesToReadmit {
		h.ejected, h.probing, h.probeSuccesses = false, false, 0
	}
}

// advance starts probing when the ejection period has passed.
func (h *health) advance(now namer.Seconds) {
	if h.ejected && !h.probing && now >= h.ejectedUntil {
		h.probing, h.probeSuccesses = true, 0
	}
}

// admits reports whether the endpoint may take a request. Only idempotent requests are used as probes.
func (h *health) admits(idempotent bool) bool {
	if !h.ejected {
		return true
	}
	return h.probing && h.probesInFlight == 0 && idempotent
}
