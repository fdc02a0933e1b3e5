package imitator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNoAnswer is what a call over a Network fails with.
var ErrNoAnswer = errors.New("peer did not answer")

// Network imitates the network between daemons for calls inside one process. Calls that are lost or
// go to an unreachable process block until their context ends, as calls over TCP do in a partition.
type Network struct {
	Delay time.Duration // one way
	Seed  uint64        // of the choice of lost messages

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	loss   float64
	down   map[netip.AddrPort]bool
	sides  map[netip.AddrPort]int
}

// Down makes a process unreachable, which also describes a paused one, or reachable again.
func (n *Network) Down(at netip.AddrPort, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down == nil {
		n.down = map[netip.AddrPort]bool{}
	}
	n.down[at] = down
}

// Part puts processes on a side; processes on different sides can't reach each other. All start on side 0.
func (n *Network) Part(side int, processes ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sides == nil {
		n.sides = map[netip.AddrPort]int{}
	}
	for _, at := range processes {
		n.sides[at] = side
	}
}

// Reachable reports whether messages pass between two processes.
func (n *Network) Reachable(from, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.down[from] && !n.down[to] && n.sides[from] == n.sides[to]
}

func (n *Network) lost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.random == nil {
		n.random = rand.New(rand.NewPCG(n.Seed, 3))
	}
	return n.random.Float64() < n.loss
}

// Lose sets the probability that a request, and again that an answer, is lost.
func (n *Network) Lose(probability float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = probability
}

// Carry calls deliver at the other process. An answer can be lost after deliver took effect.
func (n *Network) Carry(ctx context.Context, from, to netip.AddrPort, deliver func() error) error {
	if !n.pass(ctx, from, to) {
		return ErrNoAnswer
	}
	err := deliver()
	if !n.pass(ctx, to, from) {
		return ErrNoAnswer
	}
	return err
}

// pass takes a message one way.
func (n *Network) pass(ctx context.Context, from, to netip.AddrPort) bool {
	if n.lost() || !n.Reachable(from, to) {
		<-ctx.Done()
		return false
	}
	timer := time.NewTimer(n.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
