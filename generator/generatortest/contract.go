// Package generatortest holds contract tests that every implementation of generator.Engine must pass.
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

// Engine is the interface that the contract covers: generator.Engine and the cancellation of streams that
// no connection is reading.
type Engine interface {
	generator.Engine
	Abandon(ctx context.Context, to generator.Target, stream namer.StreamID) error
}

// Subject is the engine under test. It must serve the model "model", accept new requests and run at least
// two streams concurrently.
type Subject struct {
	Engine  Engine
	Target  generator.Target
	Fencing bool // whether the engine rejects commands with an outdated fencing token
}

// Run runs all contract tests on a subject.
func Run(t *testing.T, s Subject) {
	t.Run("a stream is complete and numbered without gaps", s.testComplete)
	t.Run("a resumed stream has no duplicate or missing chunk", s.testResume)
	t.Run("a stream that the engine does not have can't be resumed", s.testUnknownStream)
	t.Run("a later attempt continues after the continuation", s.testContinuation)
	t.Run("a cancelled stream no longer exists", s.testCancel)
	t.Run("abandoning keeps a stream that is being read", s.testAbandon)
	t.Run("a malformed request is rejected", s.testReject)
	t.Run("a draining engine refuses new requests and finishes the running ones", s.testDrain)
	t.Run("a command is executed once", s.testCommands)
	t.Run("a cancelled context ends the stream for the reader", s.testContextCancel)
}

// NewCall returns the first attempt of a chat completion with a limit on its tokens.
func NewCall(prompt string, tokens int) generator.Call {
	return generator.Call{
		Stream: namer.NewStreamID(), Attempt: 1, Operation: generator.ChatCompletions, Model: "model",
		Body: fmt.Appendf(nil, `{"model":"model","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt),
	}
}

// Read reads up to limit chunks, or all if limit is negative. It returns their data and whether the stream
// is complete.
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

// Text returns the concatenated text of chunks.
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

func (s Subject) readAll(t *testing.T, call generator.Call) []string {
	t.Helper()
	chunks, done, err := Read(s.start(t, call), -1)
	is.New(t).NoErr(err)
	is.New(t).True(done)
	return chunks
}

func (s Subject) testComplete(t *testing.T) {
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

func (s Subject) testResume(t *testing.T) {
	is := is.New(t)
	call := NewCall("resume", 20)
	stream := s.start(t, call)
	first, _, err := Read(stream, 5)
	is.NoErr(err)
	is.NoErr(stream.Close())
	call.From, call.Body, call.Resume = 5, nil, true
	rest := s.readAll(t, call)
	call.From = 0
	is.Equal(s.readAll(t, call), append(first, rest...))
}

func (s Subject) testUnknownStream(t *testing.T) {
	is := is.New(t)
	call := NewCall("unknown", 4)
	call.Resume = true
	_, err := s.Engine.Generate(t.Context(), s.Target, call)
	is.True(errors.Is(err, generator.ErrNoStream))
	call.Resume = false
	s.readAll(t, call)
	call.Resume, call.Attempt = true, 2 // the engine has only the first attempt
	_, err = s.Engine.Generate(t.Context(), s.Target, call)
	is.True(errors.Is(err, generator.ErrNoStream))
}

func (s Subject) testContinuation(t *testing.T) {
	is := is.New(t)
	call := NewCall("continue", 20)
	full := s.readAll(t, call)
	call.Attempt, call.From, call.Continuation = 2, 7, Text(full[:7])
	is.Equal(Text(append(full[:7:7], s.readAll(t, call)...)), Text(full))
	call.Attempt, call.From, call.Continuation = 3, 1, "" // only the chunk with the role was delivered
	is.Equal(append(full[:1:1], s.readAll(t, call)...), full)
	call.Attempt, call.Resume = 1, true
	is.Equal(s.start(t, call).Attempt(), namer.Attempt(3)) // a resumed stream continues the latest attempt
}

func (s Subject) testCancel(t *testing.T) {
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

func (s Subject) testAbandon(t *testing.T) {
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

func (s Subject) testReject(t *testing.T) {
	call := NewCall("malformed", 4)
	call.Body = []byte(`{"model":`)
	_, err := s.Engine.Generate(t.Context(), s.Target, call)
	is.New(t).True(errors.Is(err, generator.ErrRejected))
}

func (s Subject) testDrain(t *testing.T) {
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
	s.readAll(t, NewCall("accepted", 4))
}

func (s Subject) testCommands(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	load := generator.Command{ID: "load-1", Kind: generator.CommandLoad, Model: "other", Version: "1", Fencing: 7}
	is.NoErr(s.Engine.Command(ctx, s.Target, load))
	unload := generator.Command{ID: "unload-1", Kind: generator.CommandUnload, Model: "other", Fencing: 7}
	is.NoErr(s.Engine.Command(ctx, s.Target, unload))
	is.NoErr(s.Engine.Command(ctx, s.Target, load)) // a duplicate, which must not load the model again
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

func (s Subject) testContextCancel(t *testing.T) {
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
