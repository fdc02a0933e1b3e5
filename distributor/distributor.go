// Package distributor replicates the configuration to every daemon. It commits operators' patches to
// the object API, watches the object API from a few daemons per data centre, and propagates new
// versions from daemon to daemon. A Distributor owns the active configuration of its daemon and
// publishes it as an immutable snapshot whose version never decreases.
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

const (
	callTimeout  = time.Second     // for a call to a peer
	storeTimeout = 2 * time.Second // for a call to the store other than a watch
)

// Membership provides the current cluster members.
type Membership interface {
	View() *gossiper.View
}

// Distributor maintains the active configuration of one daemon. Set the exported fields before
// calling Run.
type Distributor struct {
	Self      gossiper.Peer
	Store     storer.Store
	Transport Transport
	Members   Membership
	Seeds     []netip.AddrPort // peers to query at startup, while Members is still empty
	Random    uint64           // seed of the random number generator; must differ between daemons
	Metrics   *recorder.Metrics
	Log       zerolog.Logger

	// Set by tests that check the effect of a single mechanism.
	disablePush, disablePatchIDs, disableBootstrapPeers, disableRepair bool

	once         sync.Once
	done         chan struct{}
	ready        chan struct{}
	limitedStore *rateLimitedStore
	peerVersions chan peerVersion          // newer versions reported by peers; keeps only the highest
	background   messenger.BackgroundCalls // pushes and deletion of old snapshot objects
	current      atomic.Pointer[configurer.Snapshot]

	commitSlot chan struct{} // semaphore of size 1; concurrent commits of one daemon would only conflict
	applyMu    sync.Mutex    // held while a version is built, so that it is built only once; never held during I/O

	mu         sync.Mutex // guards the fields below; held only for computation
	random     *rand.Rand
	recent     []Entry // latest entries up to the current version, for peers that are a few versions behind
	lastPushed namer.ConfigVersion
	changed    chan struct{} // closed and replaced whenever a new version becomes active
}

type peerVersion struct {
	version namer.ConfigVersion
	peer    netip.AddrPort
}

func (d *Distributor) init() {
	d.once.Do(func() {
		d.done, d.ready = make(chan struct{}), make(chan struct{})
		d.peerVersions = make(chan peerVersion, 1)
		d.commitSlot = make(chan struct{}, 1)
		d.changed = make(chan struct{})
		d.random = rand.New(rand.NewPCG(d.Random, 2))
		d.limitedStore = newRateLimitedStore(d.Store, d.Metrics)
		d.Metrics.Gauge("apricotspool_configuration_version", func() float64 {
			if s := d.Snapshot(); s != nil {
				return float64(s.Version())
			}
			return 0
		})
	})
}

// Done returns a channel that is closed when Run has returned.
func (d *Distributor) Done() <-chan struct{} {
	d.init()
	return d.done
}

// Ready returns a channel that is closed once a configuration is active.
func (d *Distributor) Ready() <-chan struct{} {
	d.init()
	return d.ready
}

// Snapshot returns the active configuration, or nil before Ready.
func (d *Distributor) Snapshot() *configurer.Snapshot { return d.current.Load() }

// Changed returns a channel that is closed when a version after the current one becomes active.
func (d *Distributor) Changed() <-chan struct{} {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Run activates an initial configuration and keeps it up to date until ctx ends.
func (d *Distributor) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	defer d.background.Stop()
	if err := d.bootstrap(ctx); err != nil {
		return err
	}
	var loops sync.WaitGroup
	loops.Go(func() { d.watch(ctx) })
	loops.Go(func() { d.repair(ctx) })
	loops.Wait()
	return ctx.Err()
}

// adopt activates a version unless the active one is at least as high. The caller holds d.applyMu.
func (d *Distributor) adopt(next *configurer.Snapshot, entries []Entry, source string) bool {
	d.mu.Lock()
	current := d.current.Load()
	if current != nil && next.Version() <= current.Version() {
		d.mu.Unlock()
		return false
	}
	d.recordRecent(next.Version(), entries)
	previous := d.current.Swap(next)
	asserter.Check(previous == nil || previous.Version() < next.Version(), "configuration version increases monotonically",
		"%s: version %d from %s would replace a version that is at least as high", d.Self.Host, next.Version(), source)
	close(d.changed)
	d.changed = make(chan struct{})
	if previous == nil {
		close(d.ready)
	}
	d.mu.Unlock()
	d.Metrics.Counter(`apricotspool_configurations_adopted_total{from="` + source + `"}`).Inc()
	d.Log.Info().Uint64("version", uint64(next.Version())).Str("from", source).Msg("configuration-in-force")
	return true
}

// recordRecent stores the latest entries up to a version in d.recent, within the size limits of a tail.
// The caller holds d.mu.
func (d *Distributor) recordRecent(version namer.ConfigVersion, entries []Entry) {
	if len(d.recent) > 0 && len(entries) > 0 && d.recent[len(d.recent)-1].Version+1 == entries[0].Version {
		entries = append(append([]Entry(nil), d.recent...), entries...)
	}
	if len(entries) == 0 || entries[len(entries)-1].Version != version {
		d.recent = nil
		return
	}
	size, first := 0, len(entries)
	for first > 0 && len(entries)-first < maxTailEntries && size+entries[first-1].size() <= maxTailBytes {
		first--
		size += entries[first].size()
	}
	d.recent = append([]Entry(nil), entries[first:]...)
}

// version returns the active version, or 0 if there is none.
func (d *Distributor) version() namer.ConfigVersion {
	if s := d.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// errDiverged means that a document does not have the digest that was recorded when it was committed.
var errDiverged = errors.New("configuration does not match its digest")

// advance applies entries to a document and verifies the digest of the result.
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
		return nil, errors.Wrapf(errDiverged, "version %d has digest %x, want %x", last.Version, snapshot.Digest(), last.Digest)
	}
	return snapshot, nil
}

// storeContext limits a call to the store to storeTimeout.
func storeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, storeTimeout)
}

// sleep waits for d and reports whether ctx is still valid.
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

// Limits of the delay between attempts while the store or the peers fail.
const (
	minDelay = 200 * time.Millisecond
	maxDelay = 10 * time.Second
)

// backoff is an exponential backoff. Its jitter keeps daemons that started to wait at the same time
// from retrying at the same time.
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
