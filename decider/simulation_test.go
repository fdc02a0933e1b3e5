package decider_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"apricotspool/decider"
	"apricotspool/namer"
)

// A discrete-event simulation of a small engine fleet: continuous batching with chunked prefill in
// priority order, lagged load reports and several hosts that decide independently.

type job struct {
	request   decider.Request
	core      int
	attempt   namer.Attempt
	priority  int
	arrived   time.Duration
	sent      time.Duration
	prompt    float64 // prompt tokens left to process
	output    int     // tokens to generate
	produced  int
	started   time.Duration
	abandoned bool // cancelled or replaced by a later attempt
}

type engine struct {
	name          namer.Endpoint
	speed         float64
	jobs          []*job
	cache         map[uint64]bool
	stepScheduled bool // the end of a step is scheduled
	crashed       bool
	unresponsive  bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// rankResults holds the results of one rank.
type rankResults struct {
	offered, served, met, refused int
	work                          float64 // engine seconds of served requests
}

type simulation struct {
	now          time.Duration
	start        time.Time
	queue        events
	seq          int
	random       *rand.Rand
	cores        []*decider.Core
	engines      map[namer.Endpoint]*engine
	engineNames  []namer.Endpoint
	jobs         map[namer.StreamID]*job
	ranks        []decider.RankView
	results      map[namer.Rank]*rankResults
	reportLag    time.Duration
	finalActions map[namer.StreamID]int
	retries      int
	sends        int
	// onDispatch replaces the engine's response to a dispatch if it returns true.
	onRefuse   func(decider.Action)
	onDispatch func(a decider.Action) (decider.Event, bool)
}

const (
	stepBudget = 512.0
	stepBase   = 0.008
	stepStream = 0.0002
	stepToken  = 0.00004
)

var testRanks = []decider.RankView{
	{Name: "urgent", FirstToken: 1400 * time.Millisecond, BetweenTokens: 44 * time.Millisecond, Share: 0.7, QueueLimit: 256},
	{Name: "free", FirstToken: 10 * time.Second, BetweenTokens: 200 * time.Millisecond, Share: 0.2, QueueLimit: 256},
}

func newSimulation(seed uint64, hosts, engines int, lag time.Duration) *simulation {
	w := &simulation{
		start: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), engines: map[namer.Endpoint]*engine{},
		jobs: map[namer.StreamID]*job{}, ranks: testRanks, results: map[namer.Rank]*rankResults{}, reportLag: lag, finalActions: map[namer.StreamID]int{},
	}
	for _, r := range w.ranks {
		w.results[r.Name] = &rankResults{}
	}
	for i := range engines {
		name := namer.Endpoint(fmt.Sprintf("engine-%02d", i))
		w.engines[name] = &engine{name: name, speed: 1, cache: map[uint64]bool{}}
		w.engineNames = append(w.engineNames, name)
	}
	for i := range hosts {
		c := &decider.Core{Seed: seed*100 + uint64(i)}
		c.Configure(w.start, w.fleet(hosts))
		w.cores = append(w.cores, c)
	}
	return w
}

func (w *simulation) fleet(hosts int) decider.Fleet {
	f := decider.Fleet{Hosts: hosts, Services: []decider.ServiceView{{Name: "chat", Ranks: w.ranks}}}
	for _, name := range w.engineNames {
		f.Endpoints = append(f.Endpoints, decider.EndpointView{
			Name: name, Service: "chat", Models: []namer.Model{"m"}, Distance: time.Millisecond, Role: namer.RoleMixed,
			Concurrency: 64, PrefillRate: 15_000, DecodeRate: 120,
		})
	}
	return f
}

func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

func (w *simulation) at() time.Time { return w.start.Add(w.now) }

// run processes events until end, with periodic ticks and load reports.
func (w *simulation) run(end time.Duration) {
	for i := range w.cores {
		w.repeat(20*time.Millisecond, func() { w.apply(i, w.cores[i].Tick(w.at())) })
	}
	for _, name := range w.engineNames {
		w.repeat(time.Second, func() { w.report(w.engines[name]) })
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > end {
			return
		}
		w.now = e.at
		e.run()
	}
}

func (w *simulation) repeat(period time.Duration, run func()) {
	w.after(time.Duration(w.random.Int64N(int64(period))), func() {
		run()
		var again func()
		again = func() { run(); w.after(period, again) }
		w.after(period, again)
	})
}

func (w *simulation) report(e *engine) {
	if e.crashed || e.unresponsive {
		return
	}
	load := decider.Load{At: w.at(), Role: namer.RoleMixed}
	for _, j := range e.jobs {
		if j.produced > 0 {
			load.Running++
		} else {
			load.Waiting++
		}
		load.WaitingPrefill += namer.Tokens(j.prompt)
	}
	w.after(w.reportLag, func() {
		for i, c := range w.cores {
			w.apply(i, c.Observe(w.at(), decider.Event{Kind: decider.EventLoad, Endpoint: e.name, Load: load}))
		}
	})
}

func (w *simulation) arrive(after time.Duration, r decider.Request, output int) {
	w.after(after, func() {
		core := w.random.IntN(len(w.cores))
		r.ID = namer.StreamID(fmt.Sprintf("%08d", len(w.jobs)))
		r.Service, r.Model = "chat", "m"
		if r.Deadline.IsZero() {
			r.Deadline = w.at().Add(2 * time.Minute)
		}
		w.jobs[r.ID] = &job{request: r, core: core, arrived: w.now, output: output}
		w.results[r.Rank].offered++
		w.apply(core, w.cores[core].Arrive(w.at(), r))
	})
}

