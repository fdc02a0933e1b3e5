package distributor_test

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/configurer"
	"apricotspool/distributor"
	"apricotspool/gossiper"
	"apricotspool/imitator"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/storer"
)

// fault is a failure mode of a daemon's calls to the store.
type fault int

const (
	healthy      fault = iota
	unavailable        // fails at once, nothing applied
	hanging            // no response, nothing applied
	responseLost       // writes take effect, their responses are lost
	appliedLate        // writes take effect 5 s after the call has failed
)

// faultyStore injects faults into one daemon's calls to the store.
type faultyStore struct {
	storer.Store
	mu    sync.Mutex // guards fault
	fault fault
}

func (s *faultyStore) set(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *faultyStore) current() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// beforeRead delays a read and returns the error of the injected fault.
func (s *faultyStore) beforeRead(ctx context.Context) error {
	time.Sleep(2 * time.Millisecond)
	switch s.current() {
	case unavailable:
		return storer.ErrUnavailable
	case hanging:
		<-ctx.Done()
		return storer.ErrUnavailable
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) (storer.Object, error) {
	if err := s.beforeRead(ctx); err != nil {
		return storer.Object{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *faultyStore) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if err := s.beforeRead(ctx); err != nil {
		return storer.Page{}, err
	}
	return s.Store.List(ctx, prefix, after, limit)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, since storer.Version) (storer.Changes, error) {
	if err := s.beforeRead(ctx); err != nil {
		return storer.Changes{}, err
	}
	return s.Store.Watch(ctx, prefix, since)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, expect storer.Version) (storer.Object, error) {
	time.Sleep(2 * time.Millisecond)
	switch s.current() {
	case unavailable:
		return storer.Object{}, storer.ErrUnavailable
	case hanging:
		<-ctx.Done()
		return storer.Object{}, storer.ErrUncertain
	case responseLost:
		s.Store.Put(ctx, key, value, expect)
		return storer.Object{}, storer.ErrUncertain
	case appliedLate:
		time.AfterFunc(5*time.Second, func() { s.Store.Put(context.Background(), key, value, expect) })
		return storer.Object{}, storer.ErrUncertain
	}
	return s.Store.Put(ctx, key, value, expect)
}

// daemon is the gossiper and the distributor of one host.
type daemon struct {
	*distributor.Distributor
	gossip         *gossiper.Gossiper
	store          *faultyStore
	metrics        *recorder.Metrics
	address        netip.AddrPort
	highestVersion namer.ConfigVersion // highest version observed in this process
	stop           func()
}

// cluster runs the daemons of several data centres in virtual time.
type cluster struct {
	t       *testing.T
	network *imitator.Network
	store   *imitator.Store
	centres int
	seeds   []netip.AddrPort
	prepare func(*daemon)

	randomised bool
	failure    string

	mu      sync.RWMutex // guards the elements of daemons, which restarts replace
	daemons []*daemon
}

func newCluster(t *testing.T, n, centres int, prepare func(*daemon)) *cluster {
	c := &cluster{t: t, network: &imitator.Network{Delay: time.Millisecond, Seed: 7}, store: &imitator.Store{}, centres: centres, prepare: prepare, daemons: make([]*daemon, n)}
	for i := range min(n, 2*centres) {
		c.seeds = append(c.seeds, address(i))
	}
	for i := range n {
		c.start(i)
	}
	return c
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 8, byte(i >> 8), byte(i)}), 7400)
}

func centre(i int) namer.DataCentre { return namer.DataCentre(fmt.Sprintf("dc-%02d", i)) }

func (c *cluster) start(i int) *daemon {
	self := gossiper.Peer{Host: namer.Host(fmt.Sprintf("host-%03d", i)), DataCentre: centre(i % c.centres), Address: address(i)}
	m := recorder.NewMetrics()
	d := &daemon{store: &faultyStore{Store: c.store}, metrics: m, address: self.Address}
	d.Distributor = &distributor.Distributor{
		Self: self, Store: d.store, Transport: peerTransport{c, self.Address}, Seeds: c.seeds, Random: uint64(i), Metrics: m, Log: zerolog.Nop(),
	}
	d.gossip = &gossiper.Gossiper{
		Self: self, Incarnation: namer.NewIncarnation(time.Now()), Seeds: c.seeds, Transport: peerTransport{c, self.Address}, Configuration: d.Distributor,
		OnNewerConfig: d.NotifyNewerVersion, Random: uint64(i), Metrics: m, Log: zerolog.Nop(), Poller: zeroLoadPoller{},
	}
	d.Members = d.gossip
	c.prepare(d)
	c.mu.Lock()
	c.daemons[i] = d
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	go d.gossip.Run(ctx)
	go d.Run(ctx)
	d.stop = func() { cancel(); <-d.Done(); <-d.gossip.Done() }
	return d
}

// restart replaces a daemon with a new process of the same host.
func (c *cluster) restart(i int) *daemon {
	c.daemons[i].stop()
	return c.start(i)
}

func (c *cluster) stop() {
	for _, d := range c.daemons {
		d.stop()
	}
}

