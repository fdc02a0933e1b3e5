package placer

import (
	"cmp"
	"slices"
	"time"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/historian"
	"apricotspool/namer"
)

// What two builds write doesn't fit together, so a stream goes on only at the build that wrote its first event. Within one
// response this daemon knows it. A stream that a caller takes up may have begun at another daemon: while several builds
// serve, each daemon tells the first in rank for a stream what began it, and asks these about streams that it doesn't know.
// A stream whose origin is unknown is refused.

const (
	// originHolders is the number of other daemons that are told of a stream's origin.
	originHolders = 3
	// originTimeout is the time within which the origin of a stream must be known, else it is refused.
	originTimeout = 2 * reserveTimeout
	// learnTimeout is the same while the streams of earlier processes are being read.
	learnTimeout namer.Seconds = 0.5
	// minKeptAge is the age from which a stream is kept in the object API.
	minKeptAge namer.Seconds = 0.2
	// restartDoubt is the time, in multiples of the staleness bound, for which an endpoint may have run under its old entry
	// after a restart: until it writes the next one, and that arrives.
	restartDoubt = 2
	// maxOriginsPerMessage keeps messages within one datagram.
	maxOriginsPerMessage = 20
)

// originAsk is a stream whose origin other daemons have been asked for.
type originAsk struct {
	service namer.Service
	stream  historian.StreamKey
}

// learning reports whether the streams of earlier processes are still being read.
func (c *Core) learning() bool { return c.Learning && !c.learned }

// compatible reports whether the request may go on at an endpoint, after the events that the caller has received. Prefill
// engines write none.
func (q *request) compatible(e *endpoint) bool {
	return (q.build == "" && !q.originLost) || e.view.Role == namer.RolePrefill || (e.view.Build == q.build && !q.originLost)
}

// mayBegin reports whether a stream may begin at an endpoint: its build serves streams already, or no other build can take
// the request.
func (c *Core) mayBegin(now namer.Seconds, q *request, e *endpoint) bool {
	builds := &q.pool.builds
	if q.Stream == 0 || q.build != "" || e.view.Role == namer.RolePrefill || builds.Settled(now) || builds.MayBegin(now, e.view.Build) {
		return true
	}
	return !slices.ContainsFunc(q.pool.endpoints, func(other *endpoint) bool {
		return other.view.Role != namer.RolePrefill && builds.MayBegin(now, other.view.Build) && other.usable(now, q.Idempotent)
	})
}

// buildOpen reports whether an engine of the build of the request's stream may be asked to generate now.
func (c *Core) buildOpen(now namer.Seconds, q *request) bool {
	return slices.ContainsFunc(q.pool.endpoints, func(e *endpoint) bool { return e.view.Role != namer.RolePrefill && c.open(now, q, e) })
}

// buildServes reports whether any endpoint that can generate has the build of the request's stream.
func (q *request) buildServes() bool {
	return slices.ContainsFunc(q.pool.endpoints, func(e *endpoint) bool { return e.view.Role != namer.RolePrefill && q.compatible(e) })
}

// observeBuilds updates the builds that serve the pools.
func (c *Core) observeBuilds(now namer.Seconds) {
	for _, p := range c.pools {
		present := map[namer.Build]bool{}
		for _, e := range p.endpoints {
			present[e.view.Build] = true
		}
		_, only := p.builds.Only(now)
		p.builds.Observe(now, present)
		_, still := p.builds.Only(now)
		p.originsUntold = p.originsUntold || (only && !still)
	}
}

// tellOrigins tells the other daemons of the streams that have begun before a second build appeared.
func (c *Core) tellOrigins(now namer.Seconds) {
	for _, p := range c.pools {
		if p.originsUntold {
			p.originsUntold = false
			c.tellAllOrigins(now, p)
		}
	}
}

// forgetOrigins forgets what began streams at an endpoint that has restarted with another build under its name. Whether the
// old or the new process wrote the events since its restart is not known.
func (c *Core) forgetOrigins(now namer.Seconds, p *pool, old *endpoint) {
	since := now - restartDoubt*p.builds.Settling
	p.origins.Forget(old.view.Name, since)
	for _, q := range c.requests {
		if q.origin == old && q.originAt >= since {
			q.originLost = true
		}
	}
}

