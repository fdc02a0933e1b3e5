package relayer

import (
	"context"
	"time"
)

// drainRetryAfter is the retry delay of requests that a draining daemon doesn't take: another daemon answers at once.
const drainRetryAfter = 20 * time.Millisecond

// drain is the planned end of a daemon.
type drain struct {
	notice time.Time // until when callers and the load balancer may not have noticed
	end    time.Time // when the requests in flight are ended
}

// Drain makes responses carry "Connection: close", so that callers reconnect elsewhere, and refuses requests that might not
// end in time: after the notice all of these, before it those that can't be repeated.
func (r *Relayer) Drain(notice, end time.Time) { r.draining.Store(&drain{notice, end}) }

// End ends the requests in flight: those without a response get one that says what is known of their execution.
func (r *Relayer) End() {
	r.initEnding()
	r.stop()
}

func (r *Relayer) initEnding() {
	r.endingOnce.Do(func() { r.ending, r.stop = context.WithCancel(context.Background()) })
}

// endsInTime reports whether the request may be passed on: the daemon isn't draining, or the request ends before it, whatever
// the endpoint does, or most probably does and the caller can repeat it.
func (x *exchange) endsInTime() bool {
	d := x.relayer.draining.Load()
	return d == nil || x.deadline.Before(d.end) || (x.route.Repeatable() && time.Now().Before(d.notice))
}
