// Package resumer lets a caller go on with a stream at any daemon: it signs and checks request ids,
// finds the engine that has the stream, and ends streams whose callers do not come back.
package resumer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"github.com/pkg/errors"

	"apricotspool/asserter"
	"apricotspool/namer"
)

// Sizes of the parts of a request id before encoding: a format byte, the stream id, the hash of the
// caller, a length byte, the service, the endpoint and the signature.
const (
	format      = 1
	streamBytes = 16
	callerBytes = 16
	headBytes   = 1 + streamBytes + callerBytes + 1
	macBytes    = sha256.Size
)

// MaxIDLength bounds request ids that are looked at.
const MaxIDLength = 4 * (headBytes + 2*namer.MaxNameLength + macBytes + 2) / 3

// ErrBadID means that a request id was not issued with one of the keys.
var ErrBadID = errors.New("request id is not valid")

// Identity is what a request id says.
type Identity struct {
	Stream   namer.StreamID
	Caller   CallerHash
	Service  namer.Service
	Endpoint namer.Endpoint // the first one that the request went to; empty when there is none
}

// CallerHash stands for a caller in request ids, so that they do not show callers' names.
type CallerHash [callerBytes]byte

// HashCaller returns the hash of a caller.
func HashCaller(caller namer.Caller) CallerHash {
	sum := sha256.Sum256([]byte(caller))
	return CallerHash(sum[:callerBytes])
}

// Signer issues and checks request ids. The first key signs; all keys check, so that keys can be
// replaced while ids of the old key are in use.
type Signer struct {
	Keys [][]byte
}

// encoding is strict, so that each id has one form.
var encoding = base64.RawURLEncoding.Strict()

// Sign returns the request id of an identity.
func (s *Signer) Sign(id Identity) namer.RequestID {
	asserter.Check(len(s.Keys) > 0, "a signer has a key", "%d keys", len(s.Keys))
	asserter.Check(len(id.Service) <= namer.MaxNameLength && len(id.Endpoint) <= namer.MaxNameLength, "names fit in a request id", "%+v", id)
	raw := make([]byte, 0, headBytes+len(id.Service)+len(id.Endpoint)+macBytes)
	raw = append(raw, format)
	raw, err := hex.AppendDecode(raw, []byte(id.Stream))
	asserter.Check(err == nil && len(raw) == 1+streamBytes, "stream ids have their form", "%q", id.Stream)
	raw = append(raw, id.Caller[:]...)
	raw = append(raw, byte(len(id.Service)))
	raw = append(raw, id.Service...)
	raw = append(raw, id.Endpoint...)
	return namer.RequestID(encoding.EncodeToString(sign(s.Keys[0], raw)))
}

func sign(key, raw []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(raw)
	return mac.Sum(raw)
}

// Parse returns the identity of a request id that one of the keys has signed, or ErrBadID.
func (s *Signer) Parse(id namer.RequestID) (Identity, error) {
	if len(id) > MaxIDLength {
		return Identity{}, errors.Wrapf(ErrBadID, "%d characters; at most %d are allowed", len(id), MaxIDLength)
	}
	signed, err := encoding.DecodeString(string(id))
	if err != nil || len(signed) < headBytes+macBytes || signed[0] != format {
		return Identity{}, errors.Wrap(ErrBadID, "its form is wrong")
	}
	raw := signed[:len(signed)-macBytes]
	if !s.signed(raw, signed[len(raw):]) {
		return Identity{}, errors.Wrap(ErrBadID, "no key has signed it")
	}
	identity := Identity{
		Stream: namer.StreamID(hex.EncodeToString(raw[1 : 1+streamBytes])),
		Caller: CallerHash(raw[1+streamBytes : headBytes-1]),
	}
	names := raw[headBytes:]
	length := int(raw[headBytes-1])
	if length > len(names) {
		return Identity{}, errors.Wrap(ErrBadID, "its form is wrong")
	}
	identity.Service, identity.Endpoint = namer.Service(names[:length]), namer.Endpoint(names[length:])
	return identity, nil
}

func (s *Signer) signed(raw, mac []byte) bool {
	for _, key := range s.Keys {
		expected := sign(key, raw[:len(raw):len(raw)])[len(raw):]
		if hmac.Equal(expected, mac) {
			return true
		}
	}
	return false
}
