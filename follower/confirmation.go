package follower

import (
	"math"
	"time"

	"apricotspool/attester"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// Confirmation says what a replica is known to include. What the object API doesn't hold at an instant is absent only in
// a replica that was confirmed after it. Instants are those of the follower's clock.
type Confirmation struct {
	// Changes is that of the listing which is confirmed.
	Changes uint64
	// At is an instant before which all changes are included. It is meaningful if Known is set.
	At    timekeeper.Instant
	Known bool
	// UnbrokenSince is the instant since which the replica has been confirmed again and again, so that an object that
	// existed for three quarters of the staleness bound was seen. It is in the future after a restore of the store that this
	// process has noticed, until its writers have written again what the store has lost.
	UnbrokenSince timekeeper.Instant
	// Eras says when the store was last restored, for all that this process and its reader know.
	Eras attester.Record
	// SettledAt is the instant from which nothing is missing any more that the last restore of the store has lost, nor from the
	// lists that other daemons make of it. It is 0 if the store names no era, and was not restored.
	SettledAt timekeeper.Instant
	// Gaps counts the gaps, and Gap is the time between the two confirmations around the last one.
	Gaps uint64
	Gap  time.Duration
}

// gapFraction is the longest time between two confirmations of a replica that is followed without a gap.
const gapFraction = 0.75

// Confirmation returns what the replica is known to include.
func (f *Follower) Confirmation() Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmation
}

// Confirmed returns the time as of which the object API last confirmed the replica; the zero time before the first time.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Age returns the time since the object API last confirmed the replica.
func (f *Follower) Age() time.Duration {
	f.init()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age()
}

func (f *Follower) age() time.Duration {
	if !f.confirmation.Known {
		return math.MaxInt64
	}
	return f.clock().Sub(f.confirmation.At)
}

// confirm records that the replica includes all changes made before an instant. A zero time confirms nothing.
func (f *Follower) confirm(confirmed time.Time, at timekeeper.Instant) {
	if !confirmed.After(f.confirmed) {
		return
	}
	f.confirmed = confirmed
	c := &f.confirmation
	gap := at.Sub(c.At)
	switch {
	case !c.Known:
		c.UnbrokenSince = max(c.UnbrokenSince, at)
	case gap > f.boundFraction(gapFraction):
		c.UnbrokenSince, c.Gap = max(c.UnbrokenSince, at), gap
		c.Gaps++
	}
	c.At, c.Known = max(c.At, at), true
}

// recordEra records that an era had begun by an instant, and reports whether the object API was restored since the replica was
// first read.
func (f *Follower) recordEra(era storer.Era, by timekeeper.Instant) (restored bool) {
	c := &f.confirmation
	begun := c.Eras.Begin(era, by)
	c.SettledAt = c.Eras.WholeFrom(f.boundFraction(1) + attester.RewriteTime)
	settlesIn := c.SettledAt.Sub(f.clock())
	switch restored = begun && f.listing.Load() != nil; {
	case restored:
		c.UnbrokenSince = max(c.UnbrokenSince, c.SettledAt)
		f.Log.Warn().Str("prefix", f.Prefix).Uint64("era", uint64(era)).Dur("settles-in", settlesIn).Msg("object-api-restored")
	case begun && settlesIn > 0:
		f.Log.Info().Str("prefix", f.Prefix).Uint64("era", uint64(era)).Dur("settles-in", settlesIn).Msg("object-api-perhaps-restored")
	}
	return restored
}
