// Package pacer finds how many requests an endpoint can take after it has started or recovered, from the way in which it
// answers. It does no I/O and reads no clock: times are passed in. Values are owned by one goroutine.
//
// A Pace bounds the requests that are at the endpoint without an answer. An answer is the first event of a response. The
// bound changes with answers only, so that it adapts as quickly as the endpoint answers, whatever its speed.
package pacer

import (
	"math"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// Verdict judges an answer of an endpoint by what its kind does.
type Verdict uint8

// The verdicts.
const (
	Good    Verdict = iota
	Late            // the first event came much later than from other endpoints of the kind
	Overdue         // the first event hasn't come for that long; it may still come
	Refused         // the endpoint didn't take the request
	Failed          // no connection, or the response broke off
	verdicts
)

// Answer is how an endpoint has answered a request, or hasn't.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Verdict Verdict
	Took    namer.Seconds // since the request was sent
}

// Check returns an error if the answer has values that no daemon sends.
func (a Answer) Check() error {
	if a.Verdict >= verdicts {
		return errors.Errorf("verdict is %d, must be less than %d", a.Verdict, verdicts)
	}
	if !(a.Took >= 0) || math.IsInf(float64(a.Took), 0) {
		return errors.Errorf("time of an answer is %v s, must be finite and not negative", float64(a.Took))
	}
	return nil
}

const (
	// startShare is the part of what others of the kind carry that an endpoint gets at first.
	startShare = 0.5
	// fallFactor applies once to all requests that were sent before the last fall, since one overload affects many.
	fallFactor = 0.5
	// failuresInRow is the number of failures without an answer between them that bounds an endpoint which has been
	// proved. A single daemon that can't reach it doesn't cause them while others get answers.
	failuresInRow = 3
	// trialPause is the time after which an endpoint that was late is tried again at the speed of its kind, as a multiple of
	// what its last answer took. One that stays slow costs a late request in each such time.
	trialPause = 4
)

// Pace bounds the unanswered requests at an endpoint. The zero value has no bound. Its methods return true if the endpoint
// has become bounded or unbounded.
type Pace struct {
	window    float64 // 0 without a bound
	threshold float64 // the window grows by one with each good answer below it, and by one in a window's answers above it
	full      float64 // window of an endpoint that takes all that its kind does
	inRow     float64 // good answers with a full window
	failures  int     // in a row
	fellAt    namer.Seconds
	fallen    bool
	slow      namer.Seconds // what a late answer took; 0 after a good one
	slowAt    namer.Seconds // when the last late answer came
}

// Kind describes what other endpoints of a kind do.
type Kind struct {
	Slots   int     // requests that an endpoint runs concurrently
	Carried float64 // requests without an answer that an endpoint carries on average
}

func (k Kind) full() float64 { return max(1, float64(k.Slots)) }

// Begin bounds an endpoint that has started. It gets part of what the others carry, or one request if it says that its
// speed is still reduced, and no more than its earlier life ended with.
func (p *Pace) Begin(k Kind, cold bool) bool {
	earlier := p.window
	start := min(k.full(), max(1, startShare*k.Carried))
	if cold {
		start = 1
	}
	if earlier > 0 {
		start = min(start, max(1, earlier))
	}
	*p = Pace{window: start, threshold: k.full(), full: k.full()}
	return earlier == 0
}

// Bounded reports whether the endpoint has a bound.
func (p *Pace) Bounded() bool { return p.window > 0 }

// Window returns the number of requests that the endpoint takes without an answer; 0 without a bound. It is at least 1
// otherwise.
func (p *Pace) Window() float64 { return p.window }

// Presumed reports whether the endpoint is presumed to have the speed of its kind, whatever has been measured: while it has a
// bound, unless it was late a short time ago. What is measured while it starts doesn't hold afterwards, and without work
// nothing else would be measured.
func (p *Pace) Presumed(now namer.Seconds) bool {
	return p.window > 0 && (p.slow == 0 || now-p.slowAt >= trialPause*p.slow)
}

// Admits reports whether the endpoint takes another request, beside those that it hasn't answered.
func (p *Pace) Admits(unanswered int) bool { return p.window == 0 || float64(unanswered+1) <= p.window }

// Adopt takes over the window that another daemon has found; 0 if it has none.
func (p *Pace) Adopt(window float64, k Kind) bool {
	if (window > 0) == (p.window > 0) {
		if window > 0 {
			p.window = min(max(1, window), p.full)
		}
		return false
	}
	*p = Pace{}
	if window > 0 {
		*p = Pace{window: min(max(1, window), k.full()), threshold: k.full(), full: k.full()}
	}
	return true
}

// Observe applies an answer.
func (p *Pace) Observe(now namer.Seconds, a Answer, k Kind) bool {
	if a.Verdict == Good {
		return p.grow()
	}
	if p.window > 0 {
		p.fall(now, a)
		return false
	}
	if a.Verdict != Failed {
		return false // the other mechanisms handle endpoints that neither start nor recover
	}
	if p.failures++; p.failures < failuresInRow {
		return false
	}
	*p = Pace{window: 1, threshold: k.full(), full: k.full()}
	return true
}

// grow widens the window by a good answer. The bound ends when the window is full and as many answers in a row were good.
func (p *Pace) grow() bool {
	p.failures, p.slow = 0, 0
	switch {
	case p.window == 0:
		return false
	case p.window < min(p.threshold, p.full):
		p.window = min(p.window+1, p.full)
	case p.window < p.full:
		p.window = min(p.window+1/p.window, p.full)
	default:
		p.inRow++
	}
	if p.inRow <= p.full {
		return false
	}
	*p = Pace{}
	return true
}

func (p *Pace) fall(now namer.Seconds, a Answer) {
	p.inRow = 0
	switch a.Verdict {
	case Late:
		p.slow, p.slowAt = a.Took, now
	case Overdue:
		p.slow, p.slowAt = max(p.slow, a.Took), now
	}
	if p.fallen && now-a.Took < p.fellAt {
		return // it was sent before the last fall
	}
	p.fellAt, p.fallen = now, true
	if p.window == 1 && (a.Verdict == Late || a.Verdict == Overdue) {
		p.threshold = p.full // it is slow with one request, which says nothing about how many it takes when it isn't
		return
	}
	p.window = max(1, fallFactor*p.window)
	p.threshold = p.window
}
