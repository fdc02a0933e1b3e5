package relayer

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"apricotspool/classifier"
	"apricotspool/inspector"
)

// defaultMaxBodyBytes bounds a request's body if the routes set no limit.
const defaultMaxBodyBytes = 8 << 20

// admit takes the memory for a request whose head has been read. It refuses the request and returns false if there is none.
func (x *exchange) admit() bool {
	if !x.connection.StartRequest(len(x.r.Header)) {
		x.refuse(classifier.MemoryExhausted, 0)
		return false
	}
	return true
}

// readBody reads the body, at most until the deadline. It refuses the request and returns false if the body is too large or
// there is no memory for it.
func (x *exchange) readBody(limit int64) bool {
	if x.r.ContentLength == 0 {
		return true
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(x.w)
	bounded := control.SetReadDeadline(x.deadline) == nil // a writer of a test may have no deadlines
	var err error
	x.body, err = x.connection.ReadBody(x.w, x.r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		if bounded {
			control.SetReadDeadline(time.Time{}) // fails only if the connection is closed
		}
		return true
	case errors.As(err, &tooLarge):
		x.refuse(classifier.TooLarge, 0)
	case errors.Is(err, inspector.ErrNoMemory):
		x.refuse(classifier.MemoryExhausted, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(classifier.DeadlineExceeded, 0)
	default:
		x.abortResponse(classifier.CallerDisconnected) // the request is incomplete, so no response is possible
	}
	return false
}
