package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/gossiper"
	"apricotspool/lister"
	"apricotspool/namer"
)

// Guards against missing or suspected members and endpoints polled twice in a fleet without faults.
func TestSteadyFleet(t *testing.T) {
	for _, c := range []struct{ members, centres int }{{1, 1}, {4, 2}, {16, 4}, {64, 4}} {
		t.Run(fmt.Sprintf("%d members in %d data centres", c.members, c.centres), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, c.members, c.centres, 3*c.members)
			f.polling = true
			f.run(20 * time.Second)
			for range 30 {
				f.run(time.Second)
				polled := map[namer.Endpoint]int{}
				for i, table := range f.tables {
					is.Equal(f.live(i), c.members/c.centres) // no false suspicion
					for _, target := range table.PollTargets(f.now) {
						polled[target.Endpoint]++
					}
				}
				is.Equal(len(polled), 3*c.members)
				for _, n := range polled {
					is.Equal(n, 1)
				}
			}
			for _, table := range f.tables {
				v := table.View(f.now)
				is.Equal(len(v.Remote), c.centres-1)
				is.Equal(len(v.Loads), 3*c.members/c.centres) // loads of the local data centre
				for _, l := range v.Loads {
					is.True(f.now.Sub(l.At) < 10*time.Second)
				}
				for _, r := range v.Remote {
					is.Equal(r.Summary.Services[0].Reported, 3*c.members/c.centres)
				}
			}
		})
	}
}

// Guards against live members that are suspected because their versions arrive irregularly through
// other members: 31 of 72,000 observations before unresponsive members were probed directly.
func TestNoFalseSuspicion(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 16, 1, 0)
	f.run(20 * time.Second)
	for range 300 {
		f.run(time.Second)
		for i := range f.tables {
			is.Equal(f.live(i), 16)
		}
	}
}

// Guards against a dead member that stays live, or is added again when a peer still sends its last version.
func TestDeadMemberIsSuspectedAndDropped(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 16, 1, 0)
	f.run(10 * time.Second)
	f.paused[5] = true
	f.run(9 * time.Second) // 5 s and the time its last version takes to reach all members
	for i := range f.tables {
		if i != 5 {
			is.Equal(f.live(i), 15)
			is.Equal(len(f.tables[i].View(f.now).Members), 16) // suspected, not yet dropped
		}
	}
	f.run(13 * time.Second)
	for range 60 {
		f.run(time.Second)
		for i := range f.tables {
			if i != 5 {
				is.Equal(len(f.tables[i].View(f.now).Members), 15)
			}
		}
	}
}

// Guards against a resumed process that suspects all others because of its own pause, and against
// others that don't readmit it.
func TestPausedMemberResumes(t *testing.T) {
	for _, pause := range []time.Duration{8 * time.Second, 40 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 8, 1, 0)
			f.run(10 * time.Second)
			f.paused[2] = true
			f.run(pause)
			is.Equal(f.live(0), 7)
			f.paused[2] = false
			f.run(time.Second)
			is.Equal(f.live(2), 8) // from its first tick on
			f.run(5 * time.Second)
			for i := range f.tables {
				is.Equal(f.live(i), 8)
			}
		})
	}
}

// Guards against confusing a restarted process with its predecessor, in either direction.
func TestRestartReplacesEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 1, 0)
	f.run(10 * time.Second)
	old := f.tables[4]
	f.tables[4] = f.table(4, 1, namer.NewIncarnation(f.now))
	f.run(6 * time.Second)
	current := f.tables[4].Incarnation
	for i := range f.tables {
		v := f.tables[i].View(f.now)
		is.Equal(len(v.Members), 6)
		is.Equal(v.Members[4].Incarnation, current)
	}
	// A predecessor that resumes later is rejected.
	f.tables[0].HandleExchange(f.now, old.OpenExchange(f.now, gossiper.Target{DataCentre: centre(0)}))
	is.Equal(f.tables[0].View(f.now).Members[4].Incarnation, current)
}

