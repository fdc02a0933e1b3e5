package server

import (
	"net/http"

	"apricotspool/classifier"
	"apricotspool/generator"
)

// streamSink is a sink that writes chunks as server-sent events.
type streamSink struct {
	x       *exchange
	control *http.ResponseController
	event   []byte
}

func (s *streamSink) startResponse() {
	s.control = http.NewResponseController(s.x.w)
	header := s.x.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.x.setRequestID()
	s.x.headerSent = true
}

func (s *streamSink) writeChunk(c generator.Chunk, more bool) error {
	if !s.x.headerSent {
		s.startResponse()
	}
	s.event = append(s.event[:0], "id: "...)
	s.event = generator.AppendEventID(s.event, c.Attempt, c.Index)
	s.event = append(s.event, "\ndata: "...)
	s.event = append(s.event, c.Data...)
	s.event = append(s.event, "\n\n"...)
	if _, err := s.x.w.Write(s.event); err != nil {
		return err
	}
	if more {
		return nil
	}
	return s.control.Flush()
}

func (s *streamSink) writeDone() error {
	if !s.x.headerSent {
		s.startResponse()
	}
	_, err := s.x.w.Write([]byte("data: [DONE]\n\n"))
	return err
}

// bufferedSink is a sink that merges all chunks into one JSON response.
type bufferedSink struct {
	x         *exchange
	operation generator.Operation
	aggregate aggregate
	err       error // first failure to merge a chunk
}

func (s *bufferedSink) writeChunk(c generator.Chunk, _ bool) error {
	if s.err == nil {
		s.err = s.aggregate.add(c.Data)
	}
	return nil
}

func (s *bufferedSink) writeDone() error {
	var body []byte
	if s.err == nil {
		body, s.err = s.aggregate.response(s.operation)
	}
	if s.err != nil {
		s.x.refuse(classifier.EndpointFailed, "the engine's response is invalid: "+s.err.Error())
		return s.err
	}
	s.x.setRequestID()
	s.x.w.Header().Set("Content-Type", "application/json")
	s.x.headerSent = true
	_, err := s.x.w.Write(body)
	return err
}

// abortResponse ends a response that has been started and can't be completed: a stream by an error event
// without the end marker, any other response by closing the connection.
func (x *exchange) abortResponse(outcome classifier.Outcome, message string) {
	x.recordOutcome(outcome)
	if x.w.Header().Get("Content-Type") != "text/event-stream" {
		x.abortConnection = true
		return
	}
	event := append([]byte("data: "), errorBody(outcome, message)...)
	x.w.Write(append(event, "\n\n"...))
}
