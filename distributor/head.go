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

// Keys of the object API.
const (
	headKey        = "configuration/head"
	snapshotPrefix = "configuration/snapshot/"
	historyPrefix  = "configuration/history/"
)

// Limits of the tail, which every watcher gets with every change.
const (
	maxTailEntries = 32
	maxTailBytes   = 64 << 10
)

// PatchID is chosen by the client that sends a patch. It recognises a patch whose answer was lost.
type PatchID string

// maxPatchID bounds an id; a UUID has 36 characters.
const maxPatchID = 128

// Entry is one committed patch.
type Entry struct {
	_       struct{}            `cbor:",toarray"`
	Version namer.ConfigVersion `json:"version"`
	ID      PatchID             `json:"id"`
	By      string              `json:"by,omitempty"` // operator, as the operators' API names it
	At      time.Time           `json:"at"`           // clock of the daemon that committed
	Sum     uint64              `json:"sum,string"`   // hash of the patch, to notice an id that is used twice
	Digest  configurer.Digest   `json:"digest,string"`
	Patch   jsontext.Value      `json:"patch,omitzero"` // empty when too large for the tail; the snapshot then has this version
}

func sumOf(patch []byte) uint64 { return xxhash.Sum64(patch) }

// size approximates the encoded size.
func (e Entry) size() int { return len(e.Patch) + len(e.ID) + len(e.By) + 160 }

// reference names a snapshot object. Its key holds the digest, so that writers that race for one
// version never overwrite each other's object.
type reference struct {
	Version namer.ConfigVersion `json:"version"`
	Digest  configurer.Digest   `json:"digest,string"`
}

func (r reference) key() string {
	return fmt.Sprintf("%s%020d-%016x", snapshotPrefix, r.Version, uint64(r.Digest))
}

// head is the object that a commit changes. The document of Version is the snapshot with the tail's
// patches above the snapshot's version applied. Entries up to the snapshot's version stay in the
// tail until the next history segment is written.
type head struct {
	Version  namer.ConfigVersion `json:"version"`
	Snapshot reference           `json:"snapshot"`
	Tail     []Entry             `json:"tail"`
}

// segment is a part of the history. Its key holds its last version.
type segment struct {
	Entries []Entry `json:"entries"`
}

func segmentKey(last namer.ConfigVersion) string { return fmt.Sprintf("%s%020d", historyPrefix, last) }

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value, json.Deterministic(true))
	return data, errors.Wrap(err, "encode configuration object")
}

// decodeHead decodes and checks the head; an object that does not exist is version 0.
func decodeHead(object storer.Object) (head, error) {
	var h head
	if object.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(object.Value, &h); err != nil {
		return head{}, errors.Wrap(err, "configuration head is not valid")
	}
	if len(h.Tail) == 0 || h.Snapshot.Version > h.Version {
		return head{}, errors.Errorf("configuration head %d has no tail or a snapshot of version %d", h.Version, h.Snapshot.Version)
	}
	for i, e := range h.Tail {
		want := h.Version - namer.ConfigVersion(len(h.Tail)-1-i)
		if e.Version != want || (e.Version > h.Snapshot.Version && len(e.Patch) == 0) {
			return head{}, errors.Errorf("configuration head %d has entry %d, or no patch, in place of %d", h.Version, e.Version, want)
		}
	}
	if h.Tail[0].Version > h.Snapshot.Version+1 {
		return head{}, errors.Errorf("configuration head %d has a gap after its snapshot %d", h.Version, h.Snapshot.Version)
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

// after returns the tail's entries above a version when they are complete.
func (h head) after(version namer.ConfigVersion) ([]Entry, bool) {
	return entriesAfter(h.Tail, version)
}

// entriesAfter returns the entries above a version when none is missing and all have their patch.
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

// plan is a new head with what must be written before it.
type plan struct {
	next     head
	segment  []Entry // history segment; empty when the tail has room
	snapshot *reference
	document *configurer.Document // of snapshot
}

// extend plans the head that follows h by an entry. before and after are the documents around it.
func (h head) extend(e Entry, before, after *configurer.Document) plan {
	p := plan{next: head{Version: e.Version, Snapshot: h.Snapshot}}
	size := e.size()
	for _, old := range h.Tail {
		size += old.size()
	}
	if e.size() > maxTailBytes {
		size -= len(e.Patch)
		e.Patch = nil
		p.next.Snapshot = reference{e.Version, e.Digest}
		p.snapshot, p.document = &p.next.Snapshot, after
	}
	if len(h.Tail) < maxTailEntries && size <= maxTailBytes {
		p.next.Tail = append(append(p.next.Tail, h.Tail...), e)
		return p
	}
	p.segment = h.Tail
	p.next.Tail = []Entry{e}
	if p.snapshot == nil {
		p.next.Snapshot = reference{h.Version, h.digest()}
		p.snapshot, p.document = &p.next.Snapshot, before
	}
	return p
}
