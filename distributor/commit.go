package distributor

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"apricotspool/configurer"
	"apricotspool/decoder"
	"apricotspool/namer"
	"apricotspool/storer"
)

// maxCommitAttempts limits the writes of one patch when responses of the store are lost.
const maxCommitAttempts = 4

// Patch is a configuration change requested by an operator.
type Patch struct {
	ID    PatchID
	Base  namer.ConfigVersion // version the patch was written against; it applies to no other
	Merge []byte              // merge patch, RFC 7396
	By    string
	// Retry is set when an earlier call with this ID was lost or returned Unknown. A retry never
	// returns NotApplied, since the earlier call may still take effect.
	Retry bool
}

// Result is the outcome of a patch.
type Result string

// The results of a patch.
const (
	// Applied means that the patch is committed at PatchReply.Version, by this or an earlier call with its ID.
	Applied Result = "applied"
	// Stale means that another patch was committed after Base; this one never takes effect.
	Stale Result = "stale"
	// Invalid means that the patch or the resulting document is invalid; it was not applied.
	Invalid Result = "invalid"
	// NotApplied means that the patch was not written and never takes effect.
	NotApplied Result = "not-applied"
	// Unknown means that the patch may take effect; a retry with the same ID resolves it.
	Unknown Result = "unknown"
)

// PatchReply is the reply to a patch.
type PatchReply struct {
	Result  Result              `json:"result"`
	Version namer.ConfigVersion `json:"version"`           // Applied: version of the patch; otherwise the highest known version
	Changes []configurer.Change `json:"changes,omitempty"` // Stale: differences since Base, if known
	Faults  decoder.Faults      `json:"faults,omitempty"`  // Invalid
	Reason  string              `json:"reason,omitempty"`
}

// Patch commits a patch. An invalid patch causes neither a panic nor a retry, and no lock that
// readers need is held.
func (d *Distributor) Patch(ctx context.Context, p Patch) PatchReply {
	d.init()
	compacted, faults := checkPatch(p)
	if len(faults) > 0 {
		return PatchReply{Result: Invalid, Version: d.version(), Faults: faults}
	}
	p.Merge = compacted
	c := commit{Distributor: d, patch: p, uncertain: p.Retry}
	select {
	case d.commitSlot <- struct{}{}:
		defer func() { <-d.commitSlot }()
	case <-ctx.Done():
		return c.unresolvedReply(ctx.Err())
	}
	var delay backoff
	for range maxCommitAttempts {
		reply, done := c.attempt(ctx)
		if done {
			d.Log.Info().Str("patch", string(p.ID)).Str("result", string(reply.Result)).Uint64("version", uint64(reply.Version)).Msg("patch")
			return reply
		}
		if !sleep(ctx, delay.next(d.jitter)) {
			break
		}
	}
	return c.unresolvedReply(errors.New("gave up without a definite response from the object API"))
}

// checkPatch validates a patch and returns it without insignificant white space.
func checkPatch(p Patch) ([]byte, decoder.Faults) {
	var faults decoder.Faults
	if p.ID == "" || len(p.ID) > maxPatchID {
		faults.Addf("/id", p.ID, "must have 1 to %d characters", maxPatchID)
	}
	value := jsontext.Value(bytes.Clone(p.Merge))
	if err := value.Compact(); err != nil {
		faults.Addf("", string(p.Merge), "%v", err)
	}
	return value, faults
}

// commit is a patch that is being committed.
type commit struct {
	*Distributor
	patch Patch
	// uncertain is set once the response to a write was lost: the write may have taken effect or may
	// still do so.
	uncertain bool
}

// unresolvedReply returns the reply for a patch whose commit could not be confirmed.
func (c *commit) unresolvedReply(err error) PatchReply {
	result := NotApplied
	if c.uncertain {
		result = Unknown
	}
	return PatchReply{Result: result, Version: c.version(), Reason: err.Error()}
}

// attempt reads the head and tries one conditional write. It returns false if the response was lost or
// the head changed in the meantime; the next attempt then determines the outcome. After a lost response
// the same write is sent again, because an unchanged head does not prove that the first write will not
// arrive later.
func (c *commit) attempt(ctx context.Context) (PatchReply, bool) {
	object, h, err := c.readHead(ctx)
	if err != nil {
		return c.unresolvedReply(err), true
	}
	if h.Version != c.patch.Base {
		return c.resolveAtMovedHead(ctx, h), true
	}
	before, err := c.load(ctx, h)
	if err != nil {
		return c.unresolvedReply(err), true
	}
	after, err := before.Document().Apply(c.patch.Merge)
	if err != nil {
		var faults decoder.Faults
		errors.As(err, &faults)
		return PatchReply{Result: Invalid, Version: h.Version, Faults: faults}, true
	}
	if size := len(after.Encode()); size > storer.MaxValueBytes {
		var faults decoder.Faults
		faults.Addf("", size, "the resulting document must have at most %d bytes", storer.MaxValueBytes)
		return PatchReply{Result: Invalid, Version: h.Version, Faults: faults}, true
	}
	next := configurer.NewSnapshot(h.Version+1, after)
	entry := Entry{
		Version: next.Version(), ID: c.patch.ID, By: c.patch.By, At: time.Now().UTC().Truncate(time.Millisecond),
		PatchHash: hashPatch(c.patch.Merge), Digest: next.Digest(), Patch: c.patch.Merge,
	}
	return c.write(ctx, object, h, before, next, entry)
}