func (c *cluster) at(a netip.AddrPort) *daemon {
	c.mu.RLock()
	defer c.mu.RUnlock()
	i := int(a.Addr().As4()[2])<<8 | int(a.Addr().As4()[3])
	if i >= len(c.daemons) {
		return nil
	}
	return c.daemons[i]
}

type zeroLoadPoller struct{}

func (zeroLoadPoller) Poll(context.Context, gossiper.PollTarget) (gossiper.Load, error) {
	return gossiper.Load{}, nil
}

// peerTransport delivers messages between the daemons. It encodes and decodes them as on the network.
type peerTransport struct {
	c    *cluster
	from netip.AddrPort
}

func deliver[Req, Res any](t peerTransport, ctx context.Context, to netip.AddrPort, request *Req, serve func(*daemon, *Req) (*Res, error)) (*Res, error) {
	var reply Res
	err := t.c.network.Call(ctx, t.from, to, func() error {
		receiver := t.c.at(to)
		if receiver == nil {
			return imitator.ErrNoResponse
		}
		var copied Req
		if err := copyEncoded(request, &copied); err != nil {
			return err
		}
		served, err := serve(receiver, &copied)
		if err != nil {
			return err
		}
		return copyEncoded(served, &reply)
	})
	return &reply, err
}

func copyEncoded(from, into any) error {
	data, err := messenger.Marshal(from)
	if err != nil {
		return err
	}
	return messenger.Unmarshal(data, into)
}

func (t peerTransport) Exchange(ctx context.Context, to netip.AddrPort, m *gossiper.Exchange) (*gossiper.Reply, error) {
	return deliver(t, ctx, to, m, func(d *daemon, m *gossiper.Exchange) (*gossiper.Reply, error) { return d.gossip.Exchange(ctx, m) })
}

func (t peerTransport) AnnounceLeaving(ctx context.Context, to netip.AddrPort, m *gossiper.Notices) (*gossiper.Ack, error) {
	return deliver(t, ctx, to, m, func(d *daemon, m *gossiper.Notices) (*gossiper.Ack, error) { return d.gossip.AnnounceLeaving(ctx, m) })
}

func (t peerTransport) Announce(ctx context.Context, to netip.AddrPort, m *distributor.Announcement) (*distributor.Ack, error) {
	return deliver(t, ctx, to, m, func(d *daemon, m *distributor.Announcement) (*distributor.Ack, error) {
		return d.Distributor.Announce(ctx, m)
	})
}

func (t peerTransport) Fetch(ctx context.Context, to netip.AddrPort, m *distributor.FetchRequest) (*distributor.FetchReply, error) {
	return deliver(t, ctx, to, m, func(d *daemon, m *distributor.FetchRequest) (*distributor.FetchReply, error) { return d.Fetch(ctx, m) })
}

// regionPatch returns a patch that is valid for any document and distinct for each n.
func regionPatch(n int) []byte {
	return fmt.Appendf(nil, `{"data-centres":{"dc-%02d":{"region":"r%d"}}}`, n%7, n)
}

func (d *daemon) version() namer.ConfigVersion {
	if s := d.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// failf reports a violated guarantee. Randomised runs store it in c.failure, so that rapid can shrink them.
func (c *cluster) failf(format string, args ...any) {
	if c.randomised {
		c.failure = cmp.Or(c.failure, fmt.Sprintf(format, args...))
		return
	}
	c.t.Fatalf(format, args...)
}

// checkMonotonic fails the test if a process went back to an earlier version.
func (c *cluster) checkMonotonic() {
	for i, d := range c.daemons {
		if v := d.version(); v < d.highestVersion {
			c.failf("daemon %d went back from version %d to %d", i, d.highestVersion, v)
		} else {
			d.highestVersion = v
		}
	}
}

// timeToReach returns the time until all given daemons have a version, or limit if they do not.
func (c *cluster) timeToReach(version namer.ConfigVersion, limit time.Duration, daemons ...*daemon) time.Duration {
	const step = time.Millisecond
	for elapsed := time.Duration(0); elapsed < limit; elapsed += step {
		c.checkMonotonic()
		reached := 0
		for _, d := range daemons {
			if d.version() >= version {
				reached++
			}
		}
		if reached == len(daemons) {
			return elapsed
		}
		time.Sleep(step)
	}
	return limit
}

// commit sends patch n to a daemon and requires that it is applied.
func (c *cluster) commit(d *daemon, n int) namer.ConfigVersion {
	c.t.Helper()
	reply := d.Patch(c.t.Context(), distributor.Patch{ID: distributor.PatchID(fmt.Sprintf("commit-%d", n)), Base: d.version(), Merge: regionPatch(n), By: "test"})
	is.New(c.t).Equal(reply.Result, distributor.Applied)
	return reply.Version
}

// converged reports whether all daemons have the same document.
func (c *cluster) converged() bool {
	var digest configurer.Digest
	for i, d := range c.daemons {
		if s := d.Snapshot(); s == nil || (i > 0 && s.Digest() != digest) {
			return false
		} else {
			digest = s.Digest()
		}
	}
	return true
}
