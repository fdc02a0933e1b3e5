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

// maxCommitAttempts bounds the writes of one patch whose answers are lost.
const maxCommitAttempts = 4

// Patch is an operator's change.
type Patch struct {
	ID    PatchID
	Base  namer.ConfigVersion // version that the operator saw; the patch applies to no other
	Merge []byte              // merge patch, RFC 7396
	By    string
	// Repeat says that an earlier call with this id ended without a certain result: it was lost or
	// was Unknown. No result of a repeated call is NotApplied, since the earlier one may take effect.
	Repeat bool
}

// Result says what became of a patch.
type Result string

// The results of a patch.
const (
	// Applied means that the patch is committed at Answer.Version, now or by an earlier call with its id.
	Applied Result = "applied"
	// Stale means that another patch was committed after the base; this one never takes effect.
	Stale Result = "stale"
	// Invalid means that the patch or its result is wrong; it was not applied.
	Invalid Result = "invalid"
	// NotApplied means that the patch was not written and never takes effect.
	NotApplied Result = "not-applied"
	// Unknown means that the patch may take effect; the same call with the same id resolves it.
	Unknown Result = "unknown"
)

// Answer is the result of a patch.
type Answer struct {
	Result  Result              `json:"result"`
	Version namer.ConfigVersion `json:"version"`           // Applied: of the patch; otherwise the newest known
	Changes []configurer.Change `json:"changes,omitempty"` // Stale: what changed since the base, when that is known
	Faults  decoder.Faults      `json:"faults,omitempty"`  // Invalid
	Reason  string              `json:"reason,omitempty"`
}

// Patch commits a patch. It never panics on or retries an invalid one, and it holds no lock that
// readers need.
func (d *Distributor) Patch(ctx context.Context, p Patch) Answer {
	d.init()
	merge, faults := checkPatch(p)
	if len(faults) > 0 {
		return Answer{Result: Invalid, Version: d.version(), Faults: faults}
	}
	p.Merge = merge
	c := commit{Distributor: d, patch: p, uncertain: p.Repeat}
	select {
	case d.committing <- struct{}{}:
		defer func() { <-d.committing }()
	case <-ctx.Done():
		return c.unresolved(ctx.Err())
	}
	var delay backoff
	for range maxCommitAttempts {
		answer, done := c.attempt(ctx)
		if done {
			d.Log.Info().Str("patch", string(p.ID)).Str("result", string(answer.Result)).Uint64("version", uint64(answer.Version)).Msg("patch")
			return answer
		}
		if !sleep(ctx, delay.next(d.jitter)) {
			break
		}
	}
	return c.unresolved(errors.New("the object API's answers were lost"))
}

// checkPatch returns the patch without spaces.
func checkPatch(p Patch) ([]byte, decoder.Faults) {
	var faults decoder.Faults
	if p.ID == "" || len(p.ID) > maxPatchID {
		faults.Addf("/id", p.ID, "a patch has an id of 1 to %d characters", maxPatchID)
	}
	value := jsontext.Value(bytes.Clone(p.Merge))
	if err := value.Compact(); err != nil {
		faults.Addf("", string(p.Merge), "%v", err)
	}
	return value, faults
}

// commit is one patch on its way.
type commit struct {
	*Distributor
	patch Patch
	// uncertain is set once a write may have taken effect, or may still, although its answer was lost.
	uncertain bool
}

// unresolved answers when the store can't tell more.
func (c *commit) unresolved(err error) Answer {
	result := NotApplied
	if c.uncertain {
		result = Unknown
	}
	return Answer{Result: result, Version: c.version(), Reason: err.Error()}
}

