// Package meterer counts the requests of each workspace that began to run, by windows of the time of day, and reports each
// window once to the platform. Every daemon counts and sends its counts to a few candidates. The candidate that holds the
// lease of duties settles each window in the object API, which is the source of truth, and sends only what is settled there.
package meterer

import (
	"maps"
	"time"

	"apricotspool/namer"
	"apricotspool/timekeeper"
)

// Window is the number of a window: window k begins k window lengths after the start of 1970.
type Window int64

// windowAt returns the window that a time of day belongs to.
func windowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// end returns the time of day at which a window ends.
func (w Window) end(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Counts holds the number of requests of each workspace.
type Counts map[namer.Caller]uint64

// raise sets each count to at least that of other. Counts of one source only grow, so that the order in which they arrive
// and repetitions don't matter.
func (c Counts) raise(other Counts) {
	for workspace, n := range other {
		c[workspace] = max(c[workspace], n)
	}
}

func (c Counts) add(other Counts) {
	for workspace, n := range other {
		c[workspace] += n
	}
}

// Source is a process that counts.
type Source struct {
	Host        namer.Host
	Incarnation namer.Incarnation
}

// tally holds the counts of all daemons that this daemon knows. The counts of a window are kept by source while sources
// may still send them, and as a sum afterwards.
type tally struct {
	open   map[Window]map[Source]Counts
	closed map[Window]total
	heard  map[Source]hearing
}

// hearing is the current window of a source, and when it sent it.
type hearing struct {
	window Window
	at     timekeeper.Instant
}

// maxSilence is how long a source is taken to be alive without a message.
const maxSilence = 5 * sendInterval

// total is the sum of a window over its sources.
type total struct {
	counts  Counts
	sources int
}

func newTally() *tally {
	return &tally{open: map[Window]map[Source]Counts{}, closed: map[Window]total{}, heard: map[Source]hearing{}}
}

// receive takes the cumulative counts of a window from a source.
func (t *tally) receive(from Source, w Window, counts Counts) {
	if _, closed := t.closed[w]; closed {
		return
	}
	if t.open[w] == nil {
		t.open[w] = map[Source]Counts{}
	}
	if t.open[w][from] == nil {
		t.open[w][from] = Counts{}
	}
	t.open[w][from].raise(counts)
}

// sum returns the counts of a window over all sources; without any source it reports false.
func (t *tally) sum(w Window) (total, bool) {
	if sum, closed := t.closed[w]; closed {
		return sum, true
	}
	sum := total{counts: Counts{}, sources: len(t.open[w])}
	for _, counts := range t.open[w] {
		sum.counts.add(counts)
	}
	return sum, sum.sources > 0
}

// trim closes the windows before a window, and forgets those before another.
func (t *tally) trim(closeBefore, forgetBefore Window) {
	for w := range t.open {
		if w < closeBefore {
			t.closed[w], _ = t.sum(w)
			delete(t.open, w)
		}
	}
	maps.DeleteFunc(t.closed, func(w Window, _ total) bool { return w < forgetBefore })
}

// since returns the oldest window with counts, or limit if there is none before it.
func (t *tally) since(limit Window) Window {
	for w := range t.open {
		limit = min(limit, w)
	}
	for w := range t.closed {
		limit = min(limit, w)
	}
	return limit
}

// hear records the current window of a source, and forgets sources that are silent.
func (t *tally) hear(from Source, current Window, now timekeeper.Instant) {
	t.heard[from] = hearing{window: current, at: now}
	maps.DeleteFunc(t.heard, func(_ Source, h hearing) bool { return now.Sub(h.at) > maxSilence })
}

// most reports whether a condition holds for the current windows of more than half of the sources. It guards against the
// clock of a single host.
func (t *tally) most(condition func(current Window) bool) bool {
	n := 0
	for _, h := range t.heard {
		if condition(h.window) {
			n++
		}
	}
	return 2*n > len(t.heard)
}
