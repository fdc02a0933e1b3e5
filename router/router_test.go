package router_test

import (
	"flag"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/namer"
	"apricotspool/router"
)

// Property tests use a fixed seed unless the command line sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

func query(prompt float64) *router.Query {
	return &router.Query{Prompt: prompt, Output: 100, Budget: 10, Exclude: router.None, Idempotent: true}
}

// Guards against choosing a leaving, excluded or full endpoint, and against finding none while one is
// allowed.
func TestPickChoosesOnlyEligibleEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 16, 33, 200}).Draw(t, "endpoints")
		r, p := fleet(n, 4)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		allowed := map[router.Slot]bool{}
		q := query(1000)
		for i, s := range p.Members() {
			switch random.IntN(4) {
			case 0:
				r.SetLeaving(s, true)
			case 1:
				r.Report(3, s, p, router.Load{At: 2, Requests: 64})
			case 2:
				if i == 0 {
					q.Exclude = s
					continue
				}
				allowed[s] = true
			default:
				allowed[s] = true
			}
		}
		choice, ok := r.Pick(3, p, q)
		if ok != (len(allowed) > 0) || (ok && !allowed[choice.Slot]) {
			t.Fatalf("chose %v (%v) of %d allowed endpoints", choice.Slot, ok, len(allowed))
		}
	})
}

// Guards against herding: hosts with the same load reports must not all dispatch to the endpoint
// reported as the least loaded. Each host assumes that the others dispatch as it does itself.
func TestHostsWithTheSameReportsSpread(t *testing.T) {
	is := is.New(t)
	counts := map[router.Slot]int{}
	for host := range 8 {
		r, p := fleet(8, 8)
		r.Random = rand.New(rand.NewPCG(uint64(host), 9))
		for i, s := range p.Members() {
			r.Report(5, s, p, router.Load{At: 4, Requests: 10 + 2*float64(i)})
		}
		for range 4 {
			q := query(20)
			q.Output = 500
			choice, ok := r.Pick(5, p, q)
			is.True(ok)
			r.Dispatched(5, choice.Slot, p, 0, choice.Uncached)
			counts[choice.Slot]++
		}
	}
	maxCount := 0
	for _, n := range counts {
		maxCount = max(maxCount, n)
	}
	is.True(maxCount <= 8)
}

// Guards against ignoring cached prefixes, and against choosing a holder whose queue takes longer than
// the cache saves.
func TestCachedPrefixIsWeighedAgainstQueue(t *testing.T) {
	is := is.New(t)
	r, p := fleet(16, 1)
	q := query(12_000)
	q.Prefix = prefix(7, 40)
	holder := p.Members()[9]
	r.Report(2, holder, p, router.Load{At: 1.9})
	r.UpdateCache(holder, q.Prefix, nil, false)
	choice, _ := r.Pick(2, p, q)
	is.Equal(choice.Slot, holder)
	is.Equal(choice.Uncached, 12_000-40*256.0)
	r.Report(3, holder, p, router.Load{At: 2.9, Requests: 20, Prefill: 30_000}) // 4 s of queue for a saving of 1.3 s
	choice, _ = r.Pick(3, p, q)
	is.True(choice.Slot != holder)
	r.Report(4, holder, p, router.Load{At: 3.9})
	r.UpdateCache(holder, nil, nil, true) // reset after a gap in the cache events
	choice, _ = r.Pick(4, p, q)
	is.Equal(choice.Uncached, 12_000.0)
}

// Guards against long prompts on an engine with urgent streams while another engine has none.
func TestLongPromptsAvoidUrgentStreams(t *testing.T) {
	is := is.New(t)
	r, p := fleet(2, 6)
	for _, s := range p.Members() {
		r.Report(2, s, p, router.Load{At: 1.9, Requests: 4})
	}
	for range 4 {
		r.Dispatched(2, p.Members()[0], p, 0, 0) // urgent streams
		r.Dispatched(2, p.Members()[1], p, 1, 0) // others
	}
	q := query(40_000)
	q.Class = 1
	for range 20 {
		choice, ok := r.Pick(3, p, q)
		is.True(ok)
		is.Equal(choice.Slot, p.Members()[1])
	}
}

