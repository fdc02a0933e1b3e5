package director

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"apricotspool/asserter"
	"apricotspool/generator"
	"apricotspool/leaser"
	"apricotspool/namer"
)

// worker brings one endpoint to the end of its change. It owns the endpoint within this process:
// the director starts at most one worker for an endpoint at a time.
type worker struct {
	director  *Director
	endpoint  Endpoint
	authority leaser.EndpointAuthority
	ledger    ledger
	want      *Change // to begin; nil continues what the record holds
	patient   bool    // waits for a binding instead of giving up
	began     time.Time
	marked    time.Time // when routers were told; zero before
	begun     bool      // the record held the change
	ending    Outcome   // of the write that ends the change, once it was tried
}

// errHeld means that another process, which may be alive, is bound to the endpoint.
var errHeld = errors.New("endpoint is bound to another process")

// run works until the change has ended, the authority has ended or the daemon stops.
func (w *worker) run(ctx context.Context) Outcome {
	w.began = time.Now()
	defer w.unmark()
	for {
		outcome, err := w.step(ctx)
		pause := pollInterval
		switch {
		case outcome != "":
			return outcome
		case errors.Is(err, leaser.ErrNoAuthority), errors.Is(err, generator.ErrFenced):
			return NoAuthority
		case errors.Is(err, errHeld) && !w.patient:
			return Held
		case errors.Is(err, errHeld):
			pause = heldInterval
			w.ledger.loaded = false // the bound process releases the binding without this one's knowledge
		case err != nil:
			w.director.Log.Debug().Err(err).Str("endpoint", string(w.endpoint.Name)).Msg("change-delayed")
		}
		select {
		case <-ctx.Done():
			return Unsettled
		case <-w.director.stopping:
			return Unsettled
		case <-time.After(pause):
		}
	}
}

// unmark ends the mark however the worker ends. A successor sets its own before it sends anything.
func (w *worker) unmark() {
	if !w.marked.IsZero() {
		w.director.Marker.Mark(w.endpoint.Name, w.authority.Fencing(), false)
	}
}

// step reads the record and the engine's state, settles the intent and takes the next decision.
func (w *worker) step(ctx context.Context) (Outcome, error) {
	ctx, end, err := w.authority.Begin(ctx)
	if err != nil {
		return "", err
	}
	defer end()
	if err := w.ledger.load(ctx); err != nil {
		return "", err
	}
	if w.ledger.record.Fencing > w.authority.Fencing() {
		return "", errors.Wrap(leaser.ErrNoAuthority, "a newer holder has written the record")
	}
	switch open := w.ledger.record.Change; {
	case open == nil && (w.begun || w.want == nil):
		return cmp.Or(w.ending, Unsettled), nil
	case open != nil && w.want != nil && *open != *w.want:
		return Busy, nil
	case open != nil:
		w.begun = true
	}
	state, err := w.director.Engine.State(ctx, w.endpoint.target())
	if err != nil {
		return "", errors.Wrapf(err, "state of endpoint %q", w.endpoint.Name)
	}
	next, err := w.take(ctx, state)
	if err != nil {
		return "", err
	}
	w.mark()
	if next.Command != nil {
		return "", w.resend(ctx, next, state)
	}
	return w.advance(ctx, next, state)
}

// take returns the record as this process may continue it, with a confirmed intent cleared.
func (w *worker) take(ctx context.Context, state generator.EngineState) (record, error) {
	next := w.ledger.record
	confirmed := next.confirmedBy(state)
	if !w.endpoint.Fencing && !next.Bound.IsZero() && next.Bound != w.authority.Holder() {
		if !w.director.dead(ctx, next.Bound) {
			return next, errors.Wrapf(errHeld, "endpoint %q, process %s", w.endpoint.Name, next.Bound)
		}
		// A dead process sends nothing new, but its last command may wait in a buffer of this engine process.
		if next.Command != nil && !confirmed {
			if err := w.ledger.passBarrier(ctx, state); err != nil {
				return next, err
			}
			next.void()
		}
		next.Bound = namer.Process{}
	}
	if confirmed {
		next.settle()
	}
	if !w.endpoint.Fencing {
		next.Bound = w.authority.Holder()
		w.director.bind(w.endpoint)
	}
	next.Writer, next.Fencing = w.authority.Holder(), w.authority.Fencing()
	if next.Change == nil {
		next.Change, next.Phase = w.want, phaseDrain
		next.KeepDrained = state.Draining && w.want.Kind != generator.CommandResume
	}
	return next, nil
}

