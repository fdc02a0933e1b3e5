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

// Digest tells requests apart that come with the same key. Whoever serves callers computes it.
type Digest [sha256.Size]byte

// object returns the key of the claim in the object API.
func (c Call) object() string {
	hash := sha256.New()
	caller := sha256.Sum256([]byte(c.Caller))
	hash.Write(caller[:])
	hash.Write([]byte(c.Key))
	return "claim/" + string(c.Service) + "/" + hex.EncodeToString(hash.Sum(nil))
}

// Answer is what the service answered.
type Answer struct {
	Status int               `cbor:"status"`
	Header map[string]string `cbor:"header,omitempty"` // only names of StoredHeaders
	Body   []byte            `cbor:"body,omitempty"`
	// Oversized says that the body was over the value limit and isn't stored.
	Oversized bool `cbor:"oversized,omitempty"`
}

// StoredHeaders are the headers that a stored answer keeps.
var StoredHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Content-Location", "Location", "ETag", "Last-Modified"}

// HeaderOf picks the headers that a stored answer keeps.
func HeaderOf(h http.Header) map[string]string {
	picked := map[string]string{}
	for _, name := range StoredHeaders {
		if value := h.Get(name); value != "" {
			picked[name] = value
		}
	}
	return picked
}

// valueReserve is the room that a stored claim needs beside the body and the headers.
const valueReserve = 4 << 10

// stored returns the part of the answer that fits into an object.
func (a Answer) stored() Answer {
	size := len(a.Body) + valueReserve
	for name, value := range a.Header {
		size += len(name) + len(value) + 8
	}
	if size <= storer.MaxValueBytes {
		return a
	}
	return Answer{Status: a.Status, Oversized: true}
}

// state is how far a claimed call has come.
type state string

const (
	stateStarted  state = "started"  // the holder may have sent the call
	stateFinished state = "finished" // the answer is stored
	stateUnknown  state = "unknown"  // the call was sent and its end isn't known
	// stateAbandoned is never stored: the holder has not sent the call and never will.
	stateAbandoned state = "abandoned"
)

// claim is the stored value. It is CBOR, because JSON would enlarge the body by a third.
type claim struct {
	Process namer.Process `cbor:"process"`
	Nonce   string        `cbor:"nonce"`
	Digest  Digest        `cbor:"digest"`
	State   state         `cbor:"state"`
	Started time.Time     `cbor:"started"` // wall clock of the holder
	Answer  Answer        `cbor:"answer,omitzero"`
}

// The times for which claims are kept; at-most-once holds for that long.
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
