package attester_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/attester"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// begin is an argument of Record.Begin.
type begin struct {
	era storer.Era
	by  time.Duration
}

// Guards against a process that takes the first state it reads, or one that was just restored, for a whole one, and against one
// that distrusts a store that was restored long ago for longer than it has to.
func TestWholeFrom(t *testing.T) {
	const within = 5 * time.Second
	for name, row := range map[string]struct {
		begins   []begin
		restored bool // the last of begins
		whole    time.Duration
	}{
		"nothing read":                      {nil, false, time.Duration(attester.Never)},
		"store without eras":                {[]begin{{0, 3 * time.Second}}, false, 0},
		"first era that is read":            {[]begin{{2, 3 * time.Second}}, true, 8 * time.Second},
		"the same again":                    {[]begin{{2, 3 * time.Second}, {2, 9 * time.Second}}, false, 8 * time.Second},
		"another process read it earlier":   {[]begin{{2, 9 * time.Second}, {2, 3 * time.Second}}, false, 8 * time.Second},
		"restored":                          {[]begin{{0, 3 * time.Second}, {1, 20 * time.Second}}, true, 25 * time.Second},
		"restored again":                    {[]begin{{1, 3 * time.Second}, {2, 4 * time.Second}}, true, 9 * time.Second},
		"late response of the era before":   {[]begin{{2, 9 * time.Second}, {1, 1 * time.Second}}, false, 14 * time.Second},
		"late response from before any era": {[]begin{{2, 9 * time.Second}, {0, 1 * time.Second}}, false, 14 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r attester.Record
			restored := false
			for _, b := range row.begins {
				restored = r.Begin(b.era, timekeeper.Instant(b.by))
			}
			is.Equal(restored, row.restored)
			is.Equal(time.Duration(r.WholeFrom(within)), row.whole)
			is.Equal(r.Whole(timekeeper.Instant(row.whole), within), row.begins != nil)
			is.Equal(r.Whole(timekeeper.Instant(row.whole)-1, within), row.begins != nil && row.whole == 0) // instants may be negative
		})
	}
}

// Guards against a process that takes what it has read between two restores for what was there before them.
func TestFirst(t *testing.T) {
	is := is.New(t)
	var r attester.Record
	at := timekeeper.Instant(time.Minute)
	is.True(!r.First())
	r.Begin(0, at)
	is.True(r.First())
	r.Begin(1, at.Add(attester.RewriteTime-1))
	is.True(r.First())
	r.Begin(2, at.Add(2*attester.RewriteTime-2))
	is.True(r.First())
	r.Begin(3, at.Add(3*attester.RewriteTime-2))
	is.True(!r.First())
	r.Begin(4, at.Add(3*attester.RewriteTime-1))
	is.True(!r.First())
}

// Guards against an object from a backup that is taken for one that was written since the restore.
func TestAttested(t *testing.T) {
	is := is.New(t)
	var r attester.Record
	is.True(!r.Attested(0))
	r.Begin(0, 0)
	is.True(!r.Attested(0)) // nobody marks objects of a store that was never restored
	r.Begin(2, 0)
	is.True(r.Attested(2))
	is.True(!r.Attested(1))
	is.True(!r.Attested(3)) // of another writer
}
