package decider

import (
	"fmt"

	"apricotspool/namer"
)

func (c *Core) Dump(now namer.Seconds) {
	p := c.pools[0]
	fmt.Printf("slack %.2f %.2f window %.2f pending %.2f waiting %d\n", p.slack[0].late, p.slack[1].late, p.windows[0].seconds, p.windows[1].seconds, p.queue.Waiting())
	for _, s := range p.Members() {
		fmt.Println("   ", c.router.Debug(s), fmt.Sprintf("rates pre %.0f tok %.4f limit %.1f", c.router.Rates(s).PrefillRate(c.router.Running(s)), float64(c.router.Rates(s).Token(c.router.Running(s))), c.router.Limit(s)))
	}
}
