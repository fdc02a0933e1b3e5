package server

import (
	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/generator"
	"apricotspool/namer"
	"apricotspool/resumer"
)

// HeaderLastEventID is the header with the id of the last event that the caller has received.
const HeaderLastEventID = "Last-Event-ID"

// resume serves GET /v1/streams/{request-id}: it continues a stream after the last event that the caller has
// received.
func (x *exchange) resume(request namer.RequestID) {
	id, err := x.server.Signer.Parse(request)
	if err != nil || id.Caller != x.id.Caller {
		x.refuse(classifier.NotFound, "the request id is invalid or belongs to another caller")
		return
	}
	x.id = id
	attempt, from := namer.Attempt(1), 0
	if last := x.r.Header.Get(HeaderLastEventID); last != "" {
		var index int
		if attempt, index, err = generator.ParseEventID(last); err != nil {
			x.refuse(classifier.BadRequest, HeaderLastEventID+": "+err.Error())
			return
		}
		from = index + 1
	}
	service, ok := x.snapshot.Document().Services[id.Service]
	if !ok {
		x.refuse(classifier.StreamGone, "the service no longer exists")
		return
	}
	ctx, stop := x.withDeadline(x.startTime.Add(service.Deadline.Std()))
	defer stop()
	x.server.Disconnects.CallerReconnected(id.Stream)
	for sink := (&streamSink{x: x}); ; {
		found, err := x.server.Finder.Find(ctx, id, attempt, from)
		if err != nil {
			x.handleFindError(err)
			return
		}
		attempt = found.Stream.Attempt()
		if x.relayResumed(found, sink, &from) {
			return
		}
	}
}

// relayResumed sends a resumed stream to the caller. It returns false if the stream broke after at least one
// chunk, in which case it can be resumed again.
func (x *exchange) relayResumed(found resumer.Found, sink *streamSink, from *int) bool {
	defer found.Stream.Close()
	for first := true; ; first = false {
		chunk, err := found.Stream.Next()
		switch {
		case err != nil && x.r.Context().Err() != nil:
			x.recordOutcome(classifier.CallerDisconnected)
			x.server.Disconnects.CallerDisconnected(found.Target, x.id.Stream)
			return true
		case err != nil && first:
			x.endWithOutcome(classifier.EndpointFailed)
			return true
		case err != nil:
			return false
		case chunk.Done:
			err = sink.writeDone()
		default:
			err = sink.writeChunk(chunk, found.Stream.Pending())
			*from = chunk.Index + 1
		}
		if err != nil {
			x.recordOutcome(classifier.CallerDisconnected)
			x.server.Disconnects.CallerDisconnected(found.Target, x.id.Stream)
			return true
		}
		if chunk.Done {
			x.recordOutcome(classifier.Served)
			return true
		}
	}
}

func (x *exchange) handleFindError(err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.endWithOutcome(classifier.CallerDisconnected)
	case errors.Is(err, resumer.ErrGone):
		x.endWithOutcome(classifier.StreamGone)
	default:
		x.endWithOutcome(classifier.EndpointFailed)
	}
}

// endWithOutcome refuses the request, or aborts its response if the header has been sent.
func (x *exchange) endWithOutcome(outcome classifier.Outcome) {
	if x.headerSent {
		x.abortResponse(outcome, "")
		return
	}
	x.refuse(outcome, "")
}
