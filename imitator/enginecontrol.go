package imitator

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// maxLoadHistory is the maximum length of the load history. It covers a lag of seconds at thousands of
// changes per second.
const maxLoadHistory = 4096

// recordLoad appends the current load to the load history. The caller holds the lock.
func (e *Engine) recordLoad() {
	report := generator.LoadReport{
		Incarnation: e.incarnation, At: time.Now(), Running: e.running, Waiting: len(e.waiting),
		Role: e.role, Leaving: e.draining,
	}
	for _, s := range e.waiting {
		report.WaitingPrefill += s.completion.PromptTokens
	}
	if e.Concurrency > 0 {
		report.KVUsed = float64(e.running) / float64(e.Concurrency)
	}
	if len(e.loadHistory) == maxLoadHistory {
		e.loadHistory = slices.Delete(e.loadHistory, 0, maxLoadHistory/2)
	}
	e.loadHistory = append(e.loadHistory, report)
}

// Load returns the load as it was LoadLag ago.
func (e *Engine) Load(context.Context, generator.Target) (generator.LoadReport, error) {
	e.lock()
	defer e.mu.Unlock()
	if len(e.loadHistory) == 0 {
		e.recordLoad()
	}
	then := time.Now().Add(-e.LoadLag)
	after, _ := slices.BinarySearchFunc(e.loadHistory, then, func(l generator.LoadReport, t time.Time) int {
		if l.At.After(t) {
			return 1
		}
		return -1
	})
	report := generator.LoadReport{Incarnation: e.incarnation, Role: e.role}
	if after > 0 {
		report = e.loadHistory[after-1]
	}
	report.At, report.Models = then, slices.Clone(e.Models)
	return report, nil
}

// State returns the current state.
func (e *Engine) State(context.Context, generator.Target) (generator.EngineState, error) {
	e.lock()
	defer e.mu.Unlock()
	state := generator.EngineState{
		Incarnation: e.incarnation, Role: e.role, Models: slices.Clone(e.Models), Draining: e.draining,
		Changing: e.changing, Running: e.running + len(e.waiting),
	}
	if e.ChecksFencing {
		state.Fencing = e.fencing
	}
	if len(e.commands) > 0 {
		state.LastCommand = e.commands[len(e.commands)-1].ID
	}
	return state, nil
}

// Commands returns the commands that have been applied, in order.
func (e *Engine) Commands() []generator.Command {
	e.lock()
	defer e.mu.Unlock()
	return slices.Clone(e.commands)
}

// Command applies a command. A command with a known ID has no effect.
func (e *Engine) Command(_ context.Context, _ generator.Target, c generator.Command) error {
	e.lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && c.Fencing < e.fencing {
		return errors.Wrapf(generator.ErrFenced, "command %q has fencing token %d, below the highest seen, %d", c.ID, c.Fencing, e.fencing)
	}
	if slices.ContainsFunc(e.commands, func(done generator.Command) bool { return done.ID == c.ID }) {
		return nil
	}
	if e.changing {
		return errors.Wrapf(generator.ErrRefused, "command %q arrived during a role change", c.ID)
	}
	if err := e.apply(c); err != nil {
		return err
	}
	e.fencing = max(e.fencing, c.Fencing)
	e.commands = append(e.commands, c)
	e.recordLoad()
	return nil
}

func (e *Engine) apply(c generator.Command) error {
	switch c.Kind {
	case generator.CommandRole:
		e.changeRole(c.Role)
	case generator.CommandLoad:
		if !slices.Contains(e.Models, c.Model) {
			e.Models = append(e.Models, c.Model)
		}
	case generator.CommandUnload:
		if c.Adapter == "" {
			e.Models = slices.DeleteFunc(e.Models, func(m namer.Model) bool { return m == c.Model })
		}
	case generator.CommandDrain:
		e.draining = true
	case generator.CommandResume:
		e.draining = false
	default:
		return errors.Wrapf(generator.ErrRejected, "unknown command kind %q", c.Kind)
	}
	return nil
}

// changeRole breaks running and waiting streams, as real engines do when they are not drained first. The
// caller holds the lock.
func (e *Engine) changeRole(role namer.Role) {
	for _, s := range e.streams {
		if s.running || slices.Contains(e.waiting, s) {
			e.remove(s)
		}
	}
	if e.RoleChange == 0 {
		e.role = role
		return
	}
	e.changing = true
	incarnation := e.incarnation
	time.AfterFunc(e.RoleChange, func() {
		e.lock()
		defer e.mu.Unlock()
		if e.incarnation == incarnation {
			e.role, e.changing = role, false
			e.recordLoad()
		}
	})
}
