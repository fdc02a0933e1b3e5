package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

// The ranks of all schedules, the most urgent first.
const (
	RankUrgent namer.Rank = "urgent"
	RankFree   namer.Rank = "free"
)

const (
	service namer.Service = "assistant"
	model   namer.Model   = "large"
	// answerLimit is the caller's limit on the output as a multiple of the output; callers set it generously.
	answerLimit = 2
)

// Site is a user's fleet and the work that it gets.
type Site struct {
	Name        string
	DataCentres []namer.DataCentre
	Distance    time.Duration // one way between data centres
	Engines     int           // spread evenly over the data centres, like the hosts
	Hosts       int
	Class       modeler.Class
	Service     decider.ServiceView
	Workloads   map[namer.Rank]modeler.Workload
}

// Arrival is one request of a schedule.
type Arrival struct {
	At       time.Duration
	Workload modeler.Workload
	Prompt   namer.Tokens
	Output   namer.Tokens
}

// Schedule is a list of arrivals, determined by its seed, with the conditions they meet.
type Schedule struct {
	Name     string
	Site     Site
	Seed     uint64
	Length   time.Duration
	Arrivals []Arrival
	// ReportLag is the age of a load report when it reaches the hosts.
	ReportLag time.Duration
}

// Siamrak returns the site of Siamrak Beltworks: long checks with short answers below urgent questions.
func Siamrak() Site {
	return Site{
		Name: "siamrak", DataCentres: []namer.DataCentre{"a", "b", "c"}, Distance: time.Millisecond,
		Engines: 8, Hosts: 6, Class: modeler.Large70B,
		Service: decider.ServiceView{
			Name: service, Deadline: 2 * time.Minute,
			Ranks: []decider.RankView{
				{Name: RankUrgent, FirstToken: 1400 * time.Millisecond, BetweenTokens: 44 * time.Millisecond, Share: 0.7, QueueLimit: 256},
				{Name: RankFree, FirstToken: 30 * time.Second, BetweenTokens: 200 * time.Millisecond, Share: 0.3, QueueLimit: 256},
			},
		},
		Workloads: map[namer.Rank]modeler.Workload{
			RankUrgent: {
				Rank: RankUrgent, PromptMin: 100, PromptMax: 1500, OutputMin: 50, OutputMax: 300,
				FirstToken: 1400 * time.Millisecond, BetweenTokens: 44 * time.Millisecond,
			},
			RankFree: {
				Rank: RankFree, PromptMin: 20_000, PromptMax: 60_000, OutputMin: 1, OutputMax: 8, Priority: 1,
				FirstToken: 30 * time.Second, BetweenTokens: 200 * time.Millisecond,
			},
		},
	}
}

// Steady returns a schedule with an unchanging mix of which the given part is urgent, at a load
// relative to the calibrated capacity of the site's engines for that mix.
func Steady(site Site, urgent, load float64, length time.Duration, seed uint64) Schedule {
	mix := []modeler.Share{
		{Workload: site.Workloads[RankUrgent], Part: urgent},
		{Workload: site.Workloads[RankFree], Part: 1 - urgent},
	}
	rate := load * float64(site.Engines) * modeler.Capacity(site.Class, mix, seed)
	s := Schedule{Name: fmt.Sprintf("%s steady %.0f%%", site.Name, 100*load), Site: site, Seed: seed, Length: length}
	random := rand.New(rand.NewPCG(seed, 1))
	for now := gap(random, rate); now < length; now += gap(random, rate) {
		w := mix[1].Workload
		if random.Float64() < urgent {
			w = mix[0].Workload
		}
		prompt, output := w.Draw(random)
		s.Arrivals = append(s.Arrivals, Arrival{At: now, Workload: w, Prompt: prompt, Output: output})
	}
	return s
}

// gap draws the time between two arrivals of a Poisson process.
func gap(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}
