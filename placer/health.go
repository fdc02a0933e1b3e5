package placer

import "apricotspool/namer"

const (
	// ejectionThreshold is the weighted failure count at which an endpoint is ejected. A success halves
	// the count.
	ejectionThreshold = 2.5
	// The ejection period doubles up to maxEjection, which keeps short the time until a recovered endpoint
	// is used again.
	minEjection namer.Seconds = 0.3
	maxEjection namer.Seconds = 2
)

// health implements outlier ejection for one endpoint.
type health struct {
	failures       float64
	ejectedUntil   namer.Seconds
	ejectionPeriod namer.Seconds
	probing        bool // a probe request is in flight
}

// admits reports whether the endpoint may receive a request. After an ejection, requests probe it one at a
// time: first only idempotent ones, and after another ejection period any request, since a service may
// have no idempotent ones.
func (h *health) admits(now namer.Seconds, idempotent bool) bool {
	if h.ejectionPeriod == 0 {
		return true
	}
	until := h.ejectedUntil
	if !idempotent {
		until += h.ejectionPeriod
	}
	return now >= until && !h.probing
}

func (h *health) recordSent() {
	if h.ejectionPeriod > 0 {
		h.probing = true
	}
}

// endProbe permits another probe when the last one ended without a result.
func (h *health) endProbe() { h.probing = false }

// recordSuccess records a success and reports whether it ended an ejection.
func (h *health) recordSuccess() bool {
	returned := h.ejectionPeriod > 0
	h.failures /= 2
	h.ejectionPeriod, h.probing = 0, false
	return returned
}

// recordFailure records a failure and reports whether it ejects the endpoint.
func (h *health) recordFailure(now namer.Seconds, weight float64) bool {
	h.failures += weight
	return (h.failures >= ejectionThreshold || h.probing) && h.eject(now)
}

// eject ejects the endpoint, unless it is ejected already. It reports whether it did.
func (h *health) eject(now namer.Seconds) bool {
	if h.ejectionPeriod > 0 && now < h.ejectedUntil {
		return false // a request sent before the ejection failed
	}
	h.ejectionPeriod = min(max(2*h.ejectionPeriod, minEjection), maxEjection)
	h.ejectedUntil = now + h.ejectionPeriod
	h.failures, h.probing = 0, false
	return true
}
