package distributor

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"apricotspool/configurer"
	"apricotspool/gossiper"
	"apricotspool/namer"
)

// push announces a version to peers in the background, at most once per version.
func (d *Distributor) push(ctx context.Context, message Announcement, remoteFanout int) {
	d.mu.Lock()
	if d.disablePush || message.Version <= d.lastPushed {
		d.mu.Unlock()
		return
	}
	d.lastPushed = message.Version
	peers := d.Members.View().PushTargets(d.random, gossiper.PushFanoutLocal, remoteFanout)
	d.mu.Unlock()
	ctx = context.WithoutCancel(ctx) // the caller of a commit may have disconnected
	for _, p := range peers {
		d.background.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, err := d.Transport.Announce(ctx, p.Address, &message)
			d.countCall("announce", err)
		})
	}
}

const fanoutAll = gossiper.PushFanoutAll

func (d *Distributor) countCall(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	d.Metrics.Counter(`apricotspool_peer_calls_total{call="` + kind + `",result="` + result + `"}`).Inc()
}

// Announce handles a push. It forwards the message before it builds the version, so that build times
// do not add up over the hops of the propagation.
func (d *Distributor) Announce(ctx context.Context, message *Announcement) (*Ack, error) {
	d.init()
	if message.Version <= d.version() || len(message.Entries) == 0 {
		return &Ack{}, nil
	}
	if message.Entries[len(message.Entries)-1].Version != message.Version {
		return nil, errors.New("last entry of the announcement does not have the announced version")
	}
	if _, ok := entriesAfter(message.Entries, d.version()); ok {
		d.push(ctx, *message, gossiper.PushFanoutRemote)
	}
	if !d.applyEntries(message.Entries, "announce") {
		d.NotifyNewerVersion(message.Version, message.From)
	}
	return &Ack{}, nil
}

// applyEntries activates the last entry's version if the entries continue from the active version. It
// reports whether that version, or a higher one, is active afterwards.
func (d *Distributor) applyEntries(entries []Entry, source string) bool {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	if len(entries) == 0 {
		return false
	}
	last := entries[len(entries)-1].Version
	s := d.Snapshot()
	if s == nil {
		return false // bootstrap chooses the first version
	}
	if s.Version() >= last {
		return true
	}
	entries, ok := entriesAfter(entries, s.Version())
	if !ok {
		return false
	}
	next, err := advance(s.Document(), entries)
	if err != nil {
		d.Log.Error().Err(err).Msg("configuration-diverged")
		return false
	}
	return d.adopt(next, entries, source)
}

// NotifyNewerVersion reports that a peer has a higher version, to be fetched in the background. It does not block.
func (d *Distributor) NotifyNewerVersion(version namer.ConfigVersion, peer netip.AddrPort) {
	d.init()
	if version <= d.version() || d.disableRepair {
		return
	}
	reported := peerVersion{version, peer}
	for {
		select {
		case d.peerVersions <- reported:
			return
		case old := <-d.peerVersions:
			if old.version > reported.version {
				reported = old
			}
		}
	}
}

// repair fetches versions that were missed because pushes were lost.
func (d *Distributor) repair(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case reported := <-d.peerVersions:
			if reported.version > d.version() {
				if err := d.catchUp(ctx, reported.peer); err != nil {
					d.Log.Warn().Err(err).Str("peer", reported.peer.String()).Msg("fetch-failed")
				}
			}
		}
	}
}

// catchUp fetches and activates a peer's version, and pushes it to other peers.
func (d *Distributor) catchUp(ctx context.Context, peer netip.AddrPort) error {
	reply, err := d.callFetch(ctx, peer, FetchRequest{Since: d.version()})
	if err != nil || reply.Version <= d.version() {
		return err
	}
	if len(reply.Entries) > 0 && d.applyEntries(reply.Entries, "fetch") {
		d.push(ctx, Announcement{Version: reply.Version, From: d.Self.Address, Entries: reply.Entries}, gossiper.PushFanoutRemote)
		return nil
	}
	if len(reply.Document) == 0 {
		// The entries do not continue from the active version: this daemon diverged, or has since
		// activated another version.
		if reply, err = d.callFetch(ctx, peer, FetchRequest{}); err != nil {
			return err
		}
	}
	if err := d.applyDocument(reply, "fetch"); err != nil {
		return err
	}
	message := Announcement{Version: reply.Version, From: d.Self.Address, Entries: []Entry{{Version: reply.Version}}}
	d.push(ctx, message, gossiper.PushFanoutRemote)
	return nil
}

func (d *Distributor) callFetch(ctx context.Context, peer netip.AddrPort, request FetchRequest) (*FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := d.Transport.Fetch(ctx, peer, &request)
	d.countCall("fetch", err)
	return reply, err
}

// applyDocument verifies and activates a fetched document.
func (d *Distributor) applyDocument(reply *FetchReply, source string) error {
	if configurer.DigestOf(reply.Document) != reply.Digest {
		return errors.Wrapf(errDiverged, "document of version %d", reply.Version)
	}
	document, err := configurer.Parse(reply.Document)
	if err != nil {
		return errors.Wrapf(err, "document of version %d", reply.Version)
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.adopt(configurer.NewSnapshot(reply.Version, document), nil, source)
	return nil
}

// Fetch returns the active configuration to a peer.
func (d *Distributor) Fetch(_ context.Context, request *FetchRequest) (*FetchReply, error) {
	d.init()
	d.mu.Lock()
	s, recent := d.current.Load(), d.recent
	d.mu.Unlock()
	if s == nil {
		return &FetchReply{}, nil
	}
	reply := &FetchReply{Version: s.Version(), Digest: s.Digest()}
	if request.VersionOnly || request.Since >= s.Version() {
		return reply, nil
	}
	if entries, ok := entriesAfter(recent, request.Since); ok && request.Since > 0 {
		reply.Entries = entries
		return reply, nil
	}
	reply.Document = s.Document().Encode()
	return reply, nil
}
