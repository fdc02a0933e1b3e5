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

// phase is the progress of a change.
type phase string

const (
	phaseDrain  phase = "drain"  // the engine finishes its requests
	phaseChange phase = "change" // the command of the change is stored as the intent
	phaseResume phase = "resume" // the change is confirmed; the engine must accept requests again
	phaseUndo   phase = "undo"   // the change is abandoned; the engine must accept requests again
)

// record is the object "command/<endpoint>". Every write is conditional on the version, so a process
// with a stale version fails before it sends a command.
type record struct {
	Writer  namer.Process      `json:"writer"`  // lease holder that last wrote the record
	Fencing namer.FencingToken `json:"fencing"` // of the writer
	// Bound is the only process that may send commands to an engine that ignores fencing tokens.
	Bound    namer.Process `json:"bound,omitzero"`
	Sequence uint64        `json:"sequence"` // incremented with each new command
	Change   *Change       `json:"change,omitempty"`
	Phase    phase         `json:"phase,omitempty"`
	Attempts int           `json:"tries,omitempty"` // commands of the change that were started
	// KeepDrained is set if the engine was drained before the change and must stay drained after it.
	KeepDrained bool `json:"keep-drained,omitempty"`
	// Command is the intent: the only command that may be unconfirmed. It is sent exactly as stored.
	Command *generator.Command `json:"command,omitempty"`
	// Barrier is the engine's incarnation at a time when Command was unconfirmed and the bound process
	// was known to send nothing any more. Command can't reach a later incarnation. The incarnation at
	// the time of the intent would not suffice, since the engine may restart before the send.
	Barrier namer.Incarnation `json:"barrier,omitempty"`
}

// setIntent makes a command the intent. IDs are unique because only one process can write each
// version of the record.
func (r *record) setIntent(c generator.Command, fencing namer.FencingToken) {
	r.Sequence++
	c.ID = fmt.Sprintf("%d-%d", fencing, r.Sequence)
	c.Fencing = fencing
	r.Command, r.Barrier = &c, 0
}

// confirmedBy reports whether the engine has executed the intent.
func (r *record) confirmedBy(state generator.EngineState) bool {
	return r.Command != nil && state.LastCommand == r.Command.ID && !state.Changing
}

// confirmIntent clears an intent that the engine has executed.
func (r *record) confirmIntent() {
	r.Command, r.Barrier = nil, 0
	if r.Phase == phaseChange {
		r.Phase = phaseResume
	}
}

// discardIntent clears an intent that can no longer reach the engine.
func (r *record) discardIntent() {
	r.Command, r.Barrier = nil, 0
	if r.Phase == phaseChange {
		r.Phase = phaseDrain
	}
}

func recordKey(e namer.Endpoint) string { return "command/" + string(e) }

// recordStore reads and writes the record of one endpoint. It is not safe for concurrent use.
type recordStore struct {
	store   storer.Store
	key     string
	version storer.Version
	current record
	loaded  bool
}

// load reads the record unless its current version is already loaded.
func (s *recordStore) load(ctx context.Context) error {
	if s.loaded {
		return nil
	}
	object, err := s.store.Get(ctx, s.key)
	if errors.Is(err, storer.ErrNotFound) {
		s.version, s.current, s.loaded = 0, record{}, true
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read record %q", s.key)
	}
	var value record
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return errors.Wrapf(err, "decode record %q", s.key)
	}
	s.version, s.current, s.loaded = object.Version, value, true
	return nil
}

// save writes the record conditional on the version that was read. After a lost response or a conflict
// it reads the record back: the write has succeeded only if the store holds exactly this value.
func (s *recordStore) save(ctx context.Context, next record) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrapf(err, "encode record %q", s.key)
	}
	s.loaded = false
	object, err := s.store.Put(ctx, s.key, value, s.version)
	if errors.Is(err, storer.ErrUncertain) || errors.Is(err, storer.ErrConflict) {
		stored, readErr := s.store.Get(ctx, s.key)
		if readErr == nil && bytes.Equal(stored.Value, value) {
			object, err = stored, nil
		}
	}
	if err != nil {
		return errors.Wrapf(err, "write record %q", s.key)
	}
	s.version, s.current, s.loaded = object.Version, next, true
	return nil
}
