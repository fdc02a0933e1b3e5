package relayer

import (
	"time"

	"apricotspool/matcher"
	"apricotspool/namer"
)

// Meter counts the requests of workspaces that began to run.
type Meter interface {
	// Began counts a request that began to run at an instant.
	Began(workspace namer.Caller, at time.Time)
}

// begin counts the request in the window of its first beginning.
func (x *exchange) begin(at time.Time) {
	if x.counted || x.workspace == "" || x.relayer.Meter == nil {
		return
	}
	x.counted = true
	x.relayer.Meter.Began(x.workspace, at)
}

// beginPlain counts a request to a plain service that an endpoint has run, or may have run. The endpoint began between the
// instant of sending and the response; the instant of sending is the nearer one unless the call waited for a slot, and the
// response doesn't tell that. A request that got no response counts when that is known.
func (x *exchange) beginPlain(at time.Time) {
	if x.route.Kind != matcher.Stream {
		x.begin(at)
	}
}

// beginStream counts a stream whose first event has arrived. Its endpoint made the event earlier by the time on the network,
// which nothing in the response tells; clocks of endpoints can't be compared with ours. A stream that the caller takes up has
// been counted where it began.
func (x *exchange) beginStream(at time.Time) {
	if x.call.LastEvent == "" {
		x.begin(at)
	}
}
