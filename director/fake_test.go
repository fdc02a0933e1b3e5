package director_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"apricotspool/director"
	"apricotspool/fetcher"
	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/storer"
)

// changeTime is how long the fake engine executes a command other than drain and resume.
const changeTime = 2 * time.Second

// engine is a fake model engine that records the commands that take effect and checks the invariants.
type engine struct {
	cluster *cluster
	name    namer.Endpoint
	fencing bool // refuses lower fencing tokens

	mu             sync.Mutex
	state          generator.EngineState
	highestFencing namer.FencingToken // highest token that took effect; survives restarts
	busyUntil      time.Time          // end of the command in progress
	executed       map[string]bool
	hideRunning    bool // State reports no running requests
	unconfirmed    bool // no State call has reported the last command as executed
	effects        []generator.Command
}

func (e *engine) snapshot() generator.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Changing = time.Now().Before(e.busyUntil)
	if !state.Changing {
		e.unconfirmed = false
	}
	if e.fencing {
		state.Fencing = e.highestFencing
	}
	if e.hideRunning {
		state.Running = 0
	}
	return state
}

// receive executes a command at most once and checks the invariants: fencing tokens don't decrease,
// at most one command is unconfirmed, the stored record contains the command, and no command aborts
// running requests.
func (e *engine) receive(c generator.Command, incarnation namer.Incarnation) error {
	var named struct {
		Command generator.Command `json:"command"`
	}
	object, _ := e.cluster.store.Get(context.Background(), "command/"+string(e.name))
	json.Unmarshal(object.Value, &named)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.state.Incarnation != incarnation:
		return generator.ErrUncertain // the connection ended with the engine process
	case e.fencing && c.Fencing < e.highestFencing:
		return generator.ErrFenced
	case e.executed[c.ID]:
		return nil
	case c.Kind == generator.CommandLoad && c.Model == "missing":
		return generator.ErrRejected
	}
	e.cluster.check(c.Fencing >= e.highestFencing, "%s: command %+v after number %d took effect", e.name, c, e.highestFencing)
	e.cluster.check(!e.unconfirmed && !time.Now().Before(e.busyUntil), "%s: command %+v while another is unconfirmed", e.name, c)
	e.cluster.check(named.Command.ID == c.ID, "%s: command %+v, but the record names %+v", e.name, c, named.Command)
	disruptive := c.Kind == generator.CommandRole || c.Kind == generator.CommandUnload || c.Kind == generator.CommandLoad && slices.Contains(e.state.Models, c.Model)
	e.cluster.check(!disruptive || e.state.Running == 0, "%s: command %+v cuts %d requests", e.name, c, e.state.Running)
	e.executed[c.ID], e.unconfirmed, e.highestFencing, e.state.LastCommand = true, true, max(e.highestFencing, c.Fencing), c.ID
	e.effects = append(e.effects, c)
	switch c.Kind {
	case generator.CommandDrain:
		e.state.Draining = true
	case generator.CommandResume:
		e.state.Draining = false
	case generator.CommandRole:
		e.state.Role, e.busyUntil = c.Role, time.Now().Add(changeTime)
	case generator.CommandLoad:
		e.state.Models, e.busyUntil = append(e.state.Models, c.Model), time.Now().Add(changeTime)
	case generator.CommandUnload:
		e.state.Models, e.busyUntil = slices.DeleteFunc(slices.Clone(e.state.Models), func(m namer.Model) bool { return m == c.Model }), time.Now().Add(changeTime)
	}
	return nil
}

// addEndlessRequest adds a running request that never ends.
func (e *engine) addEndlessRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Running++
}

// crash restarts the engine, which loses its models, requests and executed command IDs.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = generator.EngineState{Incarnation: e.state.Incarnation + 1, Role: namer.RoleMixed}
	e.busyUntil, e.unconfirmed, e.executed = time.Time{}, false, map[string]bool{}
}

// offerRequests sends the engine requests until ctx ends. Routers respect a
// changing notice after NoticePropagationDelay.
func (e *engine) offerRequests(ctx context.Context) {
	for ctx.Err() == nil {
		changing, since := e.cluster.noticeState(e.name)
		e.mu.Lock()
		incarnation := e.state.Incarnation
		if !e.state.Draining && !time.Now().Before(e.busyUntil) && (!changing || since < director.NoticePropagationDelay) {
			e.state.Running++
			time.AfterFunc(1700*time.Millisecond, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				if e.state.Incarnation == incarnation {
					e.state.Running--
				}
			})
		}
		e.mu.Unlock()
		time.Sleep(530 * time.Millisecond)
	}
}

// cluster simulates one data centre: a store, engines and processes.
type cluster struct {
	store         *imitator.Store
	engines       []*engine
	beforeStart   func(*process) // modifies a process before it starts, if set
	assumeFencing bool           // the director assumes that all engines check fencing tokens

	mu           sync.Mutex
	violations   []string
	checks       int
	notices      map[namer.Endpoint]notice
	processes    []*process
	networkFault string // current fault of commands to engines
}

