package relayer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
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
	for {
		if !x.growPartial() {
			return x.handleBrokenResponse(ctx, action, errors.Wrapf(errAnswerTooLong, "event has no end after %d bytes", len(x.stream.partial)))
		}
		received := len(x.stream.partial)
		n, err := response.Body.Read(x.stream.partial[received:cap(x.stream.partial)])
		if n > 0 {
			x.stream.partial = x.stream.partial[:received+n]
			invalid, err := x.passEvents(wd, action, response, flusher, received)
			if err != nil {
				x.noticeLeft(leftWhileWriting)
				x.abortResponse(classifier.CallerDisconnected)
				return true
			}
			if invalid != nil {
				return x.handleBrokenResponse(ctx, action, invalid)
			}
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(x.stream.partial)) == 0 && x.mayEnd(action):
			x.reportFinished(action, x.stream.events)
			x.recordOutcome(classifier.Served)
			return true
		case err == io.EOF:
			return x.handleBrokenResponse(ctx, action, errors.New("stream ended within an event, or without continuing"))
		case err != nil:
			return x.handleBrokenResponse(ctx, action, err)
		}
	}
}

// growPartial makes room for more of an event. It reports false if the event has reached its limit or there is no memory.
func (x *exchange) growPartial() bool {
	s := &x.stream
	if cap(s.partial) > minBufferedBytes && len(s.partial) < initialBufferBytes { // a long event has ended
		short := append(make([]byte, 0, initialBufferBytes), s.partial...)
		x.returnAnswer(s.partial)
		s.partial = short
	}
	if len(s.partial) < cap(s.partial) {
		return true
	}
	grown, ok := x.growAnswer(s.partial, maxEventBytes)
	s.partial = grown
	return ok
}

// mayEnd reports whether the stream can be complete when an attempt ends between two events. An attempt that has sent no
// event has not shown that it continues the stream, so that only the length of the output can tell.
func (x *exchange) mayEnd(action decider.Action) bool {
	return x.stream.started == action.Attempt || x.outputComplete()
}

// outputComplete reports whether the events sent hold as many tokens as the caller has asked for at most.
func (x *exchange) outputComplete() bool {
	return x.headerSent && x.call.LastEvent == "" && x.call.MaxOutput > 0 && x.stream.events*x.eventTokens >= x.call.MaxOutput
}

// passEvents sends the complete events received so far to the caller. The bytes that were searched before hold no end of an event.
// It returns invalid if something was received that doesn't continue the stream; what came before it has been sent.
func (x *exchange) passEvents(wd *watchdog, action decider.Action, response *forwarder.Response, to *http.ResponseController, searched int) (invalid, err error) {
	last, events, count := x.resumeAfter(), x.stream.partial[:0], namer.Tokens(0)
	rest := x.stream.partial
	from := max(0, searched-len(eventEnd)+1)
	for {
		end := bytes.Index(rest[from:], eventEnd)
		if end < 0 {
			break
		}
		end, from = from+end, 0
		event := rest[:end+len(eventEnd)]
		rest = rest[len(event):]
		begun := count > 0 || x.stream.started == action.Attempt
		if isComment(event) {
			if begun {
				events = append(events, event...) // moves bytes to the left at most
			}
			continue
		}
		id, ok := eventID(event)
		if !ok || !follows(id, last) {
			invalid = errors.Errorf("event %q does not continue the stream after event %q", event[:min(len(event), maxLoggedEvent)], last)
			break
		}
		events, last = append(events, event...), id
		count++
	}
	if count > 0 {
		x.beginStream(time.Now())
	}
	if count > 0 || len(events) > 0 {
		err = x.writeEvents(wd, action, response, to, events)
	}
	x.stream.partial = x.stream.partial[:copy(x.stream.partial, rest)]
	if x.stream.events += count; count > 0 {
		x.stream.lastEventID = last
	}
	return invalid, err
}

func (x *exchange) writeEvents(wd *watchdog, action decider.Action, response *forwarder.Response, to *http.ResponseController, events []byte) error {
	wd.progress()
	wd.pause()
	defer wd.resume()
	if !x.headerSent {
		response.Header.Del("Content-Length") // another endpoint may continue the stream
		x.writeHeader(response.Status, response.Header)
	}
	if x.stream.started != action.Attempt {
		x.stream.started = action.Attempt
		x.ticket.Started(action.Attempt, action.Endpoint)
	}
	if _, err := x.w.Write(events); err != nil {
		return errors.Wrap(err, "write events")
	}
	x.stream.recordSent(time.Now())
	return errors.Wrap(to.Flush(), "write events")
}

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// maxLoggedEvent bounds the part of an invalid event in an error.
const maxLoggedEvent = 80

// isComment reports whether what stands between two ends of events is no event: comments, or nothing.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && line[0] != '\n' {
			return false
		}
	}
	return true
}

// eventID returns the id of an event. Each event of a stream has one.
func eventID(event []byte) (id string, ok bool) {
	ids := 0
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
			ids++
		}
	}
	return id, ids == 1 && id != ""
}

// follows reports whether an event can come after another one: ids increase. If the last one isn't a number, only its
// repetition is recognized.
func follows(id, last string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return id != last
	}
	number, err := strconv.ParseUint(id, 10, 64)
	return err == nil && number > before
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
