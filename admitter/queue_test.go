package admitter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"apricotspool/admitter"
	"apricotspool/classifier"
	"apricotspool/namer"
)

// Property tests use a fixed seed unless the command line sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

func newQueue(capacity float64, shares ...float64) *admitter.Queue {
	var rules []admitter.Rules
	for i, share := range shares {
		rules = append(rules, admitter.Rules{Name: namer.Rank(fmt.Sprint("rank-", i)), Share: share, Limit: 64})
	}
	return admitter.NewQueue(rand.New(rand.NewPCG(1, 1)), rules, capacity)
}

const never namer.Seconds = 1e9

// Guards against an overload of urgent requests that takes a lower rank's share, and against lower
// ranks that get more than theirs.
func TestEveryRankGetsItsShareUnderAFlood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lower := rapid.Float64Range(0.05, 0.5).Draw(t, "share")
		q := newQueue(1, 1-lower, lower)
		costs := []float64{rapid.Float64Range(0.05, 0.5).Draw(t, "urgent cost"), rapid.Float64Range(0.05, 4).Draw(t, "lower cost")}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		served := []float64{0, 0}
		now, next := namer.Seconds(0), 0
		for served[0]+served[1] < 600 {
			for rank := range costs {
				for q.WaitingInRank(rank) < 5 {
					next++
					cost := namer.Seconds(costs[rank] * (0.5 + random.Float64()))
					q.Offer(now, rank, admitter.Entry{ID: namer.StreamID(fmt.Sprint(next)), Caller: "c", Weight: 1, Cost: cost, StartBy: never})
				}
			}
			rank, _, _ := q.Next(0)
			e := q.Pop(now, rank)
			served[rank] += float64(e.Cost)
			now += e.Cost
		}
		if part := served[1] / (served[0] + served[1]); part < 0.95*lower-0.01 || part > 1.05*lower+0.01 {
			t.Fatalf("the lower rank got %.3f, its share is %.3f", part, lower)
		}
	})
}

// Guards against a caller that gets more than its weighted share of a busy rank by sending more
// requests.
func TestCallersGetServiceByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(1, 1)
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		burst := rapid.SliceOfN(rapid.IntRange(1, 4), len(weights), len(weights)).Draw(t, "burst")
		total, served := 0, make([]float64, len(weights))
		for _, w := range weights {
			total += w
		}
		waiting := map[namer.Caller]int{}
		const dispatches = 300
		for n := range dispatches {
			for i, w := range weights {
				caller := namer.Caller(fmt.Sprint(i))
				for range burst[i] {
					id := namer.StreamID(fmt.Sprintf("%d/%d/%d", n, i, waiting[caller]))
					v := q.Offer(0, 0, admitter.Entry{ID: id, Caller: caller, Weight: float64(w), Cost: 1, StartBy: never})
					if v.Accepted {
						waiting[caller]++
					}
					if v.Evicted.ID != "" {
						waiting[v.Evicted.Caller]--
					}
				}
			}
			e := q.Pop(0, 0)
			waiting[e.Caller]--
			var i int
			_, _ = fmt.Sscan(string(e.Caller), &i)
			served[i]++
		}
		for i, w := range weights {
			if fairShare := dispatches * float64(w) / float64(total); served[i] < 0.9*fairShare-5 {
				t.Fatalf("caller %d of weight %d got %.0f of %.0f; weights %v, bursts %v", i, w, served[i], fairShare, weights, burst)
			}
		}
	})
}

// Guards against requests that the queue loses or returns twice, and against queues over their limit.
func TestEveryOfferEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(1, 0.6, 0.4)
		open, rankOf, now := map[namer.StreamID]bool{}, map[namer.StreamID]int{}, namer.Seconds(0)
		end := func(id namer.StreamID) {
			if !open[id] {
				t.Fatalf("%s ended twice", id)
			}
			delete(open, id)
		}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += namer.Seconds(rapid.Float64Range(0, 1).Draw(t, "pause"))
			rank := rapid.IntRange(0, 1).Draw(t, "rank")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				if rank, _, ok := q.Next(0); ok {
					end(q.Pop(now, rank).ID)
				}
			case 1:
				for e, ok := q.Expire(now, rank); ok; e, ok = q.Expire(now, rank) {
					end(e.ID)
				}
			default:
				id := namer.StreamID(fmt.Sprint(n))
				e := admitter.Entry{
					ID: id, Caller: namer.Caller(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")), Weight: 1,
					Cost:    namer.Seconds(rapid.Float64Range(0.01, 3).Draw(t, "cost")),
					StartBy: now + namer.Seconds(rapid.Float64Range(0, 20).Draw(t, "patience")),
				}
				open[id], rankOf[id] = true, rank
				v := q.Offer(now, rank, e)
				if !v.Accepted {
					end(id)
				}
				if v.Evicted.ID != "" {
					end(v.Evicted.ID)
				}
			}
		}
		for id := range open {
			if !q.Remove(rankOf[id], id) {
				t.Fatalf("%s is lost", id)
			}
		}
		if q.Waiting() != 0 {
			t.Fatalf("%d unknown requests wait", q.Waiting())
		}
	})
}

// Guards against accepting requests that can't be served in time, refusing those that can, and against
// retry times that make callers return all at once.
func TestRefusalsFollowTheBacklog(t *testing.T) {
	is := is.New(t)
	q := newQueue(2, 1)
	for n := range 60 {
		e := admitter.Entry{ID: namer.StreamID(fmt.Sprint(n)), Caller: "c", Weight: 1, Cost: 1, StartBy: 10}
		v := q.Offer(0, 0, e)
		is.Equal(v.Accepted, n <= 20) // 10 s at 2 engine seconds per second, and the one that starts at 10 s
		is.Equal(v.Outcome == classifier.TargetUnreachable, n > 20)
	}
	distinct := map[time.Duration]bool{}
	for range 50 {
		after := q.RetryAfter(0, 0)
		is.True(after >= 15*time.Second && after <= 90*time.Second) // 60 engine seconds offered take 30 s
		distinct[after/time.Second] = true
	}
	is.True(len(distinct) > 10)
}

// Guards against a caller that fills the queue of a rank and blocks others.
func TestFullQueueMakesRoomForOtherCallers(t *testing.T) {
	is := is.New(t)
	q := newQueue(1000, 1)
	for n := range 64 {
		is.True(q.Offer(0, 0, admitter.Entry{ID: namer.StreamID(fmt.Sprint(n)), Caller: "heavy", Weight: 1, Cost: 1, StartBy: never}).Accepted)
	}
	v := q.Offer(0, 0, admitter.Entry{ID: "more", Caller: "heavy", Weight: 1, Cost: 1, StartBy: never})
	is.Equal(v.Outcome, classifier.RateLimited)
	v = q.Offer(0, 0, admitter.Entry{ID: "light", Caller: "light", Weight: 1, Cost: 1, StartBy: never})
	is.True(v.Accepted)
	is.Equal(v.Evicted.Caller, namer.Caller("heavy"))
}
