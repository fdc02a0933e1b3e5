package experimenter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
)

const (
	// callers is the number of workspaces of each rank; requests are spread over them by Zipf's law.
	callers = 300
	// callerSkew is the exponent of that law: the busiest of 300 sends about 15% of the requests.
	callerSkew = 1.1
	// floodCallers send what a flood adds.
	floodCallers = 5
	// conversations is the number of open conversations among which the next turn is chosen.
	conversations = 200
	// costSamples are drawn to find the mean cost of a workload; the error of the mean is about 1%.
	costSamples = 5000
)

// Arrival is one request of a schedule.
type Arrival struct {
	At       time.Duration
	Workload modeler.Workload
	Caller   namer.Caller
	Model    namer.Model
	Prompt   namer.Tokens
	Output   namer.Tokens
	// Conversation identifies the text that the prompt is the beginning of.
	Conversation uint64
	// Known is the length of the conversation's longest earlier prompt.
	Known namer.Tokens
	Flood bool // belongs to a flood
}

// Prefix returns the hashes of the prompt's blocks.
func (a Arrival) Prefix() []uint64 {
	blocks := make([]uint64, a.Prompt/decider.PrefixBlock)
	for n := range blocks {
		// The multiplier spreads the conversations over the numbers, so that blocks never collide.
		blocks[n] = a.Conversation*0x9e3779b97f4a7c15 + uint64(n)
	}
	return blocks
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
	// Faults happen during the run.
	Faults []Fault
	// AskAgain says that callers ask again at once when they are refused, whatever Retry-After says.
	AskAgain bool
	// Shifts are the times at which the mix changes.
	Shifts []time.Duration
	// Floods are the times in which more than the fleet's capacity arrives.
	Floods []Flood
}

// Phase is a part of a schedule with one mix. Load is relative to the fluid capacity of the site: the
// rate at which the least costs of the requests fill all engines. Lower is the part of the less
// urgent rank in that work.
type Phase struct {
	Length time.Duration
	Load   float64
	Lower  float64
}

// Flood multiplies the arrivals of a rank for a time.
type Flood struct {
	Rank       namer.Rank
	From, To   time.Duration
	Multiplier float64
}

// Play returns the schedule of the given phases and floods.
func Play(name string, site Site, seed uint64, phases []Phase, floods ...Flood) Schedule {
	s := Schedule{Name: site.Name + " " + name, Site: site, Seed: seed, Floods: floods}
	d := &drawer{random: rand.New(rand.NewPCG(seed, 1)), site: site}
	d.callers = rand.NewZipf(d.random, callerSkew, 1, callers-1)
	for n, p := range phases {
		if n > 0 {
			s.Shifts = append(s.Shifts, s.Length)
		}
		end := s.Length + p.Length
		for place, part := range []float64{1 - p.Lower, p.Lower} {
			w := site.workload(place)
			rate := p.Load * part * float64(len(site.Engines)) / MeanCost(site, w, seed)
			s.Arrivals = append(s.Arrivals, d.draw(w, rate, s.Length, end, false)...)
			for _, f := range floods {
				if f.Rank == w.Rank {
					s.Arrivals = append(s.Arrivals, d.draw(w, rate*(f.Multiplier-1), max(f.From, s.Length), min(f.To, end), true)...)
				}
			}
		}
		s.Length = end
	}
	slices.SortStableFunc(s.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	d.converse(s.Arrivals)
	return s
}

// MixedCapacity returns the part of the fluid capacity that an engine with the mixed role sustains for
// a mix in which the less urgent rank has the given part of the work.
func MixedCapacity(site Site, lower float64, seed uint64) float64 {
	var mix []modeler.Share
	total := 0.0 // requests for each engine second of work
	for place, part := range []float64{1 - lower, lower} {
		w := site.workload(place)
		requests := part / MeanCost(site, w, seed)
		total += requests
		mix = append(mix, modeler.Share{Workload: w, Part: requests})
	}
	return modeler.Capacity(site.Engines[0].Class, mix, seed) / total
}

// MeanCost returns the mean of the least costs of a workload's requests in engine seconds, without
// any use of prefix caches.
func MeanCost(site Site, w modeler.Workload, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	sum := 0.0
	for range costSamples {
		prompt, output := w.Draw(random)
		sum += site.Engines[0].Class.LeastCost(prompt, 0, output, memoryWeight)
	}
	return sum / costSamples
}

// memoryWeight is a middle value, since the mean cost is only a measure of load and not a bound.
const memoryWeight = 0.5

// drawer draws the arrivals of a schedule.
type drawer struct {
	random  *rand.Rand
	callers *rand.Zipf
	site    Site
}

// draw returns Poisson arrivals of a workload.
func (d *drawer) draw(w modeler.Workload, rate float64, from, to time.Duration, flood bool) []Arrival {
	if rate <= 0 {
		return nil // the first gap would have no end
	}
	var arrivals []Arrival
	for now := from + d.gap(rate); now < to; now += d.gap(rate) {
		a := Arrival{At: now, Workload: w, Model: model, Flood: flood}
		a.Prompt, a.Output = w.Draw(d.random)
		a.Caller = namer.Caller(fmt.Sprintf("%s-%d", w.Rank, d.callers.Uint64()))
		if flood {
			a.Caller = namer.Caller(fmt.Sprintf("%s-flood-%d", w.Rank, d.random.IntN(floodCallers)))
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

// gap draws the time between two arrivals of a Poisson process.
func (d *drawer) gap(rate float64) time.Duration {
	return time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
}

// converse makes the chats turns of conversations: a turn's prompt begins with the whole prompt of an
// earlier one. Prompts of the other workloads are all different.
func (d *drawer) converse(arrivals []Arrival) {
	type conversation struct {
		id    uint64
		known namer.Tokens
	}
	open := make([]conversation, conversations)
	for n := range arrivals {
		a := &arrivals[n]
		a.Conversation = uint64(n + 1)
		if a.Workload.Rank != RankUrgent || d.site.Name != "igisasu" {
			continue
		}
		c := &open[d.random.IntN(len(open))]
		if c.known == 0 || c.known >= a.Prompt {
			*c = conversation{id: a.Conversation} // the conversation has ended; another takes its place
		}
		a.Conversation, a.Known = c.id, c.known
		c.known = a.Prompt
	}
}
