package modeler

import (
	"slices"
	"time"

	"apricotspool/namer"
)

// Plain simulates one server of a plain service: a FIFO queue with a fixed number of concurrent calls
// and a fixed service time. Set the exported fields before the first call. The times passed to its
// methods must not decrease.
type Plain struct {
	Concurrency int
	ServiceTime time.Duration

	slots       []time.Duration // when each slot becomes free
	completions []Event         // ends of accepted calls, in order
}

// Submit adds a call and returns the time at which it ends.
func (p *Plain) Submit(now time.Duration, call namer.StreamID, attempt namer.Attempt) time.Duration {
	if p.slots == nil {
		p.slots = make([]time.Duration, p.Concurrency)
	}
	earliest := slices.Index(p.slots, slices.Min(p.slots))
	end := max(now, p.slots[earliest]) + p.ServiceTime
	p.slots[earliest] = end
	p.completions = append(p.completions, Event{Kind: JobFinished, At: end, Stream: call, Attempt: attempt})
	return end
}

// Advance returns the calls that have ended by the given time since the last call of Advance, in order.
func (p *Plain) Advance(until time.Duration) []Event {
	n := 0
	for n < len(p.completions) && p.completions[n].At <= until {
		n++
	}
	ended := p.completions[:n:n]
	p.completions = p.completions[n:]
	return ended
}

// Load returns the numbers of running and waiting calls at the given time.
func (p *Plain) Load(now time.Duration) Load {
	open := 0
	for _, end := range p.completions {
		if end.At > now {
			open++
		}
	}
	running := min(open, p.Concurrency)
	return Load{At: now, Running: running, Waiting: open - running}
}
