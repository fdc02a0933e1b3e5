// Package archivist lists the software versions, the builds, of a service in the object API before they begin streams that
// callers can take up, and until the last of these can't be taken up any more. A daemon that starts again learns there
// which builds the streams of before may have. Each daemon has one Archivist, which owns no other state than what it has
// seen; any of them writes the list.
package archivist

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/attester"
	"apricotspool/follower"
	"apricotspool/historian"
	"apricotspool/namer"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// Prefix is the key prefix of the lists.
const Prefix = "builds/"

const (
	// checkPeriod is how often it is checked whether a build can be removed from a list.
	checkPeriod = time.Second
	// callTimeout bounds one call to the object API.
	callTimeout = 2 * time.Second
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 300 * time.Millisecond
	// maxBuilds bounds the builds in a list that another writer may have written.
	maxBuilds = 1000
)

// Store is the part of the object API that an Archivist uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Put(ctx context.Context, key string, value []byte, expect storer.Version) (storer.Object, error)
}

// Service is a service whose streams callers can take up.
type Service struct {
	Builds map[namer.Build]bool // of its endpoints
	// Lifetime is the longest time from a stream's begin until a caller takes it up.
	Lifetime time.Duration
}

// Archivist maintains the lists. Set the exported fields before Run.
type Archivist struct {
	Store Store
	// Services returns the current services, and the era of the object API that they were read in.
	Services func() (map[namer.Service]Service, storer.Era)
	// Confirmation says how current the services are, by Clock.
	Confirmation func() follower.Confirmation
	Clock        timekeeper.Clock
	// ServicesChanged returns a channel that is closed when the services next change.
	ServicesChanged func() <-chan struct{}
	// Settling is the time within which all daemons learn of a new build.
	Settling time.Duration
	// Writes reports whether this daemon is one of the few that write lists at once, and remove builds from them. The others
	// write only what these have not written for a while.
	Writes func() bool
	Log    zerolog.Logger

	once    sync.Once
	done    chan struct{}
	start   time.Time
	seen    map[namer.Service]*historian.Builds // used by Run only
	era     storer.Era                          // of the lists that were read; used by Run only
	mu      sync.Mutex                          // guards the fields below
	lists   map[namer.Service]publishedList
	changed chan struct{}
	// generation counts the changes of what Listed returns.
	generation uint64
}

// publishedList is a list that was read from the object API.
type publishedList struct {
	list
	version storer.Version
	read    timekeeper.Instant // it has not been older than this
}

// list is the value of an object. Both slices are sorted.
type list struct {
	Builds []namer.Build `json:"builds"`
	// Settled are those of Builds that all daemons know, or know not to know. A daemon that starts needn't wait for this.
	Settled []namer.Build `json:"settled,omitempty"`
	// CompleteIn is the era of the object API in which nothing was missing from the list and from the endpoints any more that
	// the restore before it had lost. A list that was restored from a backup has an earlier one.
	CompleteIn storer.Era `json:"complete-in,omitempty"`
}

func (a *Archivist) init() {
	a.once.Do(func() {
		a.done, a.changed = make(chan struct{}), make(chan struct{})
		a.seen, a.lists, a.start = map[namer.Service]*historian.Builds{}, map[namer.Service]publishedList{}, time.Now()
	})
}

// Done returns a channel that is closed when Run has returned.
func (a *Archivist) Done() <-chan struct{} {
	a.init()
	return a.done
}

// Listed returns the builds in the list of a service, or nil before it has been read. The slice must not be modified.
func (a *Archivist) Listed(service namer.Service) []namer.Build { return a.published(service).Builds }

// Settled returns those of the builds in the list of a service that all daemons know. The slice must not be modified.
func (a *Archivist) Settled(service namer.Service) []namer.Build { return a.published(service).Settled }

func (a *Archivist) published(service namer.Service) publishedList {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lists[service]
}

