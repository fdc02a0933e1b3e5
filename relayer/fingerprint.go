package relayer

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/http"

	"apricotspool/decider"
)

// fingerprintOf returns the fingerprint of a request: of its caller's host, its method, path and body. All daemons have to
// find the same one, so that it has no key; another request with the same fingerprint costs 2^62 hashes to find.
func fingerprintOf(r *http.Request, body []byte) decider.Fingerprint {
	hash := sha256.New()
	fmt.Fprintf(hash, "%q %q %q\n", r.Method, r.Host, r.RequestURI)
	hash.Write(body) // never fails
	return decider.Fingerprint(binary.BigEndian.Uint64(hash.Sum(nil)) >> 1)
}