// attempt reads the head and tries one conditional write. It is not done when the write's answer was
// lost or the head changed meanwhile; the next attempt then finds out. After a lost answer the same
// write is sent again: reading the head unchanged would not show that the first can't arrive later.
func (c *commit) attempt(ctx context.Context) (Answer, bool) {
	object, h, err := c.readHead(ctx)
	if err != nil {
		return c.unresolved(err), true
	}
	if h.Version != c.patch.Base {
		return c.passed(ctx, h), true
	}
	before, err := c.load(ctx, h)
	if err != nil {
		return c.unresolved(err), true
	}
	after, err := before.Document().Apply(c.patch.Merge)
	if err != nil {
		var faults decoder.Faults
		errors.As(err, &faults)
		return Answer{Result: Invalid, Version: h.Version, Faults: faults}, true
	}
	if size := len(after.Encode()); size > storer.MaxValueBytes {
		var faults decoder.Faults
		faults.Addf("", size, "the document has at most %d bytes", storer.MaxValueBytes)
		return Answer{Result: Invalid, Version: h.Version, Faults: faults}, true
	}
	next := configurer.NewSnapshot(h.Version+1, after)
	entry := Entry{
		Version: next.Version(), ID: c.patch.ID, By: c.patch.By, At: time.Now().UTC().Truncate(time.Millisecond),
		Sum: sumOf(c.patch.Merge), Digest: next.Digest(), Patch: c.patch.Merge,
	}
	return c.write(ctx, object, h, before, next, entry)
}

func (c *commit) write(ctx context.Context, object storer.Object, h head, before, next *configurer.Snapshot, entry Entry) (Answer, bool) {
	p := h.extend(entry, before.Document(), next.Document())
	if err := c.prepare(ctx, p); err != nil {
		// Objects that no head refers to have no effect, so only an earlier write of the head matters.
		return c.unresolved(err), true
	}
	value, err := encode(p.next)
	if err != nil {
		return c.unresolved(err), true
	}
	putCtx, cancel := storeContext(ctx)
	defer cancel()
	_, err = c.budget.Put(putCtx, headKey, value, object.Version)
	switch {
	case err == nil:
		c.committed(ctx, next, entry)
		if p.snapshot != nil {
			c.calls.Go(func() { c.removeOld(context.WithoutCancel(ctx), h.Snapshot) })
		}
		return Answer{Result: Applied, Version: entry.Version}, true
	case errors.Is(err, storer.ErrConflict):
		return Answer{}, false
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrThrottled), errors.Is(err, storer.ErrTooLarge):
		return c.unresolved(err), true
	}
	c.uncertain = true
	return Answer{}, false
}

// committed brings the version into force here and tells the peers.
func (c *commit) committed(ctx context.Context, next *configurer.Snapshot, entry Entry) {
	c.applying.Lock()
	c.adopt(next, []Entry{entry}, "commit")
	c.applying.Unlock()
	if entry.size() > maxTailBytes {
		entry.Patch = nil // peers fetch the document
	}
	c.push(ctx, Announcement{Version: entry.Version, From: c.Self.Address, Entries: []Entry{entry}}, gossiperAll)
}

// passed answers when the head is no longer at the base. The patch can only have become the version
// after its base, so that entry tells whether it was applied. No write of it can take effect later.
func (c *commit) passed(ctx context.Context, h head) Answer {
	if h.Version < c.patch.Base {
		return c.unresolved(errors.Errorf("version %d does not exist", c.patch.Base))
	}
	entry, err := c.committedEntry(ctx, h, c.patch.Base+1)
	if err != nil {
		// An earlier call may have committed this id, and the history that tells is out of reach.
		c.uncertain = true
		return c.unresolved(err)
	}
	c.learn(ctx, h)
	if entry.ID == c.patch.ID && !c.withoutPatchIDs {
		if entry.Sum != sumOf(c.patch.Merge) {
			var faults decoder.Faults
			faults.Addf("/id", c.patch.ID, "version %d is another patch with this id", entry.Version)
			return Answer{Result: Invalid, Version: h.Version, Faults: faults}
		}
		return Answer{Result: Applied, Version: entry.Version}
	}
	return Answer{Result: Stale, Version: h.Version, Changes: c.changesSince(ctx, h), Reason: fmt.Sprintf("version %d is patch %q by %q", entry.Version, entry.ID, entry.By)}
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

// changesSince returns the difference between the base and the head, or nothing when the base is
// older than the snapshot object.
func (c *commit) changesSince(ctx context.Context, h head) []configurer.Change {
	if c.patch.Base < h.Snapshot.Version {
		return nil
	}
	base, err := c.rebuild(ctx, h, c.patch.Base)
	if err != nil {
		return nil
	}
	now, err := c.load(ctx, h)
	if err != nil {
		return nil
	}
	return configurer.Diff(base.Document(), now.Document())
}
