package gossiper

import (
	"context"
	"net/http"
	"net/netip"

	"apricotspool/messenger"
)

// Procedures served on the peer listener.
const (
	exchangeProcedure = "/peer/exchange"
	leavingProcedure  = "/peer/announce-leaving"
)

// Client is a Transport over Connect.
type Client struct{ Messenger *messenger.Client }

var _ Transport = (*Client)(nil)

// Exchange opens an exchange with the daemon at an address.
func (c *Client) Exchange(ctx context.Context, to netip.AddrPort, message *Exchange) (*Reply, error) {
	return messenger.Call[Exchange, Reply](ctx, c.Messenger, to, exchangeProcedure, message)
}

// AnnounceLeaving pushes notices to the daemon at an address.
func (c *Client) AnnounceLeaving(ctx context.Context, to netip.AddrPort, message *Notices) (*Ack, error) {
	return messenger.Call[Notices, Ack](ctx, c.Messenger, to, leavingProcedure, message)
}

// Handlers returns the handlers to mount on the peer listener, by path.
func (g *Gossiper) Handlers() map[string]http.Handler {
	handlers := map[string]http.Handler{}
	path, handler := messenger.Handler(exchangeProcedure, g.Exchange)
	handlers[path] = handler
	path, handler = messenger.Handler(leavingProcedure, g.AnnounceLeaving)
	handlers[path] = handler
	return handlers
}
