package modeler

import (
	"slices"
	"time"

	"apricotspool/namer"
)

// Plain models one server of a plain service: a fixed number of calls at the same time, each with a
// fixed service time, and a queue in order of arrival. Set the exported fields before the first call.
// Calls carry times that never decrease.
type Plain struct {
	Concurrency int
	ServiceTime time.Duration

	slots []time.Duration // when each slot becomes free
	ends  []Event         // of accepted calls, in order
}

// Submit gives the server a call and returns when it ends.
func (p *Plain) Submit(now time.Duration, call namer.StreamID, attempt namer.Attempt) time.Duration {
	if p.slots == nil {
		p.slots = make([]time.Duration, p.Concurrency)
	}
	earliest := slices.Index(p.slots, slices.Min(p.slots))
	end := max(now, p.slots[earliest]) + p.ServiceTime
	p.slots[earliest] = end
	p.ends = append(p.ends, Event{Kind: JobFinished, At: end, Stream: call, Attempt: attempt})
	return end
}

// Advance returns the calls that have ended by the given time and were not returned before, in order.
func (p *Plain) Advance(until time.Duration) []Event {
	n := 0
	for n < len(p.ends) && p.ends[n].At <= until {
		n++
	}
	ended := p.ends[:n:n]
	p.ends = p.ends[n:]
	return ended
}

// Load returns the calls that run and wait at the given time.
func (p *Plain) Load(now time.Duration) Load {
	open := 0
	for _, end := range p.ends {
		if end.At > now {
			open++
		}
	}
	running := min(open, p.Concurrency)
	return Load{At: now, Running: running, Waiting: open - running}
}
