package gossiper

// Mechanisms that tests turn off to show what they do.

func (g *Gossiper) WithoutPush()     { g.withoutPush = true }
func (g *Gossiper) WithoutExchange() { g.withoutExchange = true }
