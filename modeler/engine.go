package modeler

import (
	"cmp"
	"slices"
	"time"

	"apricotspool/namer"
)

// Job is one attempt of one request at an engine.
type Job struct {
	Stream   namer.StreamID
	Attempt  namer.Attempt
	Prompt   namer.Tokens
	Output   namer.Tokens // tokens that the engine will generate; the deciding host doesn't know it
	Priority int          // 0 is the most urgent
}

// EventKind names what happened to a job.
type EventKind int

// The kinds of events.
const (
	// JobStarted reports the first token.
	JobStarted EventKind = iota
	// JobFinished reports the last token.
	JobFinished
)

// Event is something that happened at an engine.
type Event struct {
	Kind    EventKind
	At      time.Duration
	Stream  namer.StreamID
	Attempt namer.Attempt
	Output  namer.Tokens // tokens generated so far
}

// Load is the state that an engine reports.
type Load struct {
	At             time.Duration
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
	KVUsed         float64
	Role           namer.Role
}

// Engine models one engine with continuous batching and chunked prefill. Set the exported fields
// before the first call. Calls carry times that never decrease.
type Engine struct {
	Name  namer.Endpoint
	Class Class

	stepping bool
	stepEnd  time.Duration
	// queue holds the sequences with prompt tokens still to process, in order of priority, then arrival.
	queue []*sequence
	// decoding holds the sequences whose prompt is complete, in order of its completion.
	decoding []*sequence
	chunked  []*sequence  // the part of queue that is in the current step
	holding  int          // sequences that hold KV memory
	kvUsed   namer.Tokens // KV memory held
	arrivals int
	events   []Event
}

// sequence is a job in progress.
type sequence struct {
	job     Job
	arrival int
	kv      namer.Tokens // KV memory held; 0 when the sequence waits for memory
	done    namer.Tokens // tokens whose KV cache exists
	target  namer.Tokens // tokens to process before the next output token
	chunk   namer.Tokens // prompt tokens in the current step
	decodes bool         // generates a token in the current step
	output  namer.Tokens
}

func (s *sequence) compare(other *sequence) int {
	return cmp.Or(cmp.Compare(s.job.Priority, other.job.Priority), cmp.Compare(s.arrival, other.arrival))
}

// Submit gives the engine a job at the given time. It reports whether the engine accepts the job;
// one that can never fit into the KV memory is refused.
func (e *Engine) Submit(now time.Duration, job Job) bool {
	e.run(now)
	if job.Prompt+job.Output > e.Class.KVTokens {
		return false
	}
	e.arrivals++
	e.enqueue(&sequence{job: job, arrival: e.arrivals, target: job.Prompt})
	e.begin(now)
	return true
}

// Cancel stops a job. The tokens of the current step are lost.
func (e *Engine) Cancel(now time.Duration, stream namer.StreamID) {
	e.run(now)
	drop := func(s *sequence) bool {
		if s.job.Stream != stream {
			return false
		}
		e.free(s)
		return true
	}
	e.queue = slices.DeleteFunc(e.queue, drop)
	e.decoding = slices.DeleteFunc(e.decoding, drop)
}

// Advance carries the engine to the given time and returns the events since the last call, in order.
func (e *Engine) Advance(until time.Duration) []Event {
	e.run(until)
	events := e.events
	e.events = nil
	return events
}

// Next returns the time at which the engine's state changes next by itself.
func (e *Engine) Next() (time.Duration, bool) { return e.stepEnd, e.stepping }

// Load returns the engine's load at the given time.
func (e *Engine) Load(now time.Duration) Load {
	e.run(now)
	load := Load{At: now, Running: len(e.decoding), Role: namer.RoleMixed}
	for _, s := range e.queue {
		if s.done > 0 {
			load.Running++
		} else {
			load.Waiting++
		}
		load.WaitingPrefill += s.target - s.done
	}
	load.KVUsed = float64(e.kvUsed) / float64(e.Class.KVTokens)
	return load
}

func (e *Engine) run(until time.Duration) {
	for e.stepping && e.stepEnd <= until {
		e.finish(e.stepEnd)
		e.begin(e.stepEnd)
	}
}

func (e *Engine) enqueue(s *sequence) {
	at, _ := slices.BinarySearchFunc(e.queue, s, (*sequence).compare)
	e.queue = slices.Insert(e.queue, at, s)
}

func (e *Engine) emit(kind EventKind, at time.Duration, s *sequence) {
	e.events = append(e.events, Event{Kind: kind, At: at, Stream: s.job.Stream, Attempt: s.job.Attempt, Output: s.output})
}
