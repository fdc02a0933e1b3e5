package distributor_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"apricotspool/configurer"
	"apricotspool/distributor"
	"apricotspool/namer"
)

const (
	randomDaemons = 9
	randomCentres = 3
)

// step is one event of a schedule.
type step struct {
	kind  string
	who   int
	other int
	fault fault
	loss  float64
	wait  time.Duration
}

func drawStep(t *rapid.T) step {
	return step{
		kind:  rapid.SampledFrom([]string{"patch", "race", "race", "leave", "store", "platform", "partition", "join", "pause", "wake", "restart", "loss", "calm"}).Draw(t, "kind"),
		who:   rapid.IntRange(0, randomDaemons-1).Draw(t, "who"),
		other: rapid.IntRange(0, randomDaemons-1).Draw(t, "other"),
		fault: rapid.SampledFrom([]fault{healthy, down, hanging, losing, late}).Draw(t, "fault"),
		loss:  rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "loss"),
		wait:  rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second, 4 * time.Second, 20 * time.Second}).Draw(t, "wait"),
	}
}

// schedule runs steps and keeps what was promised to operators.
type schedule struct {
	*cluster
	patches  sync.WaitGroup
	mu       sync.Mutex // guards results and promises
	results  map[distributor.PatchID]distributor.Answer
	sent     int
	promises []promise
	topology time.Time // of the last change to who reaches whom
	started  [randomDaemons]time.Time
}

// promise is a version or notice that a daemon had at a time; those that it reaches have it 3 s later.
type promise struct {
	at       time.Time
	from     int
	version  namer.ConfigVersion
	endpoint namer.Endpoint
}

func (s *schedule) do(e step) {
	d := s.daemons[e.who]
	switch e.kind {
	case "patch":
		s.patch(e.who)
	case "race":
		s.patch(e.who)
		s.patch(e.other)
	case "leave":
		name := namer.Endpoint(fmt.Sprintf("endpoint-%d", e.who))
		d.gossip.Announce(s.t.Context(), name, true)
		s.promise(promise{from: e.who, endpoint: name})
	case "store":
		d.path.set(e.fault)
	case "platform":
		for _, d := range s.daemons {
			d.path.set(e.fault)
		}
	case "partition", "join":
		for i := e.who % randomCentres; i < randomDaemons; i += randomCentres {
			s.network.Part(map[string]int{"partition": 1 + e.who%randomCentres}[e.kind], address(i))
		}
		s.topology = time.Now()
	case "pause", "wake":
		s.network.Down(d.address, e.kind == "pause")
		d.path.set(map[string]fault{"pause": hanging}[e.kind])
		s.topology = time.Now()
	case "restart":
		s.restart(e.who)
		s.topology, s.started[e.who] = time.Now(), time.Now()
	case "loss":
		s.network.Lose(e.loss)
	case "calm":
		s.calm()
	}
}

func (s *schedule) calm() {
	s.network.Lose(0)
	for i, d := range s.daemons {
		s.network.Part(0, address(i))
		s.network.Down(address(i), false)
		d.path.set(healthy)
	}
	s.topology = time.Now()
}

// patch sends a patch in the background, from an operator who saw the daemon's version, and repeats
// it until the result is certain or the operator gives up.
func (s *schedule) patch(who int) {
	d := s.daemons[who]
	if d.Snapshot() == nil {
		return
	}
	s.sent++
	p := distributor.Patch{ID: distributor.PatchID(fmt.Sprintf("patch-%d", s.sent)), Base: d.version(), Merge: region(s.sent)}
	s.patches.Go(func() {
		answer := d.Patch(s.t.Context(), p)
		for tries := 0; answer.Result == distributor.Unknown && tries < 3; tries++ {
			time.Sleep(time.Second)
			p.Repeat = true
			answer = s.at(address((who+tries)%randomDaemons)).Patch(s.t.Context(), p)
		}
		s.mu.Lock()
		s.results[p.ID] = answer
		s.mu.Unlock()
		if answer.Result == distributor.Applied {
			s.promise(promise{from: who, version: answer.Version})
		}
	})
}

func (s *schedule) promise(p promise) {
	p.at = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.promises = append(s.promises, p)
}

// wait lets time pass in steps and checks the promises.
func (s *schedule) wait(d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(100 * time.Millisecond) {
		s.check()
		s.checkPromises()
		if !time.Now().Before(end) {
			return
		}
	}
}

// bound is the limit of P7 and P9; a process that has just started first has to find its peers.
const (
	bound   = 3 * time.Second
	startup = 10 * time.Second
)

