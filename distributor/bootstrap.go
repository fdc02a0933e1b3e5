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

// bootstrapPeers is the number of peers that a restarting daemon asks besides the platform.
const bootstrapPeers = 3

// bootstrap brings the greatest version among the platform and a few peers into force. It asks all
// and waits for each answer or failure, so that a peer that lags doesn't win by answering first.
func (d *Distributor) bootstrap(ctx context.Context) error {
	var delay backoff
	for d.Snapshot() == nil {
		err := d.bootstrapOnce(ctx)
		if err == nil {
			break
		}
		d.Log.Warn().Err(err).Msg("no-configuration-yet")
		if !d.awaitNews(ctx, delay.next(d.jitter)) {
			return ctx.Err()
		}
	}
	return nil
}

// awaitNews waits before the next attempt, and ends early when a peer that has a configuration has
// shown up. It reports whether ctx is still valid.
func (d *Distributor) awaitNews(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case n := <-d.news:
		if err := d.bootstrapWith(ctx, n.at); err != nil {
			return sleep(ctx, minDelay)
		}
	}
	return ctx.Err() == nil
}

func (d *Distributor) bootstrapOnce(ctx context.Context) error {
	var asked sync.WaitGroup
	var h head
	var storeErr error
	asked.Go(func() { _, h, storeErr = d.readHead(ctx) })
	replies := make([]*FetchReply, bootstrapPeers)
	peers := d.bootstrapFrom()
	for i, at := range peers {
		asked.Go(func() {
			if reply, err := d.ask(ctx, at, FetchRequest{Version: true}); err == nil && reply.Version > 0 {
				replies[i] = reply
			}
		})
	}
	asked.Wait()
	best := -1
	for i, reply := range replies {
		if reply != nil && (best < 0 || reply.Version > replies[best].Version) {
			best = i
		}
	}
	if best >= 0 && (storeErr != nil || replies[best].Version > h.Version) {
		return d.bootstrapWith(ctx, peers[best])
	}
	if storeErr != nil {
		return errors.Wrap(storeErr, "no peer has a configuration")
	}
	err := d.bootstrapFromStore(ctx, h)
	if err != nil && best >= 0 {
		return d.bootstrapWith(ctx, peers[best])
	}
	return err
}

func (d *Distributor) bootstrapFromStore(ctx context.Context, h head) error {
	first, err := d.load(ctx, h)
	if err != nil {
		return err
	}
	d.applying.Lock()
	defer d.applying.Unlock()
	d.adopt(first, h.Tail, "store")
	return nil
}

func (d *Distributor) bootstrapWith(ctx context.Context, at netip.AddrPort) error {
	reply, err := d.ask(ctx, at, FetchRequest{})
	if err != nil {
		return err
	}
	return d.take(reply, "peer")
}

// bootstrapFrom returns the addresses to ask: known members first, then seeds.
func (d *Distributor) bootstrapFrom() []netip.AddrPort {
	if d.withoutPeers {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []netip.AddrPort
	for _, p := range d.Members.View().PushTargets(d.random, bootstrapPeers, gossiper.PushFanoutAll) {
		addresses = append(addresses, p.Address)
	}
	for _, i := range d.random.Perm(len(d.Seeds)) {
		if seed := d.Seeds[i]; seed != d.Self.Address && !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses[:min(bootstrapPeers, len(addresses))]
}
