package placer

import (
	"time"

	"apricotspool/namer"
)

// Retries limits retries: within any Window, the daemons together retry at most Ratio times the requests
// of a service, plus Slack.
type Retries struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// budgetBuckets is the number of buckets in the sliding window.
const budgetBuckets = 16

// retryBudget counts the requests and retries of a service at this daemon over a sliding window.
type retryBudget struct {
	requests, retries [budgetBuckets]int
	slot              int64
}

// budgetMargin is the fraction of the budget that is used, because the windows of the daemons are not aligned.
const budgetMargin = 0.8

func (b *retryBudget) advance(now namer.Seconds, window time.Duration) int64 {
	slot := int64(now / (namer.SecondsOf(window) / budgetBuckets))
	for at := max(b.slot+1, slot-budgetBuckets+1); at <= slot; at++ {
		b.requests[at%budgetBuckets], b.retries[at%budgetBuckets] = 0, 0
	}
	b.slot = max(b.slot, slot)
	return b.slot % budgetBuckets
}

func (b *retryBudget) recordRequest(now namer.Seconds, r Retries) {
	b.requests[b.advance(now, r.Window)]++
}

func (b *retryBudget) recordRetry(now namer.Seconds, r Retries) {
	b.retries[b.advance(now, r.Window)]++
}

// allows reports whether this daemon's share of the budget permits another retry.
func (b *retryBudget) allows(now namer.Seconds, r Retries, hosts int) bool {
	b.advance(now, r.Window)
	requests, retries := 0, 0
	for i := range budgetBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	limit := budgetMargin * (r.Ratio*float64(requests) + r.Slack/float64(max(1, hosts)))
	return float64(retries+1) <= limit
}
