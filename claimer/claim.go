package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"apricotspool/namer"
	"apricotspool/storer"
)

// Call is one non-idempotent call with its idempotency key.
type Call struct {
	Service namer.Service
	Caller  namer.Caller
	Key     string
	Digest  Digest
}

// Digest is a hash of the request, to detect a key that is reused for another request. The server
// computes it.
type Digest [sha256.Size]byte

// object returns the object API key of the claim.
func (c Call) object() string {
	hash := sha256.New()
	caller := sha256.Sum256([]byte(c.Caller))
	hash.Write(caller[:])
	hash.Write([]byte(c.Key))
	return "claim/" + string(c.Service) + "/" + hex.EncodeToString(hash.Sum(nil))
}

// Answer is the response of the service.
type Answer struct {
	Status int               `cbor:"status"`
	Header map[string]string `cbor:"header,omitempty"` // only those in StoredHeaders
	Body   []byte            `cbor:"body,omitempty"`
	// Oversized reports that the response exceeded the value limit and its header and body are not stored.
	Oversized bool `cbor:"oversized,omitempty"`
}

// StoredHeaders lists the headers that are kept in a stored response.
var StoredHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Content-Location", "Location", "ETag", "Last-Modified"}

// HeaderOf returns the headers that are kept in a stored response.
func HeaderOf(h http.Header) map[string]string {
	header := map[string]string{}
	for _, name := range StoredHeaders {
		if value := h.Get(name); value != "" {
			header[name] = value
		}
	}
	return header
}

// claimOverhead bounds the encoded size of a claim without the header and body of its response.
const claimOverhead = 4 << 10

// storable returns the response, or only its status if it doesn't fit into an object.
func (a Answer) storable() Answer {
	size := len(a.Body) + claimOverhead
	for name, value := range a.Header {
		size += len(name) + len(value) + 8
	}
	if size <= storer.MaxValueBytes {
		return a
	}
	return Answer{Status: a.Status, Oversized: true}
}

// state is the state of a claimed call.
type state string

const (
	stateStarted  state = "started"  // the holder may have sent the call
	stateFinished state = "finished" // the response is stored
	stateUnknown  state = "unknown"  // the call may have been sent and its result isn't known
	// stateAbandoned is never stored: the holder did not and will not send the call.
	stateAbandoned state = "abandoned"
)

// claim is the stored value. It is encoded as CBOR, because base64 in JSON would enlarge the body by a third.
type claim struct {
	Process namer.Process `cbor:"process"`
	Nonce   string        `cbor:"nonce"`
	Digest  Digest        `cbor:"digest"`
	State   state         `cbor:"state"`
	Started time.Time     `cbor:"started"` // wall clock of the holder
	Answer  Answer        `cbor:"answer,omitzero"`
}

// Retention of claims. Calls run at most once within this time.
const (
	RetainFinished = 24 * time.Hour
	RetainUnknown  = 7 * 24 * time.Hour // also for claims whose holder died while the call was in progress
)

func (c claim) expired(now time.Time) bool {
	if c.State == stateFinished {
		return now.Sub(c.Started) > RetainFinished
	}
	return now.Sub(c.Started) > RetainUnknown
}
