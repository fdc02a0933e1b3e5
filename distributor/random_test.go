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

// step is one action of a schedule.
type step struct {
	kind   string
	daemon int
	other  int // second daemon of a race
	fault  fault
	loss   float64
	wait   time.Duration
}

func drawStep(t *rapid.T) step {
	return step{
		kind:   rapid.SampledFrom([]string{"patch", "race", "race", "leave", "store", "platform", "partition", "join", "pause", "wake", "restart", "loss", "calm"}).Draw(t, "kind"),
		daemon: rapid.IntRange(0, randomDaemons-1).Draw(t, "who"),
		other:  rapid.IntRange(0, randomDaemons-1).Draw(t, "other"),
		fault:  rapid.SampledFrom([]fault{healthy, unavailable, hanging, responseLost, appliedLate}).Draw(t, "fault"),
		loss:   rapid.SampledFrom([]float64{0, 0, 0.05}).Draw(t, "loss"),
		wait:   rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second, 4 * time.Second, 20 * time.Second}).Draw(t, "wait"),
	}
}

// schedule executes steps and records what the system must guarantee afterwards.
type schedule struct {
	*cluster
	patches         sync.WaitGroup
	mu              sync.Mutex // guards results and expectations
	results         map[distributor.PatchID]distributor.PatchReply
	sent            int // patches
	expectations    []expectation
	topologyChanged time.Time // time of the last change of reachability between daemons
	started         [randomDaemons]time.Time
}

// expectation is a version or leaving notice that a daemon had at a time. Every daemon that it can reach
// must have it 3 s later.
type expectation struct {
	at       time.Time
	from     int
	version  namer.ConfigVersion
	endpoint namer.Endpoint
}

func (s *schedule) execute(e step) {
	d := s.daemons[e.daemon]
	switch e.kind {
	case "patch":
		s.patch(e.daemon)
	case "race":
		s.patch(e.daemon)
		s.patch(e.other)
	case "leave":
		name := namer.Endpoint(fmt.Sprintf("endpoint-%d", e.daemon))
		d.gossip.Announce(s.t.Context(), name, true)
		s.expect(expectation{from: e.daemon, endpoint: name})
	case "store":
		d.store.set(e.fault)
	case "platform":
		for _, d := range s.daemons {
			d.store.set(e.fault)
		}
	case "partition", "join":
		for i := e.daemon % randomCentres; i < randomDaemons; i += randomCentres {
			s.network.SetPartition(map[string]int{"partition": 1 + e.daemon%randomCentres}[e.kind], address(i))
		}
		s.topologyChanged = time.Now()
	case "pause", "wake":
		s.network.SetUnreachable(d.address, e.kind == "pause")
		d.store.set(map[string]fault{"pause": hanging}[e.kind])
		s.topologyChanged = time.Now()
	case "restart":
		s.restart(e.daemon)
		s.topologyChanged, s.started[e.daemon] = time.Now(), time.Now()
	case "loss":
		s.network.SetLossRate(e.loss)
	case "calm":
		s.heal()
	}
}

func (s *schedule) heal() {
	s.network.SetLossRate(0)
	for i, d := range s.daemons {
		s.network.SetPartition(0, address(i))
		s.network.SetUnreachable(address(i), false)
		d.store.set(healthy)
	}
	s.topologyChanged = time.Now()
}

// patch sends a patch against the daemon's current version in the background, and retries up to three
// times while the result is Unknown.
func (s *schedule) patch(daemon int) {
	d := s.daemons[daemon]
	if d.Snapshot() == nil {
		return
	}
	s.sent++
	p := distributor.Patch{ID: distributor.PatchID(fmt.Sprintf("patch-%d", s.sent)), Base: d.version(), Merge: regionPatch(s.sent)}
	s.patches.Go(func() {
		reply := d.Patch(s.t.Context(), p)
		for tries := 0; reply.Result == distributor.Unknown && tries < 3; tries++ {
			time.Sleep(time.Second)
			p.Retry = true
			reply = s.at(address((daemon+tries)%randomDaemons)).Patch(s.t.Context(), p)
		}
		s.mu.Lock()
		s.results[p.ID] = reply
		s.mu.Unlock()
		if reply.Result == distributor.Applied {
			s.expect(expectation{from: daemon, version: reply.Version})
		}
	})
}

func (s *schedule) expect(e expectation) {
	e.at = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expectations = append(s.expectations, e)
}

// wait advances virtual time by d and checks the expectations every 100 ms.
func (s *schedule) wait(d time.Duration) {
	for end := time.Now().Add(d); ; time.Sleep(100 * time.Millisecond) {
		s.checkMonotonic()
		s.checkExpectations()
		if !time.Now().Before(end) {
			return
		}
	}
}

// propagationBound is the time within which versions and leaving notices must reach all reachable
// daemons. A process that has just started must discover its peers first.
const (
	propagationBound = 3 * time.Second
	startupTime      = 10 * time.Second
)

