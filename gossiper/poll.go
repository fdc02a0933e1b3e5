package gossiper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"apricotspool/lister"
)

// Limits of the time between two load reports of one endpoint.
const (
	minPollPeriod = time.Second
	maxPollPeriod = 4 * time.Second
)

// PollPeriod returns the time between two load reports of one endpoint in a data centre with a number
// of endpoints. Each daemon gets every report of its data centre, so the period grows with their
// number to keep its traffic within the budget of 5 KB/s; it is 2 s at 123 endpoints.
func PollPeriod(endpoints int) time.Duration {
	return min(max(time.Duration(endpoints)*16*time.Millisecond, minPollPeriod), maxPollPeriod)
}

// hostListPeriod is the time between two readings of the host list by the daemons that read it.
const hostListPeriod = 2 * time.Second

// hostListReaders is the number of daemons of a data centre that read the host list.
const hostListReaders = 2

// hostListSettle is the age that a notice from the host list has before the list can withdraw it.
// The list lags, and not equally for both readers; without a delay they would contradict each other.
const hostListSettle = 30 * time.Second

// pollers bounds the polls that one daemon has open.
const pollers = 16

func (g *Gossiper) pollPeriod() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return PollPeriod(len(g.table.places.own))
}

// poll asks every endpoint of this daemon's duty for its load.
func (g *Gossiper) poll(ctx context.Context) {
	var duties []Duty
	g.update(func(now time.Time, t *Table) { duties = t.Duties(now) })
	ctx, cancel := context.WithTimeout(ctx, maxPollPeriod)
	defer cancel()
	slots := make(chan struct{}, pollers)
	var polls sync.WaitGroup
	for _, d := range duties {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			g.pollOne(ctx, d)
		})
	}
	polls.Wait()
}

func (g *Gossiper) pollOne(ctx context.Context, d Duty) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := g.Poller.Poll(callCtx, d)
	if err != nil {
		g.Metrics.Counter("apricotspool_load_polls_failed_total").Inc()
		return
	}
	l.Endpoint = d.Endpoint
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.Report(now, l) })
	g.push(context.WithoutCancel(ctx), fresh, SpreadAll)
}

// readHosts reads the host list when this daemon is among those that do, and turns it into notices
// on hosts and on the endpoints at their addresses, and into seeds.
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
	g.update(func(now time.Time, t *Table) { fresh = t.Hosts(now, hosts) })
	g.push(context.WithoutCancel(ctx), fresh, SpreadAll)
}

// Hosts takes the host list. The list lags, so a host that it doesn't name changes nothing.
func (t *Table) Hosts(now time.Time, hosts []lister.Host) []Notice {
	t.start(now)
	leaving := make(map[netip.Addr]bool, len(hosts))
	var fresh []Notice
	for _, h := range hosts {
		leaves := h.State == lister.Leaving
		leaving[h.Address] = leaves
		fresh = append(fresh, t.listed(now, KindHost, string(h.Name), leaves)...)
		if h.Peer.IsValid() {
			t.seed(h.Peer)
		}
	}
	for name, address := range t.places.all {
		if leaves, listed := leaving[address.Addr()]; listed {
			fresh = append(fresh, t.listed(now, KindEndpoint, string(name), leaves)...)
		}
	}
	return fresh
}

func (t *Table) listed(now time.Time, kind Kind, name string, leaves bool) []Notice {
	subject := Subject{Kind: kind, Name: name, Source: SourceHostList}
	if !leaves && now.Sub(time.UnixMicro(int64(t.notices[subject].Stamp))) < hostListSettle {
		return nil
	}
	return t.Found(now, subject, leaves)
}
