package imitator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// DefaultUnreadTTL is the default time for which a stream without readers is kept.
const DefaultUnreadTTL = time.Minute

// Engine is a fake model engine whose output depends only on the request. It implements
// generator.Engine in memory, for any target; EngineHandler serves it over HTTP.
type Engine struct {
	Models      []namer.Model // empty accepts every model
	Role        namer.Role    // initial role; empty means mixed
	FirstToken  time.Duration // from the start of a stream to its first token
	Interval    time.Duration // between tokens; 0 generates them as fast as they are read
	Tokens      int           // output tokens when the request sets no limit; 0 means DefaultTokens
	Concurrency int           // maximum number of running streams, others wait by priority; 0 means no limit
	UnreadTTL   time.Duration // how long a stream without readers is kept; 0 means DefaultUnreadTTL
	// ChecksFencing makes the engine reject commands with an outdated fencing token.
	ChecksFencing bool
	RoleChange    time.Duration // duration of a role change
	LoadLag       time.Duration // age of the values in a load report
	CacheLag      time.Duration // delay of cache events
	CacheGap      int           // every CacheGap-th cache event is lost; 0 loses none

	mu                sync.Mutex // guards the fields below
	incarnation       namer.Incarnation
	role              namer.Role
	streams           map[namer.StreamID]*engineStream
	waiting           []*engineStream // by priority, then by arrival
	running           int
	draining          bool
	changing          bool
	fencing           namer.FencingToken
	commands          []generator.Command
	loadHistory       []generator.LoadReport // by time of change
	connectionsBroken chan struct{}          // closed and replaced by BreakConnections
	cache             cacheEventLog
	started           int
	imported          []string
}

var _ generator.Engine = (*Engine)(nil)

// engineStream is a stream that the engine holds. Its fields are guarded by the engine's lock.
type engineStream struct {
	id         namer.StreamID
	attempt    namer.Attempt
	priority   int
	completion *Completion
	from       int // index of the first chunk
	end        int // index after the last chunk
	readers    int
	startedAt  time.Time
	ready      chan struct{} // closed when the stream starts to run
	cancelled  chan struct{} // closed when the stream is cancelled
	running    bool
	expiry     *time.Timer // removes the stream if it has no readers
}

func (e *Engine) lock() {
	e.mu.Lock()
	if e.streams != nil {
		return
	}
	e.streams = map[namer.StreamID]*engineStream{}
	e.connectionsBroken = make(chan struct{})
	e.incarnation = namer.NewIncarnation(time.Now())
	e.role = e.Role
	if e.role == "" {
		e.role = namer.RoleMixed
	}
	if e.UnreadTTL == 0 {
		e.UnreadTTL = DefaultUnreadTTL
	}
}

// Generate starts or resumes a stream.
func (e *Engine) Generate(ctx context.Context, _ generator.Target, call generator.Call) (generator.Stream, error) {
	if ctx.Err() != nil {
		return nil, errors.Wrap(generator.ErrNotStarted, ctx.Err().Error())
	}
	e.lock()
	defer e.mu.Unlock()
	if call.Resume {
		return e.resume(ctx, call)
	}
	if err := e.checkAdmission(call); err != nil {
		return nil, err
	}
	completion, err := NewCompletion(call.Operation, call.Body, e.Tokens)
	if err != nil {
		return nil, err
	}
	if call.Continuation != "" {
		completion.continuation = call.Continuation
	}
	if err := completion.checkContinuation(call.From); err != nil {
		return nil, err
	}
	if len(e.Models) > 0 && !slices.Contains(e.Models, namer.Model(completion.model)) {
		return nil, errors.Wrapf(generator.ErrRefused, "model %q is not loaded", completion.model)
	}
	s := &engineStream{
		id: call.Stream, attempt: call.Attempt, priority: call.Priority, completion: completion, from: call.From,
		end: completion.Chunks(), ready: make(chan struct{}), cancelled: make(chan struct{}),
	}
	if call.PrefillOnly {
		s.end = s.from
	}
	e.streams[s.id] = s
	e.started++
	if call.ImportFrom.IsValid() {
		e.imported = append(e.imported, call.ImportFrom.String())
	}
	e.cache.add(time.Now(), e.CacheGap, completion.seed)
	e.enqueue(s)
	return e.attachReader(ctx, s, call.From), nil
}

