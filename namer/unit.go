package namer

import (
	"time"

	"github.com/pkg/errors"
)

// Counters and sequence numbers.
type (
	// Tokens counts prompt or output tokens.
	Tokens int
	// ConfigVersion numbers accepted configurations. A daemon never reverts to a lower version.
	ConfigVersion uint64
	// FencingToken increases each time a lease changes its holder.
	FencingToken uint64
	// Incarnation distinguishes restarts of a process; a later start has a greater value.
	Incarnation uint64
	// Rate is a number of requests per second.
	Rate float64
	// Attempt numbers the attempts of a request, starting at 1.
	Attempt int
)

// NewIncarnation returns the incarnation of a process that starts at the given time: the time in
// microseconds since the Unix epoch.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixMicro())
}

// Duration is a time.Duration that is encoded in JSON as text such as "1.4s".
type Duration time.Duration

// UnmarshalText accepts the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("invalid duration %q; it must have a number and a unit, such as \"44ms\" or \"1.4s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

func (d Duration) String() string { return time.Duration(d).String() }

// Seconds is a duration, or a time since the start of its owner, in packages that read no clock.
type Seconds float64

// Duration returns s as a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// SecondsOf returns d in seconds.
func SecondsOf(d time.Duration) Seconds { return Seconds(d.Seconds()) }
