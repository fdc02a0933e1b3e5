package pacer_test

import (
	"flag"
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/namer"
	"apricotspool/pacer"
)

func init() { _ = flag.Set("rapid.seed", "1") }

var kind = pacer.Kind{Slots: 6, Carried: 4}

func good() pacer.Answer { return pacer.Answer{Verdict: pacer.Good} }

// Guards against an endpoint that gets all at once when it starts, and against one that gets no more than one request where
// its neighbours carry many.
func TestStartsFromNeighbours(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		kind   pacer.Kind
		cold   bool
		window float64
	}{
		{pacer.Kind{Slots: 64, Carried: 20}, false, 10},
		{pacer.Kind{Slots: 64, Carried: 20}, true, 1},
		{pacer.Kind{Slots: 64}, false, 1},
		{pacer.Kind{Slots: 6, Carried: 100}, false, 6},
		{pacer.Kind{Carried: 3}, false, 1}, // without stated slots
	} {
		var p pacer.Pace
		is.True(p.Begin(c.kind, c.cold))
		is.Equal(p.Window(), c.window)
	}
}

// Guards against a flapping endpoint that gets as much in each of its lives.
func TestEarlierLifeCounts(t *testing.T) {
	is := is.New(t)
	var p pacer.Pace
	p.Begin(pacer.Kind{Slots: 64, Carried: 20}, false)
	p.Observe(10, pacer.Answer{Verdict: pacer.Failed, Took: 1}, kind)
	is.True(!p.Begin(pacer.Kind{Slots: 64, Carried: 20}, false)) // bounded before
	is.Equal(p.Window(), 5.0)
	for now := namer.Seconds(20); now < 30; now++ {
		p.Observe(now, pacer.Answer{Verdict: pacer.Failed, Took: 0.1}, kind)
	}
	p.Begin(pacer.Kind{Slots: 64, Carried: 20}, false)
	is.Equal(p.Window(), 1.0)
}

// Guards against a bound that stays on a sound endpoint, against one that ends after few answers, and against growth that
// depends on time: the number of answers is the same at any speed.
func TestGoodAnswersProve(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{1, 6, 64} {
		var p pacer.Pace
		k := pacer.Kind{Slots: slots}
		p.Begin(k, true)
		answers := 0
		for p.Bounded() {
			is.True(answers < 3*slots+2)
			p.Observe(0, good(), k)
			answers++
		}
		is.True(answers >= 2*slots)
		is.True(p.Admits(10_000))
	}
}

// Guards against an endpoint that answers its first ten requests well, and gets more than a few others before it has
// answered them.
func TestTenGoodAnswersProveNothing(t *testing.T) {
	is := is.New(t)
	var p pacer.Pace
	p.Begin(kind, false)
	for range 10 {
		p.Observe(0, good(), kind)
	}
	is.True(p.Bounded())
	is.True(!p.Admits(6))
}

// Guards against many fallbacks for one overload, and against a window that closes: an endpoint that is never good gets one
// request at a time.
func TestFallsOnceForOneOverload(t *testing.T) {
	is := is.New(t)
	var p pacer.Pace
	k := pacer.Kind{Slots: 64, Carried: 64}
	p.Begin(k, false)
	for i := range 20 {
		p.Observe(namer.Seconds(10+0.001*float64(i)), pacer.Answer{Verdict: pacer.Late, Took: 1}, k)
	}
	is.Equal(p.Window(), 16.0)
	for i := range 100 {
		p.Observe(namer.Seconds(20+i), pacer.Answer{Verdict: pacer.Refused, Took: 0.1}, k)
	}
	is.Equal(p.Window(), 1.0)
	is.True(p.Admits(0))
	is.True(!p.Admits(1))
	p.Observe(200, good(), k)
	p.Observe(200, good(), k)
	is.True(p.Window() < 3) // above the threshold it grows by one in a window's answers
}

