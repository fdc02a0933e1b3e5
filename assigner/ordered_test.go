package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/assigner"
	"apricotspool/namer"
)

// orderedFleet returns engines that are ordered.
func orderedFleet(engines, prefill, slots int) *fleet {
	f := newFleet(engines, prefill, 3, slots)
	f.planner.Ordered = true
	return f
}

// replace removes the engines of the start and adds new ones with a role.
func (f *fleet) replace(count int, role namer.Role) {
	first := f.engines[0]
	f.engines = nil
	for i := range count {
		f.engines = append(f.engines, assigner.Engine{
			Name: namer.Endpoint(fmt.Sprintf("new-%02d", i)), DataCentre: namer.DataCentre(fmt.Sprint(i % 3)), Role: role, Slots: first.Slots, Usable: true, Rate: first.Rate,
		})
	}
}

// Guards against a service that serves nothing because all engines that are left process prompts for others, until a load
// has been observed or at all where engines have few slots.
func TestEnginesThatAllProcessPromptsAreRepairedAtOnce(t *testing.T) {
	for _, slots := range []int{6, 64} {
		for _, engines := range []int{1, 3, 12} {
			is := is.New(t)
			f := orderedFleet(engines, engines, slots)
			f.planner.Observe(f.now, f.engines)
			changes := f.planner.Plan(f.now, f.engines)
			is.True(len(changes) > 0)
			is.True(engines == 1 || len(changes) < engines)
			for _, c := range changes {
				is.Equal(c.Role, namer.RoleDecode)
			}
		}
	}
}

// Guards against roles of new engines that nobody plans: with few slots, the parts of the roles stay as they were.
func TestNewEnginesGetARole(t *testing.T) {
	for _, slots := range []int{6, 64} {
		is := is.New(t)
		f := orderedFleet(36, 12, slots)
		f.run(20*time.Second, 0, 0)
		before := len(f.byRole(namer.RolePrefill))
		f.replace(36, namer.RoleDecode)
		f.run(2*time.Minute, 30, 200_000)
		is.True(len(f.byRole(namer.RolePrefill)) >= before/2)
		is.True(len(f.byRole(namer.RoleDecode)) >= 12)
		if slots == 6 {
			is.Equal(len(f.byRole(namer.RolePrefill)), 12)
		}
	}
}

// Guards against changes in deployments whose engines aren't ordered.
func TestEnginesThatAreNotOrderedKeepTheirRole(t *testing.T) {
	is := is.New(t)
	for _, slots := range []int{6, 64} {
		f := newFleet(12, 12, 3, slots)
		f.planner.Observe(f.now, f.engines)
		is.Equal(len(f.planner.Plan(f.now, f.engines)), 0)
		f = newFleet(12, 4, 3, slots)
		f.replace(12, namer.RoleDecode)
		f.run(time.Minute, 30, 0)
		is.Equal(len(f.changes), 0)
	}
}
