package experimenter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotspool/classifier"
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
	// RefusedIdle counts refusals at a moment at which an engine had no work at all.
	RefusedIdle int
	// Series counts the requests that met their targets by the windows of their arrivals.
	Series []int

	schedule Schedule
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
	// FloodServed counts the answers that ended during a flood.
	FloodServed int
}

func newResult(s Schedule, policy string) *Result {
	r := &Result{
		Schedule: s.Name, Seed: s.Seed, Policy: policy, Length: s.Length, schedule: s,
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

// Table writes results as a table with one line for each rank of each run.
func Table(w io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "schedule\tseed\tpolicy\tgoodput/s\tchanges\trank\tarrived\tin time\tregular\tfirst p50\tp95\tbetween p50\tp95\tother outcomes")
	for _, r := range results {
		for _, name := range slices.SortedFunc(maps.Keys(r.Ranks), func(a, b namer.Rank) int { return cmp.Compare(b, a) }) {
			rank := r.Ranks[name]
			fmt.Fprintf(table, "%s\t%d\t%s\t%.3f\t%d\t%s\t%d\t%.1f%%\t%.1f%%\t%s\t%s\t%s\t%s\t%s\n",
				r.Schedule, r.Seed, r.Policy, r.Goodput(), r.RoleChanges, name, rank.Arrived, 100*r.InTime(name), 100*r.RegularInTime(name),
				at(rank.FirstToken, 50), at(rank.FirstToken, 95), at(rank.BetweenTokens, 50), at(rank.BetweenTokens, 95),
				rank.others())
		}
	}
	return table.Flush()
}

func at(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	d := time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
	if d > time.Second {
		return d.Round(10 * time.Millisecond)
	}
	return d.Round(100 * time.Microsecond)
}

// others lists the outcomes other than served.
func (r *RankResult) others() string {
	text := ""
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		if outcome != classifier.Served {
			text += fmt.Sprintf("%s:%d ", cmp.Or(outcome, "unanswered"), r.Outcomes[outcome])
		}
	}
	return text
}
