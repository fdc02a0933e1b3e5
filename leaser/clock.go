package leaser

import "time"

// Reading is one look at both clocks of a host.
type Reading struct {
	Mono time.Duration // since an arbitrary start; may stand still while the host is suspended
	Wall time.Time     // may jump when it is set
}

// Since returns the time since start by whichever clock shows more.
func (r Reading) Since(start Reading) time.Duration {
	return max(r.Mono-start.Mono, r.Wall.Sub(start.Wall))
}

// Clock reads both clocks of the host. Tests pass one that stops with a paused process.
type Clock interface {
	Now() Reading
}

// SystemClock is the clock of the operating system.
type SystemClock struct{}

var processStart = time.Now()

// Now reads the monotonic and the wall clock.
func (SystemClock) Now() Reading {
	now := time.Now()
	// Round strips the monotonic reading, so that Sub compares wall clocks.
	return Reading{Mono: now.Sub(processStart), Wall: now.Round(0)}
}
