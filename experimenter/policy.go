// Package experimenter evaluates scheduling policies by discrete-event simulation. It drives the
// policies of several hosts and modelled engines through schedules of requests in virtual time and
// reports goodput and latency by rank. A run is fully determined by its schedule, its policy and their
// seeds. The package keeps no state between runs.
package experimenter

import (
	"fmt"
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
)

// Policy makes the scheduling decisions of one host. It is implemented by decider.Core and by the
// baselines.
type Policy interface {
	Configure(now time.Time, fleet decider.Fleet)
	Arrive(now time.Time, r decider.Request) []decider.Action
	Observe(now time.Time, e decider.Event) []decider.Action
	Tick(now time.Time) []decider.Action
}

// Variant is a named policy with its initial engine roles and its planner.
type Variant struct {
	Name string
	New  func(seed uint64) Policy // creates the policy of one host
	// Roles returns the initial role of an engine; nil makes all engines mixed.
	Roles func(site Site, engine int) namer.Role
	// Planner creates the planner of the whole fleet; nil disables planned role changes.
	Planner func() Planner
	// Family groups variants that differ only in their fixed role split; only the best of a family is
	// reported.
	Family string
}

// ConfiguredRoles returns the role of an engine in the site's configuration.
func ConfiguredRoles(site Site, engine int) namer.Role {
	if site.PrefillEngines == 0 {
		return namer.RoleMixed
	}
	return split(site.PrefillEngines)(site, engine)
}

// Variants returns the core, with and without planner, and the baselines with the configured roles.
func Variants() []Variant {
	core := func(seed uint64) Policy { return &decider.Core{Seed: seed} }
	return []Variant{
		{Name: "core", New: core, Roles: ConfiguredRoles, Planner: func() Planner { return &CorePlanner{} }},
		{Name: "core-without-planner", New: core, Roles: ConfiguredRoles},
		baseline("round-robin", false, RoundRobin),
		baseline("least-outstanding", false, leastOutstanding),
		baseline("power-of-two", false, PowerOfTwo),
		baseline("strict-priority", true, leastOutstanding),
	}
}

func baseline(name string, priorities bool, choose func(seed uint64) Picker) Variant {
	return Variant{
		Name: name, Roles: ConfiguredRoles,
		New: func(seed uint64) Policy { return &Baseline{Pick: choose(seed), Priorities: priorities} },
	}
}

func leastOutstanding(uint64) Picker { return LeastOutstanding }

// The families of baselines with fixed role splits. FamilyFixed routes like least-outstanding,
// FamilyFixedPriority like strict-priority.
const (
	FamilyFixed         = "fixed"
	FamilyFixedPriority = "fixed-priority"
)

// FixedRoles returns baselines with all engines mixed and with a range of fixed prefill/decode splits.
func FixedRoles(site Site) []Variant {
	var variants []Variant
	for _, family := range []string{FamilyFixed, FamilyFixedPriority} {
		mixed := baseline(family+"-mixed", family == FamilyFixedPriority, leastOutstanding)
		mixed.Family, mixed.Roles = family, nil
		variants = append(variants, mixed)
		for prefill := 3; prefill < len(site.Engines); prefill++ {
			v := mixed
			v.Name = fmt.Sprintf("%s-%d:%d", family, prefill, len(site.Engines)-prefill)
			v.Roles = split(prefill)
			variants = append(variants, v)
		}
	}
	return variants
}

// split assigns the prefill role to the first engines and the decode role to the others.
func split(prefill int) func(site Site, engine int) namer.Role {
	return func(_ Site, engine int) namer.Role {
		if engine < prefill {
			return namer.RolePrefill
		}
		return namer.RoleDecode
	}
}
