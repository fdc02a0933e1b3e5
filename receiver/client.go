package receiver

import (
	"context"
	"net"
	"net/http"
)

// NewClient returns a client of net/http that fails with an error instead of returning a malformed response, or a part of one as
// the whole. It takes over the transport, whose DialContext must be set.
func NewClient(transport *http.Transport) *http.Client {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
	return &http.Client{Transport: &checkedTransport{transport}}
}
