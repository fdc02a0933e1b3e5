package historian

import (
	"slices"

	"apricotspool/namer"
)

// MaxOrigins bounds the streams whose origins are known; the oldest go first.
const MaxOrigins = 1 << 16

// StreamKey identifies a stream by the request that began it. 0 is no key.
type StreamKey uint64

// Origin is what began a stream.
type Origin struct {
	Build    namer.Build
	Endpoint namer.Endpoint // empty if only the build is known
	At       namer.Seconds  // when its first event arrived
	Until    namer.Seconds  // when no caller can take it up any more
}

// Origins knows the origins of single streams. The zero value knows none.
type Origins struct {
	known map[StreamKey]Origin
	order []StreamKey // in which they were recorded; a key may have been forgotten, or stand here twice
}

// Record records what began a stream. What is known already stays: the first event of a stream has one origin.
func (o *Origins) Record(now namer.Seconds, key StreamKey, origin Origin) {
	if key == 0 || origin.Build == "" {
		return
	}
	if before, known := o.Of(now, key); known {
		before.Until = max(before.Until, origin.Until)
		if before.Endpoint == "" {
			before.Endpoint, before.At = origin.Endpoint, origin.At
		}
		o.known[key] = before
		return
	}
	if o.known == nil {
		o.known = map[StreamKey]Origin{}
	}
	o.expire(now)
	o.known[key], o.order = origin, append(o.order, key)
}

// expire drops the oldest origins, while they are over or too many.
func (o *Origins) expire(now namer.Seconds) {
	for len(o.order) > 0 {
		origin, known := o.known[o.order[0]]
		if known && now <= origin.Until && len(o.known) < MaxOrigins {
			return
		}
		delete(o.known, o.order[0])
		o.order = o.order[1:]
	}
}

// Of returns what began a stream.
func (o *Origins) Of(now namer.Seconds, key StreamKey) (Origin, bool) {
	origin, known := o.known[key]
	return origin, known && now <= origin.Until
}

// Forget forgets the streams that an endpoint began since a time, whose build isn't certain, and returns their keys.
func (o *Origins) Forget(endpoint namer.Endpoint, since namer.Seconds) (forgotten []StreamKey) {
	for key, origin := range o.known {
		if origin.Endpoint == endpoint && origin.At >= since {
			delete(o.known, key)
			forgotten = append(forgotten, key)
		}
	}
	slices.Sort(forgotten)
	return forgotten
}

// Drop forgets a stream.
func (o *Origins) Drop(key StreamKey) { delete(o.known, key) }

// All calls yield for each stream whose origin is known, in no order.
func (o *Origins) All(now namer.Seconds, yield func(StreamKey, Origin)) {
	for key, origin := range o.known {
		if now <= origin.Until {
			yield(key, origin)
		}
	}
}
