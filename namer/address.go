package namer

import "net/netip"

// IsListenAddress reports whether another process can be reached at an address. The unspecified address would reach this
// machine.
func IsListenAddress(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
