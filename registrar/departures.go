package registrar

import (
	"maps"
	"time"

	"apricotspool/namer"
	"apricotspool/storer"
)

// departureRetention is the time for which departures are remembered. It exceeds the age of the backups that a store is
// restored from.
const departureRetention = 10 * time.Minute

// departures remembers the endpoints that the object API has listed as leaving, or no longer lists. A store that was restored
// from a backup lists them as they were before, until whoever wrote the entries does so again. The zero value is empty.
type departures struct {
	byKey map[string]departure
	// outdated holds the keys of entries that come from a backup and contradict a departure, or the start of another process.
	outdated map[string]bool
}

// departure is what was last known of an endpoint's entry.
type departure struct {
	incarnation namer.Incarnation
	version     storer.Version // of the entry when its endpoint was leaving, or before it was removed
	at          time.Time
}

// record remembers that an endpoint is leaving, or that its entry was removed.
func (d *departures) record(now time.Time, key string, version storer.Version, incarnation namer.Incarnation) {
	if d.byKey == nil {
		d.byKey = map[string]departure{}
	}
	maps.DeleteFunc(d.byKey, func(_ string, old departure) bool { return now.Sub(old.at) > departureRetention })
	d.byKey[key] = departure{incarnation: incarnation, version: version, at: now}
}

// mark remembers that an entry comes from a backup and contradicts what is known.
func (d *departures) mark(key string) {
	if d.outdated == nil {
		d.outdated = map[string]bool{}
	}
	d.outdated[key] = true
}

// ofEarlierProcess reports whether an entry is of a process that has ended before the known one started under its name.
func ofEarlierProcess(entry, known Entry) bool {
	return entry.Name == known.Name && entry.Incarnation != 0 && entry.Incarnation < known.Incarnation
}

// contradicts reports whether an entry may be from a backup that was made before the endpoint's departure. An entry that was
// written since the restore has a later revision than the backup.
func (d *departures) contradicts(key string, version storer.Version, incarnation namer.Incarnation) bool {
	known, departed := d.byKey[key]
	return departed && incarnation <= known.incarnation && version.Era() > known.version.Era() && version.Revision() <= known.version.Revision()
}
