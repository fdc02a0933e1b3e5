package decider

import (
	"math"
	"slices"

	"apricotspool/admitter"
	"apricotspool/namer"
	"apricotspool/retrier"
	"apricotspool/router"
)

// poolKey identifies the pool that serves a request. Each model has its own queue, so that a busy
// model doesn't block another one.
type poolKey struct {
	service namer.Service
	model   namer.Model
}

// pool is a set of endpoints with the queue, retry budgets and demand of the requests they serve.
type pool struct {
	router.Pool
	key         poolKey
	service     ServiceView
	queue       *admitter.Queue
	budgets     []retrier.Budget
	inFlight    []int           // attempts in flight by rank
	lastArrival []namer.Seconds // last arrival by rank
	demand      demand
	missRate    missRate
	lateness    []lateness      // by rank
	windows     []prefillWindow // by rank
}

// demand is the offered load, including refused requests, as exponentially decaying sums.
type demand struct {
	prompt, output, requests float64
	at                       namer.Seconds
}

// demandTimeConstant, in seconds, smooths out single long prompts.
const demandTimeConstant = 10.0

func (d *demand) add(now namer.Seconds, prompt, output, requests float64) {
	decay := math.Exp(-float64(now-d.at) / demandTimeConstant)
	d.at = now
	d.prompt = d.prompt*decay + prompt
	d.output = d.output*decay + output
	d.requests = d.requests*decay + requests
}

// missRate counts the requests that were started or refused, and among them those refused or started
// after their first-token target, as exponentially decaying sums.
type missRate struct {
	missed, total float64
	at            namer.Seconds
}

// missTimeConstant, in seconds, covers some dozens of requests at one host, which sees only part of
// the traffic.
const missTimeConstant = 30.0

func (m *missRate) add(now namer.Seconds, missed bool) {
	decay := math.Exp(-float64(now-m.at) / missTimeConstant)
	m.at = now
	m.missed *= decay
	m.total = m.total*decay + 1
	if missed {
		m.missed++
	}
}

// fraction returns the missed fraction; 0 without requests.
func (m *missRate) fraction() float64 { return m.missed / max(1, m.total) }

// configurePools creates or updates the pools of the fleet.
func (c *Core) configurePools() {
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
		c.configurePool(key, c.fleet.Services[i], members[key])
	}
}

func (c *Core) configurePool(key poolKey, service ServiceView, members []router.Slot) {
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
	p.setRanks(service)
	p.Plain = service.Plain
	p.TransferTime = namer.Seconds(c.kvBytes(key.model) / c.transferRate())
	c.router.SetMembers(&p.Pool, members)
}

// requeue moves the waiting requests of removed ranks to the given rank, the least urgent one.
func (c *Core) requeue(p *pool, orphans []admitter.Entry, rank int) {
	for _, e := range orphans {
		e.Forced = true
		p.queue.Offer(e.StartBy, rank, e)
	}
}

// setRanks replaces the ranks and carries over the counts, budgets and estimates by rank name.
func (p *pool) setRanks(service ServiceView) {
	n := len(service.Ranks)
	budgets, inFlight, lastArrival, late := make([]retrier.Budget, n), make([]int, n), make([]namer.Seconds, n), make([]lateness, n)
	windows := make([]prefillWindow, n)
	for i := range lastArrival {
		lastArrival[i] = -rankActiveTimeout
		windows[i].limit = namer.SecondsOf(service.Ranks[i].FirstToken) * windowStart
	}
	for i, old := range p.service.Ranks {
		j := slices.IndexFunc(service.Ranks, func(r RankView) bool { return r.Name == old.Name })
		if j < 0 {
			inFlight[n-1] += p.inFlight[i]
			windows[n-1].inFlight += p.windows[i].inFlight
			continue
		}
		budgets[j], lastArrival[j], late[j] = p.budgets[i], p.lastArrival[i], p.lateness[i]
		inFlight[j] += p.inFlight[i]
		windows[j].limit = p.windows[i].limit
		windows[j].inFlight += p.windows[i].inFlight
	}
	p.windows = windows
	p.service, p.budgets, p.inFlight, p.lastArrival, p.lateness = service, budgets, inFlight, lastArrival, late
}

// rank returns the index of a rank; unknown ranks map to the least urgent one.
func (p *pool) rank(name namer.Rank) int {
	for i := range p.service.Ranks {
		if p.service.Ranks[i].Name == name {
			return i
		}
	}
	return len(p.service.Ranks) - 1
}

// rankActiveTimeout is how long a rank counts as active after its last arrival.
const rankActiveTimeout namer.Seconds = 10

// activeTokenInterval returns the smallest between-tokens target of the active ranks; 0 when none is
// set.
func (p *pool) activeTokenInterval(now namer.Seconds) namer.Seconds {
	least := namer.Seconds(0)
	for i, r := range p.service.Ranks {
		target := namer.SecondsOf(r.BetweenTokens)
		if target > 0 && now-p.lastArrival[i] < rankActiveTimeout && (least == 0 || target < least) {
			least = target
		}
	}
	return least
}

// reservedSlots returns the number of slots per endpoint to keep free for more urgent ranks: one plus
// the standard deviation of their number, since those in flight are already counted as running.
func (p *pool) reservedSlots(now namer.Seconds, rank, hosts int) float64 {
	busy, active := 0, false
	for i := range rank {
		busy += p.inFlight[i]
		active = active || now-p.lastArrival[i] < rankActiveTimeout
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
