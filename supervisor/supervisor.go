// Package supervisor runs the components of a daemon as a supervision tree. A component that fails is restarted with
// backoff. A panic, which only a violated invariant causes, is not recovered and ends the process.
package supervisor

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Part is a supervised component. Run blocks until ctx is cancelled or the component fails.
type Part interface {
	Run(ctx context.Context) error
}

// RunFunc adapts a function to Part.
type RunFunc func(ctx context.Context) error

// Run calls f.
func (f RunFunc) Run(ctx context.Context) error { return f(ctx) }

// Child is a component and its name in logs.
type Child struct {
	Name string
	Part Part
}

// Default limits of the backoff.
const (
	DefaultMinDelay = 50 * time.Millisecond
	DefaultMaxDelay = 5 * time.Second
)

// Supervisor runs its children until the context ends. It implements Part, so supervisors can be nested.
type Supervisor struct {
	Log      zerolog.Logger
	Children []Child
	MinDelay time.Duration // delay before the first restart; 0 means DefaultMinDelay
	MaxDelay time.Duration // upper limit of the delay, which doubles after each failure; 0 means DefaultMaxDelay

	once sync.Once
	done chan struct{}
}

// Done returns a channel that is closed when all children have returned.
func (s *Supervisor) Done() <-chan struct{} {
	s.init()
	return s.done
}

func (s *Supervisor) init() {
	s.once.Do(func() {
		s.done = make(chan struct{})
		if s.MinDelay == 0 {
			s.MinDelay = DefaultMinDelay
		}
		if s.MaxDelay == 0 {
			s.MaxDelay = DefaultMaxDelay
		}
	})
}

// Run starts the children and returns after ctx has ended and every child has returned.
func (s *Supervisor) Run(ctx context.Context) error {
	s.init()
	defer close(s.done)
	var children sync.WaitGroup
	for _, child := range s.Children {
		children.Go(func() { s.superviseChild(ctx, child) })
	}
	children.Wait()
	return ctx.Err()
}

// superviseChild runs a child and restarts it after each failure until ctx ends. A run longer than MaxDelay
// resets the backoff.
func (s *Supervisor) superviseChild(ctx context.Context, child Child) {
	delay := s.MinDelay
	for {
		started := time.Now()
		err := child.Part.Run(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > s.MaxDelay {
			delay = s.MinDelay
		}
		s.Log.Error().Err(err).Str("part", child.Name).Dur("restart-in", delay).Msg("part-failed")
		if !sleep(ctx, jitter(delay)) {
			return
		}
		delay = min(2*delay, s.MaxDelay)
	}
}

// jitter returns a random delay between half of d and d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