// Attested reports whether all lists that have been read show that nothing is missing any more since the last restore of the
// object API that the record knows of.
func (a *Archivist) Attested(eras attester.Record) bool {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, list := range a.lists {
		if !eras.Attested(list.CompleteIn) {
			return false
		}
	}
	return len(a.lists) > 0
}

// Generation returns the number of changes of what Listed returns, and an instant since which all lists have been read.
func (a *Archivist) Generation() (generation uint64, read timekeeper.Instant) {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, list := range a.lists {
		if read == 0 || list.read < read {
			read = list.read
		}
	}
	return a.generation, read
}

// Changed returns a channel that is closed when a list next changes.
func (a *Archivist) Changed() <-chan struct{} {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// Run maintains the lists until ctx is done.
func (a *Archivist) Run(ctx context.Context) error {
	a.init()
	defer close(a.done)
	check := time.NewTicker(checkPeriod)
	defer check.Stop()
	for {
		changed := a.ServicesChanged()
		if err := a.update(ctx); err != nil && ctx.Err() == nil {
			a.Log.Warn().Err(err).Msg("builds-not-listed")
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-check.C:
		case <-a.nextCheck():
		}
	}
}

// nextCheck returns a channel that delivers soon while the services aren't known, since no stream begins before their lists
// are; and as soon as all that a restore of the object API has lost has been written again.
func (a *Archivist) nextCheck() <-chan time.Time {
	if services, _ := a.Services(); services == nil {
		return time.After(startPeriod)
	}
	if left := a.Confirmation().SettledAt.Sub(a.Clock()); left > 0 {
		return time.After(left)
	}
	return nil
}

// update compares the lists with the services and writes those that differ.
func (a *Archivist) update(ctx context.Context) error {
	services, era := a.Services()
	now := namer.SecondsOf(time.Since(a.start))
	confirmation, instant := a.Confirmation(), a.Clock()
	var failed error
	for name, service := range services {
		builds := a.seen[name]
		if builds == nil {
			builds = &historian.Builds{}
			a.seen[name] = builds
		}
		builds.Lifetime, builds.Settling = namer.SecondsOf(service.Lifetime), namer.SecondsOf(a.Settling)
		builds.Observe(now, service.Builds)
		list := a.published(name)
		// A store that was restored from a backup may have lost lists. During a gap in what this daemon knows, builds may have
		// come, begun streams and gone.
		reread := era > a.era || (list.read < confirmation.UnbrokenSince && instant >= confirmation.UnbrokenSince)
		completeIn := storer.Era(0)
		if confirmation.Known && instant >= confirmation.SettledAt {
			completeIn = era
		}
		if !reread && list.CompleteIn >= completeIn && a.current(now, list, builds) {
			continue
		}
		if err := a.write(ctx, now, name, builds, completeIn); err != nil {
			failed = errors.Wrapf(err, "list builds of service %q", name)
		}
	}
	if failed == nil {
		a.era = max(a.era, era)
	}
	return failed
}

// current reports whether a list has what this daemon would write now.
func (a *Archivist) current(now namer.Seconds, list publishedList, builds *historian.Builds) bool {
	return list.Builds != nil && covers(list.Builds, builds.Known(now)) && !(a.removable(now, list, builds) && a.Writes()) &&
		slices.Equal(list.Settled, a.settled(now, list.list, builds))
}

// removable reports whether a list has builds whose last stream can't be taken up any more. The endpoints must have been
// confirmed since it was read: a build may be listed before this daemon knows it.
func (a *Archivist) removable(now namer.Seconds, list publishedList, builds *historian.Builds) bool {
	confirmation := a.Confirmation()
	unbroken := namer.SecondsOf(a.Clock().Sub(confirmation.UnbrokenSince))
	return confirmation.Known && confirmation.At > list.read && unbroken > builds.Lifetime+builds.Settling &&
		builds.Watched(now) && !covers(builds.Known(now), list.Builds)
}

func covers(list, all []namer.Build) bool {
	return !slices.ContainsFunc(all, func(b namer.Build) bool { return !slices.Contains(list, b) })
}

// write reads a list and writes it again if it lacks builds, has some that can be removed, or is the first one that is complete
// in an era. completeIn is that era, or 0 if this daemon doesn't know whether the list is complete.
func (a *Archivist) write(ctx context.Context, now namer.Seconds, name namer.Service, builds *historian.Builds, completeIn storer.Era) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for waited := a.Writes(); ; waited = true {
		read := a.Clock()
		listed, version, err := a.read(ctx, name)
		if err != nil {
			return err
		}
		wanted := list{Builds: builds.Known(now), Settled: listed.Settled, CompleteIn: max(listed.CompleteIn, completeIn)}
		before := a.published(name)
		if before.version != version || !a.removable(now, before, builds) || !a.Writes() {
			wanted.Builds = union(wanted.Builds, listed.Builds)
		}
		wanted.Settled = a.settled(now, wanted, builds)
		if slices.Equal(wanted.Builds, listed.Builds) && slices.Equal(wanted.Settled, listed.Settled) && wanted.CompleteIn == listed.CompleteIn && version != 0 {
			a.publish(name, publishedList{listed, version, read})
			return nil
		}
		if !waited {
			a.wait(ctx)
			continue
		}
		value, err := json.Marshal(wanted)
		if err != nil {
			return errors.Wrap(err, "encode list")
		}
		written, err := a.Store.Put(ctx, Prefix+string(name), value, version)
		if errors.Is(err, storer.ErrConflict) {
			continue // another daemon has written it
		}
		if err != nil {
			return err
		}
		a.Log.Info().Str("service", string(name)).Int("builds", len(wanted.Builds)).Int("settled", len(wanted.Settled)).Uint64("complete-in", uint64(wanted.CompleteIn)).Msg("builds-listed")
		a.publish(name, publishedList{wanted, written.Version, read})
		return nil
	}
}

