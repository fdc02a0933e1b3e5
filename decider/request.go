package decider

import (
	"apricotspool/classifier"
	"apricotspool/namer"
	"apricotspool/router"
)

// state is the place of a request on its way to its final action.
type state int

const (
	waiting state = iota // in a queue, or between attempts
	sent                 // dispatched, without a first token
	running              // with a first token
)

// tracked is a request that has no final action yet.
type tracked struct {
	request  Request
	pool     *pool
	rank     int
	state    state
	arrived  namer.Seconds
	deadline namer.Seconds
	startBy  namer.Seconds // latest first dispatch that meets the target
	firstBy  namer.Seconds // latest first token
	output   float64       // expected tokens
	cost     namer.Seconds // predicted engine time

	// The current attempt.
	attempt namer.Attempt
	slot    router.Slot
	prefill router.Slot
	class   int
	choice  router.Choice
	sentAt  namer.Seconds
	startAt namer.Seconds
	pending namer.Seconds // prefill time counted in the pool's window until the first token
	load    float64       // requests at the endpoint at dispatch

	exclude    router.Slot // endpoint of the failed attempt
	retry      bool        // an attempt failed; the next dispatch is a retry
	reason     classifier.RetryReason
	mayHaveRun bool // some endpoint may have executed an attempt
	refused    bool // an endpoint has refused an attempt

	previous, next *tracked // in the list of attempts without a first token
}

// list links the attempts without a first token in the order of their dispatch.
type list struct{ first, last *tracked }

func (l *list) push(t *tracked) {
	t.previous, t.next = l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
}

func (l *list) remove(t *tracked) {
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
