package configurer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"

	"apricotspool/asserter"
)

// Digest is a hash of the canonical encoding of a document.
type Digest uint64

// DigestOf returns the digest of a canonical encoding.
func DigestOf(encoded []byte) Digest { return Digest(xxhash.Sum64(encoded)) }

// Encode returns the canonical encoding: sorted names, no white space, zero values omitted. Equal
// documents have equal encodings, and Parse of the encoding returns an equal document.
func (d *Document) Encode() []byte {
	encoded, err := json.Marshal(d, json.Deterministic(true))
	asserter.Check(err == nil, "document can be encoded", "%v", err)
	return encoded
}
