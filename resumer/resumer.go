package resumer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// Defaults of a search.
const (
	DefaultConcurrency = 32
	DefaultSearchLimit = 3 * time.Second
	// DefaultSettleLimit is how long a search goes on for a later attempt once it has found one.
	DefaultSettleLimit = 100 * time.Millisecond
)

// The ways in which a search fails.
var (
	// ErrGone means that every endpoint was asked and none has the stream from the wanted index on.
	ErrGone = errors.New("no endpoint has the stream")
	// ErrUnknown means that some endpoints could not be asked and the others do not have the stream.
	ErrUnknown = errors.New("endpoints that may have the stream did not answer")
)

// Generator is the part of an engine adapter that resumes streams.
type Generator interface {
	Generate(ctx context.Context, to generator.Target, call generator.Call) (generator.Stream, error)
}

// Resumer finds streams. Set the exported fields before use.
type Resumer struct {
	Engine Generator
	// Endpoints returns all endpoints of a service, leaving ones included, because streams go on there.
	Endpoints   func(namer.Service) []generator.Target
	Concurrency int           // endpoints that are asked at once; 0 means DefaultConcurrency
	SearchLimit time.Duration // 0 means DefaultSearchLimit
	SettleLimit time.Duration // 0 means DefaultSettleLimit
}

// Found is a stream that goes on.
type Found struct {
	Stream generator.Stream
	Target generator.Target
}

// Find returns the stream of the highest attempt that is at least the given one and that can go on
// at index from. The first endpoint of the identity is asked first.
func (r *Resumer) Find(ctx context.Context, id Identity, attempt namer.Attempt, from int) (Found, error) {
	s := &search{
		resumer: r,
		call: generator.Call{
			Stream: id.Stream, Attempt: attempt, From: from, Resume: true, Operation: generator.ChatCompletions,
		},
		targets: firstToFront(r.Endpoints(id.Service), id.Endpoint),
	}
	best, err := s.run(ctx)
	return best, errors.Wrapf(err, "resume stream %s at attempt %d index %d", id.Stream, attempt, from)
}

func firstToFront(targets []generator.Target, first namer.Endpoint) []generator.Target {
	ordered := make([]generator.Target, 0, len(targets))
	for _, t := range targets {
		if t.Endpoint == first {
			ordered = append(ordered, t)
		}
	}
	for _, t := range targets {
		if t.Endpoint != first {
			ordered = append(ordered, t)
		}
	}
	return ordered
}

// search asks endpoints concurrently. Its goroutine owns all fields.
type search struct {
	resumer *Resumer
	call    generator.Call
	targets []generator.Target
	best    Found
	unknown int // endpoints that did not answer
}

type reply struct {
	found Found
	err   error
}

func (s *search) run(ctx context.Context) (Found, error) {
	// Ending asking stops the questions that are under way and spares the streams that were found.
	asking, stop := context.WithCancel(ctx)
	defer stop()
	replies := make(chan reply)
	limit := time.NewTimer(orDefault(s.resumer.SearchLimit, DefaultSearchLimit))
	defer limit.Stop()
	started, running := 0, 0
	for {
		for asking.Err() == nil && started < len(s.targets) && running < s.concurrency() {
			go s.ask(asking, ctx, s.targets[started], replies)
			started++
			running++
		}
		if running == 0 {
			s.unknown += len(s.targets) - started
			return s.result()
		}
		select {
		case reply := <-replies:
			running--
			if s.take(reply) {
				limit.Reset(orDefault(s.resumer.SettleLimit, DefaultSettleLimit))
			}
		case <-limit.C:
			stop()
		}
	}
}

// ask resumes the stream at one endpoint. The stream lives as long as ctx, the question as long as asking.
func (s *search) ask(asking, ctx context.Context, to generator.Target, replies chan<- reply) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(asking, cancel)
	stream, err := s.resumer.Engine.Generate(ctx, to, s.call)
	if !stop() && err == nil {
		stream.Close()
		err = errors.Wrap(generator.ErrBroken, "search has ended")
	}
	if err != nil {
		cancel()
		replies <- reply{err: err}
		return
	}
	replies <- reply{found: Found{Stream: ownedStream{stream, cancel}, Target: to}}
}

// take keeps the later of two attempts and reports whether it is the first one found.
func (s *search) take(r reply) bool {
	if r.err != nil {
		if !errors.Is(r.err, generator.ErrNoStream) {
			s.unknown++
		}
		return false
	}
	if s.best.Stream == nil {
		s.best = r.found
		return true
	}
	loser := r.found
	if r.found.Stream.Attempt() > s.best.Stream.Attempt() {
		s.best, loser = r.found, s.best
	}
	loser.Stream.Close()
	return false
}

func (s *search) result() (Found, error) {
	switch {
	case s.best.Stream != nil:
		return s.best, nil
	case s.unknown > 0:
		return Found{}, errors.Wrapf(ErrUnknown, "%d of %d endpoints", s.unknown, len(s.targets))
	}
	return Found{}, ErrGone
}

func (s *search) concurrency() int {
	if s.resumer.Concurrency != 0 {
		return s.resumer.Concurrency
	}
	return DefaultConcurrency
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d != 0 {
		return d
	}
	return otherwise
}

// ownedStream ends its context when it is closed.
type ownedStream struct {
	generator.Stream
	cancel context.CancelFunc
}

func (o ownedStream) Close() error {
	defer o.cancel()
	return o.Stream.Close()
}