func (w *simulation) apply(core int, actions []decider.Action) {
	for _, a := range slices.Clone(actions) {
		j := w.jobs[a.Request]
		switch a.Kind {
		case decider.ActionRefuse:
			w.finalActions[a.Request]++
			w.results[j.request.Rank].refused++
			if w.onRefuse != nil {
				w.onRefuse(a)
			}
		case decider.ActionCancel:
			j.abandoned = true
			copied := *j
			copied.abandoned = false
			w.jobs[a.Request] = &copied
		case decider.ActionDispatch:
			w.dispatch(core, a, j)
		}
	}
}

func (w *simulation) dispatch(core int, a decider.Action, j *job) {
	w.sends++
	if a.Retry != "" {
		w.retries++
	}
	next := *j
	j = &next
	w.jobs[a.Request] = j
	j.attempt, j.priority, j.sent, j.produced, j.started = a.Attempt, a.Priority, w.now, 0, 0
	if w.onDispatch != nil {
		if answer, failed := w.onDispatch(a); failed {
			w.after(2*time.Millisecond, func() { w.observe(j, answer) })
			return
		}
	}
	e := w.engines[a.Endpoint]
	w.after(time.Millisecond, func() {
		if j.abandoned {
			return
		}
		cached := 0
		for _, hash := range j.request.Prefix {
			if !e.cache[hash] {
				break
			}
			cached++
		}
		j.prompt = max(1, float64(j.request.PromptTokens)-float64(cached*256))
		e.jobs = append(e.jobs, j)
		w.step(e)
	})
}

func (w *simulation) observe(j *job, e decider.Event) {
	if j.abandoned {
		return
	}
	e.Request, e.Attempt = j.request.ID, j.attempt
	w.apply(j.core, w.cores[j.core].Observe(w.at(), e))
}

// step runs one batch of an engine and schedules the next one.
func (w *simulation) step(e *engine) {
	if e.stepScheduled || e.crashed || e.unresponsive {
		return
	}
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.abandoned })
	if len(e.jobs) == 0 {
		return
	}
	slices.SortStableFunc(e.jobs, func(a, b *job) int { return a.priority - b.priority })
	streams, tokens := 0.0, 0.0
	for _, j := range e.jobs {
		if j.prompt == 0 {
			streams++
		}
	}
	var advanced []*job
	for _, j := range e.jobs {
		if j.prompt == 0 {
			advanced = append(advanced, j)
			continue
		}
		if take := min(j.prompt, stepBudget-streams-tokens); take > 0 {
			j.prompt -= take
			tokens += take
			if j.prompt == 0 {
				advanced = append(advanced, j)
			}
		}
	}
	e.stepScheduled = true
	seconds := (stepBase + stepStream*streams + stepToken*tokens) / e.speed
	w.after(time.Duration(seconds*float64(time.Second)), func() { w.stepEnd(e, advanced) })
}

func (w *simulation) stepEnd(e *engine, advanced []*job) {
	e.stepScheduled = false
	if e.crashed {
		return
	}
	for _, j := range advanced {
		if j.abandoned {
			continue
		}
		j.produced++
		if j.produced == 1 {
			j.started = w.now
			for _, hash := range j.request.Prefix {
				e.cache[hash] = true
			}
			w.after(time.Millisecond, func() { w.observe(j, decider.Event{Kind: decider.EventStarted}) })
		}
		if j.produced >= j.output {
			w.finish(e, j)
		}
	}
	w.step(e)
}

func (w *simulation) finish(e *engine, j *job) {
	e.jobs = slices.DeleteFunc(e.jobs, func(other *job) bool { return other == j })
	w.after(time.Millisecond, func() {
		if j.abandoned {
			return
		}
		w.finalActions[j.request.ID]++
		t := w.results[j.request.Rank]
		i := slices.IndexFunc(w.ranks, func(r decider.RankView) bool { return r.Name == j.request.Rank })
		first := j.started + time.Millisecond - j.arrived
		between := (w.now - j.started) / time.Duration(max(1, j.output-1))
		t.served++
		t.work += stepToken*float64(j.request.PromptTokens) + (stepBase/32+stepStream)*float64(j.output)
		tokenIntervalMet := between <= w.ranks[i].BetweenTokens
		if tokenIntervalMet && first <= w.ranks[i].FirstToken {
			t.met++
		}
		w.observe(j, decider.Event{Kind: decider.EventFinished, OutputTokens: namer.Tokens(j.output)})
	})
}

// cancelLater cancels a request within the next 10 s.
func (w *simulation) cancelLater(number int) {
	after := time.Duration(w.random.Int64N(int64(10 * time.Second)))
	w.after(after, func() {
		id := namer.StreamID(fmt.Sprintf("%08d", number))
		j, known := w.jobs[id]
		if !known || w.finalActions[id] > 0 {
			return
		}
		w.finalActions[id]++
		w.apply(j.core, w.cores[j.core].Observe(w.at(), decider.Event{Kind: decider.EventCancelled, Request: id}))
		j.abandoned = true
	})
}

// kill stops an engine and breaks the streams of its attempts.
func (w *simulation) kill(e *engine) {
	e.crashed = true
	for _, j := range e.jobs {
		w.after(time.Millisecond, func() {
			w.observe(j, decider.Event{Kind: decider.EventFailed, Reason: "stream-broken"})
		})
	}
	e.jobs = nil
	w.onDispatch = func(a decider.Action) (decider.Event, bool) {
		if w.engines[a.Endpoint].crashed {
			return decider.Event{Kind: decider.EventFailed, Reason: "connect-failed", NotRun: true}, true
		}
		return decider.Event{}, false
	}
}
