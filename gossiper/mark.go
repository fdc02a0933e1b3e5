package gossiper

import (
	"context"

	"apricotspool/namer"
)

// Mark tells all daemons that an endpoint is changed by command and gets no new work meanwhile, or
// that the change is over. The process that carries the change out calls it at both ends.
func (g *Gossiper) Mark(endpoint namer.Endpoint, changing bool) {
	g.found(context.Background(), Subject{Kind: KindEndpoint, Name: string(endpoint), Source: SourceChange}, changing)
}
