package relayer

import (
	"time"

	"github.com/rs/zerolog"
)

// leftNotice says when the daemon noticed that a caller had left.
type leftNotice string

const (
	leftOnArrival    leftNotice = "arrival" // when its request had been read
	leftWhileWaiting leftNotice = "waiting" // by the request's context
	leftWhileWriting leftNotice = "writing" // by a failed write of the response
)

// arrival is what was known of the caller's connection when its request had been read.
type arrival struct {
	unread    time.Duration // since the request's last bytes had come
	connected time.Duration // since the connection was accepted
	left      bool
}

// inspectArrival looks at the caller's connection before anything else is done for the request.
func (x *exchange) inspectArrival() {
	state := x.connection.Inspect()
	x.arrival = arrival{unread: state.Quiet, connected: x.connection.Age(), left: state.Left}
	if state.Left {
		x.noticeLeft(leftOnArrival)
	}
}

// noticeLeft records that the caller has left; the first notice counts.
func (x *exchange) noticeLeft(notice leftNotice) {
	if x.left == "" {
		x.left = notice
		x.relayer.Metrics.CallerLeft(string(notice))
	}
}

// recordSend records that an attempt is being sent, and returns the time.
func (x *exchange) recordSend() time.Time {
	x.sentAt = time.Now()
	return x.sentAt
}

// addArrival adds what tells a request that was read late, or whose caller had left, from others.
func (x *exchange) addArrival(event *zerolog.Event) {
	event.Dur("unread-ms", x.arrival.unread).Dur("connected-ms", x.arrival.connected)
	if !x.sentAt.IsZero() {
		event.Dur("sent-ms", x.sentAt.Sub(x.startTime))
	}
	addOptional(event, "left", string(x.left))
}
