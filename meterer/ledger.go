package meterer

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotspool/storer"
)

const (
	// settleDelay after the end of a window, its counts from all daemons have had three chances to arrive.
	settleDelay = 3 * time.Second
	// maxLedgerBytes bounds the object below the object API's limit of 1 MB. Further windows are settled once others have
	// been acknowledged.
	maxLedgerBytes = 512 << 10
	// keptWindows is the number of acknowledged windows that stay in the object for its readers.
	keptWindows = 3
)

// entry is one settled window.
type entry struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
	// Acknowledged is set once the platform has accepted the report.
	Acknowledged bool `json:"acknowledged,omitzero"`
}

// ledger is the stored value: the windows that are settled. A window up to Last that isn't listed is never reported again.
type ledger struct {
	Last    Window  `json:"last"`
	Windows []entry `json:"windows"` // in order
	// Era is the era of the object API in which the ledger was written. What a restore has lost can't be missing from a ledger of
	// the era that it began: its writer has left out the windows that may have been lost. 0 if the object API has no eras.
	Era storer.Era `json:"era,omitzero"`
}

func decodeLedger(value []byte) (ledger, error) {
	var l ledger
	if err := json.Unmarshal(value, &l); err != nil {
		return ledger{}, errors.Wrap(err, "decode settled windows")
	}
	l.normalize()
	return l, nil
}

func (l *ledger) normalize() {
	slices.SortFunc(l.Windows, func(a, b entry) int { return int(a.Window - b.Window) })
	for i := range l.Windows {
		l.Last = max(l.Last, l.Windows[i].Window)
		if l.Windows[i].Counts == nil {
			l.Windows[i].Counts = Counts{}
		}
	}
}

func (l *ledger) clone() ledger {
	return ledger{Last: l.Last, Windows: slices.Clone(l.Windows), Era: l.Era}
}

func (l *ledger) find(w Window) *entry {
	i, found := slices.BinarySearchFunc(l.Windows, w, func(e entry, w Window) int { return int(e.Window - w) })
	if !found {
		return nil
	}
	return &l.Windows[i]
}

// merge adds the windows of an earlier state of the same object that it doesn't hold any more since the store was restored
// from a copy. Their counts may have been sent, so that they can't be settled differently. It reports whether any were added.
func (l *ledger) merge(earlier ledger) (added bool) {
	for _, e := range earlier.Windows {
		switch own := l.find(e.Window); {
		case own != nil:
			own.Acknowledged = own.Acknowledged || e.Acknowledged
		case e.Window > l.Last:
			l.Windows = append(l.Windows, e)
			added = true
		}
	}
	if earlier.Last > l.Last {
		l.Last, added = earlier.Last, true
	}
	l.normalize()
	return added
}

// prune removes acknowledged windows except the newest, and those that are older than oldest. It returns the windows that
// were never acknowledged.
func (l *ledger) prune(oldest Window) (lost []Window) {
	acknowledged := 0
	for i := len(l.Windows) - 1; i >= 0; i-- {
		e := l.Windows[i]
		if e.Acknowledged {
			acknowledged++
		}
		if (e.Acknowledged && acknowledged > keptWindows) || e.Window < oldest {
			l.Windows = slices.Delete(l.Windows, i, i+1)
			if !e.Acknowledged {
				lost = append(lost, e.Window)
			}
		}
	}
	return lost
}

// settlement holds what decides which windows are settled.
type settlement struct {
	length time.Duration
	now    time.Time
	began  time.Time // when this process began to receive counts
	oldest Window    // no earlier window is settled
	// doubtful is the last window that another daemon may have settled without a trace, since the store was restored from a
	// copy. Such windows aren't reported, because a report with other counts violates a rule.
	doubtful Window
}

// settleable reports whether the counts of a window are final.
func (s settlement) settleable(w Window) bool {
	return !s.now.Before(w.end(s.length).Add(settleDelay))
}

// settle adds the windows whose counts are final. Windows that ended before the process began are settled only with counts.
func (l *ledger) settle(s settlement, t *tally) (settled []total) {
	size := l.size()
	first := max(l.Last+1, s.oldest, min(t.since(windowAt(s.began, s.length)), windowAt(s.began, s.length)))
	for w := first; s.settleable(w) && t.most(func(current Window) bool { return current > w }); w++ {
		sum, known := t.sum(w)
		if w > s.doubtful && (known || !w.end(s.length).Before(s.began)) {
			e := entry{Window: w, Counts: sum.counts}
			if size += e.size(); size > maxLedgerBytes {
				break
			}
			l.Windows = append(l.Windows, e)
			settled = append(settled, sum)
		}
		l.Last = w
	}
	return settled
}

func (l *ledger) size() int {
	size := 0
	for _, e := range l.Windows {
		size += e.size()
	}
	return size
}

// size returns an upper bound of the encoded size.
func (e entry) size() int {
	size := 80
	for workspace := range e.Counts {
		size += len(workspace) + 24
	}
	return size
}

// nextReport returns the settled window to report next: the oldest one that isn't late yet, or else the oldest.
func (l *ledger) nextReport(now time.Time, length, due time.Duration) (entry, bool) {
	var late *entry
	for i := range l.Windows {
		e := &l.Windows[i]
		switch {
		case e.Acknowledged:
		case now.Before(e.Window.end(length).Add(due)):
			return *e, true
		case late == nil:
			late = e
		}
	}
	if late == nil {
		return entry{}, false
	}
	return *late, true
}
