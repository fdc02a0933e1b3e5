package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotspool/classifier"
	"apricotspool/modeler"
	"apricotspool/namer"
)

// maxMicros is the longest time that the histograms hold.
const maxMicros = int64(time.Hour / time.Microsecond)

// Result is what was measured in one run.
type Result struct {
	Schedule string
	Seed     uint64
	Policy   string
	Length   time.Duration
	Ranks    map[namer.Rank]*RankResult
	// RoleChanges counts the role changes that were started, MostChanges those of one engine between
	// two shifts of the mix.
	RoleChanges, MostChanges int
	// Crashes counts the crashes of engines, and Broken the attempts that broke off in a crash or a change or
	// whose KV cache found its engine closed.
	Crashes, Broken int
	// RefusedIdle counts refusals at a moment at which an engine had no work at all.
	RefusedIdle int
	// Series counts the requests that met their targets by the windows of their arrivals.
	Series []int

	schedule Schedule
	family   string
}

// seriesWindow is the length of a window of Result.Series.
const seriesWindow = 10 * time.Second

// RankResult is what the requests of one rank got. The histograms are in microseconds.
type RankResult struct {
	Arrived       int
	Met           int // answered within the rank's targets
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram // mean of each request
	// Outcomes counts the ends of requests; those without an answer when the run stopped are under "".
	Outcomes map[classifier.Outcome]int
	Refusals int // with those of callers that asked again
	// Regular counts the requests that don't belong to a flood, and RegularMet those in time.
	Regular, RegularMet int
	// FloodServed counts the answers that ended during a flood, and FloodArrived the arrivals.
	FloodServed, FloodArrived int
}

func newResult(s Schedule, c Contender) *Result {
	r := &Result{
		Schedule: s.Name, Seed: s.Seed, Policy: c.Name, family: c.Family, Length: s.Length, schedule: s,
		Ranks: map[namer.Rank]*RankResult{}, Series: make([]int, s.Length/seriesWindow+1),
	}
	for _, rank := range s.Site.Service.Ranks {
		r.Ranks[rank.Name] = &RankResult{
			FirstToken:    hdrhistogram.New(1, maxMicros, 3),
			BetweenTokens: hdrhistogram.New(1, maxMicros, 3),
			Outcomes:      map[classifier.Outcome]int{},
		}
	}
	return r
}

// refused counts a refusal.
func (r *Result) refused(q *request, idle bool) {
	r.Ranks[q.arrival.Workload.Rank].Refusals++
	if idle {
		r.RefusedIdle++
	}
}

// add counts a request that has ended.
func (r *Result) add(q *request) {
	w := q.arrival.Workload
	rank := r.Ranks[w.Rank]
	rank.Arrived++
	rank.Outcomes[q.outcome]++
	if !q.arrival.Flood {
		rank.Regular++
	}
	if r.schedule.inFlood(q.arrival.At) {
		rank.FloodArrived++
	}
	if q.first > 0 {
		record(rank.FirstToken, q.first-q.arrival.At)
	}
	if q.outcome != classifier.Served {
		return
	}
	if q.arrival.Output > 1 {
		record(rank.BetweenTokens, (q.last-q.first)/time.Duration(q.arrival.Output-1))
	}
	if r.schedule.inFlood(q.last) {
		rank.FloodServed++
	}
	if !w.Met(q.first-q.arrival.At, q.last-q.arrival.At, q.arrival.Output) {
		return
	}
	rank.Met++
	r.Series[q.arrival.At/seriesWindow]++
	if !q.arrival.Flood {
		rank.RegularMet++
	}
}

func (s Schedule) inFlood(at time.Duration) bool {
	for _, f := range s.Floods {
		if at >= f.From && at < f.To {
			return true
		}
	}
	return false
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue only fails above the histogram's limit, which the length of a run stays below.
	_ = h.RecordValue(d.Microseconds())
}

// Goodput returns the requests a second that met their targets.
func (r *Result) Goodput() float64 {
	met := 0
	for _, rank := range r.Ranks {
		met += rank.Met
	}
	return float64(met) / r.Length.Seconds()
}

// InTime returns the part of a rank's requests that met their targets.
func (r *Result) InTime(rank namer.Rank) float64 {
	return float64(r.Ranks[rank].Met) / float64(max(r.Ranks[rank].Arrived, 1))
}

// RegularInTime returns the part of a rank's requests outside the floods' own that met their targets.
func (r *Result) RegularInTime(rank namer.Rank) float64 {
	return float64(r.Ranks[rank].RegularMet) / float64(max(r.Ranks[rank].Regular, 1))
}

// Kept returns how much of its configured share the lower rank got during the floods: its answers
// relative to its share of what busy engines complete of its work, or to its arrivals if they are fewer.
func (r *Result) Kept() float64 {
	site := r.schedule.Site
	lower := site.Lower()
	length := time.Duration(0)
	for _, f := range r.schedule.Floods {
		length += f.To - f.From
	}
	full := modeler.Throughput(site.Engines[0].Class, site.Workloads[lower.Name], r.Seed) * float64(len(site.Engines))
	rank := r.Ranks[lower.Name]
	due := min(lower.Share*full*length.Seconds(), float64(rank.FloodArrived))
	return float64(rank.FloodServed) / due
}