func newCluster(fencing ...bool) *cluster {
	w := &cluster{store: &imitator.Store{}, notices: map[namer.Endpoint]notice{}}
	for i, f := range fencing {
		w.engines = append(w.engines, &engine{
			cluster: w, name: namer.Endpoint(fmt.Sprintf("e%d", i)), fencing: f, executed: map[string]bool{},
			state: generator.EngineState{Incarnation: 1, Role: namer.RoleMixed},
		})
	}
	return w
}

func (w *cluster) check(ok bool, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checks++
	if !ok {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// foundViolations returns the violations so far.
func (w *cluster) foundViolations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// notice is the latest changing notice of an endpoint.
type notice struct {
	fencing  namer.FencingToken
	changing bool
	at       time.Time
}

func (w *cluster) SetChanging(e namer.Endpoint, fencing namer.FencingToken, changing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.notices[e]
	if fencing < old.fencing {
		return
	}
	next := notice{fencing, changing, time.Now()}
	if changing && old.changing {
		next.at = old.at // the delay doesn't start again when a successor repeats the notice
	}
	w.notices[e] = next
}

func (w *cluster) noticeState(e namer.Endpoint) (bool, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notices[e].changing, time.Since(w.notices[e].at)
}

func (w *cluster) setNetworkFault(fault string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.networkFault = fault
}

func (w *cluster) endpoints() []director.Endpoint {
	var list []director.Endpoint
	for i, e := range w.engines {
		list = append(list, director.Endpoint{
			Name: e.name, Fencing: e.fencing || w.assumeFencing,
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)),
		})
	}
	return list
}

// process is one daemon with its leaser and director.
type process struct {
	generator.Engine // nil; the director only calls State and Command
	*imitator.Node
	cluster *cluster
	id      namer.Process
	leaser  *leaser.Leaser
	*director.Director
	cancel context.CancelFunc
	// overrideFencing replaces the fencing token of all commands, if not 0, to disable fencing.
	overrideFencing namer.FencingToken
}

// start runs a process on the peer address of slot. It replaces an earlier one in the same slot.
func (w *cluster) start(ctx context.Context, slot int) *process {
	ctx, cancel := context.WithCancel(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	p := &process{
		cluster: w, cancel: cancel, Node: &imitator.Node{Store: w.store},
		id: namer.Process{
			Host: "h", Incarnation: namer.Incarnation(len(w.processes) + 1),
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(slot+1)),
		},
	}
	random := rand.New(rand.NewPCG(uint64(len(w.processes)), 0))
	p.leaser = &leaser.Leaser{
		Store: p.Node, Name: leaser.ForDataCentre("west"), Process: p.id,
		Random: func(below time.Duration) time.Duration { return time.Duration(random.Int64N(int64(below))) },
	}
	p.Director = &director.Director{
		Store: p.Node, Engine: p, Lease: p.leaser, Instances: w, Notifier: w, Process: p.id, DataCentre: "west",
		Budget: &fetcher.Budget{LoadsPerSecond: 1}, Endpoints: w.endpoints, DrainLimit: 30 * time.Second,
	}
	w.processes = append(w.processes, p)
	if w.beforeStart != nil {
		w.beforeStart(p)
	}
	go p.leaser.Run(ctx)
	go p.Director.Run(ctx)
	return p
}

func (p *process) kill() {
	p.Kill()
	p.cancel()
}

func (p *process) authority() (leaser.EndpointAuthority, bool) { return p.leaser.Endpoints("west") }

// Instance returns the newest process at a peer address.
func (w *cluster) Instance(_ context.Context, address netip.AddrPort) (namer.Process, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.processes) - 1; i >= 0; i-- {
		if w.processes[i].id.Address == address {
			return w.processes[i].id, nil
		}
	}
	return namer.Process{}, storer.ErrNotFound
}

// awaitHolder waits up to limit for a process with authority and returns nil if there is none.
func (w *cluster) awaitHolder(limit time.Duration) *process {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range w.processes {
			if _, ok := p.authority(); ok {
				return p
			}
		}
	}
	return nil
}

func (p *process) State(_ context.Context, to generator.Target) (generator.EngineState, error) {
	if !p.Pass("state") {
		return generator.EngineState{}, generator.ErrNotStarted
	}
	return p.cluster.engines[to.Address.Port()].snapshot(), nil
}

// Command delivers a command subject to the current network fault. A command that has left the
// process arrives even if the caller's context has ended.
func (p *process) Command(_ context.Context, to generator.Target, c generator.Command) error {
	e := p.cluster.engines[to.Address.Port()]
	if !p.Pass("send") {
		return generator.ErrNotStarted
	}
	incarnation := e.snapshot().Incarnation
	if p.overrideFencing != 0 {
		c.Fencing = p.overrideFencing
	}
	p.cluster.mu.Lock()
	fault := p.cluster.networkFault
	p.cluster.mu.Unlock()
	switch fault {
	case "lost command":
		return generator.ErrUncertain
	case "lost answer":
		e.receive(c, incarnation)
		return generator.ErrUncertain
	case "late command":
		time.AfterFunc(15*time.Second, func() { e.receive(c, incarnation) })
		return generator.ErrUncertain
	}
	return e.receive(c, incarnation)
}