// checkAdmission returns an error if the engine refuses a new stream. It removes the stream of an earlier
// attempt. The caller holds the lock.
func (e *Engine) checkAdmission(call generator.Call) error {
	switch old := e.streams[call.Stream]; {
	case e.draining || e.changing:
		return errors.Wrap(generator.ErrRefused, "engine is draining or changing its role")
	case e.role == namer.RolePrefill && !call.PrefillOnly:
		return errors.Wrap(generator.ErrRefused, "engine with the prefill role does not decode")
	case e.role == namer.RoleDecode && call.PrefillOnly:
		return errors.Wrap(generator.ErrRefused, "engine with the decode role does not run prefill for other engines")
	case old != nil && old.attempt >= call.Attempt:
		return errors.Wrapf(generator.ErrRefused, "stream %s already has attempt %d", call.Stream, old.attempt)
	case old != nil:
		e.remove(old)
	}
	return nil
}

func (e *Engine) resume(ctx context.Context, call generator.Call) (generator.Stream, error) {
	s := e.streams[call.Stream]
	if s == nil || s.attempt < call.Attempt || call.From < s.from || call.From > s.end {
		return nil, errors.Wrapf(generator.ErrNoStream, "stream %s from index %d", call.Stream, call.From)
	}
	return e.attachReader(ctx, s, call.From), nil
}

// enqueue adds a stream to the waiting ones and starts it if there is room. The caller holds the lock.
func (e *Engine) enqueue(s *engineStream) {
	at, _ := slices.BinarySearchFunc(e.waiting, s.priority, func(w *engineStream, priority int) int {
		if w.priority <= priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, s)
	e.admit()
}

// admit starts waiting streams while there is room. The caller holds the lock.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && (e.Concurrency == 0 || e.running < e.Concurrency) {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.running, s.startedAt = true, time.Now()
		e.running++
		close(s.ready)
		if e.Interval > 0 {
			time.AfterFunc(time.Until(s.dueAt(e, s.end)), func() { e.finish(s) })
		}
	}
	e.recordLoad()
}

// dueAt returns the time at which the chunk at index is available.
func (s *engineStream) dueAt(e *Engine, index int) time.Time {
	return s.startedAt.Add(e.FirstToken + time.Duration(index-s.from)*e.Interval)
}

// finish frees the slot of a stream that has generated its last chunk.
func (e *Engine) finish(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(s)
}

func (e *Engine) release(s *engineStream) {
	if s.running {
		s.running = false
		e.running--
		e.admit()
	}
}

// remove deletes a stream and ends its readers. The caller holds the lock.
func (e *Engine) remove(s *engineStream) {
	if e.streams[s.id] != s {
		return
	}
	delete(e.streams, s.id)
	close(s.cancelled)
	if s.expiry != nil {
		s.expiry.Stop()
	}
	if at := slices.Index(e.waiting, s); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
	}
	e.release(s)
}

// Cancel ends a stream.
func (e *Engine) Cancel(_ context.Context, _ generator.Target, id namer.StreamID) error {
	e.lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil {
		e.remove(s)
	}
	return nil
}

// Abandon ends a stream if it has no readers.
func (e *Engine) Abandon(_ context.Context, _ generator.Target, id namer.StreamID) error {
	e.lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil && s.readers == 0 {
		e.remove(s)
	}
	return nil
}

// BreakConnections breaks the connections of all readers; the streams continue.
func (e *Engine) BreakConnections() {
	e.lock()
	defer e.mu.Unlock()
	close(e.connectionsBroken)
	e.connectionsBroken = make(chan struct{})
}

// Crash drops all streams and restarts the engine with a new incarnation.
func (e *Engine) Crash() {
	e.lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	for _, s := range e.streams {
		e.remove(s)
	}
	e.incarnation = max(e.incarnation+1, namer.NewIncarnation(time.Now()))
	e.draining, e.changing, e.fencing = false, false, 0
	e.cache.reset()
}

// Streams returns the ids of the streams that the engine holds.
func (e *Engine) Streams() []namer.StreamID {
	e.lock()
	defer e.mu.Unlock()
	ids := make([]namer.StreamID, 0, len(e.streams))
	for id := range e.streams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Imported returns the addresses from which calls requested a KV cache import, in order.
func (e *Engine) Imported() []string {
	e.lock()
	defer e.mu.Unlock()
	return slices.Clone(e.imported)
}

// Started returns the number of streams started, not counting resumptions.
func (e *Engine) Started() int {
	e.lock()
	defer e.mu.Unlock()
	return e.started
}
