package gossiper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"apricotspool/lister"
)

// Limits of the poll period of an endpoint.
const (
	minPollPeriod = time.Second
	maxPollPeriod = 4 * time.Second
)

// PollPeriod returns the time between two polls of an endpoint in a data centre with the given number
// of endpoints. Every daemon receives all loads of its data centre, so the period grows with their
// number to keep the traffic per daemon within 5 KB/s; it is 2 s at 123 endpoints.
func PollPeriod(endpoints int) time.Duration {
	return min(max(time.Duration(endpoints)*16*time.Millisecond, minPollPeriod), maxPollPeriod)
}

// hostListPeriod is the time between two reads of the host list by a daemon that is assigned to it.
const hostListPeriod = 2 * time.Second

// hostListReaders is the number of daemons per data centre that read the host list.
const hostListReaders = 2

// hostListWithdrawDelay is the minimum age of a notice from the host list before the list can withdraw
// it. The list is eventually consistent and its readers see different lag; without a delay they would
// keep reverting each other's notices.
const hostListWithdrawDelay = 30 * time.Second

// maxConcurrentPolls bounds the polls that a daemon has in flight.
const maxConcurrentPolls = 16

func (g *Gossiper) pollPeriod() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return PollPeriod(len(g.table.endpoints.local))
}

// poll polls every endpoint assigned to this daemon.
func (g *Gossiper) poll(ctx context.Context) {
	var targets []PollTarget
	g.update(func(now time.Time, t *Table) { targets = t.PollTargets(now) })
	ctx, cancel := context.WithTimeout(ctx, maxPollPeriod)
	defer cancel()
	slots := make(chan struct{}, maxConcurrentPolls)
	var polls sync.WaitGroup
	for _, target := range targets {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			g.pollOne(ctx, target)
		})
	}
	polls.Wait()
}

func (g *Gossiper) pollOne(ctx context.Context, target PollTarget) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := g.Poller.Poll(callCtx, target)
	if err != nil {
		g.Metrics.Counter("apricotspool_load_polls_failed_total").Inc()
		return
	}
	l.Endpoint = target.Endpoint
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.AddLoad(now, l) })
	g.push(context.WithoutCancel(ctx), fresh, PushFanoutAll)
}

// readHosts reads the host list if this daemon is assigned to it, and derives from it notices on hosts
// and on the endpoints at their addresses, as well as seeds.
func (g *Gossiper) readHosts(ctx context.Context) {
	if !g.View().Chosen("host-list", hostListReaders) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	hosts, err := g.Hosts.Hosts(callCtx)
	if err != nil {
		g.Metrics.Counter("apricotspool_host_list_failed_total").Inc()
		return
	}
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.MergeHostList(now, hosts) })
	g.push(context.WithoutCancel(ctx), fresh, PushFanoutAll)
}

// MergeHostList updates notices and seeds from the host list and returns the notices to announce. The
// list may be stale, so the absence of a host has no effect.
func (t *Table) MergeHostList(now time.Time, hosts []lister.Host) []Notice {
	t.ensureInit(now)
	leaving := make(map[netip.Addr]bool, len(hosts))
	var fresh []Notice
	for _, h := range hosts {
		leaves := h.State == lister.Leaving
		leaving[h.Address] = leaves
		fresh = append(fresh, t.observeHostList(now, KindHost, string(h.Name), leaves)...)
		if h.Peer.IsValid() {
			t.addSeed(h.Peer)
		}
	}
	for name, address := range t.endpoints.addresses {
		if leaves, listed := leaving[address.Addr()]; listed {
			fresh = append(fresh, t.observeHostList(now, KindEndpoint, string(name), leaves)...)
		}
	}
	return fresh
}

func (t *Table) observeHostList(now time.Time, kind Kind, name string, leaves bool) []Notice {
	subject := Subject{Kind: kind, Name: name, Source: SourceHostList}
	if !leaves && now.Sub(time.UnixMicro(int64(t.notices[subject].Stamp))) < hostListWithdrawDelay {
		return nil
	}
	return t.Observe(now, subject, leaves)
}
