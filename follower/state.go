package follower

import (
	"maps"
	"time"

	"apricotspool/storer"
)

// Listing is an immutable snapshot of the objects below a prefix.
type Listing struct {
	Objects map[string]storer.Object // by key
	Version storer.Version           // store version up to which all changes are included
	// OutageEnd is when the store last responded again after a failed call; zero before the first failure.
	OutageEnd time.Time
	// Changes counts the changes of the objects, whatever their versions.
	Changes uint64
}

// maxTombstones bounds the deleted objects that are kept for followers of this replica.
const maxTombstones = 1024

// state merges lists and changes, which may arrive in any order. The zero value is empty.
type state struct {
	objects    map[string]storer.Object // including tombstones, which have Deleted set
	version    storer.Version
	tombstones int
	// tombstonesSince is the version since which all tombstones have been kept.
	tombstonesSince storer.Version
}

// applyList merges a complete list read at a version of the store, and reports whether anything changed.
func (s *state) applyList(objects map[string]storer.Object, version storer.Version) bool {
	if version.Era() < s.version.Era() {
		return false // a response that is older than a restore of the store
	}
	changed := s.objects == nil
	if s.objects == nil {
		s.objects, s.tombstonesSince = map[string]storer.Object{}, version
	}
	for key, known := range s.objects {
		if _, listed := objects[key]; listed || known.Deleted || known.Version > version {
			continue
		}
		changed = s.put(storer.Object{Key: key, Version: version, Deleted: true}) || changed
	}
	for _, object := range objects {
		changed = s.put(object) || changed
	}
	s.version = max(s.version, version)
	s.dropTombstones()
	return changed
}

// applyChanges merges the changes up to a version of the store, and reports whether anything changed.
func (s *state) applyChanges(changes storer.Changes) bool {
	changed := false
	for _, object := range changes.Objects {
		changed = s.put(object) || changed
	}
	s.version = max(s.version, changes.Version)
	s.dropTombstones()
	return changed
}

func (s *state) put(object storer.Object) bool {
	known, exists := s.objects[object.Key]
	if exists && (known.Version > object.Version || (known.Version == object.Version && known.Deleted == object.Deleted)) {
		return false
	}
	if exists && known.Deleted {
		s.tombstones--
	}
	if object.Deleted {
		s.tombstones++
	}
	s.objects[object.Key] = object
	return !object.Deleted || (exists && !known.Deleted)
}

// dropTombstones drops all tombstones if there are more than maxTombstones.
func (s *state) dropTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	maps.DeleteFunc(s.objects, func(_ string, o storer.Object) bool { return o.Deleted })
	s.tombstones, s.tombstonesSince = 0, s.version
}

// changesSince returns the changes after a version, or all objects if tombstones after it have been dropped.
func (s *state) changesSince(version storer.Version) (changes storer.Changes, full bool) {
	full = version == 0 || version < s.tombstonesSince
	changes.Version = s.version
	for _, object := range s.objects {
		if object.Version > version || (full && !object.Deleted) {
			changes.Objects = append(changes.Objects, object)
		}
	}
	return changes, full
}

func (s *state) listing(outageEnd time.Time, changes uint64) *Listing {
	present := maps.Clone(s.objects)
	maps.DeleteFunc(present, func(_ string, o storer.Object) bool { return o.Deleted })
	return &Listing{Objects: present, Version: s.version, OutageEnd: outageEnd, Changes: changes}
}
