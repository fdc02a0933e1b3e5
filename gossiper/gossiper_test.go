package gossiper_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/configurer"
	"apricotspool/gossiper"
	"apricotspool/imitator"
	"apricotspool/lister"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/recorder"
)

// memoryTransport delivers messages between gossipers of one process over a simulated network.
type memoryTransport struct {
	network *imitator.Network
	from    netip.AddrPort
	peers   map[netip.AddrPort]*gossiper.Gossiper
}

func (t memoryTransport) Exchange(ctx context.Context, to netip.AddrPort, message *gossiper.Exchange) (reply *gossiper.Reply, err error) {
	err = t.network.Call(ctx, t.from, to, func() error { reply, err = t.peers[to].Exchange(ctx, message); return err })
	return reply, err
}

func (t memoryTransport) AnnounceLeaving(ctx context.Context, to netip.AddrPort, message *gossiper.Notices) (ack *gossiper.Ack, err error) {
	err = t.network.Call(ctx, t.from, to, func() error {
		if other, ok := t.peers[to]; ok {
			ack, err = other.AnnounceLeaving(ctx, message)
		}
		return err
	})
	return ack, err
}

type fixedConfiguration struct{ snapshot *configurer.Snapshot }

func (f fixedConfiguration) Snapshot() *configurer.Snapshot { return f.snapshot }

// fakePoller returns the leaving state set by a test.
type fakePoller struct {
	unresponsive namer.Endpoint // doesn't respond to polls
	mu           sync.Mutex     // guards leaving
	leaving      map[namer.Endpoint]bool
}

func (p *fakePoller) Poll(_ context.Context, target gossiper.PollTarget) (gossiper.Load, error) {
	if target.Endpoint == p.unresponsive {
		return gossiper.Load{}, errors.New("endpoint does not respond")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return gossiper.Load{Running: 1, Leaving: p.leaving[target.Endpoint]}, nil
}

func (p *fakePoller) set(name namer.Endpoint, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = map[namer.Endpoint]bool{name: leaving}
}

// startGossipers runs gossipers in the caller's synctest bubble until stop is called.
func startGossipers(t *testing.T, n, centres int, network *imitator.Network, poller gossiper.Poller, hosts lister.Lister, prepare func(*gossiper.Gossiper)) (all []*gossiper.Gossiper, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	peers := map[netip.AddrPort]*gossiper.Gossiper{}
	s := snapshot(t, 1, centres, 2*n)
	var running sync.WaitGroup
	for i := range n {
		g := &gossiper.Gossiper{
			Self: peer(i, centres), Incarnation: namer.NewIncarnation(time.Now()), Seeds: []netip.AddrPort{address(0), address(1), address(2)},
			Transport: memoryTransport{network, address(i), peers}, Configuration: fixedConfiguration{s}, Poller: poller, Hosts: hosts,
			Random: uint64(i), Metrics: recorder.NewMetrics(), Log: zerolog.Nop(),
		}
		prepare(g)
		peers[address(i)] = g
		all = append(all, g)
	}
	for _, g := range all {
		running.Go(func() { g.Run(ctx) })
	}
	return all, func() { cancel(); running.Wait() }
}

// timeUntilKnown waits until all gossipers see an endpoint as leaving and returns the time that took, at most limit.
func timeUntilKnown(all []*gossiper.Gossiper, s *configurer.Snapshot, name namer.Endpoint, limit time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		known := 0
		for _, g := range all {
			if g.View().Leaving(s, name) {
				known++
			}
		}
		if known == len(all) {
			return passed
		}
		time.Sleep(step)
	}
	return limit
}

// Guards against an endpoint that gets new work more than 3 s after it was first seen leaving. With push
// alone, daemons that miss a message are never notified; with exchanges alone, a notice takes several rounds.
func TestLeavingEndpointIsKnownEverywhere(t *testing.T) {
	nothing := func(*gossiper.Gossiper) {}
	for _, c := range []struct {
		name    string
		loss    float64
		prepare func(*gossiper.Gossiper)
		inRange func(time.Duration) bool
	}{
		{"all mechanisms", 0, nothing, func(d time.Duration) bool { return d < 100*time.Millisecond }},
		{"all mechanisms, a third of messages lost", 0.33, nothing, func(d time.Duration) bool { return d < 3*time.Second }},
		{"exchange alone", 0, (*gossiper.Gossiper).DisablePush, func(d time.Duration) bool { return d > 500*time.Millisecond && d < 20*time.Second }},
		{"push alone, all messages lost at first", 1, (*gossiper.Gossiper).DisableExchange, func(d time.Duration) bool { return d == 30*time.Second }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				network := &imitator.Network{Delay: time.Millisecond, Seed: 5}
				// A poll would withdraw the announcement, since the endpoint's own report takes precedence.
				all, stop := startGossipers(t, 24, 3, network, &fakePoller{unresponsive: endpoint(3)}, nil, c.prepare)
				defer stop()
				time.Sleep(20 * time.Second)
				network.SetLossRate(c.loss)
				all[7].Announce(t.Context(), endpoint(3), true)
				if c.loss == 1 {
					time.Sleep(time.Second)
					network.SetLossRate(0)
				}
				took := timeUntilKnown(all, snapshot(t, 1, 3, 48), endpoint(3), 30*time.Second)
				t.Log("known everywhere after", took)
				is.True(c.inRange(took))
			})
		})
	}
}