// mark tells the routers of the data centre that the endpoint changes.
func (w *worker) mark() {
	if w.marked.IsZero() {
		w.director.Marker.Mark(w.endpoint.Name, w.authority.Fencing(), true)
		w.marked = time.Now()
	}
}

// quiet reports whether a disruptive command cuts no request: the engine has no work, it refuses
// new work or at least the routers have stopped sending it.
func (w *worker) quiet(state generator.EngineState) bool {
	return state.Running == 0 && time.Since(w.marked) >= MarkDelay
}

// resend repeats the unconfirmed command, once the record shows that this process continues it.
func (w *worker) resend(ctx context.Context, next record, state generator.EngineState) error {
	if state.Changing || (next.Change.disrupts(state) && next.Phase == phaseChange && !w.quiet(state)) {
		return nil
	}
	// Only the number changes: an engine that checks it would refuse the predecessor's.
	command := *next.Command
	command.Fencing = next.Fencing
	next.Command, next.Barrier = &command, 0
	if !sameRecord(next, w.ledger.record) {
		if err := w.ledger.save(ctx, next); err != nil {
			return err
		}
	}
	return w.send(ctx)
}

// sameRecord reports whether nothing that another process must know of differs.
func sameRecord(a, b record) bool {
	return a.Writer == b.Writer && a.Fencing == b.Fencing && a.Bound == b.Bound && a.Sequence == b.Sequence && a.Barrier == b.Barrier &&
		a.Command != nil && b.Command != nil && *a.Command == *b.Command
}

// advance takes the next decision when no command is unconfirmed.
func (w *worker) advance(ctx context.Context, next record, state generator.EngineState) (Outcome, error) {
	change := *next.Change
	switch {
	case state.Changing:
		return "", nil
	case next.Phase == phaseDrain && time.Since(w.began) > w.director.drainLimit():
		next.Phase = phaseUndo
	case next.Phase == phaseDrain && change.Kind == generator.CommandRole && change.reached(state):
		next.Phase = phaseResume
	case next.Phase == phaseResume && !change.reached(state):
		next.Phase = phaseDrain // the engine restarted and lost the change, or ignored the command
		if next.Tries >= maxTries {
			next.Phase = phaseUndo
		}
	}
	switch next.Phase {
	case phaseDrain:
		if change.disrupts(state) && !state.Draining {
			return "", w.command(ctx, next, generator.Command{Kind: generator.CommandDrain})
		}
		if change.disrupts(state) && !w.quiet(state) {
			return "", nil
		}
		next.Phase = phaseChange
		next.Tries++
		return "", w.command(ctx, next, change.command())
	case phaseResume, phaseUndo:
		if state.Draining && !next.KeepDrained && (change.Kind != generator.CommandDrain || next.Phase == phaseUndo) {
			return "", w.command(ctx, next, generator.Command{Kind: generator.CommandResume})
		}
	}
	w.ending = Done
	if next.Phase == phaseUndo {
		w.ending = Undone
	}
	next.Change, next.Phase, next.Tries, next.KeepDrained = nil, "", 0, false
	if err := w.ledger.save(ctx, next); err != nil {
		return "", err
	}
	return w.ending, nil
}

// command writes the intent and then sends it.
func (w *worker) command(ctx context.Context, next record, c generator.Command) error {
	next.intend(c, w.authority.Fencing())
	if err := w.ledger.save(ctx, next); err != nil {
		return err
	}
	return w.send(ctx)
}

// send is the only place where a command leaves the process. The stored record names the command,
// and the deadline of the call ends before the lease does.
func (w *worker) send(ctx context.Context) error {
	r := w.ledger.record
	asserter.Check(w.ledger.loaded && r.Command != nil && r.Writer == w.authority.Holder() && (w.endpoint.Fencing || r.Bound == r.Writer),
		"a command is sent only by the process that its stored record names", "endpoint %q, record %+v", w.endpoint.Name, r)
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := w.authority.Check(); err != nil {
		return err
	}
	err := w.director.Engine.Command(ctx, w.endpoint.target(), *r.Command)
	if errors.Is(err, generator.ErrRejected) {
		return w.reject(ctx, r, err)
	}
	return errors.Wrapf(err, "command %q to endpoint %q", r.Command.ID, w.endpoint.Name)
}

// reject gives up a change whose command the engine will never accept.
func (w *worker) reject(ctx context.Context, next record, cause error) error {
	w.director.Log.Warn().Err(cause).Str("endpoint", string(w.endpoint.Name)).Str("command", next.Command.ID).Msg("command-rejected")
	next.Command, next.Barrier, next.Phase = nil, 0, phaseUndo
	return w.ledger.save(ctx, next)
}
