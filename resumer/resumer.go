package resumer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// Defaults for Resumer.
const (
	DefaultConcurrency   = 32
	DefaultSearchTimeout = 3 * time.Second
	// DefaultSettleTimeout is how long a search continues for a later attempt after the first match.
	DefaultSettleTimeout = 100 * time.Millisecond
)

// Errors of a search.
var (
	// ErrGone means that every endpoint replied and none can resume the stream at the requested index.
	ErrGone = errors.New("no endpoint has the stream")
	// ErrUnknown means that some endpoints could not be queried and the others do not have the stream.
	ErrUnknown = errors.New("endpoints that may have the stream did not reply")
)

// Generator is the part of an engine adapter that can resume streams.
type Generator interface {
	Generate(ctx context.Context, to generator.Target, call generator.Call) (generator.Stream, error)
}

// Resumer finds the engines that can resume streams. Set the exported fields before use.
type Resumer struct {
	Engine Generator
	// Endpoints returns all endpoints of a service, including leaving ones, which still serve their streams.
	Endpoints     func(namer.Service) []generator.Target
	Concurrency   int           // endpoints queried in parallel; 0 means DefaultConcurrency
	SearchTimeout time.Duration // 0 means DefaultSearchTimeout
	SettleTimeout time.Duration // 0 means DefaultSettleTimeout
}

// Found is a resumed stream.
type Found struct {
	Stream generator.Stream
	Target generator.Target
}

// Find resumes the stream at index from. Of the attempts that have that index and are not below the
// given one, it takes the highest. The endpoint of the identity is queried first.
func (r *Resumer) Find(ctx context.Context, id Identity, attempt namer.Attempt, from int) (Found, error) {
	s := &search{
		resumer: r,
		call: generator.Call{
			Stream: id.Stream, Attempt: attempt, From: from, Resume: true, Operation: generator.ChatCompletions,
		},
		targets: moveToFront(r.Endpoints(id.Service), id.Endpoint),
	}
	best, err := s.run(ctx)
	return best, errors.Wrapf(err, "resume stream %s at attempt %d index %d", id.Stream, attempt, from)
}

func moveToFront(targets []generator.Target, first namer.Endpoint) []generator.Target {
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

// search queries endpoints concurrently. The goroutine of run owns all fields.
type search struct {
	resumer      *Resumer
	call         generator.Call
	targets      []generator.Target
	best         Found
	unresponsive int // endpoints that did not reply
}

type reply struct {
	found Found
	err   error
}

func (s *search) run(ctx context.Context) (Found, error) {
	// Cancelling queryCtx stops the queries in flight but not the streams that were found.
	queryCtx, stop := context.WithCancel(ctx)
	defer stop()
	replies := make(chan reply)
	limit := time.NewTimer(orDefault(s.resumer.SearchTimeout, DefaultSearchTimeout))
	defer limit.Stop()
	started, running := 0, 0
	for {
		for queryCtx.Err() == nil && started < len(s.targets) && running < s.concurrency() {
			go s.query(queryCtx, ctx, s.targets[started], replies)
			started++
			running++
		}
		if running == 0 {
			s.unresponsive += len(s.targets) - started
			return s.result()
		}
		select {
		case reply := <-replies:
			running--
			if s.record(reply) {
				limit.Reset(orDefault(s.resumer.SettleTimeout, DefaultSettleTimeout))
			}
		case <-limit.C:
			stop()
		}
	}
}

// query resumes the stream at one endpoint. The stream ends with ctx, the query with queryCtx.
func (s *search) query(queryCtx, ctx context.Context, to generator.Target, replies chan<- reply) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(queryCtx, cancel)
	stream, err := s.resumer.Engine.Generate(ctx, to, s.call)
	if !stop() && err == nil {
		stream.Close()
		err = errors.Wrap(generator.ErrBroken, "search ended before the endpoint replied")
	}
	if err != nil {
		cancel()
		replies <- reply{err: err}
		return
	}
	replies <- reply{found: Found{Stream: cancelOnClose{stream, cancel}, Target: to}}
}

// record keeps the stream with the highest attempt, closes the other one and reports whether the reply is
// the first match.
func (s *search) record(r reply) bool {
	if r.err != nil {
		if !errors.Is(r.err, generator.ErrNoStream) {
			s.unresponsive++
		}
		return false
	}
	if s.best.Stream == nil {
		s.best = r.found
		return true
	}
	discarded := r.found
	if r.found.Stream.Attempt() > s.best.Stream.Attempt() {
		s.best, discarded = r.found, s.best
	}
	discarded.Stream.Close()
	return false
}

func (s *search) result() (Found, error) {
	switch {
	case s.best.Stream != nil:
		return s.best, nil
	case s.unresponsive > 0:
		return Found{}, errors.Wrapf(ErrUnknown, "no reply from %d of %d endpoints", s.unresponsive, len(s.targets))
	}
	return Found{}, ErrGone
}

func (s *search) concurrency() int {
	if s.resumer.Concurrency != 0 {
		return s.resumer.Concurrency
	}
	return DefaultConcurrency
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d != 0 {
		return d
	}
	return fallback
}

// cancelOnClose cancels its context when it is closed.
type cancelOnClose struct {
	generator.Stream
	cancel context.CancelFunc
}

func (o cancelOnClose) Close() error {
	defer o.cancel()
	return o.Stream.Close()
}
