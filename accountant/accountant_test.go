package accountant_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/accountant"
)

func init() { flag.Set("rapid.seed", "1") } // -rapid.seed on the command line overrides it

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// held opens a holding in a stage that has taken bytes and made its last progress at a time.
func held(a *accountant.Account, stage accountant.Stage, rank int, bytes int64, progress time.Time) *accountant.Holding {
	h := &accountant.Holding{}
	a.Open(h, progress)
	a.Advance(h, stage, rank, progress)
	a.Force(h, accountant.Body, bytes)
	return h
}

// Guards against sums that drift from what is held, so that the limit is exceeded or the memory is lost.
func TestSumsStayExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &accountant.Account{Limit: 1000}
		var open []*accountant.Holding
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := at(step)
			if len(open) == 0 || rapid.IntRange(0, 5).Draw(t, "open") == 0 {
				h := &accountant.Holding{}
				a.Open(h, now)
				open = append(open, h)
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "holding")
			h, bytes := open[i], rapid.Int64Range(0, 400).Draw(t, "bytes")
			kind := accountant.Kind(rapid.IntRange(0, len(accountant.Kinds)-1).Draw(t, "kind"))
			before := a.Total()
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0:
				if taken := a.Take(h, kind, bytes); taken != (a.Total() == before+bytes && (bytes > 0 || taken)) || a.Total() > max(before, a.Limit) {
					t.Fatalf("took %d bytes: %t, %d held, then %d", bytes, taken, before, a.Total())
				}
			case 1:
				a.Give(h, kind, bytes)
			case 2:
				a.Close(h)
				open = append(open[:i], open[i+1:]...)
			case 3:
				a.EndRequest(h, now)
			case 4:
				a.Advance(h, accountant.Stage(rapid.IntRange(0, int(accountant.Sent)).Draw(t, "stage")), 0, now)
			case 5:
				for _, released := range a.Release(h, bytes, now) {
					if released == h || released.Stage() == accountant.Sent || !released.Released() {
						t.Fatalf("released %+v", released)
					}
				}
			}
			sum, kinds := int64(0), int64(0)
			for _, h := range open {
				sum += h.Held()
			}
			for kind := range accountant.Kinds {
				kinds += a.Held(accountant.Kind(kind))
			}
			if sum != a.Total() || kinds != sum || a.Len() != len(open) || sum < 0 {
				t.Fatalf("holdings have %d, kinds %d, the account %d", sum, kinds, a.Total())
			}
		}
		for _, h := range open {
			a.Close(h)
		}
		if a.Total() != 0 || a.Len() != 0 {
			t.Fatalf("%d bytes and %d holdings are left", a.Total(), a.Len())
		}
	})
}

// Guards against a release that takes the room of requests which progress or are more urgent, or that may run, while others
// have stalled.
func TestReleaseOrder(t *testing.T) {
	is := is.New(t)
	a := &accountant.Account{Limit: 1600} // 1400 for requests that haven't been sent
	sent := held(a, accountant.Sent, 9, 200, at(0))
	idle := held(a, accountant.Idle, 0, 200, at(0))
	stalled := held(a, accountant.Reading, 0, 200, at(5))
	progresses := held(a, accountant.Reading, 1, 200, at(30))
	lessUrgent := held(a, accountant.Reading, 2, 200, at(30))
	waiting := held(a, accountant.Waiting, 2, 200, at(0))
	asks := held(a, accountant.Reading, 1, 200, at(10))
	is.Equal(a.Release(asks, 200, at(20)), []*accountant.Holding{stalled})
	is.Equal(a.Release(asks, 400, at(20)), []*accountant.Holding{idle}) // the other one is on its way
	is.Equal(a.Release(asks, 600, at(20)), []*accountant.Holding{lessUrgent})
	is.Equal(a.Release(asks, 800, at(20)), []*accountant.Holding{waiting})
	is.Equal(a.Release(asks, 1000, at(20)), nil) // what isn't enough isn't released
	is.True(!progresses.Released() && !sent.Released() && !asks.Released())
	is.True(!a.Take(stalled, accountant.Body, 0)) // it only gives back
	a.Close(stalled)
	is.True(a.Take(asks, accountant.Body, 200))
}

// Guards against bytes that trickle in and keep a holding from being released.
func TestFewBytesAreNoProgress(t *testing.T) {
	is := is.New(t)
	a := &accountant.Account{Limit: 800}
	trickles, flows := held(a, accountant.Reading, 0, 300, at(0)), held(a, accountant.Reading, 0, 300, at(0))
	for ms := range 100 {
		a.Receive(trickles, 1, at(ms))
		a.Receive(flows, 1000, at(ms))
	}
	asks := held(a, accountant.Reading, 0, 0, at(50))
	is.Equal(a.Release(asks, 200, at(60)), []*accountant.Holding{trickles})
}

// Guards against answers without room because requests that haven't been sent have taken all of it.
func TestSentRequestsHaveRoom(t *testing.T) {
	is := is.New(t)
	a := &accountant.Account{Limit: 800}
	reading, sent := held(a, accountant.Reading, 0, 0, at(0)), held(a, accountant.Sent, 0, 0, at(0))
	is.True(a.Take(reading, accountant.Body, 700))
	is.True(!a.Take(reading, accountant.Body, 1))
	is.True(a.Take(sent, accountant.Answer, 100))
	is.True(!a.Take(sent, accountant.Answer, 1))
}

// Guards against new connections that take the place of requests, or of callers that reuse a connection while silent ones are
// left.
func TestUnusedConnections(t *testing.T) {
	is := is.New(t)
	a := &accountant.Account{}
	all := func(*accountant.Holding) bool { return true }
	held(a, accountant.Reading, 0, 0, at(0))
	is.Equal(a.Unused(all), nil)
	idle := held(a, accountant.Idle, 0, 0, at(0))
	is.Equal(a.Unused(all), idle)
	heading := held(a, accountant.Heading, 0, 0, at(5))
	is.Equal(a.Unused(all), heading)
	late, early := held(a, accountant.Silent, 0, 0, at(9)), held(a, accountant.Silent, 0, 0, at(8))
	is.Equal(a.Unused(all), early)
	is.Equal(a.Unused(func(h *accountant.Holding) bool { return h == late }), late)
}

// Guards against a release for unread bytes that ends requests which progress.
func TestFreeTakesOnlyStalled(t *testing.T) {
	is := is.New(t)
	a := &accountant.Account{Limit: 800}
	stalled := held(a, accountant.Reading, 0, 300, at(0))
	held(a, accountant.Reading, 3, 300, at(20))
	held(a, accountant.Waiting, 3, 300, at(0))
	is.Equal(a.Free(500, at(10)), []*accountant.Holding{stalled})
	is.Equal(len(a.Free(500, at(10))), 0)
}

// Guards against answers that grow without end and take the room that other requests need.
func TestAnswersLeaveRoom(t *testing.T) {
	is := is.New(t)
	a := &accountant.Account{Limit: 1000}
	growing := held(a, accountant.Sent, 0, 0, at(0))
	for a.Take(growing, accountant.Answer, 10) {
		continue
	}
	is.Equal(a.Held(accountant.Answer), int64(250))
	other := held(a, accountant.Reading, 9, 0, at(0))
	is.True(a.Take(other, accountant.Body, 600))
	is.True(a.Take(growing, accountant.Request, 100)) // what isn't an answer is bounded by the limit alone
}
