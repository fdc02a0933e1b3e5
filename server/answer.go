package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"apricotspool/generator"
	"apricotspool/namer"
)

// answerWriter carries the chunks of an answer to the caller.
type answerWriter interface {
	write(chunk generator.Chunk) error
	finish()
	fail(f refusal)
	// started reports whether bytes have left for the caller.
	started() bool
	// delivered returns how many chunks were written, and their text for an engine to continue after.
	delivered() (int, string)
	tokens() namer.Tokens
}

func newWriter(w http.ResponseWriter, body completionBody, operation generator.Operation) answerWriter {
	progress := progress{}
	if body.Stream {
		return &streamWriter{w: w, flusher: http.NewResponseController(w), progress: progress}
	}
	return &wholeWriter{w: w, operation: operation, model: body.Model, progress: progress}
}

// progress is the text that an answer has so far.
type progress struct {
	chunks int
	text   strings.Builder
}

func (p *progress) add(data []byte) {
	p.chunks++
	p.text.WriteString(textOf(data))
}

func (p *progress) delivered() (int, string) { return p.chunks, p.text.String() }
func (p *progress) tokens() namer.Tokens     { return namer.Tokens(p.chunks) }

// completionChunk holds the fields of a chunk that carry text.
type completionChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// textOf returns the text of the first choice of a chunk.
func textOf(data []byte) string {
	var chunk completionChunk
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Text + chunk.Choices[0].Delta.Content
}

// streamWriter sends server-sent events.
type streamWriter struct {
	progress
	w       http.ResponseWriter
	flusher *http.ResponseController
}

func (s *streamWriter) started() bool { return s.chunks > 0 }

func (s *streamWriter) write(chunk generator.Chunk) error {
	if s.chunks == 0 {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
	}
	s.add(chunk.Data)
	event := make([]byte, 0, len(chunk.Data)+32)
	event = append(event, "id: "...)
	event = strconv.AppendInt(event, int64(chunk.Attempt), 10)
	event = append(event, '-')
	event = strconv.AppendInt(event, int64(chunk.Index), 10)
	event = append(event, "\ndata: "...)
	event = append(event, chunk.Data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return s.flusher.Flush()
}

func (s *streamWriter) finish() { s.w.Write([]byte("data: [DONE]\n\n")) }

func (s *streamWriter) fail(f refusal) {
	text, _ := json.Marshal(f.body())
	s.w.Write([]byte("event: error\ndata: " + string(text) + "\n\n"))
}

// wholeWriter collects the answer and sends it as one body.
type wholeWriter struct {
	progress
	w         http.ResponseWriter
	operation generator.Operation
	model     string
}

func (o *wholeWriter) started() bool { return false }

func (o *wholeWriter) write(chunk generator.Chunk) error {
	o.add(chunk.Data)
	return nil
}

func (o *wholeWriter) fail(refusal) {}

func (o *wholeWriter) finish() {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int      `json:"index"`
		Message      *message `json:"message,omitempty"`
		Text         string   `json:"text,omitempty"`
		FinishReason string   `json:"finish_reason"`
	}
	answer := struct {
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
	}{Object: "text_completion", Model: o.model}
	only := choice{FinishReason: "stop"}
	if o.operation == generator.ChatCompletions {
		answer.Object = "chat.completion"
		only.Message = &message{Role: "assistant", Content: o.text.String()}
	} else {
		only.Text = o.text.String()
	}
	answer.Choices = []choice{only}
	o.w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(o.w).Encode(answer)
}
