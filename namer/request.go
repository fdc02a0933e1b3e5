package namer

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/pkg/errors"
)

// streamIDBytes is large enough that random IDs of all daemons never collide in practice.
const streamIDBytes = 16

// StreamID identifies a request and the engine stream that serves it, across all attempts.
type StreamID string

// NewStreamID returns a random ID.
func NewStreamID() StreamID {
	var raw [streamIDBytes]byte
	rand.Read(raw[:]) // crypto/rand never returns an error
	return StreamID(hex.EncodeToString(raw[:]))
}

// UnmarshalText accepts only the format that NewStreamID returns.
func (s *StreamID) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != streamIDBytes {
		return errors.Errorf("invalid stream ID %q; it must have %d hexadecimal digits", text, 2*streamIDBytes)
	}
	*s = StreamID(text)
	return nil
}

// RequestID is the signed form of a stream ID that callers receive and present to resume a stream.
type RequestID string
