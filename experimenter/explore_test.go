package experimenter_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"apricotspool/decider"
	"apricotspool/experimenter"
	"apricotspool/namer"
)

func TestExplore(t *testing.T) {
	site := experimenter.Igisasu()
	var results []*experimenter.Result
	var runs errgroup.Group
	runs.SetLimit(5)
	if os.Getenv("FLOODS") != "" {
		for _, sd := range []uint64{1, 2} {
			for _, lag := range []time.Duration{0, 5 * time.Second} {
				for _, s := range experimenter.Schedules(sd)[:4] {
					s.ReportLag = lag
					s.Name += fmt.Sprint(" lag ", lag)
					c := experimenter.Contenders()[0]
					place := len(results)
					results = append(results, nil)
					runs.Go(func() error { results[place] = experimenter.Run(s, c); return nil })
				}
			}
		}
		_ = runs.Wait()
		_ = experimenter.Table(os.Stdout, results)
		return
	}
	for _, load := range []float64{0.75} {
		s := experimenter.Shifts(site, load, 4, 1, 1)
		var cs []experimenter.Contender
		for _, p := range []int{0, 6} {
			for _, planned := range []bool{false, true} {
				c := experimenter.Contender{
					Name: fmt.Sprintf("core-%dp-%v", p, planned),
					New:  func(seed uint64) experimenter.Policy { return &decider.Core{Seed: seed} },
					Roles: func(i int) namer.Role {
						switch {
						case p == 0 || i >= p && i < p+2:
							return namer.RoleMixed
						case i < p:
							return namer.RolePrefill
						}
						return namer.RoleDecode
					},
				}
				if planned {
					c.Planner = func() experimenter.Planner { return &experimenter.RolePlanner{} }
				}
				cs = append(cs, c)
			}
		}
		for _, c := range cs {
			place := len(results)
			results = append(results, nil)
			runs.Go(func() error { results[place] = experimenter.Run(s, c); return nil })
		}
	}
	_ = runs.Wait()
	_ = experimenter.Table(os.Stdout, results)
}
