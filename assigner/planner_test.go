package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/assigner"
	"apricotspool/namer"
)

// fleet is a set of engines whose roles change as planned, after changeTime.
type fleet struct {
	planner assigner.Planner
	now     time.Time
	engines []assigner.Engine
	pending map[namer.Endpoint]pendingRole
	changes []assigner.Change
}

type pendingRole struct {
	role namer.Role
	at   time.Time
}

const (
	changeTime = 3 * time.Second
	planPeriod = 500 * time.Millisecond
)

// newFleet returns engines spread over data centres, the first of which process prompts.
func newFleet(engines, prefill, dataCentres, slots int) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), pending: map[namer.Endpoint]pendingRole{}}
	for i := range engines {
		role := namer.RoleDecode
		if i < prefill {
			role = namer.RolePrefill
		}
		f.engines = append(f.engines, assigner.Engine{
			Name: namer.Endpoint(fmt.Sprintf("e-%02d", i)), DataCentre: namer.DataCentre(fmt.Sprint(i % dataCentres)), Role: role, Slots: slots,
			Usable: true, Rate: 40_000,
		})
	}
	return f
}

// run plans for a time with a load in the fleet: requests that generate, and prompt tokens per second.
func (f *fleet) run(length time.Duration, generating int, inflow float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(planPeriod) {
		for i := range f.engines {
			e := &f.engines[i]
			if p, changing := f.pending[e.Name]; changing && !f.now.Before(p.at) {
				e.Role = p.role
				delete(f.pending, e.Name)
			}
			e.Generating, e.Inflow = 0, 0
		}
		generate, prefill := f.byRole(namer.RoleDecode), f.byRole(namer.RolePrefill)
		for i := range generating {
			generate[i%len(generate)].Generating++
		}
		for _, e := range prefill {
			e.Inflow = inflow / float64(len(prefill))
		}
		f.planner.Observe(f.now, f.engines)
		for _, c := range f.planner.Plan(f.now, f.engines) {
			f.changes = append(f.changes, c)
			f.pending[c.Endpoint] = pendingRole{c.Role, f.now.Add(changeTime)}
		}
	}
}

func (f *fleet) byRole(role namer.Role) []*assigner.Engine {
	var found []*assigner.Engine
	for i := range f.engines {
		if f.engines[i].Role == role {
			found = append(found, &f.engines[i])
		}
	}
	return found
}

func (f *fleet) crash(role namer.Role, count int) {
	for i, e := range f.byRole(role) {
		if i < count {
			e.Usable = false
		}
	}
	var left []assigner.Engine
	for _, e := range f.engines {
		if e.Usable {
			left = append(left, e)
		}
	}
	f.engines = left
}

// Guards against role changes under load that an idle fleet could have made, and against changes that a steady
// load doesn't need.
func TestIdleFleetPreparesAndSteadyLoadChangesNothing(t *testing.T) {
	for _, c := range []struct{ engines, prefill, dataCentres, slots int }{{9, 4, 4, 64}, {9, 4, 3, 64}, {8, 3, 3, 64}, {36, 13, 3, 32}, {90, 32, 3, 64}, {64, 23, 5, 128}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.engines, c.prefill, c.dataCentres, c.slots)
			f.run(20*time.Second, 0, 0)
			is.Equal(len(f.byRole(namer.RoleDecode)), max(2, (4*c.engines+9)/10))
			f.run(time.Minute, c.slots, 20_000)
			before := len(f.changes)
			f.run(5*time.Minute, c.slots, 20_000)
			is.Equal(len(f.changes), before)
		})
	}
}

// Guards against engines that only generate while prompts wait, and against a data centre that can't serve alone
// or a fleet whose links carry all KV caches to a few engines.
func TestPromptsGetEnginesThatAreNotNeededForOutputs(t *testing.T) {
	is := is.New(t)
	f := newFleet(64, 23, 5, 64)
	f.run(time.Minute, 10, 2_000_000)
	is.Equal(len(f.byRole(namer.RoleDecode)), 26)
	dataCentres := map[namer.DataCentre]bool{}
	for _, e := range f.byRole(namer.RoleDecode) {
		dataCentres[e.DataCentre] = true
	}
	is.Equal(len(dataCentres), 5)
}

// Guards against outputs that wait for engines after the mix has shifted, and against engines that change to
// and fro in a mix that swings every few seconds.
func TestMixShifts(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 4, 3, 64)
	f.run(20*time.Second, 30, 100_000)
	f.run(30*time.Second, 500, 10_000)
	is.True(len(f.byRole(namer.RoleDecode)) >= 8)
	f = newFleet(9, 4, 3, 64)
	f.run(30*time.Second, 60, 60_000)
	before := len(f.changes)
	for range 20 {
		f.run(3*time.Second, 100, 10_000)
		f.run(3*time.Second, 10, 150_000)
	}
	is.Equal(len(f.changes), before)
}

// Guards against a fleet that is left without engines for outputs after a crash.
func TestCrashOfGeneratingEngines(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 4, 3, 64)
	f.run(20*time.Second, 0, 0)
	f.run(20*time.Second, 30, 60_000)
	f.crash(namer.RoleDecode, 2)
	f.run(10*time.Second, 30, 60_000)
	is.True(len(f.byRole(namer.RoleDecode)) >= 2)
}

// Guards against more than a quarter of the engines in change at a time.
func TestFewEnginesChangeAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(64, 10, 5, 64)
	for range 60 {
		f.run(planPeriod, 2, 2_000_000)
		is.True(len(f.pending) <= 16)
	}
	is.True(len(f.changes) > 16)
}

// Guards against commands to engines of a service whose engines all have the same role.
func TestUniformEnginesKeepTheirRole(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 0, 3, 64)
	f.run(time.Minute, 30, 0)
	is.Equal(len(f.changes), 0)
}

// Guards against fewer engines for outputs where these have few slots: prompts were processed in vain, because
// the engines that should have generated were full.
func TestEnginesWithFewSlotsKeepTheirRole(t *testing.T) {
	for _, slots := range []int{4, 6, 16} {
		is := is.New(t)
		f := newFleet(64, 23, 5, slots)
		f.run(20*time.Second, 0, 0)
		f.run(time.Minute, 60, 2_000_000)
		is.Equal(len(f.changes), 0)
	}
}
