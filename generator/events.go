package generator

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Size limits of an event stream. An event with one token has about 200 bytes.
const (
	MaxEventBytes   = 256 << 10
	readBufferBytes = 8 << 10
)

// doneData is the data of the event that ends every stream of the OpenAI-compatible API.
const doneData = "[DONE]"

// Event is a server-sent event. Its fields are valid until the next call to EventReader.Next.
type Event struct {
	ID   []byte
	Data []byte
}

// EventReader reads server-sent events. It reuses its buffers for all events of a stream.
type EventReader struct {
	in       *bufio.Reader
	longLine []byte // holds a line that exceeds the buffer of in
	id       []byte
	data     []byte
}

func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{in: bufio.NewReaderSize(r, readBufferBytes)}
}

// Pending reports whether a complete event with data is buffered.
func (r *EventReader) Pending() bool {
	buffered, _ := r.in.Peek(r.in.Buffered())
	event, _, complete := bytes.Cut(buffered, []byte("\n\n"))
	return complete && bytes.Contains(event, []byte("data:"))
}

// Next returns the next event that has data. At the end of the input it returns io.ErrUnexpectedEOF, also
// between two events, because a complete stream ends with an event that tells the reader to stop.
func (r *EventReader) Next() (Event, error) {
	r.id, r.data = r.id[:0], r.data[:0]
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
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
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			hasData = true
		}
		if len(r.data) > MaxEventBytes {
			return Event{}, errors.Errorf("event exceeds the limit of %d bytes", MaxEventBytes)
		}
	}
}

// splitField splits a line into name and value. It removes one leading space of the value, as the format of
// server-sent events requires.
func splitField(line []byte) (name, value []byte) {
	name, value, _ = bytes.Cut(line, []byte{':'})
	return name, bytes.TrimPrefix(value, []byte{' '})
}

// readLine returns the next line without its line ending. The result is valid until the next read.
func (r *EventReader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		r.longLine = append(r.longLine[:0], line...)
		for err == bufio.ErrBufferFull && len(r.longLine) <= MaxEventBytes {
			line, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
		}
		line = r.longLine
	}
	if len(line) > MaxEventBytes {
		return nil, errors.Errorf("line exceeds the limit of %d bytes", MaxEventBytes)
	}
	if err == io.EOF {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}
