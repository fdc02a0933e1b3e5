package assigner_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/assigner"
	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/namer"
)

// engines is a fleet of engines that records the commands.
type engines struct {
	mu       sync.Mutex
	fleet    *fleet
	commands []sentCommand
	paused   map[namer.Endpoint]bool
}

type sentCommand struct {
	assigner.Command
	at time.Time
}

func (e *engines) Engines(context.Context) (map[namer.Service][]assigner.Engine, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[namer.Service][]assigner.Engine{"llm": append([]assigner.Engine(nil), e.fleet.engines...)}, nil
}

func (e *engines) Announce(endpoint namer.Endpoint, _ time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paused[endpoint] = true
}

// Send carries out a command at once.
func (e *engines) Send(_ context.Context, c assigner.Command) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commands = append(e.commands, sentCommand{c, time.Now()})
	for i := range e.fleet.engines {
		if e.fleet.engines[i].Name == c.Endpoint {
			e.fleet.engines[i].Role = c.Role
		}
	}
	return true, nil
}

func (e *engines) sent() []sentCommand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]sentCommand(nil), e.commands...)
}

// Guards against commands of two daemons that mix at an engine: with equal fencing tokens, with falling ones, or
// within the time that separates two holders, when the holder is killed, paused or cut off from the store.
func TestOneDaemonCommands(t *testing.T) {
	const gap = 3 * time.Second
	for name, hinder := range map[string]func(*imitator.Node){
		"killed":  func(n *imitator.Node) { n.Kill() },
		"paused":  func(n *imitator.Node) { n.Pause(40 * time.Second) },
		"cut off": func(n *imitator.Node) { n.SetFailureMode(imitator.Partition, time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Minute)
				}()
				e := &engines{fleet: newFleet(30, 5, 3, 32), paused: map[namer.Endpoint]bool{}}
				store := &imitator.Store{}
				nodes := map[namer.Host]*imitator.Node{}
				for _, host := range []namer.Host{"a", "b", "c"} {
					nodes[host] = &imitator.Node{Store: store}
					lease := &leaser.Leaser{Store: nodes[host], Name: leaser.Roles, Process: namer.Process{
						Host: host, Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1,
					}}
					a := &assigner.Assigner{Host: host, Authority: lease, Fleet: e, Commander: e, HandoverGap: gap}
					go lease.Run(ctx)
					go a.Run(ctx)
				}
				for len(e.sent()) == 0 {
					time.Sleep(100 * time.Millisecond)
				}
				hinder(nodes[e.sent()[0].Holder])
				for i := range 120 { // a load that wants changes all the time
					e.mu.Lock()
					for j := range e.fleet.engines {
						e.fleet.engines[j].Generating = 320 * (i / 30 % 2)
						e.fleet.engines[j].Inflow = 50_000 * float64(1-i/30%2)
					}
					e.mu.Unlock()
					time.Sleep(time.Second)
				}
				sent := e.sent()
				holders := map[namer.Host]bool{}
				for i, c := range sent {
					holders[c.Holder] = true
					is.True(e.paused[c.Endpoint])
					if i == 0 || sent[i-1].Holder == c.Holder {
						continue
					}
					is.True(c.Fencing > sent[i-1].Fencing)
					is.True(c.at.Sub(sent[i-1].at) >= gap)
				}
				is.True(len(holders) >= 2)
			})
		})
	}
}
