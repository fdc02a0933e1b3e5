package director

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"apricotspool/messenger"
	"apricotspool/namer"
)

// Procedure is the path of the call on the peer listener that asks which process answers there.
const Procedure = "/peer/instance"

// InstanceRequest asks a process for its identity.
type InstanceRequest struct {
	_ struct{} `cbor:",toarray"`
}

// PeerWitness asks for the process at a peer address over that address. A process holds its peer
// address until it ends, so a newer instance that answers there proves that the earlier one is gone.
type PeerWitness struct {
	Client *messenger.Client
}

var _ Witness = PeerWitness{}

// Instance returns the process that holds a peer address.
func (w PeerWitness) Instance(ctx context.Context, address netip.AddrPort) (namer.Process, error) {
	process, err := messenger.Call[InstanceRequest, namer.Process](ctx, w.Client, address, Procedure, &InstanceRequest{})
	if err != nil {
		return namer.Process{}, errors.Wrapf(err, "ask for the process at %s", address)
	}
	return *process, nil
}

// InstanceHandler serves the identity of a process on its peer listener.
func InstanceHandler(process namer.Process) (path string, handler http.Handler) {
	return messenger.Handler(Procedure, func(context.Context, *InstanceRequest) (*namer.Process, error) {
		return &process, nil
	})
}
