// Package generator is the adapter to model engines. Engine is the interface that the rest of the
// daemon uses. Client implements it with the OpenAI-compatible HTTP protocol and a few extension headers.
// Package generatortest holds contract tests for implementations of Engine.
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

// Operation is an operation of the engine's API. Its value is the URL path.
type Operation string

// Operations that generate text.
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
	Priority  int    // the engine serves lower numbers first; 0 is the most urgent
	// From is the index of the first chunk to send. If it is above 0 and Resume is not set, the engine
	// starts a new stream that continues after Continuation.
	From int
	// Continuation is the text of the From chunks that earlier attempts have delivered. It can be empty
	// even if From is above 0, because the first chunk of a chat has no text.
	Continuation string
	// PrefillOnly makes the engine process the prompt and keep its KV cache for export. The stream has no chunks.
	PrefillOnly bool
	// ImportFrom is the address of the prefill engine that holds the KV cache of this stream, if any.
	ImportFrom netip.AddrPort
	// Resume requests a stream that the engine already has, of Attempt or a later one. It never starts a stream.
	Resume bool
}

// Chunk is one chunk of a stream, or its end.
type Chunk struct {
	Stream  namer.StreamID
	Attempt namer.Attempt
	Index   int
	Data    []byte // JSON payload as the engine sent it; valid until the next call to Next
	Done    bool   // the stream is complete; Data is empty
}

// Stream yields the chunks of one call in order. After the last one, Next returns a Chunk with Done set.
// A chunk of another stream or attempt, or one out of order, is an error of class ErrBroken.
type Stream interface {
	// Attempt returns the attempt that the engine serves. For a resumed stream it can be later than the call's.
	Attempt() namer.Attempt
	Next() (Chunk, error)
	// Pending reports whether the next chunk is already buffered, so that a writer can postpone
	// flushing.
	Pending() bool
	// Close disconnects from the stream. The engine keeps it until it is cancelled or the engine's timeout expires.
	Close() error
}

// LoadReport is an engine's report of its load, as of the time At.
type LoadReport struct {
	Incarnation    namer.Incarnation `json:"incarnation"`
	At             time.Time         `json:"at"` // when the values were sampled, by the engine's clock
	Running        int               `json:"running"`
	Waiting        int               `json:"waiting"`
	WaitingPrefill namer.Tokens      `json:"waiting-prefill"` // unprocessed prompt tokens
	KVUsed         float64           `json:"kv-used"`         // fraction of the KV cache memory in use, 0 to 1
	Role           namer.Role        `json:"role"`
	Leaving        bool              `json:"leaving"`
	// Models are the loaded models; empty if the engine doesn't report them.
	Models []namer.Model `json:"models,omitempty"`
}

// EngineState is an engine's report of its state.
type EngineState struct {
	Incarnation namer.Incarnation  `json:"incarnation"`
	Role        namer.Role         `json:"role"`
	Models      []namer.Model      `json:"models"`
	Draining    bool               `json:"draining"` // refuses new requests
	Changing    bool               `json:"changing"` // is executing a command
	Fencing     namer.FencingToken `json:"fencing"`  // highest fencing token seen; 0 if the engine ignores them
	LastCommand string             `json:"last-command"`
	Running     int                `json:"running"`
}

// CommandKind is the kind of a Command.
type CommandKind string

// The kinds of commands.
const (
	CommandRole   CommandKind = "role"   // switch to Role
	CommandLoad   CommandKind = "load"   // load Model at Version, with Adapter if it is set
	CommandUnload CommandKind = "unload" // unload Model or Adapter
	CommandDrain  CommandKind = "drain"  // refuse new requests, finish the running ones
	CommandResume CommandKind = "resume" // accept new requests again
)

// Command is an instruction to an engine. Only package director sends commands.
type Command struct {
	ID      string             `json:"id"` // a command with the same id is executed only once
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

// Error classes. The errors of all methods wrap one of them.
var (
	// ErrNotStarted means that the engine definitely did not receive the call.
	ErrNotStarted = errors.New("engine did not accept the call")
	// ErrRefused means that the engine refuses new requests, for example because it is draining or full.
	ErrRefused = errors.New("engine refused the call")
	// ErrRejected means that the request is invalid. Any other engine would reject it too.
	ErrRejected = errors.New("engine rejected the request")
	// ErrNoStream means that the engine does not have the stream to resume.
	ErrNoStream = errors.New("engine does not have the stream")
	// ErrBroken means that the response was truncated or malformed, or that it had chunks of another stream.
	ErrBroken = errors.New("stream is broken")
	// ErrFenced means that the engine rejected a command with an outdated fencing token.
	ErrFenced = errors.New("engine rejected the command: outdated fencing token")
	// ErrUncertain means that a command may have taken effect.
	ErrUncertain = errors.New("engine did not respond to the command, which may have taken effect")
)
