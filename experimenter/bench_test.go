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
	benchOnly = flag.String("schedule", "", "run only schedules whose name contains this string")
	csvFile   = flag.String("csv", "", "write all results to this CSV file")
	plotDir   = flag.String("plots", "", "write a plot of each schedule to this directory")
)

// benchWorkers limits the number of concurrent runs, since the machine is shared.
const benchWorkers = 4

// BenchmarkDecisions runs every schedule once under every policy and prints a table of the results.
func BenchmarkDecisions(b *testing.B) {
	for _, site := range []experimenter.Site{experimenter.Siamrak(), experimenter.Igisasu()} {
		printCapacity(site)
	}
	var reports []*experimenter.Report
	for _, schedule := range experimenter.Schedules(*benchSeed) {
		if !strings.Contains(schedule.Name, *benchOnly) {
			continue
		}
		variants := experimenter.Variants()
		if len(schedule.Shifts) > 0 {
			variants = append(variants, experimenter.FixedRoles(schedule.Site)...)
		}
		report := experimenter.Measure(schedule, variants, benchWorkers)
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
		fmt.Printf("%s: one mixed engine sustains %.3f %s requests per second (%.0f%% of the fluid capacity) and completes %.3f per second when saturated\n",
			site.Name, rate, rank.Name, 100*rate*experimenter.MeanCost(site, w, *benchSeed), modeler.Throughput(class, w, *benchSeed))
	}
	for _, lowerShare := range []float64{0.15, 0.5, 0.85} {
		fmt.Printf("%s: one mixed engine sustains %.0f%% of the fluid capacity with %.0f%% of the work in the lower rank\n",
			site.Name, 100*experimenter.MixedCapacity(site, lowerShare, *benchSeed), 100*lowerShare)
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
