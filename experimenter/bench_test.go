package experimenter_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"apricotspool/experimenter"
	"apricotspool/modeler"
)

const seed = 1

// BenchmarkDecisions plays every schedule under every policy once and prints the table.
func BenchmarkDecisions(b *testing.B) {
	site := experimenter.Siamrak()
	for _, rank := range site.Service.Ranks {
		mix := []modeler.Share{{Workload: site.Workloads[rank.Name], Part: 1}}
		fmt.Printf("capacity of one engine: %.3f %s requests a second\n", modeler.Capacity(site.Class, mix, seed), rank.Name)
	}
	schedule := experimenter.Steady(site, 0.9, 0.8, 20*time.Minute, seed)
	var results []*experimenter.Result
	for _, c := range experimenter.Contenders() {
		results = append(results, experimenter.Run(schedule, c))
	}
	if err := experimenter.Table(os.Stdout, results); err != nil {
		b.Fatal(err)
	}
}
