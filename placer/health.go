package placer

import "apricotspool/namer"

const (
	// ejectAt is the count of failures that ejects an endpoint. A success halves the count.
	ejectAt = 2.5
	// Ejections double up to the longest one, so that an endpoint that is back is soon used.
	minEjection namer.Seconds = 0.3
	maxEjection namer.Seconds = 2
)

// health follows what an endpoint does to requests.
type health struct {
	failures float64
	until    namer.Seconds
	period   namer.Seconds
	probing  bool // one request is on its way after an ejection
}

// open reports whether the endpoint may get a request. After an ejection one request at a time tries
// it: one that may be repeated, and later any other, since there may be no repeatable ones.
func (h *health) open(now namer.Seconds, repeatable bool) bool {
	if h.period == 0 {
		return true
	}
	until := h.until
	if !repeatable {
		until += h.period
	}
	return now >= until && !h.probing
}

func (h *health) sent() {
	if h.period > 0 {
		h.probing = true
	}
}

// ended lets another request try the endpoint when the last one came to no result.
func (h *health) ended() { h.probing = false }

// succeeded reports whether the endpoint is back from an ejection.
func (h *health) succeeded() bool {
	returned := h.period > 0
	h.failures /= 2
	h.period, h.probing = 0, false
	return returned
}

// failed reports whether the failure ejects the endpoint.
func (h *health) failed(now namer.Seconds, weight float64) bool {
	h.failures += weight
	return (h.failures >= ejectAt || h.probing) && h.eject(now)
}

// eject takes the endpoint out for a while, unless it is out.
func (h *health) eject(now namer.Seconds) bool {
	if h.period > 0 && now < h.until {
		return false // failures of requests that were sent before
	}
	h.period = min(max(2*h.period, minEjection), maxEjection)
	h.until = now + h.period
	h.failures, h.probing = 0, false
	return true
}
