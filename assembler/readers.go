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
	// avoidTime is how long a daemon that did not answer is left out.
	avoidTime = 2 * time.Second
)

// readers chooses the daemons that read the object API for the others: one in each data centre. A daemon
// that doesn't know the others yet asks the seeds.
type readers struct {
	self      announcer.Member
	seeds     []netip.AddrPort
	announcer *announcer.Announcer
	client    *messenger.Client

	mu    sync.Mutex
	avoid map[netip.AddrPort]time.Time
}

var _ follower.Readers = (*readers)(nil)

// IsReader reports whether this daemon reads.
func (r *readers) IsReader() bool {
	return r.reader() == r.self.PeerAddress
}

// reader returns the address of the daemon that reads for this one, or its own. In the own data centre it
// is the one that ranks first of the daemons that answer.
func (r *readers) reader() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.announcer.Members()
	if len(members) == 0 {
		return r.seed()
	}
	reader := r.self.PeerAddress
	var most uint64
	for _, m := range members {
		if m.DataCentre != r.self.DataCentre || (m.Host != r.self.Host && r.avoided(m.PeerAddress)) {
			continue
		}
		if rank := xxhash.Sum64String(string(m.Host)); rank >= most {
			reader, most = m.PeerAddress, rank
		}
	}
	return reader
}

// seed returns the first seed that answers, beginning with another one at each host. A seed reads for
// itself.
func (r *readers) seed() netip.AddrPort {
	if slices.Contains(r.seeds, r.self.PeerAddress) {
		return r.self.PeerAddress
	}
	first := xxhash.Sum64String(string(r.self.Host))
	for i := range r.seeds {
		if seed := r.seeds[(first+uint64(i))%uint64(len(r.seeds))]; !r.avoided(seed) {
			return seed
		}
	}
	return r.self.PeerAddress
}

func (r *readers) avoided(address netip.AddrPort) bool { return time.Now().Before(r.avoid[address]) }

// Sync asks the reader.
func (r *readers) Sync(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
	reader := r.reader()
	if reader == r.self.PeerAddress {
		return nil, errors.New("no other daemon reads")
	}
	reply, err := messenger.Call[follower.SyncRequest, follower.SyncReply](ctx, r.client, reader, syncProcedure, request)
	if err != nil || !reply.Ready {
		r.leaveOut(reader)
	}
	return reply, err
}

// ReportStaleReader leaves out a reader whose copy is older than this daemon's own.
func (r *readers) ReportStaleReader() {
	if reader := r.reader(); reader != r.self.PeerAddress {
		r.leaveOut(reader)
	}
}

func (r *readers) leaveOut(reader netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoid == nil {
		r.avoid = map[netip.AddrPort]time.Time{}
	}
	r.avoid[reader] = time.Now().Add(avoidTime)
}

// serveSync answers the daemons that follow this one.
func serveSync(followers ...*follower.Follower) func(context.Context, *follower.SyncRequest) (*follower.SyncReply, error) {
	return func(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
		for _, f := range followers {
			if f.Prefix == request.Prefix {
				return f.Serve(ctx, request), nil
			}
		}
		return nil, errors.Errorf("nothing follows %q", request.Prefix)
	}
}
