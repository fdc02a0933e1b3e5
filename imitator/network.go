package imitator

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrNoResponse is returned for a call over a Network whose request or response is lost.
var ErrNoResponse = errors.New("no response from peer")

// Network simulates the network between daemons for calls within one process. Calls that are lost or
// addressed to an unreachable process block until their context ends, as calls over TCP do in a network
// partition.
type Network struct {
	Delay time.Duration // one-way delay
	Seed  uint64        // seed of message loss

	mu          sync.Mutex // guards the fields below
	random      *rand.Rand
	lossRate    float64
	unreachable map[netip.AddrPort]bool
	partitions  map[netip.AddrPort]int
}

// SetUnreachable makes a process unreachable, as if it had stopped or were paused, or reachable again.
func (n *Network) SetUnreachable(at netip.AddrPort, unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unreachable == nil {
		n.unreachable = map[netip.AddrPort]bool{}
	}
	n.unreachable[at] = unreachable
}

// SetPartition moves processes to a side of a network partition. Processes on different sides can't
// reach each other. Initially all are on side 0.
func (n *Network) SetPartition(side int, processes ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions == nil {
		n.partitions = map[netip.AddrPort]int{}
	}
	for _, at := range processes {
		n.partitions[at] = side
	}
}

// Reachable reports whether two processes can exchange messages.
func (n *Network) Reachable(from, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.unreachable[from] && !n.unreachable[to] && n.partitions[from] == n.partitions[to]
}

func (n *Network) dropMessage() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.random == nil {
		n.random = rand.New(rand.NewPCG(n.Seed, 3))
	}
	return n.random.Float64() < n.lossRate
}

// SetLossRate sets the probability with which each request and each response is lost.
func (n *Network) SetLossRate(probability float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = probability
}

// Call makes a call to another process by running deliver. The response can be lost after deliver has
// taken effect.
func (n *Network) Call(ctx context.Context, from, to netip.AddrPort, deliver func() error) error {
	if !n.transmit(ctx, from, to) {
		return ErrNoResponse
	}
	err := deliver()
	if !n.transmit(ctx, to, from) {
		return ErrNoResponse
	}
	return err
}

// transmit sends a message one way and reports whether it arrived.
func (n *Network) transmit(ctx context.Context, from, to netip.AddrPort) bool {
	if n.dropMessage() || !n.Reachable(from, to) {
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
