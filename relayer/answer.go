package relayer

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"apricotspool/accountant"
	"apricotspool/forwarder"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered before any of it is sent to the
	// caller, so that an attempt that breaks off can be retried.
	maxBufferedBytes = 256 << 10
	// minBufferedBytes is the part of a response that is always buffered. Each request has the room for it.
	minBufferedBytes = 16 << 10
	// initialBufferBytes is the size of a buffer that grows.
	initialBufferBytes = 4 << 10
	// writeGrace is the time after a request's deadline in which a caller can still read the rest of its answer. A caller
	// that doesn't read keeps the memory of its request until then.
	writeGrace = 5 * time.Second
)

// readAnswer reads the part of a response that is buffered, and reports whether more may follow. Without memory, only
// the smallest part is buffered.
func (x *exchange) readAnswer(response *forwarder.Response) (body []byte, more bool, err error) {
	if response.Length >= 0 && response.Length < minBufferedBytes {
		body = make([]byte, response.Length)
		_, err = io.ReadFull(response.Body, body)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body) // returns the connection to its pool
		}
		return body, false, err
	}
	return x.readUpTo(response, make([]byte, 0, minBufferedBytes), maxBufferedBytes)
}

// errAnswerTooLong says that an answer exceeds its limit, or the memory that is left for it.
var errAnswerTooLong = errors.New("answer exceeds the size limit, or the memory for answers")

// readWhole reads a response that is needed as a whole and has fewer bytes than a limit.
func (x *exchange) readWhole(response *forwarder.Response, limit int) ([]byte, error) {
	body, more, err := x.readUpTo(response, make([]byte, 0, initialBufferBytes), limit)
	if more {
		x.returnAnswer(body)
		return nil, errors.Wrapf(errAnswerTooLong, "after %d bytes", len(body))
	}
	return body, err
}

// readUpTo reads a response into a buffer, which grows up to a limit, or as far as there is memory. It reports whether more may
// follow. After an error it returns no body.
func (x *exchange) readUpTo(response *forwarder.Response, buffer []byte, limit int) (body []byte, more bool, err error) {
	for {
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF:
			return buffer, false, nil
		case err != nil:
			x.returnAnswer(buffer)
			return nil, false, err
		case len(buffer) < cap(buffer):
			continue
		}
		grown, ok := x.growAnswer(buffer, limit)
		if !ok {
			return buffer, true, nil
		}
		buffer = grown
	}
}

// growAnswer returns a larger buffer with the same content, or false if the buffer has reached a limit or there is no memory.
func (x *exchange) growAnswer(buffer []byte, limit int) ([]byte, bool) {
	size := min(max(2*cap(buffer), initialBufferBytes), limit)
	if size <= cap(buffer) || (size > minBufferedBytes && !x.connection.Reserve(accountant.Answer, int64(size))) {
		return buffer, false
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	x.returnAnswer(buffer)
	return grown, true
}

// returnAnswer gives back the memory of a buffer that isn't used any more.
func (x *exchange) returnAnswer(buffer []byte) {
	if cap(buffer) > minBufferedBytes {
		x.connection.Return(accountant.Answer, int64(cap(buffer)))
	}
}

// unreadBytes is what the kernel may receive of an answer while its caller reads slowly.
const unreadBytes = 64 << 10

// boundWrites bounds the writing of the answer, so that a caller that doesn't read ends.
func (x *exchange) boundWrites() {
	deadline := x.deadline
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	x.connection.SetWriteDeadline(deadline.Add(writeGrace))
}