// Guards against daemons that don't discover each other because all their seeds are in other data centres.
func TestSeedsInOtherDataCentres(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 24, 6, 0) // the seeds are in the first four data centres
	f.run(20 * time.Second)
	for i := range f.tables {
		is.Equal(f.live(i), 4)
	}
}

// Guards against partitions that have dropped each other and never rejoin, and against late detection
// of a data centre that is reachable again.
func TestPartitionHeals(t *testing.T) {
	for _, c := range []struct {
		name        string
		centres     int
		partitioned func(a, b int) bool
	}{
		{"inside a data centre", 1, func(a, b int) bool { return a/6 != b/6 }},
		{"one data centre from the others", 3, func(a, b int) bool { return (a%3 == 0) != (b%3 == 0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 12, c.centres, 12)
			f.run(10 * time.Second)
			initial := f.partitioned
			f.partitioned = c.partitioned
			f.run(time.Minute)
			f.tables[0].Observe(f.now, gossiper.Subject{Name: "engine-0000"}, true)
			f.run(5 * time.Second)
			if c.centres == 1 {
				is.Equal(f.live(0), 6)
			}
			f.partitioned = initial
			f.run(8 * time.Second)
			for i, table := range f.tables {
				is.Equal(f.live(i), 12/c.centres)
				v := table.View(f.now)
				is.True(v.Leaving(snapshot(t, 1, c.centres, 12), "engine-0000"))
				for _, r := range v.Remote {
					is.True(r.Reachable)
				}
			}
		})
	}
}

// Guards against a stale source that hides the leaving state from another source.
func TestLeavingIsUnionOfSources(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 1, 3)
	s := snapshot(t, 1, 1, 3)
	table := f.tables[0]
	hosts := []lister.Host{
		{Name: "e0", Address: address(10_000).Addr(), State: lister.Live},
		{Name: "e1", Address: address(10_001).Addr(), State: lister.Leaving},
	}
	is.Equal(len(table.MergeHostList(f.now, hosts)), 2) // the host and its endpoint
	table.AddLoad(f.now, gossiper.Load{Endpoint: endpoint(0), Leaving: true})
	f.run(5 * time.Second)
	v := f.tables[2].View(f.now)
	is.True(v.Leaving(s, endpoint(0))) // its own state, although the host list says live
	is.True(v.Leaving(s, endpoint(1)))
	is.True(!v.Leaving(s, endpoint(2)))
	outdated := gossiper.Load{Endpoint: endpoint(0), Age: 6000} // measured before the notice
	is.Equal(len(table.AddLoad(f.now, outdated)), 0)
	hosts[1].State = lister.Live
	is.Equal(len(table.MergeHostList(f.now, hosts)), 0) // within hostListWithdrawDelay, as another reader may see an earlier list
	f.run(30 * time.Second)
	is.True(f.tables[2].View(f.now).Leaving(s, endpoint(1)))
	table.MergeHostList(f.now, hosts)
	table.AddLoad(f.now, gossiper.Load{Endpoint: endpoint(0)})
	f.run(5 * time.Second)
	is.True(!f.tables[2].View(f.now).Leaving(s, endpoint(0)))
	is.True(!f.tables[2].View(f.now).Leaving(s, endpoint(1)))
	f.run(15 * time.Minute)
	is.Equal(len(table.HandleExchange(f.now, &gossiper.Exchange{From: peer(1, 1), NoticesHash: 1}).Notices), 0) // withdrawals expire
}

