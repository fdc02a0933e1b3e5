// Package historian knows the software versions, the builds, with which streams have begun: of single streams, and of all
// streams of a service while only one build has served it. It does no I/O and reads no clock. Its values are owned by one
// goroutine.
package historian

import (
	"maps"
	"slices"

	"apricotspool/namer"
)

// Builds knows the builds that have served one service. The zero value knows none.
type Builds struct {
	// Lifetime is the longest time from a stream's begin until a caller takes it up; 0 if none can be taken up.
	Lifetime namer.Seconds
	// Settling bounds the time within which all daemons learn of a new build, whatever fails.
	Settling namer.Seconds

	watching bool
	since    namer.Seconds // when Observe was first called
	seen     map[namer.Build]*span
	listed   map[namer.Build]bool // in the object API; nil until it has been read
}

// span is the time in which a build has served.
type span struct {
	first, last namer.Seconds
	present     bool
	initial     bool // served already when Observe was first called
}

// Observe updates the builds of the service's endpoints.
func (b *Builds) Observe(now namer.Seconds, present map[namer.Build]bool) {
	initial := !b.watching
	if initial {
		b.watching, b.since, b.seen = true, now, map[namer.Build]*span{}
	}
	for build, s := range b.seen {
		if s.present {
			s.last, s.present = now, present[build]
		}
	}
	for build := range present {
		if b.seen[build] == nil {
			b.seen[build] = &span{first: now, initial: initial}
		}
		b.seen[build].present = true
	}
	b.expire(now)
}

// expire drops the builds whose last stream can't be taken up any more.
func (b *Builds) expire(now namer.Seconds) {
	maps.DeleteFunc(b.seen, func(_ namer.Build, s *span) bool { return !s.present && now-s.last > b.Lifetime+b.Settling })
}

// SetListed sets the builds that the object API lists. A build is listed there before it begins streams, and until its
// last one can't be taken up.
func (b *Builds) SetListed(builds []namer.Build) {
	b.listed = map[namer.Build]bool{}
	for _, build := range builds {
		b.listed[build] = true
	}
}

// Only returns the build with which all streams have begun that callers may take up now. It reports false if there are
// several, or if this daemon hasn't watched for long enough to know.
func (b *Builds) Only(now namer.Seconds) (namer.Build, bool) {
	b.expire(now)
	if len(b.seen) != 1 {
		return "", false
	}
	for build := range b.seen {
		if (len(b.listed) == 1 && b.listed[build]) || b.Watched(now) {
			return build, true
		}
	}
	return "", false
}

// Known returns the builds that serve, and those whose last stream may still be taken up, sorted.
func (b *Builds) Known(now namer.Seconds) []namer.Build {
	b.expire(now)
	return slices.Sorted(maps.Keys(b.seen))
}

// Watched reports whether the service has been watched for long enough to have seen each build that began a stream which
// can be taken up now.
func (b *Builds) Watched(now namer.Seconds) bool {
	return b.watching && now-b.since > b.Lifetime+b.Settling
}

// beginFraction is the part of Settling after which all daemons know a new build while they reach the object API: they read
// it again after two fifths.
const beginFraction = 0.5

// MayBegin reports whether a build may begin streams: it is listed, and the daemons know that it serves.
func (b *Builds) MayBegin(now namer.Seconds, build namer.Build) bool {
	s := b.seen[build]
	return b.Lifetime <= 0 || (s != nil && b.listed[build] && (s.initial || now-s.first >= beginFraction*b.Settling))
}

// Settled reports whether all builds that serve may begin streams.
func (b *Builds) Settled(now namer.Seconds) bool {
	for build, s := range b.seen {
		if s.present && !b.MayBegin(now, build) {
			return false
		}
	}
	return true
}
