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

// callTimeout bounds one call to a peer. Peers in one region respond within milliseconds.
const callTimeout = time.Second

// Fan-out of an epidemic push: members of the local data centre and contacts in remote data centres.
// The daemon where a notice originates pushes to every data centre. Each receiver of a new notice
// pushes to two more, which together cover the data centres that the first push missed.
const (
	PushFanoutLocal  = 4
	PushFanoutRemote = 2
	PushFanoutAll    = -1
)

// Transport sends messages to other daemons.
type Transport interface {
	Exchange(ctx context.Context, to netip.AddrPort, message *Exchange) (*Reply, error)
	AnnounceLeaving(ctx context.Context, to netip.AddrPort, message *Notices) (*Ack, error)
}

// Poller requests the load of an endpoint. The Gossiper sets the Endpoint field of the result.
type Poller interface {
	Poll(ctx context.Context, target PollTarget) (Load, error)
}

// Configuration provides the active configuration. Snapshot is nil until the first one is loaded.
type Configuration interface {
	Snapshot() *configurer.Snapshot
}

// Gossiper runs a Table: it sends and serves exchanges, polls endpoints and reads the host list. Set
// the exported fields before Run.
type Gossiper struct {
	Self          Peer
	Incarnation   namer.Incarnation
	Seeds         []netip.AddrPort // initial peers; the host list adds more
	Transport     Transport
	Configuration Configuration
	Poller        Poller
	Hosts         lister.Lister // nil if the platform has no host list
	// OnNewerConfig is called when a peer has a newer configuration version. It must not block.
	OnNewerConfig func(version namer.ConfigVersion, at netip.AddrPort)
	Random        uint64 // seed of the random number generator; must differ between daemons
	Metrics       *recorder.Metrics
	Log           zerolog.Logger

	// Set by tests that exercise one mechanism without the other.
	pushDisabled, exchangeDisabled bool

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

// Done returns a channel that is closed when Run has returned.
func (g *Gossiper) Done() <-chan struct{} {
	g.init()
	return g.done
}

// View returns the latest view.
func (g *Gossiper) View() *View {
	g.init()
	return g.view.Load()
}

// update applies the active configuration and alter to the table and publishes a new view.
func (g *Gossiper) update(alter func(now time.Time, t *Table)) {
	g.init()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.table.Configure(now, g.Configuration.Snapshot())
	alter(now, g.table)
	g.view.Store(g.table.View(now))
}

// Run opens exchanges, polls endpoints and reads the host list until ctx is done.
func (g *Gossiper) Run(ctx context.Context) error {
	g.init()
	defer close(g.done)
	var loops sync.WaitGroup
	constant := func(period time.Duration) func() time.Duration { return func() time.Duration { return period } }
	loops.Go(func() { g.runPeriodically(ctx, constant(Period), g.runRound) })
	loops.Go(func() { g.runPeriodically(ctx, g.pollPeriod, g.poll) })
	if g.Hosts != nil {
		loops.Go(func() { g.runPeriodically(ctx, constant(hostListPeriod), g.readHosts) })
	}
	loops.Wait()
	g.calls.Stop()
	return ctx.Err()
}

// runPeriodically calls f once per period, starting at a random phase so that daemons started at the
// same time don't act in lockstep.
func (g *Gossiper) runPeriodically(ctx context.Context, period func() time.Duration, f func(context.Context)) {
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

func (g *Gossiper) runRound(ctx context.Context) {
	var targets []Target
	g.update(func(now time.Time, t *Table) {
		if paused := t.Tick(now); paused > 0 {
			g.Log.Warn().Dur("pause", paused).Msg("process-was-paused")
		}
		targets = t.StartRound(now)
	})
	if g.exchangeDisabled {
		return
	}
	for _, to := range targets {
		g.calls.Go(func() { g.exchange(ctx, to) })
	}
}

func (g *Gossiper) exchange(ctx context.Context, to Target) {
	g.mu.Lock()
	message := g.table.OpenExchange(time.Now(), to)
	g.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := g.Transport.Exchange(callCtx, to.Address, message)
	g.countCall("exchange", err)
	if err != nil {
		g.mu.Lock()
		g.table.ExchangeFailed(to)
		g.mu.Unlock()
		return
	}
	var fresh, missing []Notice
	g.update(func(now time.Time, t *Table) { fresh, missing = t.HandleReply(now, to, reply) })
	g.checkPeerConfig(reply.Config, to.Address)
	g.push(ctx, fresh, PushFanoutRemote)
	if len(missing) > 0 {
		_, err := g.Transport.AnnounceLeaving(callCtx, to.Address, &Notices{Notices: missing})
		g.countCall("announce-leaving", err)
	}
}

func (g *Gossiper) countCall(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	g.Metrics.Counter(`apricotspool_peer_calls_total{call="` + kind + `",result="` + result + `"}`).Inc()
}

// checkPeerConfig calls OnNewerConfig if a peer has a newer configuration version.
func (g *Gossiper) checkPeerConfig(version namer.ConfigVersion, at netip.AddrPort) {
	active := namer.ConfigVersion(0)
	if s := g.Configuration.Snapshot(); s != nil {
		active = s.Version()
	}
	if version > active && g.OnNewerConfig != nil {
		g.OnNewerConfig(version, at)
	}
}

// push sends notices to peers without waiting for the calls.
func (g *Gossiper) push(ctx context.Context, notices []Notice, remote int) {
	if len(notices) == 0 || g.pushDisabled {
		return
	}
	g.mu.Lock()
	peers := g.view.Load().PushTargets(g.random, PushFanoutLocal, remote)
	g.mu.Unlock()
	for _, p := range peers {
		g.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, err := g.Transport.AnnounceLeaving(ctx, p.Address, &Notices{Notices: notices})
			g.countCall("announce-leaving", err)
		})
	}
}

