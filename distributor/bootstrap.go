package distributor

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"apricotspool/gossiper"
)

// maxBootstrapPeers is the number of peers that a starting daemon queries besides the object API.
const maxBootstrapPeers = 3

// bootstrap activates the highest version among the object API and a few peers. It waits for every
// response or failure, so that a peer that lags behind does not win by responding first.
func (d *Distributor) bootstrap(ctx context.Context) error {
	var delay backoff
	for d.Snapshot() == nil {
		err := d.bootstrapOnce(ctx)
		if err == nil {
			break
		}
		d.Log.Warn().Err(err).Msg("no-configuration-yet")
		if !d.waitBeforeRetry(ctx, delay.next(d.jitter)) {
			return ctx.Err()
		}
	}
	return nil
}

// waitBeforeRetry waits before the next attempt. When a peer reports a configuration in the meantime,
// it bootstraps from that peer at once. It reports whether ctx is still valid.
func (d *Distributor) waitBeforeRetry(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case reported := <-d.peerVersions:
		if err := d.bootstrapFromPeer(ctx, reported.peer); err != nil {
			return sleep(ctx, minDelay)
		}
	}
	return ctx.Err() == nil
}

func (d *Distributor) bootstrapOnce(ctx context.Context) error {
	var queries sync.WaitGroup
	var h head
	var storeErr error
	queries.Go(func() { _, h, storeErr = d.readHead(ctx) })
	replies := make([]*FetchReply, maxBootstrapPeers)
	peers := d.bootstrapAddresses()
	for i, peer := range peers {
		queries.Go(func() {
			if reply, err := d.callFetch(ctx, peer, FetchRequest{VersionOnly: true}); err == nil && reply.Version > 0 {
				replies[i] = reply
			}
		})
	}
	queries.Wait()
	best := -1
	for i, reply := range replies {
		if reply != nil && (best < 0 || reply.Version > replies[best].Version) {
			best = i
		}
	}
	if best >= 0 && (storeErr != nil || replies[best].Version > h.Version) {
		return d.bootstrapFromPeer(ctx, peers[best])
	}
	if storeErr != nil {
		return errors.Wrap(storeErr, "no peer has a configuration")
	}
	err := d.bootstrapFromStore(ctx, h)
	if err != nil && best >= 0 {
		return d.bootstrapFromPeer(ctx, peers[best])
	}
	return err
}

func (d *Distributor) bootstrapFromStore(ctx context.Context, h head) error {
	first, err := d.load(ctx, h)
	if err != nil {
		return err
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.adopt(first, h.Tail, "store")
	return nil
}

func (d *Distributor) bootstrapFromPeer(ctx context.Context, peer netip.AddrPort) error {
	reply, err := d.callFetch(ctx, peer, FetchRequest{})
	if err != nil {
		return err
	}
	return d.applyDocument(reply, "peer")
}

// bootstrapAddresses returns the peers to query: known members first, then seeds.
func (d *Distributor) bootstrapAddresses() []netip.AddrPort {
	if d.disableBootstrapPeers {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []netip.AddrPort
	for _, p := range d.Members.View().PushTargets(d.random, maxBootstrapPeers, gossiper.PushFanoutAll) {
		addresses = append(addresses, p.Address)
	}
	for _, i := range d.random.Perm(len(d.Seeds)) {
		if seed := d.Seeds[i]; seed != d.Self.Address && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses[:min(maxBootstrapPeers, len(addresses))]
}
