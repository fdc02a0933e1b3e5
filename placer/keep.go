package placer

import (
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/quarantiner"
)

// keepers is the number of daemons that keep a blocked part in their entries, so that it outlives them.
const keepers = 2

// mergeBlocked applies the blocked parts in the entries of the daemons.
func (c *Core) mergeBlocked(now namer.Seconds, members []decider.MemberView) {
	for _, m := range members {
		for _, b := range m.Blocked {
			block := quarantiner.Block{Part: b.Part, Level: b.Level, Since: c.seconds(b.Since), Until: c.seconds(b.Until)}
			if c.quarantine.table.Merge(now, block) {
				c.quarantine.merged = append(c.quarantine.merged, block)
			}
		}
	}
}

// KeptParts returns the blocked parts that this daemon keeps in its entry, in the order of their IDs.
func (c *Core) KeptParts(now time.Time) []decider.BlockedPart {
	c.ensureInit(now)
	var kept []decider.BlockedPart
	for _, b := range c.quarantine.table.Blocks() {
		if b.Level > 0 && c.keeps(b.Part) { // a first block is short
			kept = append(kept, decider.BlockedPart{Part: b.Part, Level: b.Level, Since: c.time(b.Since), Until: c.time(b.Until)})
		}
	}
	return kept
}

// keeps reports whether this daemon is one of the first for a part. Daemons that don't respond count as well: those
// that take turns would write their entries again and again.
func (c *Core) keeps(part quarantiner.Part) bool {
	own, rank := rendezvous(uint64(part), string(c.Self)), 0
	for _, m := range c.members {
		if m.Host != c.Self && rendezvous(uint64(part), string(m.Host)) > own {
			rank++
		}
	}
	return rank < keepers
}

// time returns a time in whole milliseconds by the clocks of all daemons.
func (c *Core) time(at namer.Seconds) time.Time {
	return c.epoch.Add(at.Duration()).UTC().Round(time.Millisecond)
}
