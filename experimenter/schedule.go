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
	// callers is the number of workspaces per rank. Requests are spread over them by Zipf's law.
	callers = 300
	// callerSkew is the Zipf exponent. With 300 callers, the busiest sends about 15% of the requests.
	callerSkew = 1.1
	// floodCallers is the number of callers that send the additional requests of a flood.
	floodCallers = 5
	// openConversations is the number of concurrent conversations from which the next turn is drawn.
	openConversations = 200
	// costSamples is the number of samples of a workload's mean cost; the error of the mean is about 1%.
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
	// Conversation identifies the conversation. Its prompts are prefixes of one text.
	Conversation uint64
	// SharedPrefix is the length of the conversation's longest earlier prompt.
	SharedPrefix namer.Tokens
	Flood        bool // one of the additional requests of a flood
}

// Prefix returns the hashes of the prompt's blocks.
func (a Arrival) Prefix() []uint64 {
	blocks := make([]uint64, a.Prompt/decider.PrefixBlock)
	for n := range blocks {
		// The multiplier spreads the conversations over the hash range, so that their blocks never collide.
		blocks[n] = a.Conversation*0x9e3779b97f4a7c15 + uint64(n)
	}
	return blocks
}

// Schedule is a list of arrivals, determined by its seed, with the conditions of the run.
type Schedule struct {
	Name     string
	Site     Site
	Seed     uint64
	Length   time.Duration
	Arrivals []Arrival
	// ReportLag is the age of a load report when it reaches the hosts.
	ReportLag time.Duration
	// Faults are injected during the run.
	Faults []Fault
	// CallersRetry makes callers resend refused requests almost at once, whatever Retry-After says.
	CallersRetry bool
	// Shifts are the times at which the mix changes.
	Shifts []time.Duration
	// Floods are the periods in which arrivals exceed the fleet's capacity.
	Floods []Flood
}

// Phase is a period of a schedule with a constant mix. Load is relative to the fluid capacity of the
// site, the rate at which the least costs of the requests fill all engines. LowerShare is the fraction
// of that work in the less urgent rank.
type Phase struct {
	Length     time.Duration
	Load       float64
	LowerShare float64
}

// Flood multiplies the arrival rate of a rank for a period.
type Flood struct {
	Rank       namer.Rank
	From, To   time.Duration
	Multiplier float64
}

// NewSchedule returns a schedule with the given phases and floods.
func NewSchedule(name string, site Site, seed uint64, phases []Phase, floods ...Flood) Schedule {
	s := Schedule{Name: site.Name + " " + name, Site: site, Seed: seed, Floods: floods}
	d := &arrivalSampler{random: rand.New(rand.NewPCG(seed, 1)), site: site}
	d.callers = rand.NewZipf(d.random, callerSkew, 1, callers-1)
	for n, p := range phases {
		if n > 0 {
			s.Shifts = append(s.Shifts, s.Length)
		}
		end := s.Length + p.Length
		for i, share := range []float64{1 - p.LowerShare, p.LowerShare} {
			w := site.workload(i)
			rate := p.Load * share * float64(len(site.Engines)) / MeanCost(site, w, seed)
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
	d.assignConversations(s.Arrivals)
	return s
}

// MixedCapacity returns the fraction of the fluid capacity that an engine with the mixed role sustains
// when the given fraction of the work belongs to the less urgent rank.
func MixedCapacity(site Site, lowerShare float64, seed uint64) float64 {
	var mix []modeler.Share
	total := 0.0 // requests per engine second of work
	for i, share := range []float64{1 - lowerShare, lowerShare} {
		w := site.workload(i)
		requests := share / MeanCost(site, w, seed)
		total += requests
		mix = append(mix, modeler.Share{Workload: w, Part: requests})
	}
	return modeler.Capacity(site.Engines[0].Class, mix, seed) / total
}

// MeanCost returns the mean least cost of a workload's requests in engine seconds, without prefix
// cache hits.
func MeanCost(site Site, w modeler.Workload, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 3))
	sum := 0.0
	for range costSamples {
		prompt, output := w.Draw(random)
		sum += site.Engines[0].Class.LeastCost(prompt, 0, output, memoryWeight)
	}
	return sum / costSamples
}

// memoryWeight is the midpoint of its range, since the mean cost only measures load and bounds nothing.
const memoryWeight = 0.5

// arrivalSampler samples the arrivals of a schedule.
type arrivalSampler struct {
	random  *rand.Rand
	callers *rand.Zipf
	site    Site
}

// draw samples the Poisson arrivals of a workload.
func (d *arrivalSampler) draw(w modeler.Workload, rate float64, from, to time.Duration, flood bool) []Arrival {
	if rate <= 0 {
		return nil // the interarrival time would be infinite
	}
	var arrivals []Arrival
	for now := from + d.interarrival(rate); now < to; now += d.interarrival(rate) {
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

// interarrival samples the time between two arrivals of a Poisson process.
func (d *arrivalSampler) interarrival(rate float64) time.Duration {
	return time.Duration(d.random.ExpFloat64() / rate * float64(time.Second))
}

// assignConversations makes the chat requests turns of conversations: the prompt of a turn begins with
// the whole prompt of an earlier turn. Prompts of the other workloads share no prefix.
func (d *arrivalSampler) assignConversations(arrivals []Arrival) {
	type conversation struct {
		id    uint64
		known namer.Tokens
	}
	open := make([]conversation, openConversations)
	for n := range arrivals {
		a := &arrivals[n]
		a.Conversation = uint64(n + 1)
		if a.Workload.Rank != RankUrgent || d.site.Name != "igisasu" {
			continue
		}
		c := &open[d.random.IntN(len(open))]
		if c.known == 0 || c.known >= a.Prompt {
			*c = conversation{id: a.Conversation} // the conversation has ended; a new one replaces it
		}
		a.Conversation, a.SharedPrefix = c.id, c.known
		c.known = a.Prompt
	}
}