// Guards against a failing endpoint that keeps getting requests or is never readmitted, and against
// probes with requests that must not be retried.
func TestEjectionAndReadmission(t *testing.T) {
	is := is.New(t)
	r, p := fleet(3, 1)
	failing := p.Members()[0]
	for range 3 {
		r.Failed(10, failing)
	}
	is.True(r.Ejected(failing))
	chosen := func(now namer.Seconds, idempotent bool) bool {
		q := query(100)
		q.Idempotent = idempotent
		for _, s := range p.Members()[1:] {
			r.Report(now, s, p, router.Load{At: now, Requests: 64}) // only the ejected one has a free slot
		}
		choice, ok := r.Pick(now, p, q)
		return ok && choice.Slot == failing
	}
	is.True(!chosen(10.5, true)) // within the first ejection of about a second
	is.True(!chosen(12, false))
	for range 3 {
		is.True(chosen(12, true))
		r.Dispatched(12, failing, p, 0, 0)
		is.True(!chosen(12, true)) // one probe at a time
		r.Ended(12, failing, 0, 0)
		r.Succeeded(failing)
	}
	is.True(!r.Ejected(failing))
	is.True(chosen(12, false))
}

// Guards against refusing all requests when every endpoint is ejected, which would turn a fault
// elsewhere into an outage.
func TestEndpointsAreUsedWhenAllAreEjected(t *testing.T) {
	is := is.New(t)
	r, p := fleet(3, 1)
	for _, s := range p.Members()[:2] {
		r.Unreachable(10, s)
		is.True(r.Ejected(s)) // after one failed connection
	}
	for range 10 { // in a partition the only reachable endpoint, although the worst by score, serves alone
		choice, ok := r.Pick(10, p, query(100))
		is.True(ok && choice.Slot == p.Members()[2])
	}
	r.SetReachable(10, p.Members()[2], false)
	_, ok := r.Pick(10, p, query(100))
	is.True(ok)
}

// Guards against disaggregated prefill that ignores the cost of the KV cache transfer.
func TestPrefillEnginesAreUsedWhereTheTransferPays(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		transfer namer.Seconds
		want     bool
	}{{1e-5, true}, {1e-2, false}} {
		r, p := fleet(3, 1)
		p.TransferTime = c.transfer
		m := p.Members()
		r.Report(2, m[0], p, router.Load{At: 2, Role: namer.RolePrefill})
		r.Report(2, m[1], p, router.Load{At: 2, Role: namer.RoleDecode, Requests: 5})
		r.Report(2, m[2], p, router.Load{At: 2, Requests: 30, Prefill: 5000})
		r.UpdateRoles(p)
		choice, ok := r.Pick(2, p, query(2000))
		is.True(ok)
		is.Equal(choice.Prefill == m[0] && choice.Slot == m[1], c.want)
		is.Equal(choice.Prefill == router.None && choice.Slot == m[2], !c.want)
	}
}

// Guards against endpoints that stay unused after the end of a drain, and against dispatches while
// either the configuration or the endpoint itself says that it is leaving.
func TestLeavingFollowsConfigurationAndReport(t *testing.T) {
	is := is.New(t)
	r, p := fleet(1, 1)
	s := p.Members()[0]
	put := func(now namer.Seconds, leaving bool) {
		r.Put(now, router.Endpoint{Name: r.Name(s), Ceiling: 64, StartLimit: 64, Leaving: leaving, Rates: r.Rates(s)})
	}
	usable := func(now namer.Seconds) bool {
		_, ok := r.Pick(now, p, query(100))
		return ok
	}
	put(2, true)
	r.Report(3, s, p, router.Load{At: 3})
	is.True(!usable(3)) // leaving by configuration, although the endpoint reports otherwise
	put(4, false)
	is.True(usable(4))
	r.SetLeaving(s, true)
	put(5, false)
	is.True(!usable(5))
	put(50, false) // the endpoint's statement has expired without further reports
	is.True(usable(50))
}
