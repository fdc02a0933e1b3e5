// Package distributor brings the configuration into force on every daemon: it commits operators'
// patches to the object API, watches it from a few daemons, and passes new versions from daemon to
// daemon. A Distributor owns the daemon's configuration in force and publishes it as an immutable
// snapshot; its version only ever grows.
package distributor

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/asserter"
	"apricotspool/configurer"
	"apricotspool/gossiper"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/recorder"
	"apricotspool/storer"
)

// callTimeout bounds a call to a peer and storeTimeout one call on the store other than a watch.
const (
	callTimeout  = time.Second
	storeTimeout = 2 * time.Second
)

// Membership gives the peers.
type Membership interface {
	View() *gossiper.View
}

// Distributor keeps the configuration of one daemon. Set the exported fields before Run.
type Distributor struct {
	Self      gossiper.Peer
	Store     storer.Store
	Transport Transport
	Members   Membership
	Seeds     []netip.AddrPort // peers to ask at the start, when Members has none yet
	Random    uint64           // seed of the random choices; must differ between daemons
	Metrics   *recorder.Metrics
	Log       zerolog.Logger

	// Switches for tests that show what a mechanism does.
	withoutPush, withoutPatchIDs, withoutPeers, withoutRepair bool

	once    sync.Once
	done    chan struct{}
	ready   chan struct{}
	budget  *budget
	news    chan news                 // a version that a peer has; holds the newest only
	calls   messenger.BackgroundCalls // pushes and removal of old objects
	current atomic.Pointer[configurer.Snapshot]

	committing chan struct{} // holds a value during a commit; two at once would only conflict
	applying   sync.Mutex    // held while a new version is built, so that one is built only once; never over I/O

	mu        sync.Mutex // guards the fields below; held only for computation
	random    *rand.Rand
	recent    []Entry // the last entries, up to the current version, for peers that lag a little
	forwarded namer.ConfigVersion
	changed   chan struct{} // closed and replaced at each new version
}

type news struct {
	version namer.ConfigVersion
	at      netip.AddrPort
}

func (d *Distributor) init() {
	d.once.Do(func() {
		d.done, d.ready = make(chan struct{}), make(chan struct{})
		d.news = make(chan news, 1)
		d.committing = make(chan struct{}, 1)
		d.changed = make(chan struct{})
		d.random = rand.New(rand.NewPCG(d.Random, 2))
		d.budget = newBudget(d.Store, d.Metrics)
		d.Metrics.Gauge("apricotspool_configuration_version", func() float64 {
			if s := d.Snapshot(); s != nil {
				return float64(s.Version())
			}
			return 0
		})
	})
}

// Done closes when Run has returned.
func (d *Distributor) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Ready closes when a configuration is in force.
func (d *Distributor) Ready() <-chan struct{} {
	d.init()
	return d.ready
}

// Snapshot returns the configuration in force, or nil before Ready.
func (d *Distributor) Snapshot() *configurer.Snapshot { return d.current.Load() }

// Changed returns a channel that closes when a version after the current one is in force.
func (d *Distributor) Changed() <-chan struct{} {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Run brings a first configuration into force, then keeps it up to date until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	defer d.calls.Stop()
	if err := d.bootstrap(ctx); err != nil {
		return err
	}
	var parts sync.WaitGroup
	parts.Go(func() { d.watch(ctx) })
	parts.Go(func() { d.repair(ctx) })
	parts.Wait()
	return ctx.Err()
}

// adopt brings a version into force unless the current one is as high. The caller holds d.applying.
func (d *Distributor) adopt(next *configurer.Snapshot, entries []Entry, from string) bool {
	d.mu.Lock()
	current := d.current.Load()
	if current != nil && next.Version() <= current.Version() {
		d.mu.Unlock()
		return false
	}
	d.remember(next.Version(), entries)
	previous := d.current.Swap(next)
	asserter.Check(previous == nil || previous.Version() < next.Version(), "configuration versions grow",
		"%s replaced a later version by %d from %s", d.Self.Host, next.Version(), from)
	close(d.changed)
	d.changed = make(chan struct{})
	if previous == nil {
		close(d.ready)
	}
	d.mu.Unlock()
	d.Metrics.Counter(`apricotspool_configurations_adopted_total{from="` + from + `"}`).Inc()
	d.Log.Info().Uint64("version", uint64(next.Version())).Str("from", from).Msg("configuration-in-force")
	return true
}

// remember keeps entries that lead to a version, within the limits of a tail. The caller holds d.mu.
func (d *Distributor) remember(version namer.ConfigVersion, entries []Entry) {
	if len(d.recent) > 0 && len(entries) > 0 && d.recent[len(d.recent)-1].Version+1 == entries[0].Version {
		entries = append(append([]Entry(nil), d.recent...), entries...)
	}
	if len(entries) == 0 || entries[len(entries)-1].Version != version {
		d.recent = nil
		return
	}
	size, from := 0, len(entries)
	for from > 0 && len(entries)-from < maxTailEntries && size+entries[from-1].size() <= maxTailBytes {
		from--
		size += entries[from].size()
	}
	d.recent = append([]Entry(nil), entries[from:]...)
}

// version returns the version in force, 0 when there is none.
func (d *Distributor) version() namer.ConfigVersion {
	if s := d.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// errDiverged means that patches don't lead to the document that they led to where they were committed.
var errDiverged = errors.New("configuration diverges from its digest")

// advance builds the snapshot that entries make of a document.
func advance(document *configurer.Document, entries []Entry) (*configurer.Snapshot, error) {
	for _, e := range entries {
		next, err := document.Apply(e.Patch)
		if err != nil {
			return nil, errors.Wrapf(errDiverged, "apply version %d: %v", e.Version, err)
		}
		document = next
	}
	last := entries[len(entries)-1]
	snapshot := configurer.NewSnapshot(last.Version, document)
	if snapshot.Digest() != last.Digest {
		return nil, errors.Wrapf(errDiverged, "version %d has digest %x, not %x", last.Version, snapshot.Digest(), last.Digest)
	}
	return snapshot, nil
}

// storeContext bounds one call on the store.
func storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, storeTimeout)
}

// sleep waits and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// The delay between attempts while the store or the peers don't answer.
const (
	minDelay = 200 * time.Millisecond
	maxDelay = 10 * time.Second
)

// backoff is a doubling delay. Its jitter spreads daemons that began to wait together.
type backoff struct{ last time.Duration }

func (b *backoff) reset() { b.last = 0 }

func (b *backoff) next(jitter func(int64) int64) time.Duration {
	b.last = min(max(2*b.last, minDelay), maxDelay)
	return b.last/2 + time.Duration(jitter(int64(b.last/2)))
}

func (d *Distributor) jitter(n int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Int64N(n)
}
