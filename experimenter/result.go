package experimenter

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotspool/classifier"
	"apricotspool/modeler"
	"apricotspool/namer"
)

// maxHistogramMicros is the longest time in microseconds that the histograms can record.
const maxHistogramMicros = int64(time.Hour / time.Microsecond)

// Result holds the measurements of one run.
type Result struct {
	Schedule string
	Seed     uint64
	Policy   string
	Length   time.Duration
	Ranks    map[namer.Rank]*RankResult
	// RoleChanges is the number of role changes started, MaxEngineRoleChanges the largest number for
	// one engine between two shifts of the mix.
	RoleChanges, MaxEngineRoleChanges int
	// Crashes is the number of engine crashes. InterruptedAttempts is the number of attempts that were
	// interrupted by a crash or a role change or whose KV cache was refused by the decode engine.
	Crashes, InterruptedAttempts int
	// RefusedWhileIdle is the number of refusals while an engine had no work.
	RefusedWhileIdle int
	// Series is the number of requests that met their targets, by window of arrival.
	Series []int

	schedule Schedule
	family   string
}

// seriesWindow is the length of a window of Result.Series.
const seriesWindow = 10 * time.Second

// RankResult holds the measurements of one rank. The histograms are in microseconds.
type RankResult struct {
	Arrived       int
	MetTargets    int // served within the rank's targets
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram // mean per request
	// Outcomes counts requests by outcome. Requests without one when the run stopped are under "".
	Outcomes map[classifier.Outcome]int
	Refusals int // includes those of requests that were sent again
	// NonFlood is the number of requests that don't belong to a flood, NonFloodMet the number of those
	// that met their targets.
	NonFlood, NonFloodMet int
	// FloodServed is the number of requests that completed during a flood, FloodArrived the number
	// that arrived during one.
	FloodServed, FloodArrived int
}

func newResult(s Schedule, v Variant) *Result {
	r := &Result{
		Schedule: s.Name, Seed: s.Seed, Policy: v.Name, family: v.Family, Length: s.Length, schedule: s,
		Ranks: map[namer.Rank]*RankResult{}, Series: make([]int, s.Length/seriesWindow+1),
	}
	for _, rank := range s.Site.Service.Ranks {
		r.Ranks[rank.Name] = &RankResult{
			FirstToken:    hdrhistogram.New(1, maxHistogramMicros, 3),
			BetweenTokens: hdrhistogram.New(1, maxHistogramMicros, 3),
			Outcomes:      map[classifier.Outcome]int{},
		}
	}
	return r
}

// countRefusal counts a refusal.
func (r *Result) countRefusal(q *request, idle bool) {
	r.Ranks[q.arrival.Workload.Rank].Refusals++
	if idle {
		r.RefusedWhileIdle++
	}
}

// add counts a request that has ended.
func (r *Result) add(q *request) {
	w := q.arrival.Workload
	rank := r.Ranks[w.Rank]
	rank.Arrived++
	rank.Outcomes[q.outcome]++
	if !q.arrival.Flood {
		rank.NonFlood++
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
	rank.MetTargets++
	r.Series[q.arrival.At/seriesWindow]++
	if !q.arrival.Flood {
		rank.NonFloodMet++
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
	// RecordValue fails only above the histogram's limit, which no run is long enough to reach.
	_ = h.RecordValue(d.Microseconds())
}

// Goodput returns the number of requests per second that met their targets.
func (r *Result) Goodput() float64 {
	met := 0
	for _, rank := range r.Ranks {
		met += rank.MetTargets
	}
	return float64(met) / r.Length.Seconds()
}

// OnTimeRatio returns the fraction of a rank's requests that met their targets.
func (r *Result) OnTimeRatio(rank namer.Rank) float64 {
	return float64(r.Ranks[rank].MetTargets) / float64(max(r.Ranks[rank].Arrived, 1))
}

// NonFloodOnTimeRatio is like OnTimeRatio without the requests that belong to a flood.
func (r *Result) NonFloodOnTimeRatio(rank namer.Rank) float64 {
	return float64(r.Ranks[rank].NonFloodMet) / float64(max(r.Ranks[rank].NonFlood, 1))
}

// LowerRankShareKept returns the fraction of its configured share that the lower rank received during
// the floods. It divides the rank's served requests by the number that its share of saturated engines
// could have served, or by its arrivals if there were fewer.
func (r *Result) LowerRankShareKept() float64 {
	site := r.schedule.Site
	lower := site.LowerRank()
	length := time.Duration(0)
	for _, f := range r.schedule.Floods {
		length += f.To - f.From
	}
	throughput := modeler.Throughput(site.Engines[0].Class, site.Workloads[lower.Name], r.Seed) * float64(len(site.Engines))
	rank := r.Ranks[lower.Name]
	expected := min(lower.Share*throughput*length.Seconds(), float64(rank.FloodArrived))
	return float64(rank.FloodServed) / expected
}
