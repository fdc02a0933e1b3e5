// Package timekeeper reads a steady clock that also counts the time in which the machine was suspended. The clock of
// package time stands still meanwhile, so that what a daemon knew before seems to be as new as before.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time of the clock, as a duration since an unspecified beginning. Instants of different machines can't be
// compared.
type Instant time.Duration

// Clock returns the current instant.
type Clock func() Instant

// Sub returns the duration since another instant.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant after a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

var start = time.Now()

// Now is the machine's Clock. On a kernel that doesn't provide one it is the clock of package time.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Instant(time.Since(start))
	}
	return Instant(t.Nano())
}
