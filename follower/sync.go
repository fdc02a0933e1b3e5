package follower

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// SyncRequest asks a reader for the changes since a version.
type SyncRequest struct {
	_      struct{} `cbor:",toarray"`
	Prefix string
	Known  storer.Version // 0 requests all objects
	Wait   time.Duration  // long-poll time: how long to hold the call while nothing changes
	// Failing is the last SyncReply.Failing that the caller received; a change of it ends the long poll.
	Failing bool
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
	// Failing says that the reader's own calls to the object API fail. The reader can't tell an outage of the object API from
	// a cut of its own path, so whoever needs to know has to call the object API itself.
	Failing bool
	// Held is how long the reader has held the call before it made the reply.
	Held time.Duration
	// EraAge is the time since the era of Version had begun at the latest, for all that the reader knows.
	EraAge time.Duration
}

// check returns an error if a reply has values that no reader sends.
func (r *SyncReply) check(prefix string) error {
	if r.Age < 0 || r.Held < 0 || r.EraAge < 0 {
		return errors.Errorf("age %v, time held %v and age of the era %v must not be negative", r.Age, r.Held, r.EraAge)
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
	request := &SyncRequest{Prefix: f.Prefix, Known: known, Wait: f.boundFraction(longPollFraction), Failing: f.readerFails()}
	reply, err := f.Readers.Sync(callCtx, request)
	if err == nil {
		err = reply.check(f.Prefix)
	}
	if err != nil || !reply.Ready {
		f.Log.Debug().Err(err).Str("prefix", f.Prefix).Msg("sync-failed")
		sleep(ctx, minBackoff)
		return
	}
	f.recordReader(reply.Failing)
	if reply.Age > f.boundFraction(1) {
		sleep(ctx, minBackoff) // the reader itself can't reach the object API
		return
	}
	f.applyReply(reply, callStart, callInstant)
}

// readerFails reports whether the last reply of a reader said that its calls to the object API fail.
func (f *Follower) readerFails() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readerFailing
}

// recordReader records that a reader has replied, and whether its calls to the object API fail. When they begin to fail, this
// daemon calls the object API once itself: whether the object API is out decides what a missing entry means.
func (f *Follower) recordReader(failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readerResponded = time.Now()
	if failing != f.readerFailing {
		f.readerFailing, f.probeDue = failing, failing
		f.Log.Info().Str("prefix", f.Prefix).Bool("failing", failing).Msg("reader-state-changed")
	}
}

// applyReply applies the reply to a call. The reader made it when it had held the call, and not before: the reply may have been
// on its way, or either daemon suspended, for any time since.
func (f *Follower) applyReply(reply *SyncReply, callStart time.Time, callInstant timekeeper.Instant) {
	held := min(reply.Held, time.Since(callStart))
	confirmed := callStart.Add(held - reply.Age)
	if known, _ := f.currentVersion(); reply.Version < known {
		confirmed = time.Time{} // an older state does not confirm the replica
	}
	// A reply that was on its way for a while makes the era seem younger than it is.
	begunBy := f.clock().Add(-reply.EraAge)
	f.update(proof{confirmed, confirmed, callInstant.Add(held - reply.Age), reply.Version.Era(), begunBy}, func(s *state) bool {
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
		if len(reply.Objects) > 0 || (reply.Full && reply.Version > request.Known) || reply.Failing != request.Failing {
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
	reply := &SyncReply{Ready: f.state.objects != nil, Age: max(0, f.age()), Held: max(0, f.clock().Sub(received)), Failing: f.failing}
	if !reply.Ready {
		return reply, f.changed
	}
	changes, full := f.state.changesSince(known)
	reply.Version, reply.Objects, reply.Full = changes.Version, changes.Objects, full
	reply.EraAge = max(0, f.clock().Sub(f.confirmation.Eras.BegunBy()))
	return reply, f.changed
}
