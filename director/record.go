package director

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
	"apricotspool/storer"
)

// phase is how far a change has come.
type phase string

const (
	phaseDrain  phase = "drain"  // the engine finishes its work
	phaseChange phase = "change" // the command of the change was written as an intent
	phaseResume phase = "resume" // the change is confirmed; the engine is told to accept work again
	phaseUndo   phase = "undo"   // the change is given up; the engine is told to accept work again
)

// record is the object "command/<endpoint>". Every write of it is conditional, so a process that
// works with an old version fails before it sends anything.
type record struct {
	Writer  namer.Process `json:"writer"`  // last lease holder that wrote the record
	Fencing namer.Fencing `json:"fencing"` // of the writer
	// Bound is the only process that may send commands to an engine that ignores fencing numbers.
	Bound    namer.Process `json:"bound,omitzero"`
	Sequence uint64        `json:"sequence"` // grows with each new command
	Change   *Change       `json:"change,omitempty"`
	Phase    phase         `json:"phase,omitempty"`
	Tries    int           `json:"tries,omitempty"` // commands of the change that were begun
	// KeepDrained says that the engine refused new work before the change began and does so after it.
	KeepDrained bool `json:"keep-drained,omitempty"`
	// Command is the intent: the one command that may be unconfirmed. It is only sent unchanged.
	Command *generator.Command `json:"command,omitempty"`
	// Barrier is the engine's incarnation at a time when Command was unconfirmed and the bound process
	// surely sent nothing any more. Once the engine has a later one, Command can't reach it. The
	// incarnation at the time of the intent would not do: the engine may restart before the send.
	Barrier namer.Incarnation `json:"barrier,omitempty"`
}

// intend makes a command the intent. Ids are distinct because one process wins each version of the record.
func (r *record) intend(c generator.Command, fencing namer.Fencing) {
	r.Sequence++
	c.ID = fmt.Sprintf("%d-%d", fencing, r.Sequence)
	c.Fencing = fencing
	r.Command, r.Barrier = &c, 0
}

// confirmedBy reports whether the engine has carried out the intent.
func (r *record) confirmedBy(state generator.EngineState) bool {
	return r.Command != nil && state.LastCommand == r.Command.ID && !state.Changing
}

// settle clears an intent that the engine has carried out.
func (r *record) settle() {
	r.Command, r.Barrier = nil, 0
	if r.Phase == phaseChange {
		r.Phase = phaseResume
	}
}

// void drops an intent that can't reach the engine any more.
func (r *record) void() {
	r.Command, r.Barrier = nil, 0
	if r.Phase == phaseChange {
		r.Phase = phaseDrain
	}
}

func recordKey(e namer.Endpoint) string { return "command/" + string(e) }

// ledger reads and writes the record of one endpoint. One goroutine uses it.
type ledger struct {
	store   storer.Store
	key     string
	version storer.Version
	record  record
	loaded  bool
}

// load reads the record unless the newest version is known.
func (l *ledger) load(ctx context.Context) error {
	if l.loaded {
		return nil
	}
	object, err := l.store.Get(ctx, l.key)
	if errors.Is(err, storer.ErrNotFound) {
		l.version, l.record, l.loaded = 0, record{}, true
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read record %q", l.key)
	}
	var value record
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return errors.Wrapf(err, "record %q is not valid", l.key)
	}
	l.version, l.record, l.loaded = object.Version, value, true
	return nil
}

// save writes the next record against the version that was read. A lost answer and a conflict are
// resolved by reading: only when the store holds exactly this value has the write succeeded.
func (l *ledger) save(ctx context.Context, next record) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrapf(err, "encode record %q", l.key)
	}
	l.loaded = false
	object, err := l.store.Put(ctx, l.key, value, l.version)
	if errors.Is(err, storer.ErrUncertain) || errors.Is(err, storer.ErrConflict) {
		stored, readErr := l.store.Get(ctx, l.key)
		if readErr == nil && bytes.Equal(stored.Value, value) {
			object, err = stored, nil
		}
	}
	if err != nil {
		return errors.Wrapf(err, "write record %q", l.key)
	}
	l.version, l.record, l.loaded = object.Version, next, true
	return nil
}
