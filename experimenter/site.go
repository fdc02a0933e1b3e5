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

// Site is a user's fleet and the work that it gets.
type Site struct {
	Name        string
	DataCentres []namer.DataCentre
	Distance    time.Duration // one way between data centres
	Engines     []Placed      // spread evenly over the data centres, like the hosts
	Hosts       int
	// Prefill is the number of engines with the prefill role in the site's configuration; the others
	// decode. 0 stands for mixed engines only.
	Prefill int
	// Load is the usual load, relative to the fluid capacity.
	Load      float64
	Service   decider.ServiceView
	Workloads map[namer.Rank]modeler.Workload
}

// Placed is an engine of a site.
type Placed struct {
	Class modeler.Class
	Model namer.Model
	// From is when the engine enters the configuration.
	From time.Duration
	// NoPriors leaves the engine's rates out of the configuration.
	NoPriors bool
}

func alike(n int, class modeler.Class) []Placed {
	engines := make([]Placed, n)
	for i := range engines {
		engines[i] = Placed{Class: class, Model: model}
	}
	return engines
}

// name returns the name of the site's engine with the given index.
func (s Site) name(engine int) namer.Endpoint {
	return namer.Endpoint(fmt.Sprintf("engine-%d", engine))
}

// workload returns the workload of the rank at the given place, 0 for the most urgent.
func (s Site) workload(place int) modeler.Workload { return s.Workloads[s.Service.Ranks[place].Name] }

// Lower returns the less urgent rank.
func (s Site) Lower() decider.RankView { return s.Service.Ranks[1] }

func newSite(name string, centres []namer.DataCentre, engines []Placed, hosts int, upper, lower modeler.Workload, share float64) Site {
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

// Siamrak returns the site of Siamrak Beltworks: long checks with short answers below urgent questions.
func Siamrak() Site {
	questions := modeler.Workload{
		Rank: RankUrgent, PromptMin: 100, PromptMax: 1500, OutputMin: 50, OutputMax: 300,
		FirstToken: 1400 * time.Millisecond, BetweenTokens: 44 * time.Millisecond,
	}
	checks := modeler.Workload{
		Rank: RankFree, PromptMin: 20_000, PromptMax: 60_000, OutputMin: 1, OutputMax: 8,
		FirstToken: 30 * time.Second, BetweenTokens: 200 * time.Millisecond,
	}
	s := newSite("siamrak", []namer.DataCentre{"a", "b", "c"}, alike(8, modeler.Large70B), 6, questions, checks, 0.3)
	// 87% of what mixed engines sustain for the usual mix, which is 52% of the fluid capacity.
	s.Load = 0.45
	return s
}

// Igisasu returns the site of Igisasu Mat Works: care-file reads beside chats with households.
func Igisasu() Site {
	chats := modeler.Workload{
		Rank: RankUrgent, PromptMin: 200, PromptMax: 2000, OutputMin: 100, OutputMax: 500,
		FirstToken: 1400 * time.Millisecond, BetweenTokens: 44 * time.Millisecond,
	}
	reads := modeler.Workload{
		Rank: RankReads, PromptMin: 8000, PromptMax: 40_000, OutputMin: 100, OutputMax: 400,
		FirstToken: 15 * time.Second, BetweenTokens: 100 * time.Millisecond,
	}
	s := newSite("igisasu", []namer.DataCentre{"a", "b", "c", "d"}, alike(9, modeler.Large70B16), 8, chats, reads, 0.4)
	s.Distance = 1100 * time.Microsecond
	// Mixed engines sustain 21% of the fluid capacity for the usual mix. With six engines that prefill and
	// three that decode, strict priorities still meet the targets of 95 in 100 requests at 80%.
	s.Prefill = 6
	s.Load = 0.6
	return s
}