func (c *commit) write(ctx context.Context, object storer.Object, h head, before, next *configurer.Snapshot, entry Entry) (PatchReply, bool) {
	update := h.extend(entry, before.Document(), next.Document())
	if err := c.writeReferencedObjects(ctx, update); err != nil {
		// Objects that no head refers to have no effect; only an earlier write of the head matters.
		return c.unresolvedReply(err), true
	}
	value, err := encode(update.next)
	if err != nil {
		return c.unresolvedReply(err), true
	}
	putCtx, cancel := storeContext(ctx)
	defer cancel()
	_, err = c.limitedStore.Put(putCtx, headKey, value, object.Version)
	switch {
	case err == nil:
		c.publish(ctx, next, entry)
		if update.snapshot != nil {
			c.background.Go(func() { c.removeOldSnapshots(context.WithoutCancel(ctx), h.Snapshot) })
		}
		return PatchReply{Result: Applied, Version: entry.Version}, true
	case errors.Is(err, storer.ErrConflict):
		return PatchReply{}, false
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrThrottled), errors.Is(err, storer.ErrTooLarge):
		return c.unresolvedReply(err), true
	}
	c.uncertain = true
	return PatchReply{}, false
}

// publish activates a committed version on this daemon and announces it to the peers.
func (c *commit) publish(ctx context.Context, next *configurer.Snapshot, entry Entry) {
	c.applyMu.Lock()
	c.adopt(next, []Entry{entry}, "commit")
	c.applyMu.Unlock()
	if entry.size() > maxTailBytes {
		entry.Patch = nil // peers fetch the whole document instead
	}
	c.push(ctx, Announcement{Version: entry.Version, From: c.Self.Address, Entries: []Entry{entry}}, fanoutAll)
}

// resolveAtMovedHead determines the outcome when the head is no longer at Base. The patch can only have
// become version Base+1, so that entry shows whether it was applied. No later write of it can succeed.
func (c *commit) resolveAtMovedHead(ctx context.Context, h head) PatchReply {
	if h.Version < c.patch.Base {
		return c.unresolvedReply(errors.Errorf("version %d does not exist", c.patch.Base))
	}
	entry, err := c.committedEntry(ctx, h, c.patch.Base+1)
	if err != nil {
		// An earlier call may have committed this ID, and the history that would show it is unavailable.
		c.uncertain = true
		return c.unresolvedReply(err)
	}
	c.applyHead(ctx, h)
	if entry.ID == c.patch.ID && !c.disablePatchIDs {
		if entry.PatchHash != hashPatch(c.patch.Merge) {
			var faults decoder.Faults
			faults.Addf("/id", c.patch.ID, "version %d was committed by a different patch with the same id", entry.Version)
			return PatchReply{Result: Invalid, Version: h.Version, Faults: faults}
		}
		return PatchReply{Result: Applied, Version: entry.Version}
	}
	return PatchReply{Result: Stale, Version: h.Version, Changes: c.changesSince(ctx, h), Reason: fmt.Sprintf("version %d was committed as patch %q by %q", entry.Version, entry.ID, entry.By)}
}

func (c *commit) committedEntry(ctx context.Context, h head, version namer.ConfigVersion) (Entry, error) {
	if entry, ok := h.entry(version); ok {
		return entry, nil
	}
	entries, err := c.readSegment(ctx, version)
	if err != nil {
		return Entry{}, err
	}
	return entries[0], nil
}

// changesSince returns the differences between Base and the head, or nil if Base is older than the
// snapshot object.
func (c *commit) changesSince(ctx context.Context, h head) []configurer.Change {
	if c.patch.Base < h.Snapshot.Version {
		return nil
	}
	base, err := c.rebuild(ctx, h, c.patch.Base)
	if err != nil {
		return nil
	}
	current, err := c.load(ctx, h)
	if err != nil {
		return nil
	}
	return configurer.Diff(base.Document(), current.Document())
}
