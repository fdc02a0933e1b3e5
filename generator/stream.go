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

// clientStream reads the chunks of one HTTP response.
type clientStream struct {
	stream  namer.StreamID
	attempt namer.Attempt
	next    int    // index of the chunk that must come next
	prefix  []byte // start of the JSON object of every chunk of this stream
	events  *EventReader
	body    io.Closer
	cancel  context.CancelFunc
	end     error // returned by all later calls of Next
}

// newStream checks that the response belongs to the call.
func newStream(response *http.Response, call Call, cancel context.CancelFunc) (*clientStream, error) {
	if got := response.Header.Get(HeaderStream); got != string(call.Stream) {
		return nil, errors.Wrapf(ErrBroken, "the answer is for stream %q, not %q", got, call.Stream)
	}
	attempt, err := number(response.Header.Get(HeaderAttempt))
	if err != nil {
		return nil, errors.Wrapf(ErrBroken, "%s: %v", HeaderAttempt, err)
	}
	wrong := attempt != int(call.Attempt)
	if call.Resume {
		wrong = attempt < int(call.Attempt)
	}
	if wrong {
		return nil, errors.Wrapf(ErrBroken, "the answer is for attempt %d, not %d", attempt, call.Attempt)
	}
	return &clientStream{
		stream:  call.Stream,
		attempt: namer.Attempt(attempt),
		next:    call.From,
		prefix:  []byte(`{"id":"` + string(call.Stream) + `"`),
		events:  NewEventReader(response.Body),
		body:    response.Body,
		cancel:  cancel,
	}, nil
}

func (s *clientStream) Attempt() namer.Attempt { return s.attempt }

func (s *clientStream) Pending() bool { return s.events.Pending() }

// Next returns the next chunk after checking that it belongs to this stream and attempt and that
// its index follows the last one.
func (s *clientStream) Next() (Chunk, error) {
	if s.end != nil {
		return Chunk{}, s.end
	}
	chunk, err := s.read()
	if err != nil {
		s.end = err
	}
	return chunk, err
}

func (s *clientStream) read() (Chunk, error) {
	event, err := s.events.Next()
	if err != nil {
		return Chunk{}, errors.Wrapf(ErrBroken, "stream %s at index %d: %v", s.stream, s.next, err)
	}
	chunk := Chunk{Stream: s.stream, Attempt: s.attempt, Index: s.next, Data: event.Data}
	if string(event.Data) == doneData && len(event.ID) == 0 {
		chunk.Data, chunk.Done = nil, true
		s.end = io.EOF
		return chunk, nil
	}
	attempt, index, ok := parseEventID(event.ID)
	if !ok || attempt != s.attempt || index != s.next {
		return Chunk{}, errors.Wrapf(ErrBroken, "stream %s has event id %q; expected %s", s.stream, event.ID, FormatEventID(s.attempt, s.next))
	}
	if !bytes.HasPrefix(event.Data, s.prefix) {
		return Chunk{}, errors.Wrapf(ErrBroken, "chunk %s does not belong to stream %s", event.ID, s.stream)
	}
	s.next++
	return chunk, nil
}

func (s *clientStream) Close() error {
	s.cancel()
	return s.body.Close()
}

// FormatEventID returns the id of the server-sent event that carries a chunk.
func FormatEventID(attempt namer.Attempt, index int) string {
	return string(AppendEventID(nil, attempt, index))
}

// AppendEventID appends the id of the server-sent event that carries a chunk.
func AppendEventID(to []byte, attempt namer.Attempt, index int) []byte {
	to = strconv.AppendInt(to, int64(attempt), 10)
	to = append(to, '-')
	return strconv.AppendInt(to, int64(index), 10)
}

// ParseEventID accepts only the form that FormatEventID returns.
func ParseEventID(id string) (namer.Attempt, int, error) {
	attempt, index, ok := parseEventID([]byte(id))
	if !ok {
		return 0, 0, errors.Errorf("event id %q is not valid; it is an attempt and an index, such as 1-0", id)
	}
	return attempt, index, nil
}

func parseEventID(id []byte) (namer.Attempt, int, bool) {
	first, second, found := bytes.Cut(id, []byte{'-'})
	attempt, ok := digits(first)
	index, also := digits(second)
	return namer.Attempt(attempt), index, found && ok && also && attempt > 0
}

// maxDigits keeps numbers within an int on every platform.
const maxDigits = 9

// digits accepts decimal numbers without sign and leading zeros, so that every number has one form.
func digits(text []byte) (int, bool) {
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

func number(text string) (int, error) {
	n, ok := digits([]byte(strings.TrimSpace(text)))
	if !ok {
		return 0, errors.Errorf("%q is not a number", text)
	}
	return n, nil
}
