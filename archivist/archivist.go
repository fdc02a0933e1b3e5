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

	"apricotspool/historian"
	"apricotspool/namer"
	"apricotspool/storer"
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
	listed  map[namer.Service][]namer.Build
	changed chan struct{}
}

// list is the value of an object.
type list struct {
	Builds []namer.Build `json:"builds"`
}

func (a *Archivist) init() {
	a.once.Do(func() {
		a.done, a.changed = make(chan struct{}), make(chan struct{})
		a.seen, a.listed, a.start = map[namer.Service]*historian.Builds{}, map[namer.Service][]namer.Build{}, time.Now()
	})
}

// Done returns a channel that is closed when Run has returned.
func (a *Archivist) Done() <-chan struct{} {
	a.init()
	return a.done
}

// Listed returns the builds in the list of a service, or nil before it has been read. The slice must not be modified.
func (a *Archivist) Listed(service namer.Service) []namer.Build {
	a.init()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listed[service]
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
		}
	}
}

// update compares the lists with the services and writes those that differ.
func (a *Archivist) update(ctx context.Context) error {
	services, era := a.Services()
	now := namer.SecondsOf(time.Since(a.start))
	reread := era > a.era // a store that was restored from a backup may have lost lists
	var failed error
	for name, service := range services {
		builds := a.seen[name]
		if builds == nil {
			builds = &historian.Builds{}
			a.seen[name] = builds
		}
		builds.Lifetime, builds.Settling = namer.SecondsOf(service.Lifetime), namer.SecondsOf(a.Settling)
		builds.Observe(now, service.Builds)
		listed := a.Listed(name)
		if !reread && listed != nil && covers(listed, builds.Known(now)) && !(a.removable(now, listed, builds) && a.Writes()) {
			continue
		}
		if err := a.write(ctx, now, name, builds); err != nil {
			failed = errors.Wrapf(err, "list builds of service %q", name)
		}
	}
	if failed == nil {
		a.era = max(a.era, era)
	}
	return failed
}

// removable reports whether a list has builds whose last stream can't be taken up any more.
func (a *Archivist) removable(now namer.Seconds, listed []namer.Build, builds *historian.Builds) bool {
	return builds.Watched(now) && !covers(builds.Known(now), listed)
}

func covers(list, all []namer.Build) bool {
	return !slices.ContainsFunc(all, func(b namer.Build) bool { return !slices.Contains(list, b) })
}

// write reads a list and writes it again if it lacks builds, or has some that can be removed.
func (a *Archivist) write(ctx context.Context, now namer.Seconds, name namer.Service, builds *historian.Builds) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for waited := a.Writes(); ; waited = true {
		listed, version, err := a.read(ctx, name)
		if err != nil {
			return err
		}
		wanted := builds.Known(now)
		if !a.removable(now, listed, builds) || !a.Writes() {
			wanted = append(wanted, listed...)
			slices.Sort(wanted)
			wanted = slices.Compact(wanted)
		}
		if slices.Equal(wanted, listed) && version != 0 {
			a.publish(name, listed)
			return nil
		}
		if !waited {
			a.wait(ctx)
			continue
		}
		value, err := json.Marshal(list{wanted})
		if err != nil {
			return errors.Wrap(err, "encode list")
		}
		_, err = a.Store.Put(ctx, Prefix+string(name), value, version)
		if errors.Is(err, storer.ErrConflict) {
			continue // another daemon has written it
		}
		if err != nil {
			return err
		}
		a.Log.Info().Str("service", string(name)).Int("builds", len(wanted)).Msg("builds-listed")
		a.publish(name, wanted)
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

// read returns the list of a service, sorted, and its version; 0 if there is none.
func (a *Archivist) read(ctx context.Context, name namer.Service) ([]namer.Build, storer.Version, error) {
	object, err := a.Store.Get(ctx, Prefix+string(name))
	if errors.Is(err, storer.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var found list
	if err := json.Unmarshal(object.Value, &found); err != nil || len(found.Builds) > maxBuilds || slices.Contains(found.Builds, "") {
		a.Log.Warn().Err(err).Str("service", string(name)).Msg("builds-refused") // it is replaced
		return nil, object.Version, nil
	}
	slices.Sort(found.Builds)
	return slices.Compact(found.Builds), object.Version, nil
}

func (a *Archivist) publish(name namer.Service, builds []namer.Build) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(a.listed[name], builds) {
		return
	}
	a.listed[name] = builds
	close(a.changed)
	a.changed = make(chan struct{})
}
