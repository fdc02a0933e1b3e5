package namer

import (
	"fmt"
	"net/netip"
)

// Process identifies an instance of a daemon. A daemon binds its peer address exclusively for its whole
// lifetime, so two instances with the same address never run at the same time.
type Process struct {
	Host        Host           `json:"host"`
	Address     netip.AddrPort `json:"address"` // peer listener
	Incarnation Incarnation    `json:"incarnation"`
}

// Replaces reports whether p is a later instance at the address of other, which proves that other has
// ended.
func (p Process) Replaces(other Process) bool {
	return p.Address.IsValid() && p.Address == other.Address && p.Incarnation > other.Incarnation
}

// IsZero reports whether p identifies no process.
func (p Process) IsZero() bool { return p == Process{} }

func (p Process) String() string {
	return fmt.Sprintf("%s@%s#%d", p.Host, p.Address, p.Incarnation)
}
