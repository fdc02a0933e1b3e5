package storer

// Version orders all writes to the store. Version 0 means that an object does not exist. A version consists
// of the store's era and its revision within the era, so that versions increase although a store that was
// restored from a backup gives out revisions again.
type Version uint64

// Era counts how often the store was restored from a backup. It loses the last writes of the era before.
type Era uint64

// revisionBits is the number of bits of a revision. With up to 8,191 eras, a version is exact as a JSON number.
const revisionBits = 40

// NewVersion returns the version of a revision in an era.
func NewVersion(era Era, revision uint64) Version {
	return Version(era)<<revisionBits | Version(revision&(1<<revisionBits-1))
}

// Era returns the store's era at the time of the version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the store's own number within the era.
func (v Version) Revision() uint64 { return uint64(v & (1<<revisionBits - 1)) }

// EraSource is implemented by stores that know their era also while an object does not exist.
type EraSource interface {
	// Era returns the highest era in any response so far; 0 if the store has none.
	Era() Era
}
