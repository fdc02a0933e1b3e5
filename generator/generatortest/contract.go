// Package generatortest holds the contract tests of generator.Engine. Any implementation can run them.
package generatortest

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// Engine is what the contract covers: the interface that most of the daemon uses and the
// cancellation of streams that nobody reads.
type Engine interface {
	generator.Engine
	Abandon(ctx context.Context, to generator.Target, stream namer.StreamID) error
}

// Subject is an engine that serves model "model", accepts new work and runs at least two streams at once.
type Subject struct {
	Engine  Engine
	Target  generator.Target
	Fencing bool // the engine refuses commands with an old fencing number
}

// Run tests a subject.
func Run(t *testing.T, s Subject) {
	t.Run("a stream is complete and numbered without gaps", s.complete)
	t.Run("a resumed stream repeats and loses no chunk", s.resumes)
	t.Run("a stream that the engine does not have can't be resumed", s.noStream)
	t.Run("a later attempt goes on after the continuation", s.continues)
	t.Run("a cancelled stream is gone", s.cancels)
	t.Run("abandoning spares a stream that is read", s.abandons)
	t.Run("a malformed request is rejected", s.rejects)
	t.Run("a draining engine refuses new work and finishes the rest", s.drains)
	t.Run("a command is carried out once", s.commands)
	t.Run("a cancelled context ends the reading", s.contexts)
}

