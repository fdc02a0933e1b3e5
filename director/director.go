// Package director sends commands to the model engines of one data centre; no other package does.
// It acts only with the authority of the data centre's lease, writes each command to the object API
// before it sends it, and drains an engine before a change that could cut requests. The object API
// owns the records; a Director owns the list of changes that it has in progress.
package director

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/generator"
	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/storer"
)

const (
	// MarkDelay is the time in which all routers of a data centre learn that an endpoint changes.
	MarkDelay = 3 * time.Second
	// DefaultDrainLimit is the longest wait for an engine to finish its work.
	DefaultDrainLimit = 5 * time.Minute
	// pollInterval is the time between two looks at an engine that changes; a change takes seconds.
	pollInterval = 250 * time.Millisecond
	// watchInterval is the time between two looks at the lease.
	watchInterval = time.Second
	// commandTimeout bounds one command; the engine accepts it at once and works on it afterwards.
	commandTimeout = 2 * time.Second
	// releaseTimeout bounds the release of all bindings at shutdown. An engine needs seconds for the
	// command that is outstanding, and a binding that stays needs a proof of death to move.
	releaseTimeout = 20 * time.Second
	// maxTries bounds how often one change is begun again after the engine lost it in a restart.
	maxTries = 3
	// heldInterval is the time between two looks at an endpoint that is bound to another process.
	heldInterval = 3 * time.Second
)

// Lease gives the authority over the endpoints of a data centre while this process holds its lease.
type Lease interface {
	Endpoints(d namer.DataCentre) (leaser.EndpointAuthority, bool)
}

// Witness asks which process holds a peer address now.
type Witness interface {
	Instance(ctx context.Context, address netip.AddrPort) (namer.Process, error)
}

// Marker tells the routers of the data centre that an endpoint changes and gets no new work. A mark
// carries the lease's fencing number: one with a lower number than the last has no effect, so that
// a former holder doesn't clear its successor's.
type Marker interface {
	Mark(endpoint namer.Endpoint, fencing namer.Fencing, changing bool)
}

// Budget limits the rate of model loads.
type Budget interface {
	Take(now time.Time) (wait time.Duration, ok bool)
	Restart(now time.Time)
}

// Director carries out changes. Set the exported fields before Run.
type Director struct {
	Store      storer.Store
	Engine     generator.Engine
	Lease      Lease
	Witness    Witness
	Marker     Marker
	Budget     Budget
	Process    namer.Process
	DataCentre namer.DataCentre
	Endpoints  func() []Endpoint // the engines of the data centre now
	Log        zerolog.Logger
	DrainLimit time.Duration // 0 means DefaultDrainLimit

	once     sync.Once
	done     chan struct{}
	stopping chan struct{}

	mu     sync.Mutex                       // guards the fields below; never held during I/O
	ready  namer.Fencing                    // number of the lease for which all open changes are known; 0 when they aren't
	active map[namer.Endpoint]namer.Fencing // endpoints at work in this process, with the number they began with
	bound  map[namer.Endpoint]Endpoint      // endpoints that may be bound to this process
	ended  int                              // changes that ended open; a recovery is complete only if none did meanwhile
	idle   chan struct{}                    // closed and replaced when a change ends
}

func (d *Director) init() {
	d.once.Do(func() {
		d.done = make(chan struct{})
		d.stopping = make(chan struct{})
		d.active = map[namer.Endpoint]namer.Fencing{}
		d.bound = map[namer.Endpoint]Endpoint{}
		d.idle = make(chan struct{})
	})
}

// Done closes when Run has returned; no command leaves the process after that.
func (d *Director) Done() <-chan struct{} {
	d.init()
	return d.done
}

func (d *Director) drainLimit() time.Duration {
	if d.DrainLimit == 0 {
		return DefaultDrainLimit
	}
	return d.DrainLimit
}

// Run continues what earlier lease holders have begun whenever this process gets the lease, and
// gives up bindings when it has lost it.
func (d *Director) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	for {
		if authority, ok := d.Lease.Endpoints(d.DataCentre); !ok {
			d.forget()
			d.releaseBindings(ctx)
		} else if err := d.recover(ctx, authority); err != nil {
			d.Log.Warn().Err(err).Msg("records-not-recovered")
		}
		select {
		case <-ctx.Done():
			close(d.stopping)
			d.waitIdle()
			d.releaseAll(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-time.After(watchInterval):
		}
	}
}

// Apply carries out changes and returns when all have ended. It begins nothing without authority.
func (d *Director) Apply(ctx context.Context, authority leaser.EndpointAuthority, changes []Change) []Result {
	d.init()
	results := make([]Result, len(changes))
	var group sync.WaitGroup
	for i, change := range changes {
		results[i].Change = change
		w, outcome, wait := d.begin(authority, change)
		results[i].Outcome, results[i].RetryAfter = outcome, wait
		if w == nil {
			continue
		}
		group.Go(func() {
			results[i].Outcome = w.run(ctx)
			d.end(w.endpoint.Name, results[i].Outcome)
			d.Log.Info().Str("endpoint", string(change.Endpoint)).Str("kind", string(change.Kind)).
				Str("outcome", string(results[i].Outcome)).Msg("change-ended")
		})
	}
	group.Wait()
	return results
}

