package recorder

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// backlog is the number of lines that wait for a slow reader of the log, about 600 kB.
	backlog = 2048
	// requestLines is the most lines about requests in a second, for each severity. A daemon of the
	// usual load writes 100 to 600.
	requestLines = 1000
	// dropPeriod is how often dropped lines are counted in the log.
	dropPeriod = time.Second
)

// Bounded is a log that nothing waits for: lines that its reader or its bounds have no room for are
// dropped and counted. Lines are JSON objects.
type Bounded struct {
	// Events is for what concerns the daemon.
	Events zerolog.Logger
	// Requests is for lines about requests, which grow with the load.
	Requests zerolog.Logger

	writer  diode.Writer
	dropped atomic.Int64
	total   atomic.Int64
	once    sync.Once
	done    chan struct{}
}

// NewBounded returns a log that writes to w.
func NewBounded(w io.Writer, level zerolog.Level) *Bounded {
	b := &Bounded{}
	b.writer = diode.NewWriter(w, backlog, 0, func(missed int) { b.drop(int64(missed)) })
	b.Events = zerolog.New(b.writer).Level(level).With().Timestamp().Logger()
	b.Requests = b.Events.Sample(zerolog.LevelSampler{DebugSampler: b.sampler(), InfoSampler: b.sampler(), WarnSampler: b.sampler()})
	return b
}

func (b *Bounded) sampler() zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: requestLines, Period: time.Second, NextSampler: counting{b}}
}

// counting drops and counts every line.
type counting struct{ log *Bounded }

func (c counting) Sample(zerolog.Level) bool {
	c.log.drop(1)
	return false
}

func (b *Bounded) drop(n int64) {
	b.dropped.Add(n)
	b.total.Add(n)
}

// Dropped returns the number of lines that were dropped since the start.
func (b *Bounded) Dropped() int64 { return b.total.Load() }

func (b *Bounded) init() { b.once.Do(func() { b.done = make(chan struct{}) }) }

// Done closes when Run has returned.
func (b *Bounded) Done() <-chan struct{} {
	b.init()
	return b.done
}

// Run says in the log how many lines were dropped, until ctx ends.
func (b *Bounded) Run(ctx context.Context) error {
	b.init()
	defer close(b.done)
	tick := time.NewTicker(dropPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if n := b.dropped.Swap(0); n > 0 {
				b.Events.Warn().Int64("lines", n).Msg("log-lines-dropped")
			}
		}
	}
}

// Close writes what waits and ends the log.
func (b *Bounded) Close() error { return b.writer.Close() }
