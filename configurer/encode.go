package configurer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"

	"apricotspool/asserter"
)

// Digest identifies the content of a document by a hash of its canonical encoding.
type Digest uint64

// DigestOf returns the digest of a canonical encoding.
func DigestOf(encoded []byte) Digest { return Digest(xxhash.Sum64(encoded)) }

// Encode returns the canonical encoding: names in sorted order, no spaces, zero values omitted.
// Equal documents have equal bytes, and Parse returns an equal document.
func (d *Document) Encode() []byte {
	encoded, err := json.Marshal(d, json.Deterministic(true))
	asserter.Check(err == nil, "a document can be encoded", "%v", err)
	return encoded
}
