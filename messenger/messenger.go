// Package messenger carries messages between daemons: connect unary calls whose messages are plain
// Go types in CBOR. It owns no state; connections, mutual TLS and limits on them belong to the HTTP
// client and server that the caller passes in.
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

// MaxMessageBytes bounds one message. The largest is a configuration document (1 MB) with its envelope.
const MaxMessageBytes = 2 << 20

// compressFrom is the size from which messages are compressed. A gossip exchange of about 500 bytes
// shrinks by a fifth, but each compressor takes 0.8 MB: 19 MB of an idle daemon's heap of 38 MB.
const compressFrom = 4096

var (
	encoding = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	// Names check themselves through UnmarshalText; doubled names are refused as in our JSON.
	decoding = must(cbor.DecOptions{TextUnmarshaler: cbor.TextUnmarshalerTextString, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[M any](mode M, err error) M {
	asserter.Check(err == nil, "CBOR options are valid", "%v", err)
	return mode
}

// codec adapts CBOR to connect.
type codec struct{}

func (codec) Name() string                          { return "cbor" }
func (codec) Marshal(message any) ([]byte, error)   { return encoding.Marshal(message) }
func (codec) Unmarshal(data []byte, into any) error { return decoding.Unmarshal(data, into) }

// Marshal encodes a message as it goes over the wire, before compression.
func Marshal(message any) ([]byte, error) { return codec{}.Marshal(message) }

// Unmarshal decodes a message from the wire.
func Unmarshal(data []byte, into any) error { return codec{}.Unmarshal(data, into) }

// Handler returns the path and the handler of a procedure, to be mounted on the peer listener.
func Handler[Req, Res any](procedure string, serve func(context.Context, *Req) (*Res, error)) (string, http.Handler) {
	return procedure, connect.NewUnaryHandlerSimple(procedure, serve, connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithCompressMinBytes(compressFrom))
}

// Client calls other daemons.
type Client struct {
	// HTTP makes the connections. Its transport should keep idle connections for some minutes,
	// since a daemon speaks to each peer of its data centre only once in a while.
	HTTP   *http.Client
	Scheme string // "http" or "https"
}

// Call sends a request to a daemon and returns its answer.
func Call[Req, Res any](ctx context.Context, c *Client, to netip.AddrPort, procedure string, request *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c.HTTP, c.Scheme+"://"+to.String()+procedure, connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom))
	answer, err := client.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Wrapf(err, "call %s at %s", procedure, to)
	}
	return answer.Msg, nil
}
