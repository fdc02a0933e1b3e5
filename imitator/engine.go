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

// DefaultKeep is how long the fake keeps a stream that nobody reads.
const DefaultKeep = time.Minute

// Engine is a model engine that answers each request with a text that depends only on the request.
// It implements generator.Engine directly, for any target; EngineHandler serves it over HTTP.
type Engine struct {
	Models      []namer.Model // empty serves every model
	Role        namer.Role    // at the start; empty means mixed
	FirstToken  time.Duration // from the start of a stream to its first token
	Interval    time.Duration // between tokens; 0 means as fast as they are read
	Tokens      int           // length of an answer when the request sets no limit; 0 means DefaultTokens
	Concurrency int           // streams that run at once, others wait by priority; 0 means no limit
	Keep        time.Duration // 0 means DefaultKeep
	// ChecksFencing makes the engine refuse commands with an old fencing number.
	ChecksFencing bool
	RoleChange    time.Duration // how long a role change takes
	LoadLag       time.Duration // age of the figures in a load report
	CacheLag      time.Duration // delay of cache events
	CacheGap      int           // each CacheGap-th cache event is lost; 0 loses none

	mu          sync.Mutex // guards the fields below
	incarnation namer.Incarnation
	role        namer.Role
	streams     map[namer.StreamID]*engineStream
	waiting     []*engineStream // by priority, then by arrival
	running     int
	draining    bool
	changing    bool
	fencing     namer.FencingToken
	commands    []generator.Command
	loads       []generator.LoadReport // with the times when they became true
	broken      chan struct{}          // closed and replaced when all connections break
	cache       cacheLog
	started     int
	imported    []string
}

var _ generator.Engine = (*Engine)(nil)

// engineStream is one stream that the engine keeps. Its fields are guarded by the engine's lock.
type engineStream struct {
	id       namer.StreamID
	attempt  namer.Attempt
	priority int
	answer   *Answer
	from     int // the stream begins here
	end      int // number of chunks up to its end
	readers  int
	began    time.Time
	ready    chan struct{} // closed when the stream begins to run
	gone     chan struct{} // closed when the stream is cancelled
	runs     bool
	kept     *time.Timer // removes the stream that nobody reads
}

func (e *Engine) lock() {
	e.mu.Lock()
	if e.streams != nil {
		return
	}
	e.streams = map[namer.StreamID]*engineStream{}
	e.broken = make(chan struct{})
	e.incarnation = namer.NewIncarnation(time.Now())
	e.role = e.Role
	if e.role == "" {
		e.role = namer.RoleMixed
	}
	if e.Keep == 0 {
		e.Keep = DefaultKeep
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
	if err := e.accepts(call); err != nil {
		return nil, err
	}
	answer, err := NewAnswer(call.Operation, call.Body, e.Tokens)
	if err != nil {
		return nil, err
	}
	if call.Continuation != "" {
		answer.continuation = call.Continuation
	}
	if err := answer.continues(call.From); err != nil {
		return nil, err
	}
	if len(e.Models) > 0 && !slices.Contains(e.Models, namer.Model(answer.model)) {
		return nil, errors.Wrapf(generator.ErrRefused, "model %q is not loaded", answer.model)
	}
	s := &engineStream{
		id: call.Stream, attempt: call.Attempt, priority: call.Priority, answer: answer, from: call.From,
		end: answer.Chunks(), ready: make(chan struct{}), gone: make(chan struct{}),
	}
	if call.PrefillOnly {
		s.end = s.from
	}
	e.streams[s.id] = s
	e.started++
	if call.ImportFrom.IsValid() {
		e.imported = append(e.imported, call.ImportFrom.String())
	}
	e.cache.add(time.Now(), e.CacheGap, answer.seed)
	e.enqueue(s)
	return e.read(ctx, s, call.From), nil
}

// accepts reports whether the engine takes a new stream. The caller holds the lock.
func (e *Engine) accepts(call generator.Call) error {
	switch old := e.streams[call.Stream]; {
	case e.draining || e.changing:
		return errors.Wrap(generator.ErrRefused, "engine takes no new work")
	case e.role == namer.RolePrefill && !call.PrefillOnly:
		return errors.Wrap(generator.ErrRefused, "engine only processes prompts")
	case e.role == namer.RoleDecode && call.PrefillOnly:
		return errors.Wrap(generator.ErrRefused, "engine does not process prompts for others")
	case old != nil && old.attempt >= call.Attempt:
		return errors.Wrapf(generator.ErrRefused, "stream %s has attempt %d", call.Stream, old.attempt)
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
	return e.read(ctx, s, call.From), nil
}

// enqueue lets a stream run now or wait. The caller holds the lock.
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
		s.runs, s.began = true, time.Now()
		e.running++
		close(s.ready)
		if e.Interval > 0 {
			time.AfterFunc(time.Until(s.due(e, s.end)), func() { e.finish(s) })
		}
	}
	e.note()
}

// due returns when the chunk at index is there.
func (s *engineStream) due(e *Engine, index int) time.Time {
	return s.began.Add(e.FirstToken + time.Duration(index-s.from)*e.Interval)
}

// finish frees the slot of a stream that has produced its last chunk.
func (e *Engine) finish(s *engineStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(s)
}

func (e *Engine) release(s *engineStream) {
	if s.runs {
		s.runs = false
		e.running--
		e.admit()
	}
}

// remove forgets a stream and ends its readers. The caller holds the lock.
func (e *Engine) remove(s *engineStream) {
	if e.streams[s.id] != s {
		return
	}
	delete(e.streams, s.id)
	close(s.gone)
	if s.kept != nil {
		s.kept.Stop()
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

// Abandon ends a stream that nobody reads.
func (e *Engine) Abandon(_ context.Context, _ generator.Target, id namer.StreamID) error {
	e.lock()
	defer e.mu.Unlock()
	if s := e.streams[id]; s != nil && s.readers == 0 {
		e.remove(s)
	}
	return nil
}

// BreakConnections ends all readers; the streams go on.
func (e *Engine) BreakConnections() {
	e.lock()
	defer e.mu.Unlock()
	close(e.broken)
	e.broken = make(chan struct{})
}

// Crash loses all streams and restarts the engine as a new incarnation.
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

// Streams returns the ids of the streams that the engine keeps.
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

// Imported returns the addresses from which streams were told to import their KV cache, in order.
func (e *Engine) Imported() []string {
	e.lock()
	defer e.mu.Unlock()
	return slices.Clone(e.imported)
}

// Started returns how many streams the engine has begun, resumptions not counted.
func (e *Engine) Started() int {
	e.lock()
	defer e.mu.Unlock()
	return e.started
}