func (s *schedule) checkExpectations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.expectations[:0]
	for _, e := range s.expectations {
		if time.Since(s.started[e.from]) < time.Since(e.at) {
			continue // the process that had it was restarted
		}
		remaining = append(remaining, e) // checked again after each topology change
		if time.Since(e.at) <= propagationBound || time.Since(s.topologyChanged) <= propagationBound {
			continue
		}
		for i, d := range s.daemons {
			if i == e.from || time.Since(s.started[i]) < startupTime || !s.network.Reachable(address(e.from), address(i)) {
				continue
			}
			if e.version > 0 && d.version() < e.version {
				s.failf("daemon %d has version %d; version %d has been active at daemon %d for %s", i, d.version(), e.version, e.from, time.Since(e.at))
			}
			if e.endpoint != "" && !d.gossip.View().Leaving(empty, e.endpoint) {
				s.failf("daemon %d does not know that %s is leaving, which daemon %d has known for %s", i, e.endpoint, e.from, time.Since(e.at))
			}
		}
	}
	s.expectations = remaining
}

var empty = configurer.NewSnapshot(0, &configurer.Document{})

// finish lets the cluster recover and compares the history with the reported results.
func (s *schedule) finish() {
	s.patches.Wait()
	s.heal()
	s.wait(30 * time.Second)
	if !s.converged() {
		s.failf("daemons have different documents after recovery")
	}
	history, err := s.daemons[0].History(s.t.Context(), 0, 10_000)
	if err != nil {
		s.failf("history: %v", err)
	}
	committed := map[distributor.PatchID]namer.ConfigVersion{}
	for i, e := range history {
		if e.Version != namer.ConfigVersion(i+1) || committed[e.ID] != 0 {
			s.failf("history has version %d of patch %s at position %d", e.Version, e.ID, i+1)
		}
		committed[e.ID] = e.Version
	}
	for id, reply := range s.results {
		version, ok := committed[id]
		switch reply.Result {
		case distributor.Applied:
			if version != reply.Version {
				s.failf("patch %s was reported applied at version %d but was committed at %d", id, reply.Version, version)
			}
		case distributor.NotApplied, distributor.Stale, distributor.Invalid:
			if ok {
				s.failf("patch %s was reported %s but was committed at version %d", id, reply.Result, version)
			}
		}
	}
}

func runSchedule(t *testing.T, steps []step, prepare func(*daemon)) (failure string, results map[distributor.Result]int) {
	synctest.Test(t, func(t *testing.T) {
		s := schedule{cluster: newCluster(t, randomDaemons, randomCentres, prepare), results: map[distributor.PatchID]distributor.PatchReply{}, topologyChanged: time.Now()}
		s.randomised = true
		defer s.stop()
		time.Sleep(settleTime)
		for _, e := range steps {
			s.execute(e)
			s.wait(e.wait)
		}
		s.finish()
		failure, results = s.failure, map[distributor.Result]int{}
		for _, reply := range s.results {
			results[reply.Result]++
		}
	})
	return failure, results
}

// TestRandomisedFaults runs more schedules on demand:
//
//	go test ./distributor -run TestRandomisedFaults -rapid.checks=10000 -rapid.seed=5 -timeout 2h
//
// Checks under random combinations of faults that versions never decrease within a process, that a
// committed version and a leaving notice reach all reachable processes within 3 s, that each version is
// made by exactly one patch, and that every definite result reported to an operator is true.
func TestRandomisedFaults(t *testing.T) {
	total := map[distributor.Result]int{}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		failure, results := runSchedule(t, steps, allEnabled)
		for result, n := range results {
			total[result] += n
		}
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	t.Log("results of patches:", total)
	if total[distributor.Applied] == 0 || total[distributor.Stale] == 0 || total[distributor.NotApplied] == 0 {
		t.Error("the schedules do not produce all results")
	}
}

// Guards against a randomised test that does not detect a disabled mechanism.
func TestRandomisedFaultsDetectDisabledMechanisms(t *testing.T) {
	lostResponse := []step{{kind: "store", fault: responseLost}, {kind: "patch", wait: 20 * time.Second}}
	partitioned := []step{
		{kind: "platform", fault: unavailable},
		{kind: "store", daemon: 1},
		{kind: "partition", daemon: 0, wait: 20 * time.Second},
		{kind: "patch", daemon: 1, wait: 4 * time.Second},
		{kind: "join", wait: 20 * time.Second},
	}
	restarted := []step{{kind: "patch", wait: 4 * time.Second}, {kind: "platform", fault: unavailable}, {kind: "restart", daemon: 4, wait: 20 * time.Second}, {kind: "patch", daemon: 4, wait: time.Second}}
	for _, c := range []struct {
		name    string // disabled mechanism
		steps   []step
		prepare func(*daemon)
		failure string
	}{
		{"patch IDs", lostResponse, func(d *daemon) { d.DisablePatchIDs() }, "was reported stale but was committed at version"},
		{"repair", partitioned, func(d *daemon) { d.DisableRepair() }, "has version 0"},
		{"push and repair", []step{{kind: "patch", wait: 4 * time.Second}}, func(d *daemon) { d.DisablePush(); d.DisableRepair() }, "has version 0"},
		{"none disabled, lost response", lostResponse, allEnabled, ""},
		{"none disabled, partition", partitioned, allEnabled, ""},
		{"none disabled, restart", restarted, allEnabled, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			failure, _ := runSchedule(t, c.steps, c.prepare)
			if (failure == "") != (c.failure == "") || !strings.Contains(failure, c.failure) {
				t.Errorf("failure is %q, want %q", failure, c.failure)
			}
		})
	}
}
