// Package director sends commands to the model engines of one data centre; no other package does.
// It acts only under the authority of the data centre's lease, writes each command to the object API
// before sending it, and drains an engine before a change that could abort requests. The object API
// is the source of truth for the records; a Director tracks only the changes it has in progress.
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
	// NoticePropagationDelay is the time within which a changing notice reaches all routers of a data centre.
	NoticePropagationDelay = 3 * time.Second
	// DefaultDrainLimit is the longest wait for an engine to finish its requests.
	DefaultDrainLimit = 5 * time.Minute
	// enginePollInterval is the interval between state queries to a changing engine. A change takes seconds.
	enginePollInterval = 250 * time.Millisecond
	// leasePollInterval is the interval between checks of the lease.
	leasePollInterval = time.Second
	// commandTimeout bounds one command call. The engine responds at once and executes asynchronously.
	commandTimeout = 2 * time.Second
	// releaseTimeout bounds the release of all bindings at shutdown. An engine takes seconds for an
	// outstanding command, and a binding that remains moves only after a proof of death.
	releaseTimeout = 20 * time.Second
	// maxAttempts bounds how often a change is started again after an engine restart lost it.
	maxAttempts = 3
	// bindingPollInterval is the interval between checks of an endpoint bound to another process.
	bindingPollInterval = 3 * time.Second
)

// Lease returns the authority over the endpoints of a data centre while this process holds its lease.
type Lease interface {
	Endpoints(d namer.DataCentre) (leaser.EndpointAuthority, bool)
}

// InstanceLookup returns the process that currently holds a peer address.
type InstanceLookup interface {
	Instance(ctx context.Context, address netip.AddrPort) (namer.Process, error)
}

// ChangingNotifier sends the routers of the data centre notices that an endpoint is changing and must
// get no new requests. A changing notice carries the lease's fencing token and is ignored if the
// token is lower than that of the previous notice, so that a former holder can't clear its successor's
// notice.
type ChangingNotifier interface {
	SetChanging(endpoint namer.Endpoint, fencing namer.FencingToken, changing bool)
}

// Budget limits the rate of model loads.
type Budget interface {
	Take(now time.Time) (wait time.Duration, ok bool)
	Reset(now time.Time)
}

// Director applies changes to endpoints. Set the exported fields before Run.
type Director struct {
	Store      storer.Store
	Engine     generator.Engine
	Lease      Lease
	Instances  InstanceLookup
	Notifier   ChangingNotifier
	Budget     Budget
	Process    namer.Process
	DataCentre namer.DataCentre
	Endpoints  func() []Endpoint // current engines of the data centre
	Log        zerolog.Logger
	DrainLimit time.Duration // 0 means DefaultDrainLimit

	once     sync.Once
	done     chan struct{}
	stopping chan struct{}

	mu               sync.Mutex                            // guards the fields below; never held during I/O
	recoveredFencing namer.FencingToken                    // fencing token under which recovery is complete; 0 if none
	active           map[namer.Endpoint]namer.FencingToken // endpoints reserved in this process, with the fencing token they started under
	bound            map[namer.Endpoint]Endpoint           // endpoints that may be bound to this process
	interrupted      int                                   // workers that stopped with an open change; recovery is complete only if none did meanwhile
	changeEnded      chan struct{}                         // closed and replaced when an endpoint is unreserved
}

func (d *Director) init() {
	d.once.Do(func() {
		d.done = make(chan struct{})
		d.stopping = make(chan struct{})
		d.active = map[namer.Endpoint]namer.FencingToken{}
		d.bound = map[namer.Endpoint]Endpoint{}
		d.changeEnded = make(chan struct{})
	})
}

// Done is closed when Run has returned. No command leaves the process after that.
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

// Run continues the open changes of earlier lease holders whenever this process acquires the lease,
// and releases its bindings when it has lost the lease.
func (d *Director) Run(ctx context.Context) error {
	d.init()
	defer close(d.done)
	for {
		if authority, ok := d.Lease.Endpoints(d.DataCentre); !ok {
			d.invalidateRecovery()
			d.releaseBindings(ctx)
		} else if err := d.recover(ctx, authority); err != nil {
			d.Log.Warn().Err(err).Msg("records-not-recovered")
		}
		select {
		case <-ctx.Done():
			close(d.stopping)
			d.waitIdle()
			d.releaseOnShutdown(context.WithoutCancel(ctx))
			return ctx.Err()
		case <-time.After(leasePollInterval):
		}
	}
}

// Apply executes changes concurrently and returns when all have ended. It starts none without authority.
func (d *Director) Apply(ctx context.Context, authority leaser.EndpointAuthority, changes []Change) []Result {
	d.init()
	results := make([]Result, len(changes))
	var group sync.WaitGroup
	for i, change := range changes {
		results[i].Change = change
		w, outcome, wait := d.admit(authority, change)
		results[i].Outcome, results[i].RetryAfter = outcome, wait
		if w == nil {
			continue
		}
		group.Go(func() {
			results[i].Outcome = w.run(ctx)
			d.finish(w.endpoint.Name, results[i].Outcome)
			d.Log.Info().Str("endpoint", string(change.Endpoint)).Str("kind", string(change.Kind)).
				Str("outcome", string(results[i].Outcome)).Msg("change-ended")
		})
	}
	group.Wait()
	return results
}

