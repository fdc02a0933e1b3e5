package assembler

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"apricotspool/announcer"
	"apricotspool/follower"
	"apricotspool/messenger"
)

const (
	syncProcedure = "/apricotspool.Follower/Sync"
	// readerExclusionTime is how long a daemon that did not respond or was stale is not used as a reader.
	readerExclusionTime = 2 * time.Second
)

// readerSelector selects the daemon that reads the object API for the others: one in each data centre. A
// daemon that does not know the other members yet uses a seed.
type readerSelector struct {
	self      announcer.Member
	seeds     []netip.AddrPort
	announcer *announcer.Announcer
	client    *messenger.Client

	mu            sync.Mutex
	excludedUntil map[netip.AddrPort]time.Time
}

var _ follower.Readers = (*readerSelector)(nil)

// IsReader reports whether this daemon is a reader.
func (r *readerSelector) IsReader() bool {
	return r.currentReader() == r.self.PeerAddress
}

// currentReader returns the peer address of the daemon that reads for this one, which may be itself: of
// the daemons of the own data centre that are not excluded, the one whose host name has the highest hash.
func (r *readerSelector) currentReader() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.announcer.Members()
	if len(members) == 0 {
		return r.reachableSeed()
	}
	reader := r.self.PeerAddress
	var highestHash uint64
	for _, m := range members {
		if m.DataCentre != r.self.DataCentre || (m.Host != r.self.Host && r.excluded(m.PeerAddress)) {
			continue
		}
		if hash := xxhash.Sum64String(string(m.Host)); hash >= highestHash {
			reader, highestHash = m.PeerAddress, hash
		}
	}
	return reader
}

// reachableSeed returns the first seed that is not excluded. The first candidate depends on the host, which
// spreads the load over the seeds. A seed reads for itself.
func (r *readerSelector) reachableSeed() netip.AddrPort {
	if slices.Contains(r.seeds, r.self.PeerAddress) {
		return r.self.PeerAddress
	}
	first := xxhash.Sum64String(string(r.self.Host))
	for i := range r.seeds {
		if seed := r.seeds[(first+uint64(i))%uint64(len(r.seeds))]; !r.excluded(seed) {
			return seed
		}
	}
	return r.self.PeerAddress
}

func (r *readerSelector) excluded(address netip.AddrPort) bool {
	return time.Now().Before(r.excludedUntil[address])
}

// Sync requests the changes from the reader and excludes one that fails or is not ready.
func (r *readerSelector) Sync(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
	reader := r.currentReader()
	if reader == r.self.PeerAddress {
		return nil, errors.New("no other daemon is available as a reader")
	}
	reply, err := messenger.Call[follower.SyncRequest, follower.SyncReply](ctx, r.client, reader, syncProcedure, request)
	if err != nil || !reply.Ready {
		r.exclude(reader)
	}
	return reply, err
}

// ReportStaleReader excludes a reader whose replica is older than this daemon's own.
func (r *readerSelector) ReportStaleReader() {
	if reader := r.currentReader(); reader != r.self.PeerAddress {
		r.exclude(reader)
	}
}

func (r *readerSelector) exclude(reader netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.excludedUntil == nil {
		r.excludedUntil = map[netip.AddrPort]time.Time{}
	}
	r.excludedUntil[reader] = time.Now().Add(readerExclusionTime)
}

// serveSync returns the handler for daemons that use this one as their reader.
func serveSync(followers ...*follower.Follower) func(context.Context, *follower.SyncRequest) (*follower.SyncReply, error) {
	return func(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
		for _, f := range followers {
			if f.Prefix == request.Prefix {
				return f.Serve(ctx, request), nil
			}
		}
		return nil, errors.Errorf("no follower for prefix %q", request.Prefix)
	}
}
