package director

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"apricotspool/messenger"
	"apricotspool/namer"
)

// Procedure is the path on the peer listener of the call that returns the identity of the process.
const Procedure = "/peer/instance"

// InstanceRequest requests the identity of a process.
type InstanceRequest struct {
	_ struct{} `cbor:",toarray"`
}

// PeerInstanceLookup looks up the process at a peer address by calling that address. A process holds its
// peer address until it ends, so a newer instance that responds there proves that the earlier one has
// ended.
type PeerInstanceLookup struct {
	Client *messenger.Client
}

var _ InstanceLookup = PeerInstanceLookup{}

// Instance implements InstanceLookup.
func (l PeerInstanceLookup) Instance(ctx context.Context, address netip.AddrPort) (namer.Process, error) {
	process, err := messenger.Call[InstanceRequest, namer.Process](ctx, l.Client, address, Procedure, &InstanceRequest{})
	if err != nil {
		return namer.Process{}, errors.Wrapf(err, "get identity of the process at %s", address)
	}
	return *process, nil
}

// InstanceHandler returns the path and handler that serve the identity of a process on its peer listener.
func InstanceHandler(process namer.Process) (path string, handler http.Handler) {
	return messenger.Handler(Procedure, func(context.Context, *InstanceRequest) (*namer.Process, error) {
		return &process, nil
	})
}