// Guards against merge results that depend on the order or number of deliveries.
func TestNoticesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var notices []gossiper.Notice
		for range rapid.IntRange(1, 12).Draw(t, "notices") {
			notices = append(notices, gossiper.Notice{
				Subject: gossiper.Subject{Name: rapid.SampledFrom([]string{"engine-0000", "engine-0001"}).Draw(t, "name"), Source: gossiper.Source(rapid.IntRange(0, 1).Draw(t, "source"))},
				Stamp:   uint64(epoch.UnixMicro()) + rapid.Uint64Range(0, 4).Draw(t, "stamp"), Leaving: rapid.Bool().Draw(t, "leaving"),
			})
		}
		table := func() *gossiper.Table {
			return &gossiper.Table{Self: peer(0, 1), Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1))}
		}
		one, other := table(), table()
		one.MergeNotices(epoch, notices)
		other.MergeNotices(epoch, rapid.Permutation(notices).Draw(t, "order"))
		other.MergeNotices(epoch, slices.Concat(notices, notices))
		request := &gossiper.Exchange{From: peer(1, 1), NoticesHash: 1}
		a, b := one.HandleExchange(epoch, request), other.HandleExchange(epoch, request)
		is.Equal(a.NoticesHash, b.NoticesHash)
		is.Equal(a.Notices, b.Notices)
	})
}

// Guards against records that miss a change because digests and deltas are inconsistent: after any
// run with lost messages, pauses and restarts, all tables converge in a period without faults.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const members = 5
		f := newFleet(&testing.T{}, members, 1, 10)
		f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			f.loss = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "loss")
			member := rapid.IntRange(0, members-1).Draw(t, "who")
			switch rapid.SampledFrom([]string{"pause", "wake", "restart", "leave", "poll"}).Draw(t, "what") {
			case "pause":
				f.paused[member] = true
			case "wake":
				f.paused[member] = false
			case "restart":
				f.tables[member] = f.table(member, 1, namer.NewIncarnation(f.now))
				f.tables[member].Configure(f.now, snapshot(&testing.T{}, 1, 1, 10))
			case "leave":
				f.tables[member].Observe(f.now, gossiper.Subject{Name: string(endpoint(member))}, rapid.Bool().Draw(t, "leaving"))
			case "poll":
				f.polling = !f.polling
			}
			f.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
		}
		f.loss, f.paused, f.polling = 0, map[int]bool{}, false
		f.run(30 * time.Second)
		first := f.tables[0].View(f.now)
		for i, table := range f.tables {
			v := table.View(f.now)
			is.Equal(len(v.Live()), members)
			for name, l := range first.Loads {
				if f.now.Sub(l.At) > 55*time.Second {
					continue // about to expire, which each member does at its own tick
				}
				load := v.Loads[name]
				load.At = l.At // ages are rounded to milliseconds in messages
				is.Equal(load, l)
			}
			request := &gossiper.Exchange{From: peer(i, 1)}
			is.Equal(table.HandleExchange(f.now, request).NoticesHash, f.tables[0].HandleExchange(f.now, request).NoticesHash)
		}
	})
}

// Guards against assignments that move although their daemon is still a member.
func TestChooseMovesOnlyKeysOfRemovedPeer(t *testing.T) {
	is := is.New(t)
	var peers []gossiper.Peer
	for i := range 32 {
		peers = append(peers, peer(i, 1))
	}
	counts := map[namer.Host]int{}
	for i := range 1000 {
		key := fmt.Sprint(i)
		before := gossiper.Choose(key, peers, 2)
		after := gossiper.Choose(key, peers[1:], 2)
		for _, p := range before {
			is.True(p == peers[0] || slices.Contains(after, p))
			counts[p.Host]++
		}
	}
	for _, p := range peers {
		is.True(counts[p.Host] > 20) // 62 expected
	}
}

// Guards against a table that modifies a seed slice shared with other daemons of the process.
func TestSeedsAreNotShared(t *testing.T) {
	is := is.New(t)
	seeds := append(make([]netip.AddrPort, 0, 8), address(0))
	table := &gossiper.Table{Self: peer(1, 1), Incarnation: 1, Seeds: seeds, Random: rand.New(rand.NewPCG(1, 1))}
	table.MergeHostList(epoch, []lister.Host{{Name: "d", Address: address(2).Addr(), State: lister.Live, Peer: address(2)}})
	is.Equal(len(table.Seeds), 2)
	is.Equal(seeds[:2][1], netip.AddrPort{})
}
