// Package attester decides since when what a process has read from the object API is whole. A store that was restored from a
// backup lacks what was written after the backup until its writers have written it again, and some of it for good. Each restore
// begins an era, but a process that starts can't tell whether the era that it reads began a moment ago. Whoever concludes
// something from what the store doesn't hold, or from what it holds last, asks a Record first. A Record does no I/O and reads
// no clock.
package attester

import (
	"math"
	"time"

	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// RewriteTime is the time after a restore of the store within which endpoints and the operator have written again what it has
// lost.
const RewriteTime = 2 * time.Second

// Never is the instant from which the state is whole that a Record gives before anything was read.
const Never = timekeeper.Instant(math.MaxInt64)

// Record is what a process knows of the eras of the object API. The zero value has read nothing. Its instants are those of one
// clock of the process.
type Record struct {
	read  bool
	first bool // see First
	era   storer.Era
	by    timekeeper.Instant
}

// Begin records that an era had begun by an instant: when the process received a response of that era, or when another process
// had. It reports whether what the process has concluded from earlier responses may be wrong: the era is a later one, or the
// first that the process has read and not that of a store that was never restored. An earlier era than the newest is ignored;
// its response was under way during the restore.
func (r *Record) Begin(era storer.Era, by timekeeper.Instant) (restored bool) {
	switch {
	case !r.read || era > r.era:
		first := !r.read || (r.first && by < r.by.Add(RewriteTime))
		*r, restored = Record{read: true, first: first, era: era, by: by}, era > 0
	case era == r.era:
		r.by = min(r.by, by)
	}
	return restored
}

// First reports whether the newest era is the first that the process has read, or each one before it lasted for less than
// RewriteTime: it has seen nothing of what the restores have lost.
func (r Record) First() bool { return r.first }

// Era returns the newest era; 0 if nothing was read, or the store names none.
func (r Record) Era() storer.Era { return r.era }

// BegunBy returns an instant by which the newest era had begun. It is meaningful if the era isn't 0.
func (r Record) BegunBy() timekeeper.Instant { return r.by }

// WholeFrom returns the instant from which nothing is missing that is written again, or has expired, within a time after a
// restore: 0 if the store was never restored, and Never before anything was read.
func (r Record) WholeFrom(within time.Duration) timekeeper.Instant {
	switch {
	case !r.read:
		return Never
	case r.era == 0:
		return 0
	}
	return r.by.Add(within)
}

// Whole reports whether what was read at an instant lacks nothing that is written again, or has expired, within a time after a
// restore.
func (r Record) Whole(at timekeeper.Instant, within time.Duration) bool {
	return r.read && (r.era == 0 || at >= r.by.Add(within))
}

// Attested reports whether an object lacks nothing that the last restore has lost: its writer, for which it was whole, has
// marked it with the era in which that was so. A backup has an earlier mark.
func (r Record) Attested(mark storer.Era) bool {
	return r.read && mark > 0 && mark == r.era
}
