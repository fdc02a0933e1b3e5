package relayer

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"apricotspool/accountant"
	"apricotspool/classifier"
)

const (
	// defaultMaxBodyBytes bounds a request's body if the routes set no limit.
	defaultMaxBodyBytes = 8 << 20
	// pieceBytes is the size in which a body of unknown length is first admitted and in which progress is counted.
	pieceBytes = 16 << 10
)

var errMemoryExhausted = errors.New("no memory for the body of a request")

// admit takes the memory for a request whose head has been read. It refuses the request and returns false if there is none.
func (x *exchange) admit() bool {
	if !x.connection.StartRequest(len(x.r.Header)) {
		x.refuse(classifier.MemoryExhausted, 0)
		return false
	}
	return true
}

// readBody reads the body, at most until the deadline. It refuses the request and returns false if the body is too large or
// there is no memory for it. Memory is admitted before bytes are read into it.
func (x *exchange) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		x.refuse(classifier.TooLarge, 0)
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	control := http.NewResponseController(x.w)
	bounded := control.SetReadDeadline(x.deadline) == nil // a writer of a test may have no deadlines
	var err error
	if x.r.ContentLength > 0 {
		x.body, err = x.readKnown(x.r.ContentLength)
	} else {
		x.body, err = x.readChunked(http.MaxBytesReader(x.w, x.r.Body, limit), limit)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		if bounded {
			control.SetReadDeadline(time.Time{}) // fails only if the connection is closed
		}
		return true
	case errors.As(err, &tooLarge):
		x.refuse(classifier.TooLarge, 0)
	case errors.Is(err, errMemoryExhausted) || x.connection.Released():
		x.refuse(classifier.MemoryExhausted, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(classifier.DeadlineExceeded, 0)
	default:
		x.abortResponse(classifier.CallerDisconnected) // the request is incomplete, so no response is possible
	}
	x.body = nil
	return false
}

// readKnown reads a body of known length.
func (x *exchange) readKnown(length int64) ([]byte, error) {
	if !x.connection.Reserve(accountant.Body, length) {
		return nil, errMemoryExhausted
	}
	body := make([]byte, length)
	for read := int64(0); read < length; {
		n, err := io.ReadFull(x.r.Body, body[read:min(read+pieceBytes, length)])
		read += int64(n)
		if err != nil {
			return nil, err
		}
		if read < length {
			x.connection.Received(int64(n))
		}
	}
	return body, nil
}

// readChunked reads a body of unknown length. The memory for it is admitted piece by piece, together with that of the bytes
// that are copied when it grows.
func (x *exchange) readChunked(from io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := x.grow(body, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := from.Read(body[len(body):min(cap(body), len(body)+pieceBytes)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		x.connection.Received(int64(n))
	}
}

// grow returns a larger copy of a body.
func (x *exchange) grow(body []byte, limit int64) ([]byte, error) {
	size := max(pieceBytes, 2*int64(cap(body)))
	if size > limit {
		size = limit + 1 // one more byte shows that the body is too large
	}
	if !x.connection.Reserve(accountant.Body, size) {
		return nil, errMemoryExhausted
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	x.connection.Return(accountant.Body, int64(cap(body)))
	return grown, nil
}
