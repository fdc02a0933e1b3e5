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
	Output   namer.Tokens // tokens of the complete output, which the deciding host doesn't know
	Priority int          // 0 is the most urgent
	// Delivered is the number of output tokens from earlier attempts; the engine continues after them.
	Delivered namer.Tokens
	// Prefix holds the hashes of the prompt's leading blocks, as in decider.Request.
	Prefix []uint64
	// AdmitFirst admits the job ahead of all others, regardless of priority.
	AdmitFirst bool
	// Phase selects the part of the work that the engine does.
	Phase Phase
}

// Phase is a part of the work on a request.
type Phase int

const (
	// PhaseAll processes the prompt and generates the output.
	PhaseAll Phase = iota
	// PhasePrefill processes the prompt and exports its KV cache.
	PhasePrefill
	// PhaseDecode imports the KV cache and generates the output.
	PhaseDecode
)

// accepts reports whether an engine with the role accepts work of the phase.
func (p Phase) accepts(role namer.Role) bool {
	return (p == PhaseDecode || role.CanPrefill()) && (p == PhasePrefill || role.CanDecode())
}

// EventKind is the kind of a job event.
type EventKind int

// The kinds of events.
const (
	// JobStarted reports the first output token.
	JobStarted EventKind = iota
	// JobFinished reports the last output token.
	JobFinished
	// JobExported reports the end of the KV cache export of a prompt.
	JobExported
	// JobFailed reports that the job was lost in a crash or a role change.
	JobFailed
)

// Event is an event of a job at an engine.
type Event struct {
	Kind    EventKind
	At      time.Duration
	Stream  namer.StreamID
	Attempt namer.Attempt
	Output  namer.Tokens // output tokens so far, including those of earlier attempts
}

// Load is an engine's load report.
type Load struct {
	At             time.Duration
	Running        int
	Waiting        int
	WaitingPrefill namer.Tokens
	KVUsed         float64
	Role           namer.Role
	Leaving        bool
}

// Engine simulates one engine with continuous batching and chunked prefill. Set the exported fields
// before the first call. The times passed to its methods must not decrease.
type Engine struct {
	Name  namer.Endpoint
	Class Class
	Role  namer.Role // initial role; changed by ChangeRole

	down      bool
	draining  bool
	changing  bool
	nextRole  namer.Role
	changeEnd time.Duration

	stepRunning bool
	stepEnd     time.Duration
	// queue holds the sequences with unprocessed prompt tokens, by priority, then arrival.
	queue []*sequence
	// decoding holds the sequences whose prefill is complete, in order of completion.
	decoding     []*sequence
	stepPrefills []*sequence // sequences of queue with prompt tokens in the current step
	exports      []*sequence // prompts whose KV cache export is pending, in order
	cache        prefixCache
	jobs         map[namer.StreamID]*sequence
	kvHolders    int          // sequences that hold KV memory
	kvUsed       namer.Tokens // KV memory held by all sequences
	arrivals     int
	events       []Event
}

// sequence is a job in progress.
type sequence struct {
	job       Job
	arrival   int
	kvHeld    namer.Tokens // KV memory held; 0 while the sequence waits for memory
	processed namer.Tokens // tokens with a KV cache
	target    namer.Tokens // tokens to process before the next output token
	chunk     namer.Tokens // prompt tokens in the current step
	inStep    bool         // generates a token in the current step
	output    namer.Tokens
	started   bool // a token has been generated in this attempt
	// kvImported is set if the KV cache of the prompt was imported with the job; preemption clears it.
	kvImported bool

	exportEnd time.Duration // end of the KV cache export
}

func (s *sequence) compare(other *sequence) int {
	if s.job.AdmitFirst != other.job.AdmitFirst {
		if s.job.AdmitFirst {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(s.job.Priority, other.job.Priority), cmp.Compare(s.arrival, other.arrival))
}

// Submit submits a job at the given time and reports whether the engine accepts it. An engine that is
// down or changes its role accepts nothing; a draining engine accepts no new work; a job that does not
// match the role or can never fit into the KV memory is refused.
func (e *Engine) Submit(now time.Duration, job Job) bool {
	e.runUntil(now)
	if e.down || e.changing || (e.draining && job.Phase != PhaseDecode) {
		return false
	}
	if !job.Phase.accepts(e.Role) || job.Prompt+job.Output > e.Class.KVTokens {
		return false
	}
	e.arrivals++
	s := &sequence{job: job, arrival: e.arrivals, target: job.Prompt + job.Delivered, output: job.Delivered}
	s.kvImported = job.Phase == PhaseDecode
	if e.jobs == nil {
		e.jobs = map[namer.StreamID]*sequence{}
	}
	e.jobs[job.Stream] = s
	e.enqueue(s)
	e.startStep(now)
	return true
}

// Cancel stops a job and discards its tokens in the current step.
func (e *Engine) Cancel(now time.Duration, stream namer.StreamID) {
	e.runUntil(now)
	s, ok := e.jobs[stream]
	if !ok {
		return
	}
	e.releaseKV(s)
	e.dequeue(s)
	e.decoding = removeSequence(e.decoding, s)
	e.exports = removeSequence(e.exports, s)
	delete(e.jobs, stream)
}

// Advance runs the engine up to the given time and returns the events since the last call, in order.
func (e *Engine) Advance(until time.Duration) []Event {
	e.runUntil(until)
	events := e.events
	e.events = nil
	return events
}

// Next returns the time of the engine's next internal event, if there is one.
func (e *Engine) Next() (time.Duration, bool) {
	next, any := e.stepEnd, e.stepRunning
	if len(e.exports) > 0 && (!any || e.exports[0].exportEnd < next) {
		next, any = e.exports[0].exportEnd, true
	}
	if e.changing && (!any || e.changeEnd < next) {
		next, any = e.changeEnd, true
	}
	return next, any
}

// Load returns the engine's load at the given time.
func (e *Engine) Load(now time.Duration) Load {
	e.runUntil(now)
	load := Load{At: now, Running: len(e.decoding), Role: e.Role, Leaving: e.Leaving()}
	for _, s := range e.queue {
		if s.processed > 0 {
			load.Running++
		} else {
			load.Waiting++
		}
		load.WaitingPrefill += s.target - s.processed
	}
	load.KVUsed = float64(e.kvUsed) / float64(e.Class.KVTokens)
	return load
}

func (e *Engine) runUntil(until time.Duration) {
	for next, any := e.Next(); any && next <= until; next, any = e.Next() {
		switch {
		case e.stepRunning && e.stepEnd == next:
			e.finishStep(next)
		case len(e.exports) > 0 && e.exports[0].exportEnd == next:
			e.finishExport()
		default:
			e.Role, e.changing, e.draining = e.nextRole, false, false
		}
		e.startStep(next)
	}
}

func (e *Engine) enqueue(s *sequence) {
	at, _ := slices.BinarySearchFunc(e.queue, s, (*sequence).compare)
	e.queue = slices.Insert(e.queue, at, s)
}

func (e *Engine) dequeue(s *sequence) {
	if at, ok := slices.BinarySearchFunc(e.queue, s, (*sequence).compare); ok {
		e.queue = slices.Delete(e.queue, at, at+1)
	}
}

func removeSequence(list []*sequence, s *sequence) []*sequence {
	if at := slices.Index(list, s); at >= 0 {
		return slices.Delete(list, at, at+1)
	}
	return list
}

func (e *Engine) emit(kind EventKind, at time.Duration, s *sequence) {
	e.events = append(e.events, Event{Kind: kind, At: at, Stream: s.job.Stream, Attempt: s.job.Attempt, Output: s.output})
}
