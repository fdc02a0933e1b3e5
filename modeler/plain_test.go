package modeler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotspool/modeler"
	"apricotspool/namer"
)

// Guards against a plain server that exceeds its concurrency, starts calls out of order, idles while
// calls wait or loses a call.
func TestPlainServerKeepsItsConcurrency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := &modeler.Plain{Concurrency: rapid.IntRange(1, 4).Draw(t, "concurrency"), ServiceTime: 10 * time.Millisecond}
		now := time.Duration(0)
		var ends []time.Duration
		for n := range rapid.IntRange(1, 30).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 8).Draw(t, "gap")) * time.Millisecond
			start := now // the call starts when earlier calls leave a slot free
			if n >= server.Concurrency {
				start = max(start, ends[n-server.Concurrency])
			}
			end := server.Submit(now, namer.StreamID(fmt.Sprint(n)), 1)
			if end != start+server.ServiceTime {
				t.Fatalf("call %d ends at %s instead of %s", n, end, start+server.ServiceTime)
			}
			ends = append(ends, end)
			load := server.Load(now)
			if load.Running > server.Concurrency || (load.Waiting > 0 && load.Running < server.Concurrency) {
				t.Fatalf("%d calls run while %d wait", load.Running, load.Waiting)
			}
		}
		returned := len(server.Advance(now)) + len(server.Advance(now+time.Hour))
		if returned != len(ends) {
			t.Fatalf("%d of %d calls have ended", returned, len(ends))
		}
	})
}
