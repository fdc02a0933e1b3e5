package decider

import "time"

// Confirmation says how current this daemon's knowledge of the endpoints is: what isn't in a fleet may have come since. Its
// times also count those in which the process was suspended. The zero value says that nothing is known.
type Confirmation struct {
	Known      bool
	Generation uint64        // of the fleet that is confirmed
	Age        time.Duration // since the object API confirmed it
	// Unbroken is the time for which the fleet has been followed without a gap in which an endpoint could have come, begun
	// streams and gone; negative until a restored object API is complete again.
	Unbroken time.Duration
	Gaps     uint64        // counts such gaps
	Gap      time.Duration // the length of the last one
	ListAge  time.Duration // since the lists of builds were read
	// Unsettled says that the process has started since the object API was restored, and that entries of ended processes may be
	// listed there yet.
	Unsettled bool
}
