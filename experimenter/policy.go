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
	Roles func(site Site, engine int) namer.Role
	// Planner returns the planner of the whole fleet; nil leaves the roles as they are.
	Planner func() Planner
	// Family names a group of contenders with different fixed splits into roles, of which only the best
	// is reported.
	Family string
}

// ConfiguredRoles gives the engines the roles of the site's configuration.
func ConfiguredRoles(site Site, engine int) namer.Role {
	if site.Prefill == 0 {
		return namer.RoleMixed
	}
	return split(site.Prefill)(site, engine)
}

// Contenders returns the core and the baselines without a choice of roles.
func Contenders() []Contender {
	core := func(seed uint64) Policy { return &decider.Core{Seed: seed} }
	return []Contender{
		{Name: "core", New: core, Roles: ConfiguredRoles, Planner: func() Planner { return &CorePlanner{} }},
		{Name: "core-without-planner", New: core, Roles: ConfiguredRoles},
		baseline("round-robin", false, RoundRobin),
		baseline("least-outstanding", false, leastOutstanding),
		baseline("power-of-two", false, PowerOfTwo),
		baseline("strict-priority", true, leastOutstanding),
	}
}

func baseline(name string, priorities bool, choose func(seed uint64) Choose) Contender {
	return Contender{
		Name: name, Roles: ConfiguredRoles,
		New: func(seed uint64) Policy { return &Baseline{Choose: choose(seed), Priorities: priorities} },
	}
}

func leastOutstanding(uint64) Choose { return LeastOutstanding }

// The families of baselines with fixed roles. The first routes like least-outstanding, the second like
// strict-priority.
const (
	FamilyFixed         = "fixed"
	FamilyFixedPriority = "fixed-priority"
)

// FixedRoles returns baselines with several fixed splits of the site's engines into roles.
func FixedRoles(site Site) []Contender {
	var contenders []Contender
	for _, family := range []string{FamilyFixed, FamilyFixedPriority} {
		mixed := baseline(family+"-mixed", family == FamilyFixedPriority, leastOutstanding)
		mixed.Family, mixed.Roles = family, nil
		contenders = append(contenders, mixed)
		for prefill := 3; prefill < len(site.Engines); prefill++ {
			c := mixed
			c.Name = fmt.Sprintf("%s-%d:%d", family, prefill, len(site.Engines)-prefill)
			c.Roles = split(prefill)
			contenders = append(contenders, c)
		}
	}
	return contenders
}

// split gives the prefill role to the first engines.
func split(prefill int) func(site Site, engine int) namer.Role {
	return func(_ Site, engine int) namer.Role {
		if engine < prefill {
			return namer.RolePrefill
		}
		return namer.RoleDecode
	}
}
