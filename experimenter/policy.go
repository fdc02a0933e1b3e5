// Package experimenter measures decisions: it drives several deciding hosts and modelled engines
// through schedules of requests in virtual time and reports goodput and service by rank. A run is
// determined by its schedule, its policy and their seeds. The package owns no state between runs.
package experimenter

import (
	"fmt"
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
)

// Policy decides for one host. decider.Core is one; the baselines are others.
type Policy interface {
	Configure(now time.Time, fleet decider.Fleet)
	Arrive(now time.Time, r decider.Request) []decider.Action
	Observe(now time.Time, e decider.Event) []decider.Action
	Tick(now time.Time) []decider.Action
}

// Contender is a named policy that takes part in a measurement.
type Contender struct {
	Name string
	New  func(seed uint64) Policy // returns the policy of one host
	// Roles returns the role of an engine at the start; nil stands for all mixed.
	Roles func(engine int) namer.Role
	// Planner returns the planner of the whole fleet; nil leaves the roles as they are.
	Planner func() Planner
}

// Contenders returns the core and the baselines that don't depend on the site.
func Contenders() []Contender {
	return []Contender{
		{Name: "core", New: func(seed uint64) Policy { return &decider.Core{Seed: seed} }},
		{
			Name: "core+planner", New: func(seed uint64) Policy { return &decider.Core{Seed: seed} },
			Planner: func() Planner { return &RolePlanner{} },
		},
		{Name: "round-robin", New: func(seed uint64) Policy { return &Baseline{Choose: RoundRobin(seed)} }},
		{Name: "least-outstanding", New: func(uint64) Policy { return &Baseline{Choose: LeastOutstanding} }},
		{Name: "power-of-two", New: func(seed uint64) Policy { return &Baseline{Choose: PowerOfTwo(seed)} }},
		{Name: "strict-priority", New: func(uint64) Policy { return &Baseline{Choose: LeastOutstanding, Priorities: true} }},
	}
}

// FixedRoles returns baselines with several fixed splits of the site's engines into roles, by the
// number of engines with the prefill role; the others decode.
func FixedRoles(site Site) []Contender {
	var contenders []Contender
	for prefill := 2; prefill <= len(site.Engines)-1; prefill++ {
		contenders = append(contenders, Contender{
			Name:  fmt.Sprintf("fixed-%d:%d", prefill, len(site.Engines)-prefill),
			New:   func(uint64) Policy { return &Baseline{Choose: LeastOutstanding} },
			Roles: split(prefill),
		})
	}
	return contenders
}

// split gives the prefill role to the first engines.
func split(prefill int) func(engine int) namer.Role {
	return func(engine int) namer.Role {
		if engine < prefill {
			return namer.RolePrefill
		}
		return namer.RoleDecode
	}
}
