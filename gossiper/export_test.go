package gossiper

// Switches to disable one dissemination mechanism in tests.

func (g *Gossiper) DisablePush()     { g.pushDisabled = true }
func (g *Gossiper) DisableExchange() { g.exchangeDisabled = true }
