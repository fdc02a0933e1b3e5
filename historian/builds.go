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
	settled  map[namer.Build]bool // listed as builds that begin streams
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
		s := b.seen[build]
		if s == nil {
			s = &span{first: now, initial: initial}
			b.seen[build] = s
		}
		if !s.present && s.last > 0 && now-s.last > b.Lifetime { // others may have forgotten it
			s.first, s.initial = now, false
		}
		s.present = true
	}
	b.expire(now)
}

// expire drops the builds whose last stream can't be taken up any more.
func (b *Builds) expire(now namer.Seconds) {
	maps.DeleteFunc(b.seen, func(_ namer.Build, s *span) bool { return !s.present && now-s.last > b.Lifetime+b.Settling })
}

// SetListed sets the builds that the object API lists, and those of them that are known to all daemons. A build is listed there
// before it begins streams, and until its last one can't be taken up.
func (b *Builds) SetListed(builds, settled []namer.Build) {
	b.listed, b.settled = setOf(builds), setOf(settled)
}

func setOf(builds []namer.Build) map[namer.Build]bool {
	set := map[namer.Build]bool{}
	for _, build := range builds {
		set[build] = true
	}
	return set
}

// Currency says how current the observations are. The zero value makes nothing certain.
type Currency struct {
	Age      namer.Seconds // since the builds that serve were confirmed
	Unbroken namer.Seconds // for which no build that began streams can have been missed
	ListAge  namer.Seconds // since the list was read
}

// Only returns the build with which all streams have begun that callers may take up now. It reports false if there are
// several, or if this daemon can't know: another build may have begun streams since the builds were confirmed, in a gap of
// the observations, or before the first one.
func (b *Builds) Only(now namer.Seconds, c Currency) (namer.Build, bool) {
	b.expire(now)
	if len(b.seen) != 1 || c.Age > certainFraction*b.Settling {
		return "", false
	}
	for build := range b.seen {
		if (len(b.listed) == 1 && b.listed[build] && c.ListAge < c.Unbroken) || (c.Unbroken > b.Lifetime+b.Settling && b.Watched(now)) {
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

// A daemon concludes from its observations that a build doesn't serve while they are newer than certainFraction of Settling.
// A build begins streams when it has served for beginFraction, so that whoever doesn't know it by then concludes nothing.
const (
	certainFraction = 0.75
	beginFraction   = 0.8
)

// MayBegin reports whether a build may begin streams: it is listed, and no daemon concludes any more that it doesn't serve.
func (b *Builds) MayBegin(now namer.Seconds, build namer.Build) bool {
	left, listed := b.BeginsIn(now, build)
	return listed && left <= 0
}

// BeginsIn returns the time until a build that serves may begin streams, once it is listed.
func (b *Builds) BeginsIn(now namer.Seconds, build namer.Build) (left namer.Seconds, listed bool) {
	if b.Lifetime <= 0 {
		return 0, true
	}
	s := b.seen[build]
	if s == nil {
		return beginFraction * b.Settling, false
	}
	if s.initial && (len(b.listed) == 1 || b.settled[build]) && b.listed[build] {
		return 0, true
	}
	return s.first + beginFraction*b.Settling - now, b.listed[build]
}

// AllBegin reports whether all builds that serve may begin streams.
func (b *Builds) AllBegin(now namer.Seconds) bool {
	for build, s := range b.seen {
		if s.present && !b.MayBegin(now, build) {
			return false
		}
	}
	return true
}

// Settled returns the builds that serve and are known to all daemons, sorted.
func (b *Builds) Settled(now namer.Seconds) []namer.Build {
	var settled []namer.Build
	for build, s := range b.seen {
		if left, _ := b.BeginsIn(now, build); s.present && left <= 0 {
			settled = append(settled, build)
		}
	}
	slices.Sort(settled)
	return settled
}

// Unsettled reports whether a build has been gone for so long that daemons may soon forget it.
func (b *Builds) Unsettled(now namer.Seconds, build namer.Build) bool {
	s := b.seen[build]
	return s == nil || (!s.present && now-s.last > b.Lifetime/2)
}

// Missed records that the observations have had a gap. A build that has served before and after one that is longer than a
// stream can be taken up may have been gone meanwhile, so that others don't know it any more.
func (b *Builds) Missed(now, gap namer.Seconds) {
	if gap <= b.Lifetime {
		return
	}
	for _, s := range b.seen {
		s.first, s.initial = now, false
	}
}