// admit reserves the endpoint of a change and returns its worker, or else the outcome and, if known,
// the time after which to retry.
func (d *Director) admit(authority leaser.EndpointAuthority, change Change) (*worker, Outcome, time.Duration) {
	endpoints := d.Endpoints()
	if authority.Check() != nil || authority.DataCentre() != d.DataCentre {
		return nil, NoAuthority, 0
	}
	endpoint, ok := findEndpoint(endpoints, change.Endpoint)
	if !ok {
		return nil, UnknownEndpoint, 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_, busy := d.active[change.Endpoint]
	switch {
	case d.recoveredFencing != authority.Fencing():
		return nil, Deferred, leasePollInterval
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
	return d.newWorker(endpoint, authority, &change), "", 0
}

func (d *Director) newWorker(e Endpoint, a leaser.EndpointAuthority, want *Change) *worker {
	return &worker{director: d, endpoint: e, authority: a, want: want, records: recordStore{store: d.Store, key: recordKey(e.Name)}}
}

func findEndpoint(endpoints []Endpoint, name namer.Endpoint) (Endpoint, bool) {
	for _, e := range endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return Endpoint{}, false
}

// finish unreserves an endpoint. The next recovery continues a change that is still open.
func (d *Director) finish(e namer.Endpoint, outcome Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreserve(e)
	if outcome == NoAuthority || outcome == Unsettled {
		d.recoveredFencing = 0
		d.interrupted++
	}
}

// unreserve allows workers on an endpoint again. The caller must hold d.mu.
func (d *Director) unreserve(e namer.Endpoint) {
	delete(d.active, e)
	close(d.changeEnded)
	d.changeEnded = make(chan struct{})
}

// invalidateRecovery forces a recovery before the next change is admitted.
func (d *Director) invalidateRecovery() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recoveredFencing = 0
}

func (d *Director) waitIdle() {
	for {
		d.mu.Lock()
		n, changed := len(d.active), d.changeEnded
		d.mu.Unlock()
		if n == 0 {
			return
		}
		<-changed
	}
}

// recover writes the new fencing token into the record of every endpoint, so that writes of
// earlier holders fail from then on, and continues the open changes that it finds.
func (d *Director) recover(ctx context.Context, authority leaser.EndpointAuthority) error {
	d.mu.Lock()
	recovered, ended := d.recoveredFencing == authority.Fencing(), d.interrupted
	d.mu.Unlock()
	if recovered {
		return nil
	}
	complete := true
	for _, e := range d.Endpoints() {
		fencing, busy := d.activeFencing(e.Name)
		if busy {
			// A worker of an earlier grant stops soon; a later recovery continues its change.
			complete = complete && fencing == authority.Fencing()
			continue
		}
		w := d.newWorker(e, authority, nil)
		if err := w.fence(ctx); err != nil {
			return errors.Wrapf(err, "recover endpoint %q", e.Name)
		}
		if w.records.current.Change != nil {
			d.resumeChange(ctx, w)
		}
	}
	d.Budget.Reset(time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	if complete && d.interrupted == ended {
		d.recoveredFencing = authority.Fencing()
	}
	return nil
}

func (d *Director) activeFencing(e namer.Endpoint) (namer.FencingToken, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fencing, busy := d.active[e]
	return fencing, busy
}

// resumeChange continues the change in the stored record.
func (d *Director) resumeChange(ctx context.Context, w *worker) {
	w.waitForBinding = true
	d.mu.Lock()
	d.active[w.endpoint.Name] = w.authority.Fencing()
	d.mu.Unlock()
	go func() {
		outcome := w.run(ctx)
		d.finish(w.endpoint.Name, outcome)
		d.Log.Info().Str("endpoint", string(w.endpoint.Name)).Str("outcome", string(outcome)).Msg("change-recovered")
	}()
}

// fence writes the holder's fencing token into the record. It leaves the binding and the intent.
func (w *worker) fence(ctx context.Context) error {
	ctx, end, err := w.authority.Begin(ctx)
	if err != nil {
		return err
	}
	defer end()
	if err := w.records.load(ctx); err != nil {
		return err
	}
	if !w.records.current.Bound.IsZero() && w.records.current.Bound == w.authority.Holder() {
		w.director.trackBinding(w.endpoint)
	}
	if w.records.current.Fencing == w.authority.Fencing() {
		return nil
	}
	if w.records.current.Fencing > w.authority.Fencing() {
		return errors.Wrap(leaser.ErrNoAuthority, "record was written by a newer lease holder")
	}
	next := w.records.current
	next.Writer, next.Fencing = w.authority.Holder(), w.authority.Fencing()
	return w.records.save(ctx, next)
}
