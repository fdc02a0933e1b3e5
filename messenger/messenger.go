// Package messenger provides RPC between daemons, as Connect unary calls with messages in CBOR, and
// datagrams. The calls keep no state: connections, mutual TLS and their limits belong to the HTTP client and
// server that the caller passes in.
package messenger

import (
	"context"
	"net/http"
	"net/netip"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"apricotspool/asserter"
)

// MaxMessageBytes is the size limit of a message. The largest is a configuration document of 1 MB with its
// envelope.
const MaxMessageBytes = 2 << 20

// minCompressBytes is the minimum size of compressed messages. Compression saves only a fifth of a gossip
// exchange of about 500 bytes, while each compressor takes 0.8 MB: 19 MB of the 38 MB heap of an idle daemon.
const minCompressBytes = 4096

var (
	encoding = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	// Name types are validated by their UnmarshalText. Duplicate keys are rejected, as in JSON documents.
	decoding = must(cbor.DecOptions{TextUnmarshaler: cbor.TextUnmarshalerTextString, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[M any](mode M, err error) M {
	asserter.Check(err == nil, "CBOR options are valid", "%v", err)
	return mode
}

// codec implements connect.Codec with CBOR.
type codec struct{}

func (codec) Name() string                          { return "cbor" }
func (codec) Marshal(message any) ([]byte, error)   { return encoding.Marshal(message) }
func (codec) Unmarshal(data []byte, into any) error { return decoding.Unmarshal(data, into) }

// Marshal encodes a message in the wire format, without compression.
func Marshal(message any) ([]byte, error) { return codec{}.Marshal(message) }

// Unmarshal decodes a message in the wire format.
func Unmarshal(data []byte, into any) error { return codec{}.Unmarshal(data, into) }

// Handler returns the path and the HTTP handler of a procedure, to be registered on the peer listener.
func Handler[Req, Res any](procedure string, serve func(context.Context, *Req) (*Res, error)) (string, http.Handler) {
	return procedure, connect.NewUnaryHandlerSimple(procedure, serve, connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithCompressMinBytes(minCompressBytes))
}

// Client calls other daemons.
type Client struct {
	// HTTP is the client for all calls. Its transport should keep idle connections for some minutes, since a
	// daemon contacts each peer of its data centre only occasionally.
	HTTP   *http.Client
	Scheme string // "http" or "https"
}

// Call sends a request to a daemon and returns the response.
func Call[Req, Res any](ctx context.Context, c *Client, to netip.AddrPort, procedure string, request *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c.HTTP, c.Scheme+"://"+to.String()+procedure, connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendGzip(), connect.WithCompressMinBytes(minCompressBytes))
	response, err := client.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrapf(err, "call %s at %s", procedure, to)
	}
	return response.Msg, nil
}