// wait waits for part of the time in which a new build begins no streams.
func (a *Archivist) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(a.Settling/8 + rand.N(max(1, a.Settling/8))):
	}
}

// settled returns the builds of a list that all daemons know: those listed so that haven't been gone for long, and those that
// this daemon has seen serve for long enough.
func (a *Archivist) settled(now namer.Seconds, l list, builds *historian.Builds) []namer.Build {
	confirmation := a.Confirmation()
	if !confirmation.Known || a.Clock().Sub(confirmation.At) > a.Settling {
		return l.Settled // what has changed isn't known
	}
	settled := union(l.Settled, builds.Settled(now))
	return slices.DeleteFunc(settled, func(b namer.Build) bool { return !slices.Contains(l.Builds, b) || builds.Unsettled(now, b) })
}

// union returns the builds of two sets, sorted.
func union(a, b []namer.Build) []namer.Build {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// read returns the list of a service and its version; 0 if there is none.
func (a *Archivist) read(ctx context.Context, name namer.Service) (list, storer.Version, error) {
	object, err := a.Store.Get(ctx, Prefix+string(name))
	if errors.Is(err, storer.ErrNotFound) {
		return list{}, 0, nil
	}
	if err != nil {
		return list{}, 0, err
	}
	var found list
	if err := json.Unmarshal(object.Value, &found); err != nil || len(found.Builds) > maxBuilds || slices.Contains(found.Builds, "") || !covers(found.Builds, found.Settled) {
		a.Log.Warn().Err(err).Str("service", string(name)).Msg("builds-refused") // it is replaced
		return list{}, object.Version, nil
	}
	if found.CompleteIn > object.Version.Era() {
		found.CompleteIn = 0 // of another writer
	}
	return list{union(found.Builds, nil), union(found.Settled, nil), found.CompleteIn}, object.Version, nil
}

func (a *Archivist) publish(name namer.Service, list publishedList) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.lists[name]
	a.lists[name] = list
	if before.Builds != nil && slices.Equal(before.Builds, list.Builds) && slices.Equal(before.Settled, list.Settled) && before.CompleteIn == list.CompleteIn {
		return
	}
	a.generation++
	close(a.changed)
	a.changed = make(chan struct{})
}
