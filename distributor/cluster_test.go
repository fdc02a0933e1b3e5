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

// fault is how a daemon's calls on the store go wrong.
type fault int

const (
	healthy fault = iota
	down          // refused at once, nothing applied
	hanging       // no answer, nothing applied
	losing        // writes take effect, their answers are lost
	late          // writes take effect 5 s after the call has given up
)

// path is one daemon's way to the store.
type path struct {
	storer.Store
	mu    sync.Mutex // guards fault
	fault fault
}

func (p *path) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

func (p *path) now() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// read delays a reading call and makes it fail.
func (p *path) read(ctx context.Context) error {
	time.Sleep(2 * time.Millisecond)
	switch p.now() {
	case down:
		return storer.ErrUnavailable
	case hanging:
		<-ctx.Done()
		return storer.ErrUnavailable
	}
	return nil
}

func (p *path) Get(ctx context.Context, key string) (storer.Object, error) {
	if err := p.read(ctx); err != nil {
		return storer.Object{}, err
	}
	return p.Store.Get(ctx, key)
}

func (p *path) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	if err := p.read(ctx); err != nil {
		return storer.Page{}, err
	}
	return p.Store.List(ctx, prefix, after, limit)
}

func (p *path) Watch(ctx context.Context, prefix string, since storer.Version) (storer.Changes, error) {
	if err := p.read(ctx); err != nil {
		return storer.Changes{}, err
	}
	return p.Store.Watch(ctx, prefix, since)
}

func (p *path) Put(ctx context.Context, key string, value []byte, expect storer.Version) (storer.Object, error) {
	time.Sleep(2 * time.Millisecond)
	switch p.now() {
	case down:
		return storer.Object{}, storer.ErrUnavailable
	case hanging:
		<-ctx.Done()
		return storer.Object{}, storer.ErrUncertain
	case losing:
		p.Store.Put(ctx, key, value, expect)
		return storer.Object{}, storer.ErrUncertain
	case late:
		time.AfterFunc(5*time.Second, func() { p.Store.Put(context.Background(), key, value, expect) })
		return storer.Object{}, storer.ErrUncertain
	}
	return p.Store.Put(ctx, key, value, expect)
}

// daemon is a gossiper and a distributor of one host.
type daemon struct {
	*distributor.Distributor
	gossip  *gossiper.Gossiper
	path    *path
	metrics *recorder.Metrics
	address netip.AddrPort
	highest namer.ConfigVersion // seen by this process
	stop    func()
}

// cluster runs daemons of several data centres in virtual time.
type cluster struct {
	t       *testing.T
	network *imitator.Network
	store   *imitator.Store
	centres int
	seeds   []netip.AddrPort
	prepare func(*daemon)

	randomised bool
	failure    string

	mu      sync.RWMutex // guards daemons' entries, which restarts replace
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
	d := &daemon{path: &path{Store: c.store}, metrics: m, address: self.Address}
	d.Distributor = &distributor.Distributor{
		Self: self, Store: d.path, Transport: wire{c, self.Address}, Seeds: c.seeds, Random: uint64(i), Metrics: m, Log: zerolog.Nop(),
	}
	d.gossip = &gossiper.Gossiper{
		Self: self, Incarnation: namer.NewIncarnation(time.Now()), Seeds: c.seeds, Transport: wire{c, self.Address}, Configuration: d.Distributor,
		OnNewerConfig: d.Newer, Random: uint64(i), Metrics: m, Log: zerolog.Nop(), Poller: noLoads{},
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

// restart replaces a daemon by a new process of the same host.
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

type noLoads struct{}

func (noLoads) Poll(context.Context, gossiper.PollTarget) (gossiper.Load, error) {
	return gossiper.Load{}, nil
}

// wire carries messages between the daemons, in their encoding.
type wire struct {
	c    *cluster
	from netip.AddrPort
}

func carry[Req, Res any](w wire, ctx context.Context, to netip.AddrPort, request *Req, serve func(*daemon, *Req) (*Res, error)) (*Res, error) {
	var answer Res
	err := w.c.network.Carry(ctx, w.from, to, func() error {
		other := w.c.at(to)
		if other == nil {
			return imitator.ErrNoAnswer
		}
		var copied Req
		if err := recode(request, &copied); err != nil {
			return err
		}
		served, err := serve(other, &copied)
		if err != nil {
			return err
		}
		return recode(served, &answer)
	})
	return &answer, err
}

func recode(from, into any) error {
	data, err := messenger.Marshal(from)
	if err != nil {
		return err
	}
	return messenger.Unmarshal(data, into)
}

func (w wire) Exchange(ctx context.Context, to netip.AddrPort, m *gossiper.Exchange) (*gossiper.Reply, error) {
	return carry(w, ctx, to, m, func(d *daemon, m *gossiper.Exchange) (*gossiper.Reply, error) { return d.gossip.Exchange(ctx, m) })
}

func (w wire) AnnounceLeaving(ctx context.Context, to netip.AddrPort, m *gossiper.Notices) (*gossiper.Ack, error) {
	return carry(w, ctx, to, m, func(d *daemon, m *gossiper.Notices) (*gossiper.Ack, error) { return d.gossip.AnnounceLeaving(ctx, m) })
}

func (w wire) Announce(ctx context.Context, to netip.AddrPort, m *distributor.Announcement) (*distributor.Ack, error) {
	return carry(w, ctx, to, m, func(d *daemon, m *distributor.Announcement) (*distributor.Ack, error) {
		return d.Distributor.Announce(ctx, m)
	})
}

func (w wire) Fetch(ctx context.Context, to netip.AddrPort, m *distributor.FetchRequest) (*distributor.FetchReply, error) {
	return carry(w, ctx, to, m, func(d *daemon, m *distributor.FetchRequest) (*distributor.FetchReply, error) { return d.Fetch(ctx, m) })
}

// region is a patch that is valid for any document and differs by its number.
func region(n int) []byte {
	return fmt.Appendf(nil, `{"data-centres":{"dc-%02d":{"region":"r%d"}}}`, n%7, n)
}

func (d *daemon) version() namer.ConfigVersion {
	if s := d.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// failf reports a broken promise. Randomised runs take it from c.failure, so that they can be shrunk.
func (c *cluster) failf(format string, args ...any) {
	if c.randomised {
		c.failure = cmp.Or(c.failure, fmt.Sprintf(format, args...))
		return
	}
	c.t.Fatalf(format, args...)
}

// check fails the test when a process went back to an earlier version.
func (c *cluster) check() {
	for i, d := range c.daemons {
		if v := d.version(); v < d.highest {
			c.failf("daemon %d went back from version %d to %d", i, d.highest, v)
		} else {
			d.highest = v
		}
	}
}

// reachedAfter returns the time until the daemons have a version, or the limit.
func (c *cluster) reachedAfter(version namer.ConfigVersion, limit time.Duration, daemons ...*daemon) time.Duration {
	const step = time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		c.check()
		reached := 0
		for _, d := range daemons {
			if d.version() >= version {
				reached++
			}
		}
		if reached == len(daemons) {
			return passed
		}
		time.Sleep(step)
	}
	return limit
}

// commit patches through a daemon and requires that it is applied.
func (c *cluster) commit(d *daemon, n int) namer.ConfigVersion {
	c.t.Helper()
	answer := d.Patch(c.t.Context(), distributor.Patch{ID: distributor.PatchID(fmt.Sprintf("commit-%d", n)), Base: d.version(), Merge: region(n), By: "test"})
	is.New(c.t).Equal(answer.Result, distributor.Applied)
	return answer.Version
}

// same reports whether all daemons have one document.
func (c *cluster) same() bool {
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
