package placer

import (
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/pacer"
	"apricotspool/throttler"
)

// statements is what an incarnation of an endpoint has shown of itself to this daemon, in its responses and by its end, and what
// follows from it. It holds for the life of the incarnation, whatever the object API lists: an entry can expire while its
// endpoint serves, and a store that was restored from a backup lists endpoints again that have left.
type statements struct {
	announcedLeaving bool // the endpoint has said that it is leaving
	// perhapsReplaced says that the process was seen to have ended at endedAt, and that another one may have taken its place.
	perhapsReplaced bool
	endedAt         namer.Seconds
	limit           throttler.Limit
	// bucket is used if this daemon is the owner, share if the owner doesn't respond.
	bucket throttler.Bucket
	share  throttler.Share
	// fullUntil is the time until which the rate limit has no room for requests of an urgency, as far as known.
	fullUntil [throttler.Urgencies]namer.Seconds
	// turnsAwayUntil is the time until which the endpoint wants no requests from this daemon.
	turnsAwayUntil namer.Seconds
}

// newEndpoint returns the state of an endpoint that takes the place of an earlier one with its name, which may be nil. If it is
// still the same incarnation, its statements hold.
func (c *Core) newEndpoint(now namer.Seconds, view decider.EndpointView, earlier *endpoint) *endpoint {
	phase := c.sharePhase(view.Name)
	e := &endpoint{knownSince: now, statements: statements{share: throttler.Share{Phase: phase}}, paced: paced{paceShare: pacer.Share{Phase: phase}}}
	if earlier != nil && earlier.view.Incarnation == view.Incarnation && view.Incarnation != 0 {
		e.statements = earlier.statements
	}
	return e
}

// knownEndpoint returns an endpoint of the fleet, or one that has departed from it and may still respond; nil if there is none.
func (c *Core) knownEndpoint(name namer.Endpoint) *endpoint {
	if e := c.endpoints[name]; e != nil {
		return e
	}
	return c.departed.byName[name]
}

// maxDeparted bounds the endpoints that are remembered after they have departed.
const maxDeparted = 1024

// departed remembers endpoints that aren't listed any more. The zero value is empty.
type departed struct {
	byName map[namer.Endpoint]*endpoint
	order  []*endpoint // by departure; may contain endpoints that have returned
}

// add remembers an endpoint. The earliest one is forgotten if there are too many.
func (d *departed) add(e *endpoint) {
	if d.byName == nil {
		d.byName = map[namer.Endpoint]*endpoint{}
	}
	e.cached = nil // the prefixes are learned again
	d.byName[e.view.Name] = e
	if d.order = append(d.order, e); len(d.order) > maxDeparted {
		if first := d.order[0]; d.byName[first.view.Name] == first {
			delete(d.byName, first.view.Name)
		}
		d.order[0] = nil
		d.order = d.order[1:]
	}
}

// take returns the endpoint with a name and forgets it, or returns nil.
func (d *departed) take(name namer.Endpoint) *endpoint {
	e := d.byName[name]
	delete(d.byName, name)
	return e
}
