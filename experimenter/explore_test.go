package experimenter_test

import (
	"os"
	"testing"
	"time"

	"apricotspool/experimenter"
	"apricotspool/modeler"
)

// floodOf mixes two steady schedules.
func mixed(site experimenter.Site, name string, urgentLoad, freeLoad float64, lag time.Duration, seed uint64) experimenter.Schedule {
	s := experimenter.Schedule{Name: name, Site: site, Seed: seed, Length: 5 * time.Minute, ReportLag: lag}
	for i, part := range []struct {
		urgent, load float64
	}{{1, urgentLoad}, {0, freeLoad}} {
		if part.load == 0 {
			continue
		}
		one := experimenter.Steady(site, part.urgent, part.load, s.Length, seed+uint64(100*i))
		s.Arrivals = append(s.Arrivals, one.Arrivals...)
	}
	return s
}

func TestExplore(t *testing.T) {
	site := experimenter.Siamrak()
	_ = modeler.Large70B
	var results []*experimenter.Result
	for _, seed := range []uint64{1, 2} {
		for _, s := range []experimenter.Schedule{
			mixed(site, "calm", 0.4, 0.3, 0, seed),
			mixed(site, "calm lag5", 0.4, 0.3, 5*time.Second, seed),
			mixed(site, "free flood", 0.4, 3, 0, seed),
			mixed(site, "free flood lag1", 0.4, 3, time.Second, seed),
			mixed(site, "free flood lag5", 0.4, 3, 5*time.Second, seed),
			mixed(site, "urgent flood lag1", 10, 0.4, time.Second, seed),
			mixed(site, "urgent flood lag5", 10, 0.4, 5*time.Second, seed),
		} {
			for _, c := range experimenter.Contenders()[:1] {
				results = append(results, experimenter.Run(s, c))
			}
		}
	}
	_ = experimenter.Table(os.Stdout, results)
}
