package follower

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// sameOutageWindow is the maximum difference between the times at which two daemons notice the end of the
// same outage. An end that a reader reports later than that belongs to another outage.
const sameOutageWindow = time.Second

// SyncRequest asks a reader for the changes since a version.
type SyncRequest struct {
	_      struct{} `cbor:",toarray"`
	Prefix string
	Known  storer.Version // 0 requests all objects
	Wait   time.Duration  // long-poll time: how long to hold the call while nothing changes
}

// SyncReply is the reply to a SyncRequest.
type SyncReply struct {
	_       struct{} `cbor:",toarray"`
	Ready   bool     // the reader has a replica
	Full    bool     // Objects holds all objects instead of only the changed ones
	Version storer.Version
	Objects []storer.Object
	// Age is the time since the object API confirmed this state.
	Age time.Duration
	// SinceOutage is the time since the object API last responded again after a failed call; 0 for never.
	SinceOutage time.Duration
	// Held is how long the reader has held the call before it made the reply.
	Held time.Duration
}

// check returns an error if a reply has values that no reader sends.
func (r *SyncReply) check(prefix string) error {
	if r.Age < 0 || r.SinceOutage < 0 || r.Held < 0 {
		return errors.Errorf("age %v, time since the outage %v and time held %v must not be negative", r.Age, r.SinceOutage, r.Held)
	}
	for _, o := range r.Objects {
		if !strings.HasPrefix(o.Key, prefix) {
			return errors.Errorf("object %q does not have the prefix %q", o.Key, prefix)
		}
	}
	return nil
}

// syncFromReader fetches and applies the changes from a reader.
func (f *Follower) syncFromReader(ctx context.Context) {
	known, _ := f.currentVersion()
	callCtx, cancel := context.WithTimeout(ctx, f.boundFraction(longPollFraction)+syncTimeoutSlack)
	defer cancel()
	callStart, callInstant := time.Now(), f.clock()
	reply, err := f.Readers.Sync(callCtx, &SyncRequest{Prefix: f.Prefix, Known: known, Wait: f.boundFraction(longPollFraction)})
	if err == nil {
		err = reply.check(f.Prefix)
	}
	if err != nil || !reply.Ready {
		f.Log.Debug().Err(err).Str("prefix", f.Prefix).Msg("sync-failed")
		sleep(ctx, minBackoff)
		return
	}
	f.mu.Lock()
	f.readerResponded = time.Now()
	f.mu.Unlock()
	if reply.Age > f.boundFraction(1) {
		sleep(ctx, minBackoff) // the reader itself can't reach the object API
		return
	}
	f.applyReply(reply, callStart, callInstant)
}

// applyReply applies the reply to a call. The reader made it when it had held the call, and not before: the reply may have been
// on its way, or either daemon suspended, for any time since.
func (f *Follower) applyReply(reply *SyncReply, callStart time.Time, callInstant timekeeper.Instant) {
	now := time.Now()
	if reply.SinceOutage > 0 {
		f.mu.Lock()
		end := now.Add(-reply.SinceOutage)
		if end.Sub(f.outageEnd) > sameOutageWindow {
			f.outageEnd = end
		}
		f.failing = f.failing && end.Before(f.failedAt)
		f.mu.Unlock()
	}
	held := min(reply.Held, now.Sub(callStart))
	confirmed := callStart.Add(held - reply.Age)
	if known, _ := f.currentVersion(); reply.Version < known {
		confirmed = time.Time{} // an older state does not confirm the replica
	}
	f.update(confirmed, confirmed, callInstant.Add(held-reply.Age), func(s *state) bool {
		if !reply.Full {
			return s.applyChanges(storer.Changes{Objects: reply.Objects, Version: reply.Version})
		}
		objects := make(map[string]storer.Object, len(reply.Objects))
		for _, object := range reply.Objects {
			if !object.Deleted {
				objects[object.Key] = object
			}
		}
		return s.applyList(objects, reply.Version)
	})
}

// Serve replies to a daemon that replicates from this one. It holds the call while nothing changes.
func (f *Follower) Serve(ctx context.Context, request *SyncRequest) *SyncReply {
	f.init()
	received := f.clock()
	timer := time.NewTimer(min(request.Wait, f.boundFraction(longPollFraction)))
	defer timer.Stop()
	for {
		reply, changed := f.buildReply(request.Known, received)
		if len(reply.Objects) > 0 || (reply.Full && reply.Version > request.Known) {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			reply, _ = f.buildReply(request.Known, received) // with the current age
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

func (f *Follower) buildReply(known storer.Version, received timekeeper.Instant) (*SyncReply, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := &SyncReply{Ready: f.state.objects != nil, Age: max(0, f.age()), Held: max(0, f.clock().Sub(received))}
	if !reply.Ready {
		return reply, f.changed
	}
	changes, full := f.state.changesSince(known)
	reply.Version, reply.Objects, reply.Full = changes.Version, changes.Objects, full
	if !f.outageEnd.IsZero() {
		reply.SinceOutage = time.Since(f.outageEnd)
	}
	return reply, f.changed
}
