package placer

import "apricotspool/namer"

// An endpoint whose process has ended may start again under its name and address, perhaps with another build, before its entry
// says so: the object API may be out. Until its entry is known to be newer than that, no stream begins or goes on there. All
// daemons are told, since those without a request at the endpoint notice nothing. Requests without a build may be sent there.

// ProcessEnd tells the other daemons that the process of an endpoint has ended.
type ProcessEnd struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    namer.Endpoint
	Incarnation namer.Incarnation
}

// recordProcessEnd records the end of an endpoint's process, which a request of this daemon has seen.
func (c *Core) recordProcessEnd(now namer.Seconds, e *endpoint) {
	if !e.perhapsReplaced {
		c.broadcast(Message{ProcessEnd: &ProcessEnd{Endpoint: e.view.Name, Incarnation: e.view.Incarnation}})
	}
	e.endedAt, e.perhapsReplaced = now, true
}

// receiveProcessEnd records what another daemon has seen.
func (c *Core) receiveProcessEnd(now namer.Seconds, m *ProcessEnd) {
	if e := c.knownEndpoint(m.Endpoint); e != nil && e.view.Incarnation == m.Incarnation {
		e.endedAt, e.perhapsReplaced = now, true
	}
}

// confirmProcesses notices which endpoints would have another entry by now if another process had taken their place.
func (c *Core) confirmProcesses(now namer.Seconds) {
	if !c.confirmation.Known || c.confirmation.Unbroken < 0 {
		return // a restored object API lists the process that has ended, perhaps
	}
	confirmed := now - namer.SecondsOf(c.confirmation.Age)
	for _, e := range c.endpoints {
		if e.perhapsReplaced && confirmed >= e.endedAt+e.pool(c).builds.Settling {
			e.perhapsReplaced = false
		}
	}
}

// hasStream reports whether the request's output must be of one build.
func (q *request) hasStream() bool { return q.Stream != 0 || q.build != "" }
