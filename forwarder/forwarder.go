// Package forwarder is the adapter to plain services. It passes a call to one endpoint exactly once
// and streams both bodies. Service is the interface that the rest of the daemon uses; Client speaks
// HTTP. Contract tests for any implementation are in forwarder/forwardertest.
package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// Target is the instance of a service that a call goes to.
type Target struct {
	Endpoint namer.Endpoint
	Address  netip.AddrPort
}

// Call is one call of a plain service.
type Call struct {
	Method string
	Path   string // escaped path below the service, with its leading slash
	Query  string // raw query without the question mark
	Header http.Header
	Body   io.Reader // nil means no body; read once
	Length int64     // -1 when it is not known
}

// Answer is the answer of a service. The reader of Body sets the pace of the endpoint and closes it.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Service passes calls to the endpoints of plain services.
type Service interface {
	// Forward sends a call once, whatever happens, and returns when the header of the answer is there.
	Forward(ctx context.Context, to Target, call Call) (*Answer, error)
}

// The classes of errors, wrapped by Forward.
var (
	// ErrNotSent means that no byte of the call has left, so the endpoint surely does not execute it.
	ErrNotSent = errors.New("call was not sent")
	// ErrUncertain means that the call may have left and may be executed.
	ErrUncertain = errors.New("endpoint did not answer the call")
	// ErrTooLarge means that the call is over a limit; nothing was sent.
	ErrTooLarge = errors.New("call is over the limit")
)
