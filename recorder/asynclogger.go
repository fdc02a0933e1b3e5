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
	l := &AsyncLogger{}
	l.writer = diode.NewWriter(w, bufferedLines, 0, func(missed int) { l.countDropped(int64(missed)) })
	l.Events = zerolog.New(l.writer).Level(level).With().Timestamp().Logger()
	l.Requests = l.Events.Sample(zerolog.LevelSampler{DebugSampler: l.requestSampler(), InfoSampler: l.requestSampler(), WarnSampler: l.requestSampler()})
	return l
}

func (l *AsyncLogger) requestSampler() zerolog.Sampler {
	return &zerolog.BurstSampler{Burst: maxRequestLinesPerSecond, Period: time.Second, NextSampler: droppingSampler{l}}
}

// droppingSampler drops and counts every line.
type droppingSampler struct{ log *AsyncLogger }

func (s droppingSampler) Sample(zerolog.Level) bool {
	s.log.countDropped(1)
	return false
}

func (l *AsyncLogger) countDropped(n int64) {
	l.unreportedDrops.Add(n)
	l.totalDrops.Add(n)
}

// Dropped returns the number of lines dropped since the start.
func (l *AsyncLogger) Dropped() int64 { return l.totalDrops.Load() }

func (l *AsyncLogger) init() { l.once.Do(func() { l.done = make(chan struct{}) }) }

// Done returns a channel that is closed when Run has returned.
func (l *AsyncLogger) Done() <-chan struct{} {
	l.init()
	return l.done
}

// Run reports the number of dropped lines in the log until ctx ends.
func (l *AsyncLogger) Run(ctx context.Context) error {
	l.init()
	defer close(l.done)
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if n := l.unreportedDrops.Swap(0); n > 0 {
				l.Events.Warn().Int64("lines", n).Msg("log-lines-dropped")
			}
		}
	}
}

// Close writes the buffered lines and closes the log.
func (l *AsyncLogger) Close() error { return l.writer.Close() }
