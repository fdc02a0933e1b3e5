package placer

import (
	"cmp"
	"math"
	"slices"

	"apricotspool/namer"
)

// decodeHeavy reports whether generating the output is most of the work. Such a request is a long stream,
// whose pauses grow with the prompts that its engine processes meanwhile.
func (q *request) decodeHeavy() bool { return q.MaxTokens > q.PromptTokens }

// streamFillRatio is the fraction of an engine's slots that long streams fill before the next engine is used.
const streamFillRatio = 0.6

// orderDecodeEngines sets the stream order of the decode engines. All daemons put long streams on the first ones,
// so that the others can process prompts without delaying streams.
func (p *pool) orderDecodeEngines() {
	var engines []*endpoint
	for _, e := range p.endpoints {
		e.streamOrder = math.MaxInt / 2
		if e.view.Role != namer.RolePrefill {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b *endpoint) int {
		return cmp.Compare(rendezvous(0, string(a.view.Name)), rendezvous(0, string(b.view.Name)))
	})
	for i, e := range engines {
		e.streamOrder = i
	}
}

// pickBackup returns the engine that receives a copy of a long stream's KV cache: the one with the fewest
// streams, and the first of these in stream order.
func (c *Core) pickBackup(now namer.Seconds, q *request) *endpoint {
	var least lowestScore
	for _, e := range q.pool.endpoints {
		if e.view.Role == namer.RolePrefill || e == q.endpoint || !e.usable(now, true) || q.hasTried(e) ||
			e.view.Build != q.endpoint.view.Build {
			continue
		}
		least.consider(e, namer.Seconds(e.streams(now))+namer.Seconds(e.streamOrder)/namer.Seconds(len(q.pool.endpoints)))
	}
	return least.endpoint
}
