package follower

import (
	"context"
	"time"

	"apricotspool/storer"
)

// sameOutage is the time within which daemons hear of the end of one outage.
const sameOutage = time.Second

// SyncRequest asks a daemon that reads the object API for what has changed.
type SyncRequest struct {
	_      struct{} `cbor:",toarray"`
	Prefix string
	Known  storer.Version // 0 asks for everything
	Wait   time.Duration  // how long to hold the call while nothing changes
}

// SyncReply is the answer.
type SyncReply struct {
	_       struct{} `cbor:",toarray"`
	Ready   bool     // the daemon has a copy
	Whole   bool     // Objects are all objects, not only the changed ones
	Version storer.Version
	Objects []storer.Object
	// Age is how long ago the object API confirmed this.
	Age time.Duration
	// Outage is how long ago the object API answered again after a failed call; 0 for none.
	Outage time.Duration
}

// sync gets the changes from a daemon that reads.
func (f *Follower) sync(ctx context.Context) {
	known, _ := f.since()
	callCtx, cancel := context.WithTimeout(ctx, f.part(waitPart)+syncSlack)
	defer cancel()
	reply, err := f.Readers.Sync(callCtx, &SyncRequest{Prefix: f.Prefix, Known: known, Wait: f.part(waitPart)})
	if err != nil || !reply.Ready {
		f.Log.Debug().Err(err).Str("prefix", f.Prefix).Msg("sync-failed")
		sleep(ctx, minDelay)
		return
	}
	f.mu.Lock()
	f.led = time.Now()
	f.mu.Unlock()
	if reply.Age > f.part(1) {
		sleep(ctx, minDelay) // it waits for the object API, too
		return
	}
	f.adopt(reply)
}

func (f *Follower) adopt(reply *SyncReply) {
	now := time.Now()
	if reply.Outage > 0 {
		f.mu.Lock()
		end := now.Add(-reply.Outage)
		if end.Sub(f.outageEnd) > sameOutage {
			f.outageEnd = end
		}
		f.failing = f.failing && end.Before(f.failedAt)
		f.mu.Unlock()
	}
	confirmed := now.Add(-reply.Age)
	if known, _ := f.since(); reply.Version < known {
		confirmed = time.Time{} // an older state than this one confirms nothing
	}
	f.update(confirmed, confirmed, func(s *state) bool {
		if !reply.Whole {
			return s.add(storer.Changes{Objects: reply.Objects, Version: reply.Version})
		}
		objects := make(map[string]storer.Object, len(reply.Objects))
		for _, object := range reply.Objects {
			if !object.Deleted {
				objects[object.Key] = object
			}
		}
		return s.list(objects, reply.Version)
	})
}

// Serve answers a daemon that follows this one. It holds the call while nothing changes.
func (f *Follower) Serve(ctx context.Context, request *SyncRequest) *SyncReply {
	f.init()
	timer := time.NewTimer(min(request.Wait, f.part(waitPart)))
	defer timer.Stop()
	for {
		reply, changed := f.reply(request.Known)
		if len(reply.Objects) > 0 || (reply.Whole && reply.Version > request.Known) {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			reply, _ = f.reply(request.Known) // with its age now
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

func (f *Follower) reply(known storer.Version) (*SyncReply, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &SyncReply{Ready: f.state.objects != nil, Age: time.Since(f.confirmed)}
	if !reply.Ready {
		return reply, f.changed
	}
	changes, whole := f.state.since(known)
	reply.Version, reply.Objects, reply.Whole = changes.Version, changes.Objects, whole
	if !f.outageEnd.IsZero() {
		reply.Outage = time.Since(f.outageEnd)
	}
	return reply, f.changed
}
