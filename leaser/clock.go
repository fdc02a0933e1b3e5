package leaser

import "time"

// Reading is the time of the monotonic and the wall clock of a host, read together.
type Reading struct {
	Mono time.Duration // since an arbitrary start; may stop while the host is suspended
	Wall time.Time     // may jump when it is set
}

// Since returns the time since start by the clock that shows more.
func (r Reading) Since(start Reading) time.Duration {
	return max(r.Mono-start.Mono, r.Wall.Sub(start.Wall))
}

// Clock reads both clocks of the host. Tests use one that stops while a process is paused.
type Clock interface {
	Now() Reading
}

// SystemClock reads the clocks of the operating system.
type SystemClock struct{}

var processStart = time.Now()

// Now implements Clock.
func (SystemClock) Now() Reading {
	now := time.Now()
	// Round strips the monotonic reading, so that Sub compares wall clocks.
	return Reading{Mono: now.Sub(processStart), Wall: now.Round(0)}
}
