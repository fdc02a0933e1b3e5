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
	// Fencing is set if the engine refuses commands with an old fencing token and persists the
	// highest token across restarts. It must not be set for an engine that loses the token.
	Fencing bool
}

func (e Endpoint) target() generator.Target {
	return generator.Target{Endpoint: e.Name, Address: e.Address}
}

// Change is a change of one endpoint that a planner or an operator requests.
type Change struct {
	Endpoint namer.Endpoint        `json:"endpoint"`
	Kind     generator.CommandKind `json:"kind"`
	Role     namer.Role            `json:"role,omitempty"`
	Model    namer.Model           `json:"model,omitempty"`
	Version  string                `json:"version,omitempty"`
	Adapter  string                `json:"adapter,omitempty"`
}

// disrupts reports whether the command of the change could abort requests that the engine executes.
// Loading a model that the engine doesn't have yet leaves the other models in service.
func (c Change) disrupts(state generator.EngineState) bool {
	switch c.Kind {
	case generator.CommandRole, generator.CommandUnload:
		return true
	case generator.CommandLoad:
		return slices.Contains(state.Models, c.Model)
	}
	return false
}

// satisfiedBy reports whether the engine's state shows the result of the change, as far as it can:
// adapters are not part of the state.
func (c Change) satisfiedBy(state generator.EngineState) bool {
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

// Outcome is how a change ended.
type Outcome string

// The outcomes of a change.
const (
	// Done means that the engine confirmed the change and accepts work again, except after a drain.
	Done Outcome = "done"
	// Undone means that the change was abandoned and the engine accepts work as before.
	Undone Outcome = "undone"
	// Deferred means that the change was not started because of a limit or an unfinished recovery.
	Deferred Outcome = "deferred"
	// Busy means that the change was not started because another one of the endpoint is in progress.
	Busy Outcome = "busy"
	// Held means that nothing was sent because the endpoint is bound to a process that may be alive.
	Held Outcome = "held"
	// NoAuthority means that the lease ended. The next holder completes or undoes a change in progress.
	NoAuthority Outcome = "no-authority"
	// Unsettled means that the caller or the daemon stopped first. The lease holder continues the change.
	Unsettled Outcome = "unsettled"
	// UnknownEndpoint means that the data centre has no endpoint of that name.
	UnknownEndpoint Outcome = "unknown-endpoint"
)

// Result is the result of one requested change.
type Result struct {
	Change     Change
	Outcome    Outcome
	RetryAfter time.Duration // for Deferred; 0 when unknown
}
