package generator

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Limits of an event stream. A chunk of one token is about 200 bytes.
const (
	MaxEventBytes = 256 << 10
	readBuffer    = 8 << 10
)

// doneData ends every stream of the OpenAI-compatible API.
const doneData = "[DONE]"

// Event is one server-sent event. Its fields are valid until the next call of EventReader.Next.
type Event struct {
	ID   []byte
	Data []byte
}

// EventReader reads server-sent events. It keeps one buffer for all events of a stream.
type EventReader struct {
	in   *bufio.Reader
	line []byte // a line longer than the buffer of in
	id   []byte
	data []byte
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{in: bufio.NewReaderSize(r, readBuffer)}
}

// Pending reports whether a whole event with data is at the start of the buffer.
func (r *EventReader) Pending() bool {
	ahead, _ := r.in.Peek(r.in.Buffered())
	event, _, whole := bytes.Cut(ahead, []byte("\n\n"))
	return whole && bytes.Contains(event, []byte("data:"))
}

// Next returns the next event that has data. Input that ends within an event or between two events
// is io.ErrUnexpectedEOF, because a complete stream ends with an event that its reader knows.
func (r *EventReader) Next() (Event, error) {
	r.id, r.data = r.id[:0], r.data[:0]
	found := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if found {
				return Event{ID: r.id, Data: r.data}, nil
			}
			r.id = r.id[:0]
			continue
		}
		name, value := splitField(line)
		switch string(name) {
		case "id":
			r.id = append(r.id[:0], value...)
		case "data":
			if found {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			found = true
		}
		if len(r.data) > MaxEventBytes {
			return Event{}, errors.Errorf("an event has more than %d bytes", MaxEventBytes)
		}
	}
}

// splitField takes one leading space off the value, as the format of server-sent events says.
func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte{':'})
	return name, bytes.TrimPrefix(value, []byte{' '})
}

// readLine returns a line without its end; the result is valid until the next read.
func (r *EventReader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		r.line = append(r.line[:0], line...)
		for err == bufio.ErrBufferFull && len(r.line) <= MaxEventBytes {
			line, err = r.in.ReadSlice('\n')
			r.line = append(r.line, line...)
		}
		line = r.line
	}
	if len(line) > MaxEventBytes {
		return nil, errors.Errorf("a line has more than %d bytes", MaxEventBytes)
	}
	if err == io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}
