// Package lister is the interface to the platform's host list: which hosts are live and which are
// leaving. The list lags. Client reads it over HTTP. Contract tests for any implementation are in
// lister/listertest. The package owns no state beyond its connections.
package lister

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"apricotspool/namer"
)

// State is what the platform says about a host.
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
	return errors.Errorf("host state %q does not exist; allowed are %q and %q", text, Live, Leaving)
}

// Host is one entry of the list: a host of ours or one of endpoints.
type Host struct {
	Name       namer.Host       `json:"name"`
	DataCentre namer.DataCentre `json:"data-centre"`
	Address    netip.Addr       `json:"address"`
	State      State            `json:"state"`
	// Peer is the peer listener of a host that runs a daemon.
	Peer netip.AddrPort `json:"peer,omitzero"`
}

// Lister reads the host list.
type Lister interface {
	// Hosts returns the list in the order of names, or ErrUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}

// ErrUnavailable means that the list could not be read.
var ErrUnavailable = errors.New("host list could not be read")
