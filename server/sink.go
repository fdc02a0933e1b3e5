package server

import (
	"net/http"

	"apricotspool/classifier"
	"apricotspool/generator"
)

// streamSink writes chunks as server-sent events.
type streamSink struct {
	x       *exchange
	control *http.ResponseController
	event   []byte
}

func (s *streamSink) begin() {
	s.control = http.NewResponseController(s.x.w)
	header := s.x.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.x.sendID()
	s.x.started = true
}

func (s *streamSink) chunk(c generator.Chunk, more bool) error {
	if !s.x.started {
		s.begin()
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

func (s *streamSink) done() error {
	if !s.x.started {
		s.begin()
	}
	_, err := s.x.w.Write([]byte("data: [DONE]\n\n"))
	return err
}

// answerSink collects chunks and writes one answer.
type answerSink struct {
	x         *exchange
	operation generator.Operation
	whole     aggregate
	fault     error // a chunk that could not be merged
}

func (s *answerSink) chunk(c generator.Chunk, _ bool) error {
	if s.fault == nil {
		s.fault = s.whole.add(c.Data)
	}
	return nil
}

func (s *answerSink) done() error {
	var body []byte
	if s.fault == nil {
		body, s.fault = s.whole.answer(s.operation)
	}
	if s.fault != nil {
		s.x.refuse(classifier.EndpointFailed, "the engine's answer is not valid: "+s.fault.Error())
		return s.fault
	}
	s.x.sendID()
	s.x.w.Header().Set("Content-Type", "application/json")
	s.x.started = true
	_, err := s.x.w.Write(body)
	return err
}

// breakOff ends an answer that has begun and can't be completed: a stream by an error event without the
// end mark, everything else by a broken connection.
func (x *exchange) breakOff(outcome classifier.Outcome, message string) {
	x.finish(outcome)
	if x.w.Header().Get("Content-Type") != "text/event-stream" {
		x.cut = true
		return
	}
	event := append([]byte("data: "), errorBody(outcome, message)...)
	x.w.Write(append(event, "\n\n"...))
}