func (s *schedule) checkPromises() {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.promises[:0]
	for _, p := range s.promises {
		if time.Since(s.started[p.from]) < time.Since(p.at) {
			continue // the process that had it is gone
		}
		kept = append(kept, p) // it holds again after each change of the topology
		if time.Since(p.at) <= bound || time.Since(s.topology) <= bound {
			continue
		}
		for i, d := range s.daemons {
			if i == p.from || time.Since(s.started[i]) < startup || !s.network.Reachable(address(p.from), address(i)) {
				continue
			}
			if p.version > 0 && d.version() < p.version {
				s.failf("daemon %d has version %d; version %d was in force at daemon %d for %s", i, d.version(), p.version, p.from, time.Since(p.at))
			}
			if p.endpoint != "" && !d.gossip.View().Leaving(empty, p.endpoint) {
				s.failf("daemon %d does not know that %s is leaving, which daemon %d has known for %s", i, p.endpoint, p.from, time.Since(p.at))
			}
		}
	}
	s.promises = kept
}

var empty = configurer.NewSnapshot(0, &configurer.Document{})

// finish lets the cluster recover and compares the history with what operators were told.
func (s *schedule) finish() {
	s.patches.Wait()
	s.calm()
	s.wait(30 * time.Second)
	if !s.same() {
		s.failf("daemons differ after the faults have ended")
	}
	history, err := s.daemons[0].History(s.t.Context(), 0, 10_000)
	if err != nil {
		s.failf("history: %v", err)
	}
	committed := map[distributor.PatchID]namer.ConfigVersion{}
	for i, e := range history {
		if e.Version != namer.ConfigVersion(i+1) || committed[e.ID] != 0 {
			s.failf("history has version %d of patch %s at place %d", e.Version, e.ID, i+1)
		}
		committed[e.ID] = e.Version
	}
	for id, answer := range s.results {
		version, ok := committed[id]
		switch answer.Result {
		case distributor.Applied:
			if version != answer.Version {
				s.failf("patch %s was reported applied at version %d and is at %d", id, answer.Version, version)
			}
		case distributor.NotApplied, distributor.Stale, distributor.Invalid:
			if ok {
				s.failf("patch %s was reported %s and is version %d", id, answer.Result, version)
			}
		}
	}
}

func runSchedule(t *testing.T, steps []step, prepare func(*daemon)) (failure string, results map[distributor.Result]int) {
	synctest.Test(t, func(t *testing.T) {
		s := schedule{cluster: newCluster(t, randomDaemons, randomCentres, prepare), results: map[distributor.PatchID]distributor.Answer{}, topology: time.Now()}
		s.randomised = true
		defer s.stop()
		time.Sleep(settle)
		for _, e := range steps {
			s.do(e)
			s.wait(e.wait)
		}
		s.finish()
		failure, results = s.failure, map[distributor.Result]int{}
		for _, answer := range s.results {
			results[answer.Result]++
		}
	})
	return failure, results
}

// TestRandomisedFaults runs more schedules on demand:
//
//	go test ./distributor -run TestRandomisedFaults -rapid.checks=10000 -rapid.seed=5 -timeout 2h
//
// Guards against combinations of faults that nobody thought of: versions never go back in a process,
// an accepted version and a leaving endpoint are known to all reachable processes within 3 s, each
// version is one patch, and every certain answer to an operator is true.
func TestRandomisedFaults(t *testing.T) {
	total := map[distributor.Result]int{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		failure, results := runSchedule(t, steps, unchanged)
		for result, n := range results {
			total[result] += n
		}
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	t.Log("results of patches:", total)
	if total[distributor.Applied] == 0 || total[distributor.Stale] == 0 || total[distributor.NotApplied] == 0 {
		t.Error("the schedules don't reach all results")
	}
}

// Guards against a randomised run that can't see a broken mechanism.
func TestRandomisedFaultsSeeBrokenMechanisms(t *testing.T) {
	lost := []step{{kind: "store", fault: losing}, {kind: "patch", wait: 20 * time.Second}}
	back := []step{
		{kind: "platform", fault: down},
		{kind: "store", who: 1},
		{kind: "partition", who: 0, wait: 20 * time.Second},
		{kind: "patch", who: 1, wait: 4 * time.Second},
		{kind: "join", wait: 20 * time.Second},
	}
	cold := []step{{kind: "patch", wait: 4 * time.Second}, {kind: "platform", fault: down}, {kind: "restart", who: 4, wait: 20 * time.Second}, {kind: "patch", who: 4, wait: time.Second}}
	for _, c := range []struct {
		name    string
		steps   []step
		prepare func(*daemon)
		failure string
	}{
		{"patch ids", lost, func(d *daemon) { d.WithoutPatchIDs() }, "was reported stale and is version"},
		{"repair", back, func(d *daemon) { d.WithoutRepair() }, "has version 0"},
		{"push and repair", []step{{kind: "patch", wait: 4 * time.Second}}, func(d *daemon) { d.WithoutPush(); d.WithoutRepair() }, "has version 0"},
		{"nothing, lost answer", lost, unchanged, ""},
		{"nothing, partition", back, unchanged, ""},
		{"nothing, restart", cold, unchanged, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			failure, _ := runSchedule(t, c.steps, c.prepare)
			if (failure == "") != (c.failure == "") || !strings.Contains(failure, c.failure) {
				t.Errorf("failure is %q, want %q", failure, c.failure)
			}
		})
	}
}
