package gossiper

import (
	"context"
	"time"

	"apricotspool/namer"
)

// SetChanging announces that a planned change of an endpoint is in progress, during which the endpoint gets
// no new work, or that it has ended. The process that performs the change calls it before and after
// with the fencing token of its lease; a call with a lower token than the previous one has no effect.
func (g *Gossiper) SetChanging(endpoint namer.Endpoint, fencing namer.FencingToken, changing bool) {
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.SetChanging(now, endpoint, fencing, changing) })
	g.push(context.Background(), fresh, PushFanoutAll)
}

// SetChanging records the start or end of a planned change and returns the notice to announce. An
// existing notice is replaced, so that it carries the newer fencing token.
func (t *Table) SetChanging(now time.Time, endpoint namer.Endpoint, fencing namer.FencingToken, changing bool) []Notice {
	t.ensureInit(now)
	subject := Subject{Kind: KindEndpoint, Name: string(endpoint), Source: SourceChange}
	stamp := max(uint64(now.UnixMicro()), t.notices[subject].Stamp+1)
	return t.MergeNotices(now, []Notice{{Subject: subject, Stamp: stamp, Leaving: changing, Fencing: fencing}})
}