// Guards against a leaving state, polled from the endpoint or read from the host list by assigned
// daemons, that doesn't reach all daemons, and against a stale host list that overrides the endpoint.
func TestLeavingIsDetectedByPollAndHostList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := &imitator.Hosts{Lag: 10 * time.Second}
		hosts.Set([]lister.Host{{Name: "e", Address: address(10_001).Addr(), State: lister.Live}})
		poller := &fakePoller{}
		all, stop := startGossipers(t, 6, 2, &imitator.Network{Delay: time.Millisecond}, poller, hosts, func(*gossiper.Gossiper) {})
		defer stop()
		s := snapshot(t, 1, 2, 12)
		time.Sleep(20 * time.Second)
		poller.set(endpoint(1), true) // the host list still shows its host as live
		is.True(timeUntilKnown(all, s, endpoint(1), 10*time.Second) < gossiper.PollPeriod(6)+time.Second)
		poller.set(endpoint(1), false)
		time.Sleep(5 * time.Second)
		is.True(!all[0].View().Leaving(s, endpoint(1)))
		hosts.Set([]lister.Host{{Name: "e", Address: address(10_001).Addr(), State: lister.Leaving}})
		is.True(timeUntilKnown(all, s, endpoint(1), 20*time.Second) < 13*time.Second) // 10 s of lag, then at most 3 s
		is.Equal(len(all[0].View().Loads), 6)
	})
}

// Guards against a daemon that shuts down but stays eligible for assignments until it is suspected.
func TestLeavingDaemonIsExcludedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all, stop := startGossipers(t, 4, 1, &imitator.Network{Delay: time.Millisecond}, &fakePoller{}, nil, func(*gossiper.Gossiper) {})
		defer stop()
		time.Sleep(10 * time.Second)
		all[2].Leave(t.Context())
		for _, g := range all {
			is.Equal(len(g.View().Live()), 3)
		}
	})
}

// Guards against messages that are not transmitted unchanged over HTTP, and exchanges without a sender.
func TestExchangeOverHTTP(t *testing.T) {
	is := is.New(t)
	s := snapshot(t, 1, 1, 4)
	remote := &gossiper.Gossiper{Self: peer(1, 1), Incarnation: 1, Transport: memoryTransport{network: &imitator.Network{}}, Configuration: fixedConfiguration{s}, Metrics: recorder.NewMetrics(), Log: zerolog.Nop()}
	mux := http.NewServeMux()
	for path, handler := range remote.Handlers() {
		mux.Handle(path, handler)
	}
	server := httptest.NewServer(mux)
	defer server.Close()
	to := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := &gossiper.Client{Messenger: &messenger.Client{HTTP: server.Client(), Scheme: "http"}}
	local := &gossiper.Table{Self: peer(0, 1), Incarnation: 1, Random: newFleet(t, 1, 1, 0).random}
	now := time.Now()
	local.AddLoad(now, gossiper.Load{Endpoint: endpoint(0), Running: 3, Leaving: true})
	reply, err := client.Exchange(t.Context(), to, local.OpenExchange(now, gossiper.Target{Address: to}))
	is.NoErr(err)
	local.HandleReply(now, gossiper.Target{Address: to}, reply)
	is.Equal(len(local.View(now).Members), 2)
	is.Equal(remote.View().Self, peer(1, 1))
	_, err = client.AnnounceLeaving(t.Context(), to, &gossiper.Notices{Notices: []gossiper.Notice{{Subject: gossiper.Subject{Name: string(endpoint(0))}, Stamp: uint64(now.UnixMicro()), Leaving: true}}})
	is.NoErr(err)
	is.True(remote.View().Leaving(s, endpoint(0)))
	is.Equal(remote.View().Loads[endpoint(0)].Running, 3)
	_, err = client.Exchange(t.Context(), to, &gossiper.Exchange{})
	is.True(err != nil) // an exchange without a sender is rejected
}
