package relayer

import (
	"io"
	"time"

	"apricotspool/accountant"
	"apricotspool/forwarder"
)

const (
	// maxBufferedBytes is the size up to which a response is buffered before any of it is sent to the
	// caller, so that an attempt that breaks off can be retried.
	maxBufferedBytes = 256 << 10
	// minBufferedBytes is the part of a response that is always buffered. Each request has the room for it.
	minBufferedBytes = 16 << 10
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
	body = make([]byte, 0, minBufferedBytes)
	for {
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, false, nil
		case err != nil:
			return body, false, err
		case len(body) < cap(body):
			continue
		case cap(body) >= maxBufferedBytes || !x.connection.Reserve(accountant.Answer, 2*int64(cap(body))):
			return body, true, nil
		}
		grown := make([]byte, len(body), min(2*cap(body), maxBufferedBytes))
		copy(grown, body)
		x.connection.Return(accountant.Answer, int64(cap(body)))
		body = grown
	}
}

// unreadBytes is what the kernel may receive of an answer while its caller reads slowly.
const unreadBytes = 64 << 10

// holdPartial enters the received part of an event that has grown into the account.
func (x *exchange) holdPartial(before int) {
	if after := cap(x.stream.partial); after > before && after > minBufferedBytes {
		x.connection.Force(accountant.Answer, int64(after-before))
	}
}

// boundWrites bounds the writing of the answer, so that a caller that doesn't read ends.
func (x *exchange) boundWrites() {
	deadline := x.deadline
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	x.connection.SetWriteDeadline(deadline.Add(writeGrace))
}
