package experimenter

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"apricotspool/classifier"
	"apricotspool/namer"
)

// Report holds the results of all variants on one schedule.
type Report struct {
	Schedule Schedule
	Bound    float64 // upper bound on the goodput
	Results  []*Result
}

// Measure runs a schedule under all variants, up to parallel runs at a time, and computes the bound.
func Measure(s Schedule, variants []Variant, parallel int) *Report {
	report := &Report{Schedule: s, Results: make([]*Result, len(variants))}
	var runs errgroup.Group
	runs.SetLimit(parallel)
	runs.Go(func() error {
		report.Bound = Bound(s)
		return nil
	})
	for n, v := range variants {
		runs.Go(func() error {
			report.Results[n] = Run(s, v)
			return nil
		})
	}
	_ = runs.Wait() // no run returns an error
	return report
}

// Best returns the result with the highest goodput of a family of fixed splits into roles.
func (r *Report) Best(family string) *Result {
	var best *Result
	for _, result := range r.Results {
		if result.family == family && (best == nil || result.Goodput() > best.Goodput()) {
			best = result
		}
	}
	return best
}

// displayed returns the results with each family reduced to its best.
func (r *Report) displayed() []*Result {
	var shown []*Result
	for _, result := range r.Results {
		if result.family == "" || result == r.Best(result.family) {
			shown = append(shown, result)
		}
	}
	return shown
}

// columns are the column titles of the table and of the CSV file.
var columns = []string{
	"schedule", "seed", "policy", "goodput/s", "of bound", "changes", "most per shift", "rank", "arrived", "in time",
	"regular in time", "first p50", "first p95", "between p50", "between p95", "kept", "refused when idle", "other outcomes",
}

// rows returns one row for each rank of each result.
func (r *Report) rows(results []*Result) [][]string {
	var rows [][]string
	for _, result := range results {
		for i, rank := range r.Schedule.Site.Service.Ranks {
			rows = append(rows, r.row(result, rank.Name, i == 1))
		}
	}
	return rows
}

func (r *Report) row(result *Result, name namer.Rank, isLower bool) []string {
	rank := result.Ranks[name]
	shareKept := ""
	if isLower && len(r.Schedule.Floods) > 0 {
		shareKept = percent(result.LowerRankShareKept())
	}
	return []string{
		result.Schedule, fmt.Sprint(result.Seed), result.Policy, fmt.Sprintf("%.3f", result.Goodput()),
		percent(result.Goodput() / r.Bound), fmt.Sprint(result.RoleChanges), fmt.Sprint(result.MaxEngineRoleChanges),
		string(name), fmt.Sprint(rank.Arrived), percent(result.OnTimeRatio(name)), percent(result.NonFloodOnTimeRatio(name)),
		at(rank.FirstToken, 50), at(rank.FirstToken, 95), at(rank.BetweenTokens, 50), at(rank.BetweenTokens, 95),
		shareKept, fmt.Sprint(result.RefusedWhileIdle), rank.otherOutcomes(),
	}
}

func percent(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }

func at(h *hdrhistogram.Histogram, quantile float64) string {
	d := time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
	if d > time.Second {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(100 * time.Microsecond).String()
}

// otherOutcomes lists the outcomes other than served.
func (r *RankResult) otherOutcomes() string {
	text := ""
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		if outcome != classifier.Served {
			text += fmt.Sprintf("%s:%d ", cmp.Or(outcome, "unanswered"), r.Outcomes[outcome])
		}
	}
	return text
}

// Table writes reports as a table with one line per rank and run.
func Table(w io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(cells []string) {
		for _, cell := range cells {
			fmt.Fprintf(table, "%s\t", cell)
		}
		fmt.Fprintln(table)
	}
	line(columns)
	for _, r := range reports {
		s := r.Schedule
		line([]string{s.Name, fmt.Sprint(s.Seed), "arrivals", fmt.Sprintf("%.3f", float64(len(s.Arrivals))/s.Length.Seconds())})
		line([]string{s.Name, fmt.Sprint(s.Seed), "bound", fmt.Sprintf("%.3f", r.Bound), "100.0%"})
		for _, row := range r.rows(r.displayed()) {
			line(row)
		}
	}
	return errors.Wrap(table.Flush(), "write table")
}

// WriteCSV writes all results of reports as CSV with one record per rank and run.
func WriteCSV(w io.Writer, reports []*Report) error {
	records := [][]string{append([]string{"bound/s"}, columns...)}
	for _, r := range reports {
		for _, row := range r.rows(r.Results) {
			records = append(records, append([]string{fmt.Sprintf("%.3f", r.Bound)}, row...))
		}
	}
	return errors.Wrap(csv.NewWriter(w).WriteAll(records), "write CSV")
}
