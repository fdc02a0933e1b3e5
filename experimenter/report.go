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

// Report holds what was measured on one schedule.
type Report struct {
	Schedule Schedule
	Bound    float64 // of the goodput
	Results  []*Result
}

// Measure plays a schedule under all contenders, some runs at the same time, and computes the bound.
func Measure(s Schedule, contenders []Contender, atOnce int) *Report {
	report := &Report{Schedule: s, Results: make([]*Result, len(contenders))}
	var runs errgroup.Group
	runs.SetLimit(atOnce)
	runs.Go(func() error {
		report.Bound = Bound(s)
		return nil
	})
	for n, c := range contenders {
		runs.Go(func() error {
			report.Results[n] = Run(s, c)
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

// shown returns the results without those of a family that aren't its best.
func (r *Report) shown() []*Result {
	var shown []*Result
	for _, result := range r.Results {
		if result.family == "" || result == r.Best(result.family) {
			shown = append(shown, result)
		}
	}
	return shown
}

// columns are the titles of the table and of the CSV file.
var columns = []string{
	"schedule", "seed", "policy", "goodput/s", "of bound", "changes", "most per shift", "rank", "arrived", "in time",
	"regular in time", "first p50", "first p95", "between p50", "between p95", "kept", "refused when idle", "other outcomes",
}

// rows returns one row for each rank of each result.
func (r *Report) rows(results []*Result) [][]string {
	var rows [][]string
	for _, result := range results {
		for place, rank := range r.Schedule.Site.Service.Ranks {
			rows = append(rows, r.row(result, rank.Name, place == 1))
		}
	}
	return rows
}

func (r *Report) row(result *Result, name namer.Rank, lower bool) []string {
	rank := result.Ranks[name]
	kept := ""
	if lower && len(r.Schedule.Floods) > 0 {
		kept = percent(result.Kept())
	}
	return []string{
		result.Schedule, fmt.Sprint(result.Seed), result.Policy, fmt.Sprintf("%.3f", result.Goodput()),
		percent(result.Goodput() / r.Bound), fmt.Sprint(result.RoleChanges), fmt.Sprint(result.MostChanges),
		string(name), fmt.Sprint(rank.Arrived), percent(result.InTime(name)), percent(result.RegularInTime(name)),
		at(rank.FirstToken, 50), at(rank.FirstToken, 95), at(rank.BetweenTokens, 50), at(rank.BetweenTokens, 95),
		kept, fmt.Sprint(result.RefusedIdle), rank.others(),
	}
}

func percent(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) }

func at(h *hdrhistogram.Histogram, quantile float64) string {
	d := time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
	if d > time.Second {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(100 * time.Microsecond).String()
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

// Table writes reports as a table with one line for each rank of each run.
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
		for _, row := range r.rows(r.shown()) {
			line(row)
		}
	}
	return errors.Wrap(table.Flush(), "write table")
}

// WriteCSV writes all results of reports, with one record for each rank of each run.
func WriteCSV(w io.Writer, reports []*Report) error {
	records := [][]string{append([]string{"bound/s"}, columns...)}
	for _, r := range reports {
		for _, row := range r.rows(r.Results) {
			records = append(records, append([]string{fmt.Sprintf("%.3f", r.Bound)}, row...))
		}
	}
	return errors.Wrap(csv.NewWriter(w).WriteAll(records), "write CSV")
}
