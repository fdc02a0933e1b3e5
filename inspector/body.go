package inspector

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"apricotspool/accountant"
)

// pieceBytes is the size in which a body of unknown length is first admitted and in which progress is counted.
const pieceBytes = 16 << 10

// ErrNoMemory is returned if there is no memory for a request, which must not be run then.
var ErrNoMemory = errors.New("no memory for the request")

// ReadBody reads the body of a request. Memory is admitted before bytes are read into it. A body over the limit yields an
// *http.MaxBytesError, and one for which there is no memory ErrNoMemory.
func (c *Connection) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	var body []byte
	var err error
	switch length := r.ContentLength; {
	case length == 0:
		return nil, nil
	case length > limit:
		return nil, &http.MaxBytesError{Limit: limit}
	case length > 0:
		body, err = c.readKnown(r.Body, length)
	default:
		body, err = c.readChunked(http.MaxBytesReader(w, r.Body, limit), limit)
	}
	if err != nil && c.Released() {
		err = ErrNoMemory
	}
	return body, err
}

// readKnown reads a body of known length.
func (c *Connection) readKnown(from io.Reader, length int64) ([]byte, error) {
	if !c.Reserve(accountant.Body, length) {
		return nil, ErrNoMemory
	}
	body := make([]byte, length)
	for read := int64(0); read < length; {
		n, err := io.ReadFull(from, body[read:min(read+pieceBytes, length)])
		read += int64(n)
		if err != nil {
			return nil, err
		}
		if read < length {
			c.Received(int64(n))
		}
	}
	return body, nil
}

// readChunked reads a body of unknown length. The memory for it is admitted piece by piece, together with that of the bytes
// that are copied when it grows.
func (c *Connection) readChunked(from io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, err := c.grow(body, limit)
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
		c.Received(int64(n))
	}
}

// grow returns a larger copy of a body.
func (c *Connection) grow(body []byte, limit int64) ([]byte, error) {
	// One more byte than the limit shows that the body is too large.
	size := min(max(pieceBytes, 2*int64(cap(body))), limit+1)
	if !c.Reserve(accountant.Body, size) {
		return nil, ErrNoMemory
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	c.Return(accountant.Body, int64(cap(body)))
	return grown, nil
}