// Exchange handles an exchange opened by another daemon.
func (g *Gossiper) Exchange(_ context.Context, message *Exchange) (*Reply, error) {
	if message.From.Host == "" || !message.From.Address.IsValid() || len(message.Digest)%2 != 0 {
		return nil, errors.New("invalid exchange: missing sender or incomplete digest pair")
	}
	var reply *Reply
	g.update(func(now time.Time, t *Table) { reply = t.HandleExchange(now, message) })
	g.checkPeerConfig(message.Config, message.From.Address)
	return reply, nil
}

// AnnounceLeaving handles pushed notices and forwards the new ones once.
func (g *Gossiper) AnnounceLeaving(ctx context.Context, message *Notices) (*Ack, error) {
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.MergeNotices(now, message.Notices) })
	g.push(context.WithoutCancel(ctx), fresh, PushFanoutRemote)
	return &Ack{}, nil
}

// Announce pushes to all data centres whether an endpoint reports itself as leaving.
func (g *Gossiper) Announce(ctx context.Context, name namer.Endpoint, leaving bool) {
	g.observe(ctx, Subject{Kind: KindEndpoint, Name: string(name), Source: SourceState}, leaving)
}

func (g *Gossiper) observe(ctx context.Context, subject Subject, leaving bool) {
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.Observe(now, subject, leaving) })
	g.push(ctx, fresh, PushFanoutAll)
}

// Leave notifies the peers at once that this daemon is shutting down, so that it is no longer assigned
// poll targets and other work.
func (g *Gossiper) Leave(ctx context.Context) {
	var peers []Peer
	g.update(func(now time.Time, t *Table) { t.Leave(now) })
	g.mu.Lock()
	peers = g.view.Load().PushTargets(g.random, PushFanoutLocal, 0)
	g.mu.Unlock()
	var calls sync.WaitGroup
	for _, p := range peers {
		calls.Go(func() { g.exchange(ctx, Target{p.Address, p.DataCentre}) })
	}
	calls.Wait()
}
