package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/forwarder"
	"apricotspool/namer"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// streamState tracks how much of a stream has been sent to the caller.
type streamState struct {
	lastEventID string        // id of the last event sent
	events      namer.Tokens  // sent so far
	partial     []byte        // received bytes after the last complete event
	started     namer.Attempt // the last attempt whose first event has arrived
	firstAt     time.Time     // when the first event was sent
	lastAt      time.Time     // when the last event was sent
	longestGap  time.Duration
}

// resumeAfter returns the id of the event after which the next attempt starts.
func (x *exchange) resumeAfter() string {
	if x.stream.lastEventID != "" {
		return x.stream.lastEventID
	}
	return x.call.LastEvent
}

// relayStream sends the events of a stream to the caller as they arrive, complete events only. If the
// stream breaks, the next attempt resumes it after the last event sent, provided that the route allows a
// retry.
func (x *exchange) relayStream(ctx context.Context, wd *watchdog, action decider.Action, response *forwarder.Response) bool {
	x.stream.partial = x.stream.partial[:0] // the next attempt sends a partial event again
	flusher := http.NewResponseController(x.w)
	chunk := make([]byte, 4<<10)
	for {
		n, err := response.Body.Read(chunk)
		if n > 0 {
			x.stream.partial = append(x.stream.partial, chunk[:n]...)
			if err := x.passEvents(wd, action, response, flusher); err != nil {
				x.abortResponse(classifier.CallerDisconnected)
				return true
			}
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(x.stream.partial)) == 0 && x.headerSent:
			x.reportFinished(action, x.stream.events)
			x.recordOutcome(classifier.Served)
			return true
		case err == io.EOF:
			return x.handleBrokenResponse(ctx, action, errors.New("stream ended within an event"))
		case err != nil:
			return x.handleBrokenResponse(ctx, action, err)
		case len(x.stream.partial) > maxEventBytes:
			return x.handleBrokenResponse(ctx, action, errors.New("event exceeds the size limit"))
		}
	}
}

// passEvents sends the complete events received so far to the caller.
func (x *exchange) passEvents(wd *watchdog, action decider.Action, response *forwarder.Response, to *http.ResponseController) error {
	end := bytes.LastIndex(x.stream.partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	wd.progress()
	wd.pause()
	defer wd.resume()
	complete := x.stream.partial[:end+2]
	if !x.headerSent {
		response.Header.Del("Content-Length") // another endpoint may continue the stream
		x.writeHeader(response.Status, response.Header)
	}
	if x.stream.started != action.Attempt {
		x.stream.started = action.Attempt
		x.ticket.Started(action.Attempt, action.Endpoint)
	}
	if _, err := x.w.Write(complete); err != nil {
		return errors.Wrap(err, "write events")
	}
	x.stream.recordSent(time.Now())
	x.countEvents(complete)
	x.stream.partial = x.stream.partial[:copy(x.stream.partial, x.stream.partial[end+2:])]
	return errors.Wrap(to.Flush(), "write events")
}

// recordSent records when events were sent to the caller.
func (s *streamState) recordSent(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// countEvents updates the number of events sent and the id of the last one.
func (x *exchange) countEvents(events []byte) {
	for line := range bytes.Lines(events) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			x.stream.lastEventID = string(bytes.TrimSpace(id))
			x.stream.events++
		}
	}
}
