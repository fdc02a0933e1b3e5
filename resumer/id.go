// Package resumer lets a caller resume a stream at any daemon. It signs and verifies request ids, finds
// the engine that has the stream, and ends streams whose callers do not reconnect.
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

// Layout of a request id before encoding: format version byte, stream id, hash of the caller, length
// byte of the service, service, endpoint, MAC.
const (
	formatVersion = 1
	streamBytes   = 16
	callerBytes   = 16
	headerBytes   = 1 + streamBytes + callerBytes + 1
	macBytes      = sha256.Size
)

// MaxIDLength is the maximum length of a request id. Longer ones are rejected without decoding.
const MaxIDLength = 4 * (headerBytes + 2*namer.MaxNameLength + macBytes + 2) / 3

// ErrBadID means that a request id is malformed or was not signed with one of the keys.
var ErrBadID = errors.New("invalid request id")

// Identity is the content of a request id.
type Identity struct {
	Stream   namer.StreamID
	Caller   CallerHash
	Service  namer.Service
	Endpoint namer.Endpoint // the first endpoint that the request was sent to; empty if there is none
}

// CallerHash identifies a caller in request ids without disclosing its name.
type CallerHash [callerBytes]byte

// HashCaller returns the hash of a caller.
func HashCaller(caller namer.Caller) CallerHash {
	sum := sha256.Sum256([]byte(caller))
	return CallerHash(sum[:callerBytes])
}

// Signer issues and verifies request ids. The first key signs and all keys verify, so that a key can be
// rotated while ids signed with the old one are in use.
type Signer struct {
	Keys [][]byte
}

// encoding is strict, so that each id has exactly one encoding.
var encoding = base64.RawURLEncoding.Strict()

// Sign returns the request id of an identity.
func (s *Signer) Sign(id Identity) namer.RequestID {
	asserter.Check(len(s.Keys) > 0, "signer has a key", "%d keys", len(s.Keys))
	asserter.Check(len(id.Service) <= namer.MaxNameLength && len(id.Endpoint) <= namer.MaxNameLength, "names fit in a request id", "%+v", id)
	raw := make([]byte, 0, headerBytes+len(id.Service)+len(id.Endpoint)+macBytes)
	raw = append(raw, formatVersion)
	raw, err := hex.AppendDecode(raw, []byte(id.Stream))
	asserter.Check(err == nil && len(raw) == 1+streamBytes, "stream id is 16 bytes in hex", "%q", id.Stream)
	raw = append(raw, id.Caller[:]...)
	raw = append(raw, byte(len(id.Service)))
	raw = append(raw, id.Service...)
	raw = append(raw, id.Endpoint...)
	return namer.RequestID(encoding.EncodeToString(appendMAC(s.Keys[0], raw)))
}

func appendMAC(key, raw []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(raw)
	return mac.Sum(raw)
}

// Parse verifies a request id and returns its identity, or ErrBadID.
func (s *Signer) Parse(id namer.RequestID) (Identity, error) {
	if len(id) > MaxIDLength {
		return Identity{}, errors.Wrapf(ErrBadID, "%d characters, at most %d allowed", len(id), MaxIDLength)
	}
	signed, err := encoding.DecodeString(string(id))
	if err != nil || len(signed) < headerBytes+macBytes || signed[0] != formatVersion {
		return Identity{}, errors.Wrap(ErrBadID, "malformed id")
	}
	raw := signed[:len(signed)-macBytes]
	if !s.verify(raw, signed[len(raw):]) {
		return Identity{}, errors.Wrap(ErrBadID, "signature does not match any key")
	}
	identity := Identity{
		Stream: namer.StreamID(hex.EncodeToString(raw[1 : 1+streamBytes])),
		Caller: CallerHash(raw[1+streamBytes : headerBytes-1]),
	}
	names := raw[headerBytes:]
	length := int(raw[headerBytes-1])
	if length > len(names) {
		return Identity{}, errors.Wrap(ErrBadID, "malformed id")
	}
	identity.Service, identity.Endpoint = namer.Service(names[:length]), namer.Endpoint(names[length:])
	return identity, nil
}

func (s *Signer) verify(raw, mac []byte) bool {
	for _, key := range s.Keys {
		expected := appendMAC(key, raw[:len(raw):len(raw)])[len(raw):]
		if hmac.Equal(expected, mac) {
			return true
		}
	}
	return false
}
