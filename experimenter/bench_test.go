package experimenter_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"apricotspool/experimenter"
	"apricotspool/modeler"
)

const seed = 1

var (
	benchSeed = flag.Uint64("schedule-seed", seed, "seed of the schedules of BenchmarkDecisions")
	benchOnly = flag.String("schedule", "", "play only schedules whose name contains this")
	csvFile   = flag.String("csv", "", "file for all results as CSV")
	plotDir   = flag.String("plots", "", "directory for a plot of each schedule")
)

// benchWorkers is the number of runs at the same time; the machine is shared.
const benchWorkers = 4

// BenchmarkDecisions plays every schedule under every policy once and prints the table.
func BenchmarkDecisions(b *testing.B) {
	for _, site := range []experimenter.Site{experimenter.Siamrak(), experimenter.Igisasu()} {
		printCapacity(site)
	}
	var reports []*experimenter.Report
	for _, schedule := range experimenter.Schedules(*benchSeed) {
		if !strings.Contains(schedule.Name, *benchOnly) {
			continue
		}
		contenders := experimenter.Contenders()
		if len(schedule.Shifts) > 0 {
			contenders = append(contenders, experimenter.FixedRoles(schedule.Site)...)
		}
		report := experimenter.Measure(schedule, contenders, benchWorkers)
		reports = append(reports, report)
		if *plotDir != "" {
			name := strings.NewReplacer(" ", "-", ",", "").Replace(schedule.Name) + ".png"
			if err := report.Plot(filepath.Join(*plotDir, name)); err != nil {
				b.Fatal(err)
			}
		}
	}
	if err := experimenter.Table(os.Stdout, reports); err != nil {
		b.Fatal(err)
	}
	if *csvFile != "" {
		writeCSV(b, reports)
	}
}

func printCapacity(site experimenter.Site) {
	class := site.Engines[0].Class
	for _, rank := range site.Service.Ranks {
		w := site.Workloads[rank.Name]
		rate := modeler.Capacity(class, []modeler.Share{{Workload: w, Part: 1}}, *benchSeed)
		fmt.Printf("%s: one mixed engine sustains %.3f %s requests a second (%.0f%% of the fluid capacity) and completes %.3f when busy\n",
			site.Name, rate, rank.Name, 100*rate*experimenter.MeanCost(site, w, *benchSeed), modeler.Throughput(class, w, *benchSeed))
	}
	for _, lower := range []float64{0.15, 0.5, 0.85} {
		fmt.Printf("%s: one mixed engine sustains %.0f%% of the fluid capacity with %.0f%% of the work in the lower rank\n",
			site.Name, 100*experimenter.MixedCapacity(site, lower, *benchSeed), 100*lower)
	}
}

func writeCSV(b *testing.B, reports []*experimenter.Report) {
	file, err := os.Create(*csvFile)
	if err != nil {
		b.Fatal(err)
	}
	if err := experimenter.WriteCSV(file, reports); err != nil {
		b.Fatal(err)
	}
	if err := file.Close(); err != nil {
		b.Fatal(err)
	}
}
