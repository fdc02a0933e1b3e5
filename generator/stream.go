package generator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// clientStream is the Stream of one HTTP response.
type clientStream struct {
	stream      namer.StreamID
	attempt     namer.Attempt
	nextIndex   int    // expected index of the next chunk
	chunkPrefix []byte // with which the data of every chunk of this stream begins
	events      *EventReader
	body        io.Closer
	cancel      context.CancelFunc
	terminalErr error // returned by all further calls to Next
}

// newStream returns the stream of a response after checking that the response belongs to the call.
func newStream(response *http.Response, call Call, cancel context.CancelFunc) (*clientStream, error) {
	if got := response.Header.Get(HeaderStream); got != string(call.Stream) {
		return nil, errors.Wrapf(ErrBroken, "response is for stream %q, want %q", got, call.Stream)
	}
	attempt, err := parseNumber(response.Header.Get(HeaderAttempt))
	if err != nil {
		return nil, errors.Wrapf(ErrBroken, "%s: %v", HeaderAttempt, err)
	}
	mismatch := attempt != int(call.Attempt)
	if call.Resume {
		mismatch = attempt < int(call.Attempt)
	}
	if mismatch {
		return nil, errors.Wrapf(ErrBroken, "response is for attempt %d, want %d", attempt, call.Attempt)
	}
	return &clientStream{
		stream:      call.Stream,
		attempt:     namer.Attempt(attempt),
		nextIndex:   call.From,
		chunkPrefix: []byte(`{"id":"` + string(call.Stream) + `"`),
		events:      NewEventReader(response.Body),
		body:        response.Body,
		cancel:      cancel,
	}, nil
}

func (s *clientStream) Attempt() namer.Attempt { return s.attempt }

func (s *clientStream) Pending() bool { return s.events.Pending() }

// Next returns the next chunk after checking that it belongs to this stream and attempt and that its
// index is the next one.
func (s *clientStream) Next() (Chunk, error) {
	if s.terminalErr != nil {
		return Chunk{}, s.terminalErr
	}
	chunk, err := s.readChunk()
	if err != nil {
		s.terminalErr = err
	}
	return chunk, err
}

func (s *clientStream) readChunk() (Chunk, error) {
	event, err := s.events.Next()
	if err != nil {
		return Chunk{}, errors.Wrapf(ErrBroken, "read stream %s at index %d: %v", s.stream, s.nextIndex, err)
	}
	chunk := Chunk{Stream: s.stream, Attempt: s.attempt, Index: s.nextIndex, Data: event.Data}
	if string(event.Data) == doneData && len(event.ID) == 0 {
		chunk.Data, chunk.Done = nil, true
		s.terminalErr = io.EOF
		return chunk, nil
	}
	attempt, index, ok := parseEventID(event.ID)
	if !ok || attempt != s.attempt || index != s.nextIndex {
		return Chunk{}, errors.Wrapf(ErrBroken, "stream %s has event id %q, want %s", s.stream, event.ID, FormatEventID(s.attempt, s.nextIndex))
	}
	if !bytes.HasPrefix(event.Data, s.chunkPrefix) {
		return Chunk{}, errors.Wrapf(ErrBroken, "chunk %s does not belong to stream %s", event.ID, s.stream)
	}
	s.nextIndex++
	return chunk, nil
}

func (s *clientStream) Close() error {
	s.cancel()
	return s.body.Close()
}

// FormatEventID returns the id of the server-sent event of a chunk.
func FormatEventID(attempt namer.Attempt, index int) string {
	return string(AppendEventID(nil, attempt, index))
}

// AppendEventID appends the id of the server-sent event of a chunk.
func AppendEventID(to []byte, attempt namer.Attempt, index int) []byte {
	to = strconv.AppendInt(to, int64(attempt), 10)
	to = append(to, '-')
	return strconv.AppendInt(to, int64(index), 10)
}

// ParseEventID parses an id in the form that FormatEventID returns, and no other.
func ParseEventID(id string) (namer.Attempt, int, error) {
	attempt, index, ok := parseEventID([]byte(id))
	if !ok {
		return 0, 0, errors.Errorf("invalid event id %q: want an attempt and an index, such as 1-0", id)
	}
	return attempt, index, nil
}

func parseEventID(id []byte) (namer.Attempt, int, bool) {
	first, second, found := bytes.Cut(id, []byte{'-'})
	attempt, attemptOK := parseDecimal(first)
	index, indexOK := parseDecimal(second)
	return namer.Attempt(attempt), index, found && attemptOK && indexOK && attempt > 0
}

// maxDigits ensures that numbers fit into an int on every platform.
const maxDigits = 9

// parseDecimal parses a decimal number without sign and leading zeros, so that every number has exactly one
// encoding.
func parseDecimal(text []byte) (int, bool) {
	if len(text) == 0 || len(text) > maxDigits || (text[0] == '0' && len(text) > 1) {
		return 0, false
	}
	n := 0
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, true
}

func parseNumber(text string) (int, error) {
	n, ok := parseDecimal([]byte(strings.TrimSpace(text)))
	if !ok {
		return 0, errors.Errorf("%q is not a number", text)
	}
	return n, nil
}
