package claimer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

var (
	encoding = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano, TextMarshaler: cbor.TextMarshalerTextString}.EncMode())
	decoding = must(cbor.DecOptions{TextUnmarshaler: cbor.TextUnmarshalerTextString}.DecMode())
)

// must is for options that are constants: an error is a fault of this file.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// codec lets connect send domain types as CBOR.
type codec struct{}

// Name is the codec's part of the content type.
func (codec) Name() string { return "cbor" }

// Marshal encodes one message.
func (codec) Marshal(message any) ([]byte, error) {
	data, err := encoding.Marshal(message)
	return data, errors.Wrapf(err, "encode %T", message)
}

// Unmarshal decodes one message.
func (codec) Unmarshal(data []byte, message any) error {
	return errors.Wrapf(decoding.Unmarshal(data, message), "decode %T", message)
}
