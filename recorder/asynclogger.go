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
	// bufferedLines is the capacity of the buffer for a slow reader of the log, about 600 kB.
	bufferedLines = 2048
	// maxRequestLinesPerSecond is the rate limit for lines about requests, per severity. A daemon under typical
	// load writes 100 to 600.
	maxRequestLinesPerSecond = 1000
	// dropReportInterval is the interval at which dropped lines are reported in the log.
	dropReportInterval = time.Second
)

// AsyncLogger is a non-blocking log of JSON lines. It drops and counts lines that exceed its rate limit, or its
// buffer if the reader is slow.
type AsyncLogger struct {
	// Events is for lines about the daemon.
	Events zerolog.Logger
	// Requests is for lines about requests. They are rate-limited since their number grows with the load.
	Requests zerolog.Logger

	writer          diode.Writer
	unreportedDrops atomic.Int64
	totalDrops      atomic.Int64
	once            sync.Once
	done            chan struct{}
}

// NewAsyncLogger returns a log that writes to w.
func NewAsyncLogger(w io.Writer, level zerolog.Level) *AsyncLogger {
	b := &AsyncLogger{}
	b.writer = diode.NewWriter(w, bufferedLines, 0, func(missed int) { b.countDropped(int64(missed)) })
	b.Events = zerolog.New(b.writer).Level(level).With().Timestamp().Logger()
	b.Requests = b.Events.Sample(zerolog.LevelSampler{DebugSampler: b.requestSampler(), InfoSampler: b.requestSampler(), WarnSampler: b.requestSampler()})
	return b
}

func (b *AsyncLogger) requestSampler() zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: maxRequestLinesPerSecond, Period: time.Second, NextSampler: droppingSampler{b}}
}

// droppingSampler drops and counts every line.
type droppingSampler struct{ log *AsyncLogger }

func (c droppingSampler) Sample(zerolog.Level) bool {
	c.log.countDropped(1)
	return false
}

func (b *AsyncLogger) countDropped(n int64) {
	b.unreportedDrops.Add(n)
	b.totalDrops.Add(n)
}

// Dropped returns the number of lines dropped since the start.
func (b *AsyncLogger) Dropped() int64 { return b.totalDrops.Load() }

func (b *AsyncLogger) init() { b.once.Do(func() { b.done = make(chan struct{}) }) }

// Done closes when Run has returned.
func (b *AsyncLogger) Done() <-chan struct{} {
	b.init()
	return b.done
}

// Run reports the number of dropped lines in the log until ctx ends.
func (b *AsyncLogger) Run(ctx context.Context) error {
	b.init()
	defer close(b.done)
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if n := b.unreportedDrops.Swap(0); n > 0 {
				b.Events.Warn().Int64("lines", n).Msg("log-lines-dropped")
			}
		}
	}
}

// Close writes the buffered lines and closes the log.
func (b *AsyncLogger) Close() error { return b.writer.Close() }
