package decider

import (
	"math"
	"slices"

	"apricotspool/admitter"
	"apricotspool/namer"
	"apricotspool/retrier"
	"apricotspool/router"
)

// poolKey selects the endpoints that can serve a request. Requests of different models wait in
// different queues, so that a busy model doesn't hold up another one.
type poolKey struct {
	service namer.Service
	model   namer.Model
}

// pool is a set of endpoints with the queue, budgets and demand of the requests they serve.
type pool struct {
	router.Pool
	key     poolKey
	service ServiceView
	queue   *admitter.Queue
	budgets []retrier.Budget
	running []int           // attempts in flight by rank
	seen    []namer.Seconds // last arrival by rank
	demand  demand
	misses  misses
	slack   []slack  // by rank
	windows []window // by rank
}

// demand is the offered work, refused requests included, as decayed sums.
type demand struct {
	prompt, output, requests float64
	at                       namer.Seconds
}

// demandTime smooths the demand over the noise of single long prompts.
const demandTime = 10.0

func (d *demand) add(now namer.Seconds, prompt, output, requests float64) {
	keep := math.Exp(-float64(now-d.at) / demandTime)
	d.at = now
	d.prompt = d.prompt*keep + prompt
	d.output = d.output*keep + output
	d.requests = d.requests*keep + requests
}

// misses counts the requests that ended their wait, and those that were refused or started after
// their first-token target, as decayed sums.
type misses struct {
	missed, total float64
	at            namer.Seconds
}

// missTime smooths the count over some dozens of requests of one host, which sees a part of the traffic.
const missTime = 30.0

func (m *misses) add(now namer.Seconds, missed bool) {
	keep := math.Exp(-float64(now-m.at) / missTime)
	m.at = now
	m.missed *= keep
	m.total = m.total*keep + 1
	if missed {
		m.missed++
	}
}

// part returns the missed part, 0 while there are no requests.
func (m *misses) part() float64 { return m.missed / max(1, m.total) }

// arrangePools builds the pools of the fleet and keeps those that exist.
func (c *Core) arrangePools() {
	members := map[poolKey][]router.Slot{}
	var keys []poolKey
	for i := range c.fleet.Endpoints {
		view := &c.fleet.Endpoints[i]
		s, _ := c.router.Slot(view.Name)
		models := view.Models
		if len(models) == 0 {
			models = []namer.Model{""}
		}
		for _, m := range models {
			key := poolKey{view.Service, m}
			if !slices.Contains(members[key], s) {
				members[key] = append(members[key], s)
			}
			if !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	for _, p := range c.pools {
		if _, present := members[p.key]; !present {
			c.router.SetMembers(&p.Pool, nil)
		}
	}
	for _, key := range keys {
		i := slices.IndexFunc(c.fleet.Services, func(s ServiceView) bool { return s.Name == key.service })
		if i < 0 || len(c.fleet.Services[i].Ranks) == 0 {
			continue
		}
		c.arrangePool(key, c.fleet.Services[i], members[key])
	}
}

func (c *Core) arrangePool(key poolKey, service ServiceView, members []router.Slot) {
	rules := make([]admitter.Rules, len(service.Ranks))
	for i, r := range service.Ranks {
		rules[i] = admitter.Rules{Name: r.Name, Share: r.Share, Limit: r.QueueLimit}
	}
	capacity := float64(len(members)) / float64(c.router.Hosts)
	p, known := c.byKey[key]
	if !known {
		p = &pool{key: key, queue: admitter.NewQueue(c.random, rules, capacity)}
		c.pools = append(c.pools, p)
		c.byKey[key] = p
	} else {
		c.requeue(p, p.queue.Configure(rules, capacity), len(rules)-1)
	}
	p.reshape(service)
	p.Plain = service.Plain
	p.TransferTime = namer.Seconds(c.kvBytes(key.model) / c.transferRate())
	c.router.SetMembers(&p.Pool, members)
}

// requeue moves the waiting requests of removed ranks to the least urgent rank.
func (c *Core) requeue(p *pool, orphans []admitter.Entry, rank int) {
	for _, e := range orphans {
		e.Forced = true
		p.queue.Offer(e.StartBy, rank, e)
	}
}

// reshape carries counts and budgets over to a changed list of ranks.
func (p *pool) reshape(service ServiceView) {
	n := len(service.Ranks)
	budgets, running, seen, late := make([]retrier.Budget, n), make([]int, n), make([]namer.Seconds, n), make([]slack, n)
	windows := make([]window, n)
	for i := range seen {
		seen[i] = -activeFor
		windows[i].seconds = namer.SecondsOf(service.Ranks[i].FirstToken) * windowStart
	}
	for i, old := range p.service.Ranks {
		j := slices.IndexFunc(service.Ranks, func(r RankView) bool { return r.Name == old.Name })
		if j < 0 {
			running[n-1] += p.running[i]
			windows[n-1].pending += p.windows[i].pending
			continue
		}
		budgets[j], seen[j], late[j] = p.budgets[i], p.seen[i], p.slack[i]
		running[j] += p.running[i]
		windows[j].seconds = p.windows[i].seconds
		windows[j].pending += p.windows[i].pending
	}
	p.windows = windows
	p.service, p.budgets, p.running, p.seen, p.slack = service, budgets, running, seen, late
}

// rank returns the index of a rank; an unknown rank gets the least urgent one.
func (p *pool) rank(name namer.Rank) int {
	for i := range p.service.Ranks {
		if p.service.Ranks[i].Name == name {
			return i
		}
	}
	return len(p.service.Ranks) - 1
}

// activeFor is how long after its last arrival a rank counts as in use.
const activeFor namer.Seconds = 10

// pace returns the strictest target between tokens of the ranks in use.
func (p *pool) pace(now namer.Seconds) namer.Seconds {
	least := namer.Seconds(0)
	for i, r := range p.service.Ranks {
		target := namer.SecondsOf(r.BetweenTokens)
		if target > 0 && now-p.seen[i] < activeFor && (least == 0 || target < least) {
			least = target
		}
	}
	return least
}

// reserve returns the slots of each endpoint to keep free for more urgent ranks: the spread of
// their number, since their present number is counted as running.
func (p *pool) reserve(now namer.Seconds, rank, hosts int) float64 {
	busy, active := 0, false
	for i := range rank {
		busy += p.running[i]
		active = active || now-p.seen[i] < activeFor
	}
	if !active {
		return 0
	}
	return 1 + math.Sqrt(float64(busy*hosts)/float64(max(1, len(p.Members()))))
}

func (c *Core) poolsOf(name namer.Endpoint) []*pool {
	s, known := c.router.Slot(name)
	if !known {
		return nil
	}
	return c.poolsOfSlot(s)
}

func (c *Core) poolsOfSlot(s router.Slot) []*pool {
	var found []*pool
	for _, p := range c.pools {
		if slices.Contains(p.Members(), s) {
			found = append(found, p)
		}
	}
	return found
}

func (c *Core) kvBytes(model namer.Model) float64 {
	for _, m := range c.fleet.Models {
		if m.Name == model && m.KVBytes > 0 {
			return float64(m.KVBytes)
		}
	}
	return DefaultKVBytes
}

func (c *Core) transferRate() float64 {
	if c.fleet.TransferRate > 0 {
		return c.fleet.TransferRate
	}
	return DefaultTransferRate
}
