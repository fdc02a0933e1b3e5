package gossiper

import (
	"context"
	"time"

	"apricotspool/namer"
)

// Mark tells all daemons that an endpoint is changed by command and gets no new work meanwhile, or
// that the change is over. The process that carries the change out calls it at both ends with the
// fencing number of its lease; a call with a lower number than the last has no effect.
func (g *Gossiper) Mark(endpoint namer.Endpoint, fencing namer.Fencing, changing bool) {
	var fresh []Notice
	g.update(func(now time.Time, t *Table) { fresh = t.Mark(now, endpoint, fencing, changing) })
	g.push(context.Background(), fresh, SpreadAll)
}

// Mark records the begin or end of a planned change and returns the notice to announce. A mark that
// stands already is written again, so that it carries the newer fencing number.
func (t *Table) Mark(now time.Time, endpoint namer.Endpoint, fencing namer.Fencing, changing bool) []Notice {
	t.start(now)
	subject := Subject{Kind: KindEndpoint, Name: string(endpoint), Source: SourceChange}
	stamp := max(uint64(now.UnixMicro()), t.notices[subject].Stamp+1)
	return t.Notify(now, []Notice{{Subject: subject, Stamp: stamp, Leaving: changing, Fencing: fencing}})
}
