package decider

import (
	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/router"
)

// state is the progress of a tracked request.
type state int

const (
	stateWaiting state = iota // queued, or between attempts
	stateSent                 // dispatched, no first token yet
	stateRunning              // first token received
)

// tracked is a request that has no final action yet.
type tracked struct {
	request      Request
	pool         *pool
	rank         int
	state        state
	arrived      namer.Seconds
	deadline     namer.Seconds
	startBy      namer.Seconds // latest first dispatch that still meets the target
	firstTokenBy namer.Seconds // latest first token that meets the target
	output       float64       // expected output tokens
	cost         namer.Seconds // predicted engine time

	// The current attempt.
	attempt        namer.Attempt
	slot           router.Slot
	prefill        router.Slot
	class          int
	choice         router.Choice
	sentAt         namer.Seconds
	firstTokenAt   namer.Seconds
	windowPrefill  namer.Seconds // prefill time counted in the rank's window until the first token
	loadAtDispatch float64       // requests running at the endpoint at dispatch

	excluded   router.Slot // endpoint of the failed attempt
	retry      bool        // an attempt failed; the next dispatch is a retry
	reason     classifier.RetryReason
	mayHaveRun bool // an endpoint may have executed an earlier attempt
	refused    bool // an endpoint has refused an attempt

	previous, next *tracked // in the list of attempts without a first token
}

// attemptList is an intrusive list of the attempts without a first token, in dispatch order.
type attemptList struct{ first, last *tracked }

func (l *attemptList) push(t *tracked) {
	t.previous, t.next = l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
}

func (l *attemptList) remove(t *tracked) {
	if t.previous == nil {
		l.first = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		l.last = t.previous
	} else {
		t.next.previous = t.previous
	}
	t.previous, t.next = nil, nil
}
