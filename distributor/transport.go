package distributor

import (
	"context"
	"net/http"
	"net/netip"

	"apricotspool/configurer"
	"apricotspool/messenger"
	"apricotspool/namer"
)

// Announcement pushes a new version. Messages are CBOR arrays, so fields may only be appended.
type Announcement struct {
	_       struct{} `cbor:",toarray"`
	Version namer.ConfigVersion
	From    netip.AddrPort // a daemon from which the version can be fetched
	Entries []Entry        // latest entries; a receiver that lacks earlier ones fetches them
}

// Ack is the reply to an Announcement.
type Ack struct {
	_ struct{} `cbor:",toarray"`
}

// FetchRequest requests the active configuration of a daemon.
type FetchRequest struct {
	_           struct{}            `cbor:",toarray"`
	Since       namer.ConfigVersion // active version of the sender
	VersionOnly bool                // requests the version without entries or document
}

// FetchReply is the reply to a FetchRequest: the entries since the requested version or, if they are no
// longer all available, the document.
type FetchReply struct {
	_        struct{}            `cbor:",toarray"`
	Version  namer.ConfigVersion // 0 if the daemon has no configuration yet
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

// Client implements Transport over Connect.
type Client struct{ Messenger *messenger.Client }

var _ Transport = (*Client)(nil)

// Announce pushes a version to a peer.
func (c *Client) Announce(ctx context.Context, to netip.AddrPort, message *Announcement) (*Ack, error) {
	return messenger.Call[Announcement, Ack](ctx, c.Messenger, to, announceProcedure, message)
}

// Fetch requests the configuration of a peer.
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
