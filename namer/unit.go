package namer

import (
	"time"

	"github.com/pkg/errors"
)

// Counters and numbers that order events.
type (
	// Tokens counts prompt or output tokens.
	Tokens int
	// ConfigVersion numbers accepted configurations; a daemon never goes back to a lower one.
	ConfigVersion uint64
	// Fencing grows by one each time a lease changes its holder.
	Fencing uint64
	// Incarnation tells restarts of one process apart; a later start has a greater value.
	Incarnation uint64
	// Attempt numbers the executions of one request, starting at 1.
	Attempt int
)

// NewIncarnation returns the incarnation of a process that starts at the given time.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMicro())
}

// Duration is a time.Duration that is written as text such as "1.4s" in JSON.
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("duration %q is not valid; write a number and a unit, such as \"44ms\" or \"1.4s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the standard library's value.
func (d Duration) Std() time.Duration { return time.Duration(d) }

func (d Duration) String() string { return time.Duration(d).String() }

// Seconds measures time in the pure packages: a length of time, or a moment since the owner's start.
type Seconds float64

// Duration returns the standard library's value.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// SecondsOf returns the length of d.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }
