package gossiper

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/configurer"
	"apricotspool/lister"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/recorder"
)

// callTimeout bounds one call to a peer. Peers of one region answer in milliseconds.
const callTimeout = time.Second

// The width of an epidemic push: random members of the own data centre, and contacts in other data
// centres. The daemon that learns something first sends to every data centre; those that hear of it
// send to two more, which together cover the data centres that the first push missed.
const (
	SpreadLocal  = 4
	SpreadRemote = 2
	SpreadAll    = -1
)

// Transport carries messages to other daemons.
type Transport interface {
	Exchange(ctx context.Context, to netip.AddrPort, message *Exchange) (*Reply, error)
	AnnounceLeaving(ctx context.Context, to netip.AddrPort, message *Notices) (*Ack, error)
}

// Poller asks an endpoint for its load. The Endpoint field of the answer is set by the Gossiper.
type Poller interface {
	Poll(ctx context.Context, d Duty) (Load, error)
}

// Configuration gives the version in force; it is nil before the first one.
type Configuration interface {
	Snapshot() *configurer.Snapshot
}

// Gossiper runs a Table. Set the exported fields before Run.
type Gossiper struct {
	Self          Peer
	Incarnation   namer.Incarnation
	Seeds         []netip.AddrPort // peers to ask first; the host list adds to them
	Transport     Transport
	Configuration Configuration
	Poller        Poller
	Hosts         lister.Lister // nil when the platform has no host list
	// Newer is called when a peer has a higher version of the configuration. It must not block.
	Newer   func(version namer.ConfigVersion, at netip.AddrPort)
	Random  uint64 // seed of the random choices; must differ between daemons
	Metrics *recorder.Metrics
	Log     zerolog.Logger

	// Switches for tests that show what a mechanism does.
	withoutPush, withoutExchange bool

	once   sync.Once
	done   chan struct{}
	view   atomic.Pointer[View]
	calls  messenger.BackgroundCalls
	random *rand.Rand // guarded by mu

	mu    sync.Mutex // guards table and random; held only for computation
	table *Table
}

func (g *Gossiper) init() {
	g.once.Do(func() {
		g.done = make(chan struct{})
		g.random = rand.New(rand.NewPCG(g.Random, 1))
		g.table = &Table{Self: g.Self, Incarnation: g.Incarnation, Seeds: g.Seeds, Random: g.random}
		g.view.Store(g.table.View(time.Now()))
		g.Metrics.Gauge("apricotspool_members", func() float64 { return float64(len(g.View().Live())) })
	})
}

// Done closes when Run has returned.
func (g *Gossiper) Done() <-chan struct{} {
	g.init()
	return g.done
}

// View returns the newest view.
func (g *Gossiper) View() *View {
	g.init()
	return g.view.Load()
}

// update changes the table and publishes a new view.
func (g *Gossiper) update(alter func(now time.Time, t *Table)) {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.table.Configure(now, g.Configuration.Snapshot())
	alter(now, g.table)
	g.view.Store(g.table.View(now))
}

// Run exchanges, polls and reads the host list until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	g.init()
	defer close(g.done)
	var parts sync.WaitGroup
	always := func(period time.Duration) func() time.Duration { return func() time.Duration { return period } }
	parts.Go(func() { g.every(ctx, always(Period), g.beat) })
	parts.Go(func() { g.every(ctx, g.pollPeriod, g.poll) })
	if g.Hosts != nil {
		parts.Go(func() { g.every(ctx, always(hostListPeriod), g.readHosts) })
	}
	parts.Wait()
	g.calls.Stop()
	return ctx.Err()
}

// every calls f once a period, starting at a random phase so that daemons that start together don't
// act together.
func (g *Gossiper) every(ctx context.Context, period func() time.Duration, f func(context.Context)) {
	g.mu.Lock()
	phase := time.Duration(g.random.Int64N(int64(Period)))
	g.mu.Unlock()
	timer := time.NewTimer(phase)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(period())
		f(ctx)
	}
}

func (g *Gossiper) beat(ctx context.Context) {
	var targets []Target
	g.update(func(now time.Time, t *Table) {
		if paused := t.Beat(now); paused > 0 {
			g.Log.Warn().Dur("pause", paused).Msg("process-was-paused")
		}
		targets = t.Round(now)
	})
	if g.withoutExchange {
		return
	}
	for _, to := range targets {
		g.calls.Go(func() { g.exchange(ctx, to) })
	}
}

func (g *Gossiper) exchange(ctx context.Context, to Target) {
	g.mu.Lock()
	message := g.table.Open(time.Now(), to)
	g.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.Transport.Exchange(callCtx, to.Address, message)
	g.count("exchange", err)
	if err != nil {
		g.mu.Lock()
		g.table.Failed(to)
		g.mu.Unlock()
		return
	}
	var fresh, missing []Notice
	g.update(func(now time.Time, t *Table) { fresh, missing = t.Absorb(now, to, reply) })
	g.heard(reply.Config, to.Address)
	g.push(ctx, fresh, SpreadRemote)
	if len(missing) > 0 {
		_, err := g.Transport.AnnounceLeaving(callCtx, to.Address, &Notices{Notices: missing})
		g.count("announce-leaving", err)
	}
}

func (g *Gossiper) count(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	g.Metrics.Counter(`apricotspool_peer_calls_total{call="` + kind + `",result="` + result + `"}`).Inc()
}

// heard passes on that a peer has a higher version of the configuration.
func (g *Gossiper) heard(version namer.ConfigVersion, at netip.AddrPort) {
	own := namer.ConfigVersion(0)
	if s := g.Configuration.Snapshot(); s != nil {
		own = s.Version()
	}
	if version > own && g.Newer != nil {
		g.Newer(version, at)
	}
}

// push announces notices to peers. It returns at once.
func (g *Gossiper) push(ctx context.Context, notices []Notice, remote int) {
	if len(notices) == 0 || g.withoutPush {
		return
	}
	g.mu.Lock()
	peers := g.view.Load().Spread(g.random, SpreadLocal, remote)
	g.mu.Unlock()
	for _, p := range peers {
		g.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, err := g.Transport.AnnounceLeaving(ctx, p.Address, &Notices{Notices: notices})
			g.count("announce-leaving", err)
		})
	}
}

// Exchange serves an exchange that another daemon opens.
func (g *Gossiper) Exchange(_ context.Context, message *Exchange) (*Reply, error) {
	if message.From.Host == "" || !message.From.Address.IsValid() || len(message.Digest)%2 != 0 {
		return nil, errors.New("exchange has no sender or an incomplete digest")
	}
	var reply *Reply
	g.update(func(now time.Time, t *Table) { reply = t.Receive(now, message) })
	g.heard(message.Config, message.From.Address)
	return reply, nil
}

// AnnounceLeaving serves a push of notices, and passes on once what is new.
func (g *Gossiper) AnnounceLeaving(ctx context.Context, message *Notices) (*Ack, error) {
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.Notify(now, message.Notices) })
	g.push(context.WithoutCancel(ctx), fresh, SpreadRemote)
	return &Ack{}, nil
}

// Announce tells all daemons that an endpoint is leaving, or no longer is, by its own state.
func (g *Gossiper) Announce(ctx context.Context, name namer.Endpoint, leaving bool) {
	g.found(ctx, Subject{Kind: KindEndpoint, Name: string(name), Source: SourceState}, leaving)
}

func (g *Gossiper) found(ctx context.Context, subject Subject, leaving bool) {
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.Found(now, subject, leaving) })
	g.push(ctx, fresh, SpreadAll)
}

// Leave tells the peers at once that this daemon shuts down; it gets no more duties.
func (g *Gossiper) Leave(ctx context.Context) {
	var peers []Peer
	g.update(func(now time.Time, t *Table) { t.Leave(now) })
	g.mu.Lock()
	peers = g.view.Load().Spread(g.random, SpreadLocal, 0)
	g.mu.Unlock()
	var calls sync.WaitGroup
	for _, p := range peers {
		calls.Go(func() { g.exchange(ctx, Target{p.Address, p.DataCentre}) })
	}
	calls.Wait()
}
