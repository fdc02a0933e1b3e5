package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"apricotspool/estimator"
	"apricotspool/namer"
	"apricotspool/router"
)

// fleet returns a router with one pool of n engines that have all sent a load report.
func fleet(n, hosts int) (*router.Router, *router.Pool) {
	r := &router.Router{Random: rand.New(rand.NewPCG(1, 2)), Hosts: hosts}
	var estimates estimator.Estimator
	var members []router.Slot
	for i := range n {
		name := namer.Endpoint(fmt.Sprintf("engine-%04d", i))
		members = append(members, r.Put(0, router.Endpoint{
			Name: name, Distance: namer.Seconds(i%4) * 0.001, Ceiling: 64, StartLimit: 64,
			Rates: estimates.Endpoint(name, estimator.Configured{Model: "m", PrefillRate: 8000, DecodeRate: 80}),
		}))
	}
	p := &router.Pool{}
	r.SetMembers(p, members)
	for i, s := range members {
		r.Report(1, s, p, router.Load{At: 0.5, Requests: float64(i % 20), Prefill: float64(i%7) * 500})
	}
	return r, p
}

func prefix(group uint64, blocks int) []uint64 {
	hashes := make([]uint64, blocks)
	for i := range hashes {
		hashes[i] = (group*1_000_003 + uint64(i) + 1) * 0x9e3779b97f4a7c15
	}
	return hashes
}

// BenchmarkPick measures one routing decision with its accounting, for the present fleet size and
// the design size, without a prefix and with a cached conversation of 40 blocks.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 1600} {
		for _, blocks := range []int{0, 40} {
			b.Run(fmt.Sprintf("endpoints=%d/blocks=%d", n, blocks), func(b *testing.B) {
				r, p := fleet(n, 6)
				for g := range 64 {
					r.UpdateCache(p.Members()[g%n], prefix(uint64(g), 40), nil, false)
				}
				queries := make([]router.Query, 64)
				for g := range queries {
					queries[g] = router.Query{
						Prompt: 12_000, Output: 200, Prefix: prefix(uint64(g), blocks), Budget: 60, Exclude: router.None, Idempotent: true,
					}
				}
				b.ReportAllocs()
				i, now := 0, namer.Seconds(1)
				for b.Loop() {
					now += 0.5 // virtual time: a rate that the fleet can sustain
					choice, ok := r.Pick(now, p, &queries[i%64])
					if !ok {
						b.Fatal("no endpoint for the query")
					}
					r.Dispatched(now, choice.Slot, p, 0, choice.Uncached)
					r.Ended(now, choice.Slot, 0, choice.Uncached)
					i++
				}
			})
		}
	}
}
