// Package forwarder is the HTTP client for plain services. It sends a call to one endpoint, never more
// than once, and streams both bodies. Service is the interface that the rest of the daemon uses; Client
// implements it over HTTP/1.1. Contract tests for any implementation are in forwarder/forwardertest.
package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// Target is the endpoint that a call is sent to.
type Target struct {
	Endpoint namer.Endpoint
	Address  netip.AddrPort
	// Incarnation is that of the endpoint's entry; 0 if unknown.
	Incarnation namer.Incarnation
	MaxConns    int // maximum number of open connections to the endpoint; 0 means no limit
}

// Call is one request to a plain service.
type Call struct {
	Method string
	Path   string // escaped path, with its leading slash
	Query  string // raw query without the question mark
	// ForceQuery says that a question mark follows the path although the query is empty.
	ForceQuery bool
	Header     http.Header
	Body       io.Reader // nil means no body; it is read at most once
	Length     int64     // of the body; -1 if unknown
	Host       string    // Host header; may be empty
	// MaxIdle is how long a pooled connection may have been idle to be reused for this call; 0 means no
	// limit. An endpoint that closes idle connections may do so while the call is in transit.
	MaxIdle time.Duration
	// Abandoned, if set, is called immediately before the first byte is written, possibly in another goroutine. If it returns
	// true, nothing is sent and Forward fails with ErrAbandoned.
	Abandoned func() bool
	// Reset makes the end of the connection drop what the endpoint hasn't received yet, also if the process is killed. Without
	// it, an abandoned call that waits behind a network partition arrives when the partition ends. The connection isn't used
	// for another call.
	Reset bool
}

// NewConnection as Call.MaxIdle keeps a call off connections with earlier calls. Nothing tells the responses to calls
// without an id apart.
const NewConnection = time.Nanosecond

// Response is the response to a call. The caller reads Body at its own pace, which applies backpressure to
// the endpoint, and must close it.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if unknown
	Body   io.ReadCloser
}

// Service sends calls to the endpoints of plain services.
type Service interface {
	// Forward sends a call at most once, without retries, and returns when the header of the response has
	// arrived.
	Forward(ctx context.Context, to Target, call Call) (*Response, error)
}

// Error classes, wrapped by the errors of Forward.
var (
	// ErrNotSent means that no byte of the call was sent, so the endpoint can't have executed it.
	ErrNotSent = errors.New("call was not sent")
	// ErrAbandoned means that the call was abandoned before it was sent. Its errors are of class ErrNotSent too.
	ErrAbandoned = errors.New("call was abandoned")
	// ErrUncertain means that the call may have been sent and executed.
	ErrUncertain = errors.New("endpoint did not respond; the call may have been executed")
	// ErrTooLarge means that the call exceeds a size limit; nothing was sent.
	ErrTooLarge = errors.New("call exceeds the size limit")
	// ErrResponseTooLarge means that the response exceeds a size limit, or never ends.
	ErrResponseTooLarge = errors.New("response exceeds the size limit")
)