// recordOrigin records what wrote the first event of the request's stream.
func (c *Core) recordOrigin(now namer.Seconds, q *request) {
	if q.origin == nil {
		q.origin, q.originAt = q.endpoint, now
		if q.build == "" {
			q.build = q.attemptBuild
		}
	}
	if q.Stream == 0 {
		return
	}
	q.pool.origins.Record(now, q.Stream, historian.Origin{
		Build: q.build, Endpoint: q.endpoint.view.Name, At: now, Until: now + namer.SecondsOf(q.Lifetime),
	})
	if _, only := q.pool.builds.Only(now); only {
		return
	}
	if origin, known := q.pool.origins.Of(now, q.Stream); known {
		for _, m := range c.originHolders(q.Stream) {
			c.send(m.Host, Message{Origins: &Origins{Service: q.Service, Known: []OriginNotice{originNotice(now, q.Stream, origin)}}})
		}
	}
}

func originNotice(now namer.Seconds, key historian.StreamKey, origin historian.Origin) OriginNotice {
	return OriginNotice{
		Stream: key, Build: origin.Build, Endpoint: origin.Endpoint, Age: max(0, now-origin.At), Left: min(origin.Until-now, maxMessageTime),
	}
}

// tellAllOrigins tells the other daemons of all streams whose origin this daemon knows.
func (c *Core) tellAllOrigins(now namer.Seconds, p *pool) {
	batches := map[namer.Host][]OriginNotice{}
	p.origins.All(now, func(key historian.StreamKey, origin historian.Origin) {
		if origin.Endpoint == "" {
			return // learned from the object API, as the others have
		}
		for _, m := range c.originHolders(key) {
			batches[m.Host] = append(batches[m.Host], originNotice(now, key, origin))
		}
	})
	for host, notices := range batches {
		for batch := range slices.Chunk(notices, maxOriginsPerMessage) {
			c.send(host, Message{Origins: &Origins{Service: p.service, Known: batch}})
		}
	}
}

// StreamsInProgress returns the keys of this daemon's streams, by service and build. Those of services with one build are left
// out, since nothing need be known of them, and those that have begun just now, most of which end soon.
func (c *Core) StreamsInProgress(now time.Time) map[namer.Service]map[namer.Build][]historian.StreamKey {
	c.ensureInit(now)
	at := c.seconds(now)
	found := map[namer.Service]map[namer.Build][]historian.StreamKey{}
	for _, q := range c.requests {
		if q.Stream == 0 || q.origin == nil || q.originLost || at-q.originAt < minKeptAge {
			continue
		}
		if _, only := q.pool.builds.Only(at); only {
			continue
		}
		if found[q.Service] == nil {
			found[q.Service] = map[namer.Build][]historian.StreamKey{}
		}
		found[q.Service][q.build] = append(found[q.Service][q.build], q.Stream)
	}
	for _, builds := range found {
		for _, keys := range builds {
			slices.Sort(keys)
		}
	}
	return found
}

// LearnStreams records the streams that earlier processes have kept.
func (c *Core) LearnStreams(now time.Time, begun map[namer.Service]map[namer.Build][]historian.StreamKey) []decider.Action {
	c.ensureInit(now)
	c.actions = c.actions[:0]
	c.learned = true
	at := c.seconds(now)
	for service, builds := range begun {
		p := c.pools[service]
		if p == nil {
			continue
		}
		for build, keys := range builds {
			for _, key := range keys {
				p.origins.Record(at, key, historian.Origin{Build: build, At: at, Until: at + p.builds.Lifetime})
				c.answerAsks(at, originAsk{service, key}, build)
			}
		}
	}
	return c.actions
}

