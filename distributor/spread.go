package distributor

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"apricotspool/configurer"
	"apricotspool/gossiper"
	"apricotspool/namer"
)

// push announces a version to peers, at most once for each version. It returns at once.
func (d *Distributor) push(ctx context.Context, message Announcement, remote int) {
	d.mu.Lock()
	if d.withoutPush || message.Version <= d.forwarded {
		d.mu.Unlock()
		return
	}
	d.forwarded = message.Version
	peers := d.Members.View().PushTargets(d.random, gossiper.PushFanoutLocal, remote)
	d.mu.Unlock()
	ctx = context.WithoutCancel(ctx) // a commit's caller may be gone
	for _, p := range peers {
		d.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, err := d.Transport.Announce(ctx, p.Address, &message)
			d.countCall("announce", err)
		})
	}
}

const gossiperAll = gossiper.PushFanoutAll

func (d *Distributor) countCall(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	d.Metrics.Counter(`apricotspool_peer_calls_total{call="` + kind + `",result="` + result + `"}`).Inc()
}

// Announce serves a push. It passes the message on before it builds the version, so that the time
// for that doesn't add up over the steps of an epidemic.
func (d *Distributor) Announce(ctx context.Context, message *Announcement) (*Ack, error) {
	d.init()
	if message.Version <= d.version() || len(message.Entries) == 0 {
		return &Ack{}, nil
	}
	if message.Entries[len(message.Entries)-1].Version != message.Version {
		return nil, errors.New("announcement does not end with its version")
	}
	if _, ok := entriesAfter(message.Entries, d.version()); ok {
		d.push(ctx, *message, gossiper.PushFanoutRemote)
	}
	if !d.follow(message.Entries, "announce") {
		d.Newer(message.Version, message.From)
	}
	return &Ack{}, nil
}

// follow brings entries into force when they lead on from the version in force. It reports whether
// the last entry's version is in force then.
func (d *Distributor) follow(entries []Entry, from string) bool {
	d.applying.Lock()
	defer d.applying.Unlock()
	if len(entries) == 0 {
		return false
	}
	last := entries[len(entries)-1].Version
	s := d.Snapshot()
	if s == nil {
		return false // bootstrap decides about the first version
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
	return d.adopt(next, entries, from)
}

// Newer says that a peer has a higher version. It doesn't block.
func (d *Distributor) Newer(version namer.ConfigVersion, at netip.AddrPort) {
	d.init()
	if version <= d.version() || d.withoutRepair {
		return
	}
	n := news{version, at}
	for {
		select {
		case d.news <- n:
			return
		case old := <-d.news:
			if old.version > n.version {
				n = old
			}
		}
	}
}

// repair fetches versions that pushes have missed.
func (d *Distributor) repair(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-d.news:
			if n.version > d.version() {
				if err := d.fetch(ctx, n.at); err != nil {
					d.Log.Warn().Err(err).Str("peer", n.at.String()).Msg("fetch-failed")
				}
			}
		}
	}
}

// fetch gets what a peer has beyond the version in force, and passes it on.
func (d *Distributor) fetch(ctx context.Context, at netip.AddrPort) error {
	reply, err := d.ask(ctx, at, FetchRequest{Since: d.version()})
	if err != nil || reply.Version <= d.version() {
		return err
	}
	if len(reply.Entries) > 0 && d.follow(reply.Entries, "fetch") {
		d.push(ctx, Announcement{Version: reply.Version, From: d.Self.Address, Entries: reply.Entries}, gossiper.PushFanoutRemote)
		return nil
	}
	if len(reply.Document) == 0 {
		// The entries don't lead on from here: this daemon diverged, or moved on meanwhile.
		if reply, err = d.ask(ctx, at, FetchRequest{}); err != nil {
			return err
		}
	}
	if err := d.take(reply, "fetch"); err != nil {
		return err
	}
	message := Announcement{Version: reply.Version, From: d.Self.Address, Entries: []Entry{{Version: reply.Version}}}
	d.push(ctx, message, gossiper.PushFanoutRemote)
	return nil
}

func (d *Distributor) ask(ctx context.Context, at netip.AddrPort, request FetchRequest) (*FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := d.Transport.Fetch(ctx, at, &request)
	d.countCall("fetch", err)
	return reply, err
}

// take brings a fetched document into force.
func (d *Distributor) take(reply *FetchReply, from string) error {
	if configurer.DigestOf(reply.Document) != reply.Digest {
		return errors.Wrapf(errDiverged, "document of version %d", reply.Version)
	}
	document, err := configurer.Parse(reply.Document)
	if err != nil {
		return errors.Wrapf(err, "document of version %d", reply.Version)
	}
	d.applying.Lock()
	defer d.applying.Unlock()
	d.adopt(configurer.NewSnapshot(reply.Version, document), nil, from)
	return nil
}

// Fetch serves the configuration in force to a peer.
func (d *Distributor) Fetch(_ context.Context, request *FetchRequest) (*FetchReply, error) {
	d.init()
	d.mu.Lock()
	s, recent := d.current.Load(), d.recent
	d.mu.Unlock()
	if s == nil {
		return &FetchReply{}, nil
	}
	reply := &FetchReply{Version: s.Version(), Digest: s.Digest()}
	if request.Version || request.Since >= s.Version() {
		return reply, nil
	}
	if entries, ok := entriesAfter(recent, request.Since); ok && request.Since > 0 {
		reply.Entries = entries
		return reply, nil
	}
	reply.Document = s.Document().Encode()
	return reply, nil
}
