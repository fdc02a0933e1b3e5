package server

import (
	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/generator"
	"apricotspool/namer"
	"apricotspool/resumer"
)

// HeaderLastEventID says which chunk of a stream the caller has got last.
const HeaderLastEventID = "Last-Event-ID"

// resume serves GET /v1/streams/{request-id}: it goes on with a stream after the caller's last chunk.
func (x *exchange) resume(request namer.RequestID) {
	id, err := x.server.Signer.Parse(request)
	if err != nil || id.Caller != x.id.Caller {
		x.refuse(classifier.NotFound, "the request id is not valid for this caller")
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
		x.refuse(classifier.StreamGone, "the service does not exist any more")
		return
	}
	ctx, stop := x.until(x.began.Add(service.Deadline.Std()))
	defer stop()
	x.server.Leaver.Return(id.Stream)
	for sink := (&streamSink{x: x}); ; {
		found, err := x.server.Finder.Find(ctx, id, attempt, from)
		if err != nil {
			x.notFound(err)
			return
		}
		attempt = found.Stream.Attempt()
		if x.follow(found, sink, &from) {
			return
		}
	}
}

// follow passes a resumed stream on. It returns false when the stream broke after a chunk, so that
// another search makes sense.
func (x *exchange) follow(found resumer.Found, sink *streamSink, from *int) bool {
	defer found.Stream.Close()
	for first := true; ; first = false {
		chunk, err := found.Stream.Next()
		switch {
		case err != nil && x.r.Context().Err() != nil:
			x.finish(classifier.CallerDisconnected)
			x.server.Leaver.Leave(found.Target, x.id.Stream)
			return true
		case err != nil && first:
			x.end(classifier.EndpointFailed)
			return true
		case err != nil:
			return false
		case chunk.Done:
			err = sink.done()
		default:
			err = sink.chunk(chunk, found.Stream.Pending())
			*from = chunk.Index + 1
		}
		if err != nil {
			x.finish(classifier.CallerDisconnected)
			x.server.Leaver.Leave(found.Target, x.id.Stream)
			return true
		}
		if chunk.Done {
			x.finish(classifier.Served)
			return true
		}
	}
}

func (x *exchange) notFound(err error) {
	switch {
	case x.r.Context().Err() != nil:
		x.end(classifier.CallerDisconnected)
	case errors.Is(err, resumer.ErrGone):
		x.end(classifier.StreamGone)
	default:
		x.end(classifier.EndpointFailed)
	}
}

// end refuses, or breaks an answer off that has begun.
func (x *exchange) end(outcome classifier.Outcome) {
	if x.started {
		x.breakOff(outcome, "")
		return
	}
	x.refuse(outcome, "")
}
