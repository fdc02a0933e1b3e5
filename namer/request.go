package namer

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/pkg/errors"
)

// streamIDBytes is wide enough that random ids of all daemons never collide.
const streamIDBytes = 16

// StreamID identifies one request and the engine stream that serves it, over all attempts.
type StreamID string

// NewStreamID returns a random id.
func NewStreamID() StreamID {
	var raw [streamIDBytes]byte
	rand.Read(raw[:]) // crypto/rand never returns an error
	return StreamID(hex.EncodeToString(raw[:]))
}

// UnmarshalText accepts only the form that NewStreamID returns.
func (s *StreamID) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != streamIDBytes {
		return errors.Errorf("stream id %q is not valid; it has %d hexadecimal digits", text, 2*streamIDBytes)
	}
	*s = StreamID(text)
	return nil
}

// RequestID is the signed form of a stream id that callers get and present to resume a stream.
type RequestID string
