package forwarder

import (
	"net/http"
	"strings"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1), and Expect, which the daemon's own
// server has already handled.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// RemoveHopByHop removes hop-by-hop headers, including those that Connection names.
func RemoveHopByHop(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
