package meterer

import (
	"time"

	"apricotspool/timekeeper"
)

const (
	// slewDivisor bounds the correction of the time of day to a tenth of the elapsed time.
	slewDivisor = 10
	// stepPatience is how long a large difference lasts before it is taken over at once. Correcting it by a tenth would take
	// minutes, in which all windows are wrong.
	stepPatience = 30 * time.Second
	// maxSlewed is the largest difference that is corrected gradually.
	maxSlewed = 10 * time.Second
)

// timeline derives a time of day that advances steadily while the clock of the host steps, so that every window is passed
// once and in order. It follows the clock gradually.
type timeline struct {
	begun  bool
	steady timekeeper.Instant // of the last observation
	at     time.Time          // time of day at the last observation
	off    time.Duration      // how long the difference has been large
}

// observe returns the time of day, given both clocks of the host. It reports a large difference that was taken over.
func (t *timeline) observe(steady timekeeper.Instant, clock time.Time) (now time.Time, stepped bool) {
	clock = clock.Round(0)
	if !t.begun {
		t.begun, t.steady, t.at = true, steady, clock
		return t.at, false
	}
	elapsed := steady.Sub(t.steady)
	t.steady, t.at = steady, t.at.Add(elapsed)
	difference := clock.Sub(t.at)
	if difference.Abs() <= maxSlewed {
		t.off = 0
	} else if t.off += elapsed; t.off >= stepPatience {
		t.off, t.at = 0, clock
		return t.at, true
	}
	slew := elapsed / slewDivisor
	t.at = t.at.Add(min(max(difference, -slew), slew))
	return t.at, false
}
