package distributor

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"apricotspool/configurer"
	"apricotspool/namer"
	"apricotspool/storer"
)

// Keys in the object API.
const (
	headKey        = "configuration/head"
	snapshotPrefix = "configuration/snapshot/"
	historyPrefix  = "configuration/history/"
)

// Limits of the head's tail, which every watcher receives with every change.
const (
	maxTailEntries = 32
	maxTailBytes   = 64 << 10
)

// PatchID identifies a patch across retries. The client chooses it.
type PatchID string

// maxPatchID is the maximum length of a PatchID; a UUID has 36 characters.
const maxPatchID = 128

// Entry is one committed patch.
type Entry struct {
	_         struct{}            `cbor:",toarray"`
	Version   namer.ConfigVersion `json:"version"`
	ID        PatchID             `json:"id"`
	By        string              `json:"by,omitempty"` // operator, as named by the operators' API
	At        time.Time           `json:"at"`           // clock of the committing daemon
	PatchHash uint64              `json:"sum,string"`   // hash of the patch, to detect an ID that is reused for another patch
	Digest    configurer.Digest   `json:"digest,string"`
	Patch     jsontext.Value      `json:"patch,omitzero"` // empty if too large for the tail; the snapshot then has this version
}

func hashPatch(patch []byte) uint64 { return xxhash.Sum64(patch) }

// size returns the approximate encoded size in bytes.
func (e Entry) size() int { return len(e.Patch) + len(e.ID) + len(e.By) + 160 }

// snapshotRef refers to a snapshot object. The key contains the digest, so that daemons that race to
// commit the same version do not overwrite each other's objects.
type snapshotRef struct {
	Version namer.ConfigVersion `json:"version"`
	Digest  configurer.Digest   `json:"digest,string"`
}

func (r snapshotRef) key() string {
	return fmt.Sprintf("%s%020d-%016x", snapshotPrefix, r.Version, uint64(r.Digest))
}

// head is the object that a commit updates with a conditional write. The document at Version is the
// snapshot with the tail's patches above the snapshot's version applied. Entries up to the snapshot's
// version stay in the tail until the next history segment is written.
type head struct {
	Version  namer.ConfigVersion `json:"version"`
	Snapshot snapshotRef         `json:"snapshot"`
	Tail     []Entry             `json:"tail"`
}

// historySegment is a range of the history. Its key contains its last version.
type historySegment struct {
	Entries []Entry `json:"entries"`
}

func segmentKey(last namer.ConfigVersion) string { return fmt.Sprintf("%s%020d", historyPrefix, last) }

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value, json.Deterministic(true))
	return data, errors.Wrap(err, "encode configuration object")
}

// decodeHead decodes and validates the head. A missing object is decoded as version 0.
func decodeHead(object storer.Object) (head, error) {
	var h head
	if object.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(object.Value, &h); err != nil {
		return head{}, errors.Wrap(err, "decode configuration head")
	}
	if len(h.Tail) == 0 || h.Snapshot.Version > h.Version {
		return head{}, errors.Errorf("configuration head %d has an empty tail or a higher snapshot version %d", h.Version, h.Snapshot.Version)
	}
	for i, e := range h.Tail {
		want := h.Version - namer.ConfigVersion(len(h.Tail)-1-i)
		if e.Version != want || (e.Version > h.Snapshot.Version && len(e.Patch) == 0) {
			return head{}, errors.Errorf("configuration head %d has entry %d, or an entry without its patch, where entry %d is expected", h.Version, e.Version, want)
		}
	}
	if h.Tail[0].Version > h.Snapshot.Version+1 {
		return head{}, errors.Errorf("configuration head %d lacks the entries that follow its snapshot version %d", h.Version, h.Snapshot.Version)
	}
	return h, nil
}

// digest returns the digest of the head's document.
func (h head) digest() configurer.Digest {
	if len(h.Tail) == 0 {
		return emptyDigest
	}
	return h.Tail[len(h.Tail)-1].Digest
}

// entry returns the tail's entry of a version.
func (h head) entry(version namer.ConfigVersion) (Entry, bool) {
	for _, e := range h.Tail {
		if e.Version == version {
			return e, true
		}
	}
	return Entry{}, false
}

// after returns the tail's entries above a version if they are complete.
func (h head) after(version namer.ConfigVersion) ([]Entry, bool) {
	return entriesAfter(h.Tail, version)
}

// entriesAfter returns the entries above a version if none is missing and all include their patch.
func entriesAfter(entries []Entry, version namer.ConfigVersion) ([]Entry, bool) {
	for i, e := range entries {
		if e.Version != version+1 {
			continue
		}
		for j, later := range entries[i:] {
			if later.Version != version+1+namer.ConfigVersion(j) || len(later.Patch) == 0 {
				return nil, false
			}
		}
		return entries[i:], true
	}
	return nil, false
}

var (
	emptyDocument = &configurer.Document{}
	emptyDigest   = configurer.DigestOf(emptyDocument.Encode())
)

// headUpdate is a new head and the objects that must be written before it.
type headUpdate struct {
	next     head
	segment  []Entry // entries of a new history segment; empty while the tail has room
	snapshot *snapshotRef
	document *configurer.Document // content of snapshot
}

// extend returns the update that appends an entry to h. before and after are the documents before and
// after the entry.
func (h head) extend(e Entry, before, after *configurer.Document) headUpdate {
	update := headUpdate{next: head{Version: e.Version, Snapshot: h.Snapshot}}
	size := e.size()
	for _, old := range h.Tail {
		size += old.size()
	}
	if e.size() > maxTailBytes {
		size -= len(e.Patch)
		e.Patch = nil
		update.next.Snapshot = snapshotRef{e.Version, e.Digest}
		update.snapshot, update.document = &update.next.Snapshot, after
	}
	if len(h.Tail) < maxTailEntries && size <= maxTailBytes {
		update.next.Tail = append(append(update.next.Tail, h.Tail...), e)
		return update
	}
	update.segment = h.Tail
	update.next.Tail = []Entry{e}
	if update.snapshot == nil {
		update.next.Snapshot = snapshotRef{h.Version, h.digest()}
		update.snapshot, update.document = &update.next.Snapshot, before
	}
	return update
}
