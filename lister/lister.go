// Package lister defines the interface to the platform's host list, which distinguishes live hosts from
// leaving ones and is eventually consistent. Client reads the list over HTTP. Package lister/listertest has
// contract tests for implementations. The package owns no state beyond its connections.
package lister

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// State is the state of a host as the platform reports it.
type State string

// The states of a host.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// UnmarshalText accepts only the known states.
func (s *State) UnmarshalText(text []byte) error {
	switch state := State(text); state {
	case Live, Leaving:
		*s = state
		return nil
	}
	return errors.Errorf("unknown host state %q; must be %q or %q", text, Live, Leaving)
}

// Host is an entry of the list: a host that runs a daemon or one that runs endpoints.
type Host struct {
	Name       namer.Host       `json:"name"`
	DataCentre namer.DataCentre `json:"data-centre"`
	Address    netip.Addr       `json:"address"`
	State      State            `json:"state"`
	// Peer is the address of the peer listener, if the host runs a daemon.
	Peer netip.AddrPort `json:"peer,omitzero"`
}

// Lister reads the host list.
type Lister interface {
	// Hosts returns the list sorted by name, or ErrUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("host list could not be read")
