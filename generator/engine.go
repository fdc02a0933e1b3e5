// Package generator is the adapter to model engines. Engine is the interface that the rest of the
// daemon uses; Client speaks the OpenAI-compatible HTTP protocol with a few extension headers.
// Contract tests for any implementation are in generator/generatortest.
package generator

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// Target is the engine that a call goes to.
type Target struct {
	Endpoint namer.Endpoint
	Address  netip.AddrPort
}

// Operation selects the API of the engine.
type Operation string

// The operations, with their paths.
const (
	ChatCompletions Operation = "/v1/chat/completions"
	Completions     Operation = "/v1/completions"
)

// Call is one attempt of one request.
type Call struct {
	Stream    namer.StreamID
	Attempt   namer.Attempt
	Operation Operation
	Model     namer.Model
	Body      []byte // the caller's JSON body, with "stream" set
	Priority  int    // 0 is the most urgent; the engine serves lower numbers first
	// From is the index of the first chunk wanted. Above 0 and without Resume the engine starts a new
	// stream that goes on after Continuation.
	From int
	// Continuation is the text that earlier attempts have delivered in From chunks. It can be empty
	// with From above 0, because the first chunk of a chat has no text.
	Continuation string
	// PrefillOnly processes the prompt and keeps its KV cache for export; the stream ends at once.
	PrefillOnly bool
	// ImportFrom is the engine that holds the KV cache of this stream, if a prefill engine has it.
	ImportFrom netip.AddrPort
	// Resume asks only for a stream that the engine already has, at Attempt or a later one; it never starts one.
	Resume bool
}

// Chunk is one event of a stream.
type Chunk struct {
	Stream  namer.StreamID
	Attempt namer.Attempt
	Index   int
	Data    []byte // JSON payload as the engine sent it; valid until the next call of Next
	Done    bool   // the stream is complete; Data is empty
}

// Stream yields the chunks of one call in order. Next returns a Chunk with Done set after the last
// one. Chunks of another stream or attempt, or out of order, are an error of class ErrBroken.
type Stream interface {
	// Attempt is the attempt that the engine serves. A resumed stream can have a later one than the call.
	Attempt() namer.Attempt
	Next() (Chunk, error)
	// Pending reports whether Next returns without waiting for the engine, so that a writer can
	// delay its flush.
	Pending() bool
	// Close ends the reading. The engine keeps the stream until it is cancelled or its time limit passes.
	Close() error
}

// LoadReport is what an engine says about its load. It lags behind the engine's state.
type LoadReport struct {
	Incarnation    namer.Incarnation `json:"incarnation"`
	At             time.Time         `json:"at"` // engine's clock when the figures were taken
	Running        int               `json:"running"`
	Waiting        int               `json:"waiting"`
	WaitingPrefill namer.Tokens      `json:"waiting-prefill"` // prompt tokens not processed yet
	KVUsed         float64           `json:"kv-used"`         // part of the KV memory in use, 0 to 1
	Role           namer.Role        `json:"role"`
	Leaving        bool              `json:"leaving"`
	// Models are those that the engine has loaded; empty when it doesn't say.
	Models []namer.Model `json:"models,omitempty"`
}

// EngineState is what an engine says about itself.
type EngineState struct {
	Incarnation namer.Incarnation  `json:"incarnation"`
	Role        namer.Role         `json:"role"`
	Models      []namer.Model      `json:"models"`
	Draining    bool               `json:"draining"` // refuses new work
	Changing    bool               `json:"changing"` // carries out a command now
	Fencing     namer.FencingToken `json:"fencing"`  // highest number seen; 0 when the engine ignores fencing numbers
	LastCommand string             `json:"last-command"`
	Running     int                `json:"running"`
}

// CommandKind names what a command changes.
type CommandKind string

// The kinds of commands.
const (
	CommandRole   CommandKind = "role"   // take Role
	CommandLoad   CommandKind = "load"   // load Model at Version, with Adapter if set
	CommandUnload CommandKind = "unload" // drop Model or Adapter
	CommandDrain  CommandKind = "drain"  // refuse new work, finish the rest
	CommandResume CommandKind = "resume" // accept new work again
)

// Command is an instruction to an engine. Only package director sends commands.
type Command struct {
	ID      string             `json:"id"` // the same id is carried out once
	Kind    CommandKind        `json:"kind"`
	Fencing namer.FencingToken `json:"fencing"`
	Role    namer.Role         `json:"role,omitempty"`
	Model   namer.Model        `json:"model,omitempty"`
	Version string             `json:"version,omitempty"`
	Adapter string             `json:"adapter,omitempty"`
}

// Engine is a model engine.
type Engine interface {
	Generate(ctx context.Context, to Target, call Call) (Stream, error)
	Cancel(ctx context.Context, to Target, stream namer.StreamID) error
	Load(ctx context.Context, to Target) (LoadReport, error)
	State(ctx context.Context, to Target) (EngineState, error)
	Command(ctx context.Context, to Target, command Command) error
}

// The classes of errors, wrapped by all methods.
var (
	// ErrNotStarted means that the engine surely did not accept the call.
	ErrNotStarted = errors.New("engine did not accept the call")
	// ErrRefused means that the engine refused new work, for example because it is draining or full.
	ErrRefused = errors.New("engine refused the call")
	// ErrRejected means that the request itself is wrong; another engine would say the same.
	ErrRejected = errors.New("engine rejected the request")
	// ErrNoStream means that the engine does not have the stream to resume.
	ErrNoStream = errors.New("engine does not have the stream")
	// ErrBroken means that the stream ended early or carried chunks that do not belong to it.
	ErrBroken = errors.New("stream is broken")
	// ErrFenced means that the engine refused a command with an old fencing number.
	ErrFenced = errors.New("engine refused the fencing number")
	// ErrUncertain means that a command may have taken effect.
	ErrUncertain = errors.New("engine did not answer the command")
)