// NewCall returns a first attempt of a chat that asks for a number of tokens.
func NewCall(prompt string, tokens int) generator.Call {
	return generator.Call{
		Stream: namer.NewStreamID(), Attempt: 1, Operation: generator.ChatCompletions, Model: "model",
		Body: fmt.Appendf(nil, `{"model":"model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt),
	}
}

// Read returns the data of up to limit chunks and whether the stream is complete; limit below 0 reads all.
func Read(stream generator.Stream, limit int) (chunks []string, done bool, err error) {
	for len(chunks) != limit {
		chunk, err := stream.Next()
		if err != nil || chunk.Done {
			return chunks, chunk.Done, err
		}
		chunks = append(chunks, string(chunk.Data))
	}
	return chunks, false, nil
}

// Text returns the text that chunks carry.
func Text(chunks []string) string {
	text := ""
	for _, data := range chunks {
		var chunk struct {
			Choices []struct {
				Text  string
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Text + chunk.Choices[0].Delta.Content
		}
	}
	return text
}

func (s Subject) start(t *testing.T, call generator.Call) generator.Stream {
	t.Helper()
	stream, err := s.Engine.Generate(t.Context(), s.Target, call)
	is.New(t).NoErr(err)
	t.Cleanup(func() { stream.Close() })
	return stream
}

func (s Subject) all(t *testing.T, call generator.Call) []string {
	t.Helper()
	chunks, done, err := Read(s.start(t, call), -1)
	is.New(t).NoErr(err)
	is.New(t).True(done)
	return chunks
}

func (s Subject) complete(t *testing.T) {
	is := is.New(t)
	call := NewCall("complete", 12)
	stream := s.start(t, call)
	is.Equal(stream.Attempt(), call.Attempt)
	for index := 0; ; index++ {
		chunk, err := stream.Next()
		is.NoErr(err)
		is.Equal(chunk.Index, index)
		is.Equal(chunk.Stream, call.Stream)
		if chunk.Done {
			is.True(index >= 12)
			return
		}
	}
}

func (s Subject) resumes(t *testing.T) {
	is := is.New(t)
	call := NewCall("resume", 20)
	stream := s.start(t, call)
	first, _, err := Read(stream, 5)
	is.NoErr(err)
	is.NoErr(stream.Close())
	call.From, call.Body, call.Resume = 5, nil, true
	rest := s.all(t, call)
	call.From = 0
	is.Equal(s.all(t, call), append(first, rest...))
}

func (s Subject) noStream(t *testing.T) {
	is := is.New(t)
	call := NewCall("unknown", 4)
	call.Resume = true
	_, err := s.Engine.Generate(t.Context(), s.Target, call)
	is.True(errors.Is(err, generator.ErrNoStream))
	call.Resume = false
	s.all(t, call)
	call.Resume, call.Attempt = true, 2 // the engine has only the first attempt
	_, err = s.Engine.Generate(t.Context(), s.Target, call)
	is.True(errors.Is(err, generator.ErrNoStream))
}

func (s Subject) continues(t *testing.T) {
	is := is.New(t)
	call := NewCall("continue", 20)
	whole := s.all(t, call)
	call.Attempt, call.From, call.Continuation = 2, 7, Text(whole[:7])
	is.Equal(Text(append(whole[:7:7], s.all(t, call)...)), Text(whole))
	call.Attempt, call.From, call.Continuation = 3, 1, "" // only the role was delivered
	is.Equal(append(whole[:1:1], s.all(t, call)...), whole)
	call.Attempt, call.Resume = 1, true
	is.Equal(s.start(t, call).Attempt(), namer.Attempt(3)) // the later attempt serves a resumption
}

func (s Subject) cancels(t *testing.T) {
	is := is.New(t)
	call := NewCall("cancel", 50)
	stream := s.start(t, call)
	_, err := stream.Next()
	is.NoErr(err)
	is.NoErr(s.Engine.Cancel(t.Context(), s.Target, call.Stream))
	is.NoErr(s.Engine.Cancel(t.Context(), s.Target, call.Stream))
	call.Resume = true
	_, err = s.Engine.Generate(t.Context(), s.Target, call)
	is.True(errors.Is(err, generator.ErrNoStream))
}

func (s Subject) abandons(t *testing.T) {
	is := is.New(t)
	call := NewCall("abandon", 20)
	stream := s.start(t, call)
	_, err := stream.Next()
	is.NoErr(err)
	is.NoErr(s.Engine.Abandon(t.Context(), s.Target, call.Stream))
	_, done, err := Read(stream, -1)
	is.NoErr(err)
	is.True(done)
}

func (s Subject) rejects(t *testing.T) {
	call := NewCall("malformed", 4)
	call.Body = []byte(`{"model":`)
	_, err := s.Engine.Generate(t.Context(), s.Target, call)
	is.New(t).True(errors.Is(err, generator.ErrRejected))
}

func (s Subject) drains(t *testing.T) {
	is := is.New(t)
	running := s.start(t, NewCall("running", 20))
	_, err := running.Next()
	is.NoErr(err)
	is.NoErr(s.Engine.Command(t.Context(), s.Target, generator.Command{ID: "drain", Kind: generator.CommandDrain, Fencing: 1}))
	_, err = s.Engine.Generate(t.Context(), s.Target, NewCall("refused", 4))
	is.True(errors.Is(err, generator.ErrRefused))
	_, done, err := Read(running, -1)
	is.NoErr(err)
	is.True(done)
	is.NoErr(s.Engine.Command(t.Context(), s.Target, generator.Command{ID: "resume", Kind: generator.CommandResume, Fencing: 1}))
	s.all(t, NewCall("accepted", 4))
}

func (s Subject) commands(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	load := generator.Command{ID: "load-1", Kind: generator.CommandLoad, Model: "other", Version: "1", Fencing: 7}
	is.NoErr(s.Engine.Command(ctx, s.Target, load))
	unload := generator.Command{ID: "unload-1", Kind: generator.CommandUnload, Model: "other", Fencing: 7}
	is.NoErr(s.Engine.Command(ctx, s.Target, unload))
	is.NoErr(s.Engine.Command(ctx, s.Target, load)) // a repetition, which must not load the model again
	state, err := s.Engine.State(ctx, s.Target)
	is.NoErr(err)
	is.Equal(state.LastCommand, "unload-1")
	report, err := s.Engine.Load(ctx, s.Target)
	is.NoErr(err)
	is.Equal(report.Incarnation, state.Incarnation)
	err = s.Engine.Command(ctx, s.Target, generator.Command{ID: "late", Kind: generator.CommandDrain, Fencing: 6})
	is.Equal(errors.Is(err, generator.ErrFenced), s.Fencing)
	is.NoErr(s.Engine.Command(ctx, s.Target, generator.Command{ID: "resume-2", Kind: generator.CommandResume, Fencing: 7}))
}

func (s Subject) contexts(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	stream, err := s.Engine.Generate(ctx, s.Target, NewCall("context", 1<<20))
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.Next()
	is.NoErr(err)
	cancel()
	_, _, err = Read(stream, -1)
	is.True(errors.Is(err, generator.ErrBroken))
}
