package director

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// dead reports whether a process has surely ended: a newer instance holds its peer address.
func (d *Director) dead(ctx context.Context, p namer.Process) bool {
	if d.Process.Replaces(p) {
		return true
	}
	now, err := d.Witness.Instance(ctx, p.Address)
	return err == nil && now.Replaces(p)
}

// bind remembers that an endpoint may be bound to this process.
func (d *Director) bind(e Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bound[e.Name] = e
}

// releaseBindings gives up the bindings of endpoints without a change in progress in this process.
// It needs no authority, because it sends nothing to an engine but a question for its state.
func (d *Director) releaseBindings(ctx context.Context) {
	d.mu.Lock()
	bound := slices.Collect(maps.Values(d.bound))
	d.mu.Unlock()
	for _, e := range bound {
		if !d.occupy(e.Name) {
			continue
		}
		err := d.releaseOne(ctx, e)
		d.mu.Lock()
		if err == nil {
			delete(d.bound, e.Name)
		}
		d.vacate(e.Name)
		d.mu.Unlock()
		if err != nil {
			d.Log.Debug().Err(err).Str("endpoint", string(e.Name)).Msg("binding-not-released")
		}
	}
}

// releaseAll repeats the release at shutdown until no binding is left or its time is over.
func (d *Director) releaseAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for {
		d.releaseBindings(ctx)
		d.mu.Lock()
		left := len(d.bound)
		d.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			d.Log.Warn().Int("bindings", left).Msg("bindings-not-released")
			return
		case <-time.After(pollInterval):
		}
	}
}

// occupy keeps workers away from an endpoint; it fails while one is at work.
func (d *Director) occupy(e namer.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, busy := d.active[e]; busy {
		return false
	}
	d.active[e] = 0
	return true
}

// releaseOne clears a binding to this process when none of its commands is outstanding. Every call
// of Command has returned, so a command counts as settled when the engine shows it or passes the barrier.
func (d *Director) releaseOne(ctx context.Context, e Endpoint) error {
	l := ledger{store: d.Store, key: recordKey(e.Name)}
	if err := l.load(ctx); err != nil {
		return err
	}
	next := l.record
	if next.Bound != d.Process {
		return nil
	}
	if next.Command != nil {
		state, err := d.Engine.State(ctx, e.target())
		if err != nil {
			return errors.Wrapf(err, "state of endpoint %q", e.Name)
		}
		if next.confirmedBy(state) {
			next.settle()
		} else {
			if err := l.passBarrier(ctx, state); err != nil {
				return err
			}
			next.void()
		}
	}
	next.Bound = namer.Process{}
	return l.save(ctx, next)
}

// passBarrier returns nil when the unconfirmed command can't reach the engine any more. The caller
// knows that the bound process sends nothing. The first call sets the barrier.
func (l *ledger) passBarrier(ctx context.Context, state generator.EngineState) error {
	barrier, id := l.record.Barrier, l.record.Command.ID
	if barrier != 0 && state.Incarnation > barrier {
		return nil
	}
	if barrier == 0 {
		next := l.record
		next.Barrier = state.Incarnation
		if err := l.save(ctx, next); err != nil {
			return err
		}
	}
	return errors.Wrapf(errHeld, "command %q may still arrive in incarnation %d", id, state.Incarnation)
}

// ReleaseBinding is the operator's way out when a bound process is gone and nothing can prove it.
// The operator states which process is bound and thereby that it has been stopped; if it is alive,
// a command that it sends late may conflict with others.
func (d *Director) ReleaseBinding(ctx context.Context, endpoint namer.Endpoint, stopped namer.Process) error {
	l := ledger{store: d.Store, key: recordKey(endpoint)}
	if err := l.load(ctx); err != nil {
		return err
	}
	if l.record.Bound != stopped || stopped.IsZero() {
		return errors.Errorf("endpoint %q is bound to %s, not to %s", endpoint, l.record.Bound, stopped)
	}
	next := l.record
	next.void()
	next.Bound = namer.Process{}
	d.Log.Warn().Str("endpoint", string(endpoint)).Stringer("process", stopped).Msg("binding-released-by-operator")
	return l.save(ctx, next)
}