// begin registers a change, or says why it isn't begun.
func (d *Director) begin(authority leaser.EndpointAuthority, change Change) (*worker, Outcome, time.Duration) {
	endpoints := d.Endpoints()
	if authority.Check() != nil || authority.DataCentre() != d.DataCentre {
		return nil, NoAuthority, 0
	}
	endpoint, ok := find(endpoints, change.Endpoint)
	if !ok {
		return nil, UnknownEndpoint, 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_, busy := d.active[change.Endpoint]
	switch {
	case d.ready != authority.Fencing():
		return nil, Deferred, watchInterval
	case busy:
		return nil, Busy, 0
	case len(d.active) >= max(1, len(endpoints)/4):
		return nil, Deferred, 0
	}
	if change.Kind == generator.CommandLoad {
		if wait, ok := d.Budget.Take(time.Now()); !ok {
			return nil, Deferred, wait
		}
	}
	d.active[change.Endpoint] = authority.Fencing()
	return d.worker(endpoint, authority, &change), "", 0
}

func (d *Director) worker(e Endpoint, a leaser.EndpointAuthority, want *Change) *worker {
	return &worker{director: d, endpoint: e, authority: a, want: want, ledger: ledger{store: d.Store, key: recordKey(e.Name)}}
}

func find(endpoints []Endpoint, name namer.Endpoint) (Endpoint, bool) {
	for _, e := range endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return Endpoint{}, false
}

// end frees an endpoint. A change that stays open is picked up by the next recovery.
func (d *Director) end(e namer.Endpoint, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vacate(e)
	if outcome == NoAuthority || outcome == Unsettled {
		d.ready = 0
		d.ended++
	}
}

// vacate frees an endpoint. The caller holds the lock.
func (d *Director) vacate(e namer.Endpoint) {
	delete(d.active, e)
	close(d.idle)
	d.idle = make(chan struct{})
}

// forget makes the next authority begin with a recovery.
func (d *Director) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = 0
}

func (d *Director) waitIdle() {
	for {
		d.mu.Lock()
		n, changed := len(d.active), d.idle
		d.mu.Unlock()
		if n == 0 {
			return
		}
		<-changed
	}
}

// recover seals the record of every endpoint with the new fencing number, so that no write of an
// earlier holder succeeds any more, and continues the changes that it finds.
func (d *Director) recover(ctx context.Context, authority leaser.EndpointAuthority) error {
	d.mu.Lock()
	recovered, ended := d.ready == authority.Fencing(), d.ended
	d.mu.Unlock()
	if recovered {
		return nil
	}
	complete := true
	for _, e := range d.Endpoints() {
		fencing, busy := d.worksOn(e.Name)
		if busy {
			// A worker of an earlier grant ends soon; its change is picked up after that.
			complete = complete && fencing == authority.Fencing()
			continue
		}
		w := d.worker(e, authority, nil)
		if err := w.seal(ctx); err != nil {
			return errors.Wrapf(err, "recover endpoint %q", e.Name)
		}
		if w.ledger.record.Change != nil {
			d.resume(ctx, w)
		}
	}
	d.Budget.Restart(time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	if complete && d.ended == ended {
		d.ready = authority.Fencing()
	}
	return nil
}

func (d *Director) worksOn(e namer.Endpoint) (namer.Fencing, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fencing, busy := d.active[e]
	return fencing, busy
}

// resume continues a change that the record holds.
func (d *Director) resume(ctx context.Context, w *worker) {
	w.patient = true
	d.mu.Lock()
	d.active[w.endpoint.Name] = w.authority.Fencing()
	d.mu.Unlock()
	go func() {
		outcome := w.run(ctx)
		d.end(w.endpoint.Name, outcome)
		d.Log.Info().Str("endpoint", string(w.endpoint.Name)).Str("outcome", string(outcome)).Msg("change-recovered")
	}()
}

// seal writes the holder's fencing number into the record. The binding and the intent stay.
func (w *worker) seal(ctx context.Context) error {
	ctx, end, err := w.authority.Begin(ctx)
	if err != nil {
		return err
	}
	defer end()
	if err := w.ledger.load(ctx); err != nil {
		return err
	}
	if !w.ledger.record.Bound.IsZero() && w.ledger.record.Bound == w.authority.Holder() {
		w.director.bind(w.endpoint)
	}
	if w.ledger.record.Fencing == w.authority.Fencing() {
		return nil
	}
	if w.ledger.record.Fencing > w.authority.Fencing() {
		return errors.Wrap(leaser.ErrNoAuthority, "a newer holder has written the record")
	}
	next := w.ledger.record
	next.Writer, next.Fencing = w.authority.Holder(), w.authority.Fencing()
	return w.ledger.save(ctx, next)
}
