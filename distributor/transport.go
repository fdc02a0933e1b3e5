package distributor

import (
	"context"
	"net/http"
	"net/netip"

	"apricotspool/configurer"
	"apricotspool/messenger"
	"apricotspool/namer"
)

// Announcement pushes a new version. The messages are CBOR arrays; fields may only be added at the end.
type Announcement struct {
	_       struct{} `cbor:",toarray"`
	Version namer.ConfigVersion
	From    netip.AddrPort // a daemon that has the version
	Entries []Entry        // the last ones; a receiver that lacks earlier ones fetches
}

// Ack answers an Announcement.
type Ack struct {
	_ struct{} `cbor:",toarray"`
}

// FetchRequest asks a daemon for its configuration.
type FetchRequest struct {
	_       struct{}            `cbor:",toarray"`
	Since   namer.ConfigVersion // version that the sender has
	Version bool                // asks only for the version
}

// FetchReply answers a FetchRequest with the entries since the version asked for or, when it no
// longer has them all, with the document.
type FetchReply struct {
	_        struct{}            `cbor:",toarray"`
	Version  namer.ConfigVersion // 0 when the daemon has no configuration yet
	Digest   configurer.Digest
	Entries  []Entry
	Document []byte
}

// Procedures on the peer listener.
const (
	announceProcedure = "/peer/announce"
	fetchProcedure    = "/peer/fetch"
)

// Transport carries messages to other daemons.
type Transport interface {
	Announce(ctx context.Context, to netip.AddrPort, message *Announcement) (*Ack, error)
	Fetch(ctx context.Context, to netip.AddrPort, message *FetchRequest) (*FetchReply, error)
}

// Client is the Transport over connect.
type Client struct{ Messenger *messenger.Client }

var _ Transport = (*Client)(nil)

// Announce pushes a version to a daemon.
func (c *Client) Announce(ctx context.Context, to netip.AddrPort, message *Announcement) (*Ack, error) {
	return messenger.Call[Announcement, Ack](ctx, c.Messenger, to, announceProcedure, message)
}

// Fetch gets the configuration of a daemon.
func (c *Client) Fetch(ctx context.Context, to netip.AddrPort, message *FetchRequest) (*FetchReply, error) {
	return messenger.Call[FetchRequest, FetchReply](ctx, c.Messenger, to, fetchProcedure, message)
}

// Handlers returns the handlers to mount on the peer listener, by path.
func (d *Distributor) Handlers() map[string]http.Handler {
	handlers := map[string]http.Handler{}
	path, handler := messenger.Handler(announceProcedure, d.Announce)
	handlers[path] = handler
	path, handler = messenger.Handler(fetchProcedure, d.Fetch)
	handlers[path] = handler
	return handlers
}
