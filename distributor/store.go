package distributor

import (
	"context"

	"github.com/go-json-experiment/json"
	"github.com/pkg/errors"

	"apricotspool/configurer"
	"apricotspool/namer"
	"apricotspool/storer"
)

// errStoreReverted means that the store has a lower version than the active one, or a different document
// of the same version, because it was restored from a backup. Its content is rejected.
var errStoreReverted = errors.New("configuration in the object API is older than the active one or conflicts with it")

// readHead reads the head and rejects one that reverts the active version.
func (d *Distributor) readHead(ctx context.Context) (storer.Object, head, error) {
	ctx, cancel := storeContext(ctx)
	defer cancel()
	object, err := d.limitedStore.Get(ctx, headKey)
	if errors.Is(err, storer.ErrNotFound) {
		object, err = storer.Object{Key: headKey}, nil
	}
	if err != nil {
		return storer.Object{}, head{}, err
	}
	h, err := d.acceptHead(object)
	return object, h, err
}

func (d *Distributor) acceptHead(object storer.Object) (head, error) {
	h, err := decodeHead(object)
	if err != nil {
		return head{}, err
	}
	s := d.Snapshot()
	if s != nil && (h.Version < s.Version() || (h.Version == s.Version() && h.digest() != s.Digest())) {
		d.Metrics.Counter("apricotspool_configuration_reverts_refused_total").Inc()
		return head{}, errors.Wrapf(errStoreReverted, "object API has version %d, active version is %d", h.Version, s.Version())
	}
	return h, nil
}

// load builds the snapshot of a head, starting from the active version if the tail continues from it.
func (d *Distributor) load(ctx context.Context, h head) (*configurer.Snapshot, error) {
	if h.Version == 0 {
		return configurer.NewSnapshot(0, emptyDocument), nil
	}
	if s := d.Snapshot(); s != nil {
		if s.Version() == h.Version {
			return s, nil
		}
		if entries, ok := h.after(s.Version()); ok {
			next, err := advance(s.Document(), entries)
			if err == nil {
				return next, nil
			}
			d.Log.Error().Err(err).Msg("configuration-diverged")
		}
	}
	return d.rebuild(ctx, h, h.Version)
}

// rebuild builds a version from the snapshot object and the tail. The version must not be lower than
// that of the snapshot.
func (d *Distributor) rebuild(ctx context.Context, h head, version namer.ConfigVersion) (*configurer.Snapshot, error) {
	base, err := d.readSnapshot(ctx, h.Snapshot)
	if err != nil {
		return nil, err
	}
	if version == h.Snapshot.Version {
		return configurer.NewSnapshot(version, base), nil
	}
	entries, ok := h.after(h.Snapshot.Version)
	if !ok {
		return nil, errors.Errorf("configuration head %d has no patches that follow its snapshot version %d", h.Version, h.Snapshot.Version)
	}
	return advance(base, entries[:version-h.Snapshot.Version])
}

func (d *Distributor) readSnapshot(ctx context.Context, r snapshotRef) (*configurer.Document, error) {
	if r.Version == 0 {
		return emptyDocument, nil
	}
	ctx, cancel := storeContext(ctx)
	defer cancel()
	object, err := d.limitedStore.Get(ctx, r.key())
	if err != nil {
		return nil, err
	}
	if configurer.DigestOf(object.Value) != r.Digest {
		return nil, errors.Wrapf(errDiverged, "snapshot object %q", r.key())
	}
	document, err := configurer.Parse(object.Value)
	return document, errors.Wrapf(err, "snapshot object %q", r.key())
}

// writeReferencedObjects writes the objects that the new head refers to. Their content is determined by
// committed versions or by their key, so an object that already exists has the same content.
func (d *Distributor) writeReferencedObjects(ctx context.Context, update headUpdate) error {
	if len(update.segment) > 0 {
		data, err := encode(historySegment{Entries: update.segment})
		if err != nil {
			return err
		}
		if err := d.createObject(ctx, segmentKey(update.segment[len(update.segment)-1].Version), data); err != nil {
			return err
		}
	}
	if update.snapshot == nil {
		return nil
	}
	return d.createObject(ctx, update.snapshot.key(), update.document.Encode())
}

func (d *Distributor) createObject(ctx context.Context, key string, value []byte) error {
	ctx, cancel := storeContext(ctx)
	defer cancel()
	_, err := d.limitedStore.Put(ctx, key, value, 0)
	if errors.Is(err, storer.ErrConflict) {
		return nil
	}
	return err
}

// removeOldSnapshots deletes up to two snapshot objects older than the one that the previous head used.
func (d *Distributor) removeOldSnapshots(ctx context.Context, previous snapshotRef) {
	ctx, cancel := storeContext(ctx)
	defer cancel()
	page, err := d.limitedStore.List(ctx, snapshotPrefix, "", 2)
	if err != nil {
		return // retried after the next snapshot
	}
	for _, object := range page.Objects {
		if object.Key < (snapshotRef{Version: previous.Version}).key() {
			d.limitedStore.Delete(ctx, object.Key, object.Version)
		}
	}
}

// History returns at most limit committed patches above a version, in version order.
func (d *Distributor) History(ctx context.Context, after namer.ConfigVersion, limit int) ([]Entry, error) {
	d.init()
	_, h, err := d.readHead(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration history")
	}
	var found []Entry
	for len(found) < limit && len(h.Tail) > 0 && after+1 < h.Tail[0].Version {
		entries, err := d.readSegment(ctx, after+1)
		if err != nil {
			return nil, errors.Wrap(err, "read configuration history")
		}
		found = append(found, entries...)
		after = found[len(found)-1].Version
	}
	for _, e := range h.Tail {
		if e.Version > after {
			found = append(found, e)
		}
	}
	return found[:min(limit, len(found))], nil
}

// readSegment returns the entries from a version up to the end of its history segment.
func (d *Distributor) readSegment(ctx context.Context, version namer.ConfigVersion) ([]Entry, error) {
	ctx, cancel := storeContext(ctx)
	defer cancel()
	page, err := d.limitedStore.List(ctx, historyPrefix, segmentKey(version-1), 1)
	if err != nil {
		return nil, err
	}
	var s historySegment
	if len(page.Objects) == 0 {
		return nil, errors.Wrapf(storer.ErrNotFound, "history of version %d", version)
	}
	if err := json.Unmarshal(page.Objects[0].Value, &s); err != nil {
		return nil, errors.Wrapf(err, "history object %q", page.Objects[0].Key)
	}
	for i, e := range s.Entries {
		if e.Version == version {
			return s.Entries[i:], nil
		}
	}
	return nil, errors.Wrapf(storer.ErrNotFound, "history of version %d", version)
}