// originHolders returns the other daemons that know the origin of a stream, if any does.
func (c *Core) originHolders(key historian.StreamKey) []*member {
	type ranked struct {
		*member
		weight uint64
	}
	var all []ranked
	for _, m := range c.members {
		if m.Host != c.Self {
			all = append(all, ranked{m, rendezvous(uint64(key), string(m.Host))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.weight, a.weight) })
	var holders []*member
	for _, r := range all[:min(originHolders, len(all))] {
		holders = append(holders, r.member)
	}
	return holders
}

// findOrigin finds the build of a stream that a caller takes up. It reports false if the request waits for other daemons or
// has been refused.
func (c *Core) findOrigin(now namer.Seconds, q *request) bool {
	if build, known := q.pool.buildOf(now, q.Stream); known {
		q.build = build
		return true
	}
	holders := c.originHolders(q.Stream)
	if q.Stream == 0 || (len(holders) == 0 && !c.learning()) {
		c.refuse(now, q, classifier.StreamUnknown, noEndpointRetry)
		return false
	}
	q.originAskedAt, q.originAnswers = now, len(holders)
	ask := originAsk{q.Service, q.Stream}
	c.originAsks[ask] = append(c.originAsks[ask], q)
	for _, m := range holders {
		c.send(m.Host, Message{Origins: &Origins{Service: q.Service, Asked: q.Stream}})
	}
	return false
}

// buildOf returns the build that began a stream.
func (p *pool) buildOf(now namer.Seconds, key historian.StreamKey) (namer.Build, bool) {
	if origin, known := p.origins.Of(now, key); known {
		return origin.Build, true
	}
	return p.builds.Only(now)
}

// receiveOrigins handles what another daemon knows or asks of streams.
func (c *Core) receiveOrigins(now namer.Seconds, from namer.Host, m *Origins) {
	p := c.pools[m.Service]
	if p == nil {
		return
	}
	for _, n := range m.Known {
		p.origins.Record(now, n.Stream, historian.Origin{Build: n.Build, Endpoint: n.Endpoint, At: now - n.Age, Until: now + n.Left})
		c.answerAsks(now, originAsk{m.Service, n.Stream}, n.Build)
	}
	if m.Asked != 0 {
		build, _ := p.buildOf(now, m.Asked)
		c.send(from, Message{Origins: &Origins{Service: m.Service, Answered: m.Asked, Build: build}})
	}
	switch {
	case m.Answered == 0:
	case m.Build == "":
		c.countUnknown(now, originAsk{m.Service, m.Answered})
	default:
		c.answerAsks(now, originAsk{m.Service, m.Answered}, m.Build)
	}
}

// answerAsks places the requests that wait for the origin of a stream.
func (c *Core) answerAsks(now namer.Seconds, ask originAsk, build namer.Build) {
	waiting := c.originAsks[ask]
	delete(c.originAsks, ask)
	for _, q := range waiting {
		if c.requests[q.ID] == q {
			q.build, q.originAskedAt = build, 0
			c.place(now, q)
		}
	}
}

// countUnknown refuses the requests of a stream that none of the daemons asked knows.
func (c *Core) countUnknown(now namer.Seconds, ask originAsk) {
	c.originAsks[ask] = slices.DeleteFunc(c.originAsks[ask], func(q *request) bool {
		if q.originAnswers--; q.originAnswers > 0 || c.learning() {
			return false
		}
		c.refuseUnknown(now, q)
		return true
	})
	if len(c.originAsks[ask]) == 0 {
		delete(c.originAsks, ask)
	}
}

// expireOriginAsks refuses the requests whose stream hasn't become known in time.
func (c *Core) expireOriginAsks(now namer.Seconds) {
	timeout := originTimeout
	if c.learning() {
		timeout = learnTimeout
	}
	for ask, waiting := range c.originAsks {
		c.originAsks[ask] = slices.DeleteFunc(waiting, func(q *request) bool {
			if now-q.originAskedAt < timeout {
				return c.requests[q.ID] != q
			}
			c.refuseUnknown(now, q)
			return true
		})
		if len(c.originAsks[ask]) == 0 {
			delete(c.originAsks, ask)
		}
	}
}

func (c *Core) refuseUnknown(now namer.Seconds, q *request) {
	if c.requests[q.ID] == q {
		c.refuse(now, q, classifier.StreamUnknown, noEndpointRetry)
	}
}
