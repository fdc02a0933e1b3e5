package relayer

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/classifier"
	"apricotspool/forwarder"
)

// leftNotice says when the daemon noticed that a caller had left.
type leftNotice string

const (
	leftOnArrival    leftNotice = "arrival" // when its request had been read
	leftBeforeSend   leftNotice = "send"    // just before an attempt was sent
	leftWhileWaiting leftNotice = "waiting" // by the request's context
	leftWhileWriting leftNotice = "writing" // by a failed write of the response
)

// arrival is what was known of the caller's connection when its request had been read.
type arrival struct {
	unread    time.Duration // since the request's last bytes had come
	connected time.Duration // since the connection was accepted
}

// inspectArrival looks at the caller's connection before anything else is done for the request. It ends the request and
// returns false if the caller has left.
func (x *exchange) inspectArrival() bool {
	state := x.connection.Inspect()
	x.arrival = arrival{unread: state.Quiet, connected: x.connection.Age()}
	x.startTime = x.startTime.Add(-state.Quiet) // the caller's time has run since then
	if state.Left {
		x.noticeLeft(leftOnArrival)
		x.refuse(classifier.CallerDisconnected, 0)
	}
	return !state.Left
}

// hasLeft reports whether the caller has left. The context of its request ends later: net/http reads in the background.
func (x *exchange) hasLeft() bool { return x.connection.Inspect().Left }

// endIfLeft ends the request if an attempt wasn't sent because the caller had left, and reports whether it did.
func (x *exchange) endIfLeft(err error) bool {
	if !errors.Is(err, forwarder.ErrAbandoned) || !x.hasLeft() {
		return false
	}
	x.noticeLeft(leftBeforeSend)
	x.endWithoutAttempt(classifier.CallerDisconnected, 0)
	return true
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