// Guards against a bound on an endpoint that others reach: failures count only without an answer between them, and refusals
// and late answers are the matter of other mechanisms.
func TestOnlyFailuresBoundProvedEndpoint(t *testing.T) {
	is := is.New(t)
	var p pacer.Pace
	for i := range 100 {
		for _, v := range []pacer.Verdict{pacer.Failed, pacer.Late, pacer.Overdue, pacer.Refused, pacer.Failed, pacer.Good} {
			is.True(!p.Observe(namer.Seconds(i), pacer.Answer{Verdict: v}, kind))
		}
	}
	is.True(!p.Bounded())
	p.Observe(100, pacer.Answer{Verdict: pacer.Failed}, kind)
	p.Observe(100, pacer.Answer{Verdict: pacer.Failed}, kind)
	is.True(p.Observe(100, pacer.Answer{Verdict: pacer.Failed}, kind))
	is.Equal(p.Window(), 1.0)
}

// Guards against a window outside its range, whatever the endpoint answers and other daemons tell.
func TestWindowStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p pacer.Pace
		k := pacer.Kind{Slots: rapid.IntRange(0, 100).Draw(t, "slots"), Carried: rapid.Float64Range(0, 1000).Draw(t, "carried")}
		now := namer.Seconds(0)
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			now += namer.Seconds(rapid.Float64Range(0, 1).Draw(t, "pause"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				p.Begin(k, rapid.Bool().Draw(t, "cold"))
			case 1:
				p.Adopt(rapid.Float64Range(0, 1000).Draw(t, "window"), k)
			default:
				p.Observe(now, pacer.Answer{Verdict: pacer.Verdict(rapid.IntRange(0, 4).Draw(t, "verdict")), Took: namer.Seconds(rapid.Float64Range(0, 2).Draw(t, "took"))}, k)
			}
			if p.Bounded() && (p.Window() < 1 || p.Window() > max(1, float64(k.Slots))) {
				t.Fatalf("window is %v with %d slots", p.Window(), k.Slots)
			}
			if !p.Admits(0) {
				t.Fatal("an idle endpoint gets nothing")
			}
		}
	})
}

// Guards against judgements that hold at one speed only, against an engine that is called late for a long prompt, and
// against one that never is.
func TestLateIsRelativeToTheKind(t *testing.T) {
	is := is.New(t)
	for _, unit := range []namer.Seconds{0.001, 0.03, 1} {
		var u pacer.Usual
		is.True(!u.Late(1000*unit, 0)) // nothing is known
		for i := range 100 {
			expected := namer.Seconds(i%5) * unit
			u.Observe(expected+unit, expected)
		}
		is.True(u.Known())
		is.True(!u.Late(1.5*unit, 0))
		is.True(u.Late(3*unit, 0))
		is.True(!u.Late(50*unit, 40*unit))
		is.True(u.Late(10*unit, unit))
	}
}

// Guards against many daemons that together send more to an endpoint than its pace, and against shares that nobody can use.
func TestSharesStayWithinPace(t *testing.T) {
	for _, daemons := range []int{1, 9, 89, 420} {
		for _, usual := range []namer.Seconds{0.004, 0.04, 0.4} {
			is := is.New(t)
			var p pacer.Pace
			p.Begin(pacer.Kind{Slots: 8, Carried: 8}, false)
			shares, running := make([]pacer.Share, daemons), make([][]namer.Seconds, daemons)
			for i := range shares {
				shares[i].Phase = math.Mod(0.618*float64(i), 1)
			}
			sent, length := 0, 600*usual
			for now := namer.Seconds(5000); now < 5000+length; now += usual / 20 {
				for i := range shares {
					for len(running[i]) > 0 && running[i][0] <= now {
						running[i] = running[i][1:]
					}
					if shares[i].Take(now, &p, usual, daemons, len(running[i])) {
						running[i] = append(running[i], now+usual)
						sent++
					}
				}
			}
			perUsual := float64(sent) / 600
			t.Logf("%d daemons, %v s: %.2f requests in the time of an answer, the window is %v", daemons, usual, perUsual, p.Window())
			is.True(perUsual <= 1.3*p.Window())
			is.True(perUsual >= 0.4*p.Window())
		}
	}
}

// Guards against answers from other daemons with values that none sends.
func TestCheckAnswer(t *testing.T) {
	is := is.New(t)
	is.NoErr(pacer.Answer{Verdict: pacer.Failed, Took: 1}.Check())
	for _, a := range []pacer.Answer{{Verdict: 9}, {Took: -1}, {Took: namer.Seconds(math.NaN())}, {Took: namer.Seconds(math.Inf(1))}} {
		is.True(a.Check() != nil)
	}
}
