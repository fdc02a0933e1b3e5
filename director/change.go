package director

import (
	"net/netip"
	"slices"
	"time"

	"apricotspool/generator"
	"apricotspool/namer"
)

// Endpoint is a model engine of the director's data centre.
type Endpoint struct {
	Name    namer.Endpoint
	Address netip.AddrPort
	// Fencing says that the engine refuses commands with an old fencing number and keeps the highest
	// number when it restarts. An engine that forgets the number must be listed without it.
	Fencing bool
}

func (e Endpoint) target() generator.Target {
	return generator.Target{Endpoint: e.Name, Address: e.Address}
}

// Change is what a planner or an operator wants of one endpoint.
type Change struct {
	Endpoint namer.Endpoint        `json:"endpoint"`
	Kind     generator.CommandKind `json:"kind"`
	Role     namer.Role            `json:"role,omitempty"`
	Model    namer.Model           `json:"model,omitempty"`
	Version  string                `json:"version,omitempty"`
	Adapter  string                `json:"adapter,omitempty"`
}

// disrupts reports whether the command of the change could cut requests that the engine executes.
// A model that the engine doesn't have yet is loaded beside the others.
func (c Change) disrupts(state generator.EngineState) bool {
	switch c.Kind {
	case generator.CommandRole, generator.CommandUnload:
		return true
	case generator.CommandLoad:
		return slices.Contains(state.Models, c.Model)
	}
	return false
}

// reached reports whether the engine has what the change wants, as far as its state shows it.
func (c Change) reached(state generator.EngineState) bool {
	switch c.Kind {
	case generator.CommandRole:
		return state.Role == c.Role
	case generator.CommandLoad:
		return slices.Contains(state.Models, c.Model)
	case generator.CommandUnload:
		return c.Adapter != "" || !slices.Contains(state.Models, c.Model)
	case generator.CommandDrain:
		return state.Draining
	}
	return !state.Draining
}

func (c Change) command() generator.Command {
	return generator.Command{Kind: c.Kind, Role: c.Role, Model: c.Model, Version: c.Version, Adapter: c.Adapter}
}

// Outcome says how a change ended.
type Outcome string

// The outcomes of a change.
const (
	// Done means that the engine confirmed the change and accepts work again, unless it was to drain.
	Done Outcome = "done"
	// Undone means that the change was given up and the engine accepts work as before.
	Undone Outcome = "undone"
	// Deferred means that nothing was begun because of a limit or because recovery isn't finished.
	Deferred Outcome = "deferred"
	// Busy means that another change of the endpoint is in progress; nothing was begun.
	Busy Outcome = "busy"
	// Held means that the endpoint is bound to a process that may still be alive; nothing was sent.
	Held Outcome = "held"
	// NoAuthority means that the lease ended. The next holder finishes or undoes what was begun.
	NoAuthority Outcome = "no-authority"
	// Unsettled means that the caller or the daemon stopped first. The lease holder goes on with the change.
	Unsettled Outcome = "unsettled"
	// UnknownEndpoint means that the data centre has no such endpoint.
	UnknownEndpoint Outcome = "unknown-endpoint"
)

// Result is the end of one wanted change.
type Result struct {
	Change     Change
	Outcome    Outcome
	RetryAfter time.Duration // for Deferred; 0 when unknown
}
