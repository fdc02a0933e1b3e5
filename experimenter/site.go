package experimenter

import (
	"fmt"
	"time"

	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

// The ranks of the sites, the most urgent first.
const (
	RankUrgent namer.Rank = "urgent"
	RankFree   namer.Rank = "free"  // Siamrak's long checks
	RankReads  namer.Rank = "reads" // Igisasu's care-file reads
)

const (
	service namer.Service = "assistant"
	model   namer.Model   = "large"
)

// Site describes a user's fleet and its workloads.
type Site struct {
	Name        string
	DataCentres []namer.DataCentre
	Distance    time.Duration // one-way delay between data centres
	Engines     []EngineSpec  // spread evenly over the data centres, like the hosts
	Hosts       int
	// PrefillEngines is the number of engines with the prefill role in the site's configuration; the
	// others decode. 0 makes all engines mixed.
	PrefillEngines int
	// Load is the nominal load, relative to the fluid capacity.
	Load      float64
	Service   decider.ServiceView
	Workloads map[namer.Rank]modeler.Workload
}

// EngineSpec describes an engine of a site.
type EngineSpec struct {
	Class modeler.Class
	Model namer.Model
	// JoinsAt is the time at which the engine is added to the configuration.
	JoinsAt time.Duration
	// OmitRates leaves the engine's prefill and decode rates out of the configuration.
	OmitRates bool
}

func uniformEngines(n int, class modeler.Class) []EngineSpec {
	engines := make([]EngineSpec, n)
	for i := range engines {
		engines[i] = EngineSpec{Class: class, Model: model}
	}
	return engines
}

// engineName returns the engineName of the site's engine with the given index.
func (s Site) engineName(engine int) namer.Endpoint {
	return namer.Endpoint(fmt.Sprintf("engine-%d", engine))
}

// workload returns the workload of the rank with the given index; 0 is the most urgent.
func (s Site) workload(rank int) modeler.Workload { return s.Workloads[s.Service.Ranks[rank].Name] }

// LowerRank returns the less urgent rank.
func (s Site) LowerRank() decider.RankView { return s.Service.Ranks[1] }

func newSite(name string, centres []namer.DataCentre, engines []EngineSpec, hosts int, upper, lower modeler.Workload, share float64) Site {
	lower.Priority = 1
	s := Site{
		Name: name, DataCentres: centres, Distance: time.Millisecond, Hosts: hosts,
		Engines:   engines,
		Service:   decider.ServiceView{Name: service, Deadline: 2 * time.Minute},
		Workloads: map[namer.Rank]modeler.Workload{upper.Rank: upper, lower.Rank: lower},
	}
	for n, w := range []modeler.Workload{upper, lower} {
		s.Service.Ranks = append(s.Service.Ranks, decider.RankView{
			Name: w.Rank, FirstToken: w.FirstToken, BetweenTokens: w.BetweenTokens,
			Share: []float64{1 - share, share}[n], QueueLimit: 256,
		})
	}
	return s
}

// Siamrak returns the site of Siamrak Beltworks: urgent questions, and long checks with short outputs at
// a lower rank.
func Siamrak() Site {
	questions := modeler.Workload{
		Rank: RankUrgent, PromptMin: 100, PromptMax: 1500, OutputMin: 50, OutputMax: 300,
		FirstToken: 1400 * time.Millisecond, BetweenTokens: 44 * time.Millisecond,
	}
	checks := modeler.Workload{
		Rank: RankFree, PromptMin: 20_000, PromptMax: 60_000, OutputMin: 1, OutputMax: 8,
		FirstToken: 30 * time.Second, BetweenTokens: 200 * time.Millisecond,
	}
	s := newSite("siamrak", []namer.DataCentre{"a", "b", "c"}, uniformEngines(8, modeler.Large70B), 6, questions, checks, 0.3)
	// 87% of what mixed engines sustain for the nominal mix, which is 52% of the fluid capacity.
	s.Load = 0.45
	return s
}

// Igisasu returns the site of Igisasu Mat Works: urgent chats with households, and care-file reads at a
// lower rank.
func Igisasu() Site {
	chats := modeler.Workload{
		Rank: RankUrgent, PromptMin: 200, PromptMax: 2000, OutputMin: 100, OutputMax: 500,
		FirstToken: 1400 * time.Millisecond, BetweenTokens: 44 * time.Millisecond,
	}
	reads := modeler.Workload{
		Rank: RankReads, PromptMin: 8000, PromptMax: 40_000, OutputMin: 100, OutputMax: 400,
		FirstToken: 15 * time.Second, BetweenTokens: 100 * time.Millisecond,
	}
	s := newSite("igisasu", []namer.DataCentre{"a", "b", "c", "d"}, uniformEngines(9, modeler.Large70B16), 8, chats, reads, 0.4)
	s.Distance = 1100 * time.Microsecond
	// Mixed engines sustain 21% of the fluid capacity for the nominal mix. With six prefill and three
	// decode engines, strict priorities still meet the targets of 95% of the requests at 80%.
	s.PrefillEngines = 6
	s.Load = 0.6
	return s
}
