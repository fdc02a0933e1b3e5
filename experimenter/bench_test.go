package experimenter_test

import (
	"fmt"
	"os"
	"testing"

	"golang.org/x/sync/errgroup"

	"apricotspool/experimenter"
	"apricotspool/modeler"
)

const seed = 1

// benchWorkers is the number of runs at the same time; the machine is shared.
const benchWorkers = 4

// BenchmarkDecisions plays every schedule under every policy once and prints the table.
func BenchmarkDecisions(b *testing.B) {
	for _, site := range []experimenter.Site{experimenter.Siamrak(), experimenter.Igisasu()} {
		for _, rank := range site.Service.Ranks {
			w := site.Workloads[rank.Name]
			rate := modeler.Capacity(site.Engines[0].Class, []modeler.Share{{Workload: w, Part: 1}}, seed)
			fmt.Printf("%s: one mixed engine sustains %.3f %s requests a second, %.0f%% of the fluid capacity\n",
				site.Name, rate, rank.Name, 100*rate*experimenter.MeanCost(site, w, seed))
		}
		for _, lower := range []float64{0.15, 0.5, 0.85} {
			fmt.Printf("%s: one mixed engine sustains %.0f%% of the fluid capacity with %.0f%% of the work in the lower rank\n",
				site.Name, 100*experimenter.MixedCapacity(site, lower, seed), 100*lower)
		}
	}
	var results []*experimenter.Result
	var runs errgroup.Group
	runs.SetLimit(benchWorkers)
	for _, schedule := range experimenter.Schedules(seed) {
		contenders := experimenter.Contenders()
		if len(schedule.Shifts) > 0 {
			contenders = append(contenders, experimenter.FixedRoles(schedule.Site)...)
		}
		for _, c := range contenders {
			place := len(results)
			results = append(results, nil)
			runs.Go(func() error {
				results[place] = experimenter.Run(schedule, c)
				return nil
			})
		}
	}
	if err := runs.Wait(); err != nil {
		b.Fatal(err)
	}
	if err := experimenter.Table(os.Stdout, results); err != nil {
		b.Fatal(err)
	}
}
