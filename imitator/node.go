package imitator

import (
	"context"
	"sync"
	"time"

	"apricotspool/storer"
)

// FailureMode is the failure mode of a node's calls to the store.
type FailureMode string

// The failure modes.
const (
	Healthy           FailureMode = ""
	Outage            FailureMode = "outage"    // calls fail immediately without effect
	Partition         FailureMode = "partition" // calls fail after the delay without a response and without effect
	Slow              FailureMode = "slow"      // calls are delayed
	WriteResponseLost FailureMode = "lost"      // writes take effect, but their responses are lost
	DelayedWrite      FailureMode = "late"      // writes fail without a response and take effect after the delay
	ResponsesLost     FailureMode = "deaf"      // writes take effect, but all responses are lost
)

// Node represents one process in failure tests. It implements storer.Store. Its calls to the store, and
// all other calls that check Pass, can be paused or killed together.
type Node struct {
	Store storer.Store

	mu            sync.Mutex // guards the fields below
	mode          FailureMode
	delay         time.Duration
	paused        chan struct{} // closed when the pause ends; nil while running
	pausePoint    string
	pauseDuration time.Duration
	killed        bool
}

var (
	_ storer.Store     = (*Node)(nil)
	_ storer.EraSource = (*Node)(nil)
)

// Era returns the era of the store; 0 if it has none.
func (n *Node) Era() storer.Era {
	if source, ok := n.Store.(storer.EraSource); ok {
		return source.Era()
	}
	return 0
}

// SetFailureMode sets the failure mode of calls to the store. The delay is used by Partition, Slow and DelayedWrite.
func (n *Node) SetFailureMode(mode FailureMode, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mode, n.delay = mode, delay
}

// Pause pauses the node for d, starting immediately.
func (n *Node) Pause(d time.Duration) { n.PauseAt("", d) }

// PauseAt pauses the node for d when it next passes a point, or immediately if the point is empty.
func (n *Node) PauseAt(point string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if point != "" {
		n.pausePoint, n.pauseDuration = point, d
		return
	}
	n.pauseFor(d)
}

func (n *Node) pauseFor(d time.Duration) {
	if n.paused != nil {
		return
	}
	resumed := make(chan struct{})
	n.paused = resumed
	time.AfterFunc(d, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.paused = nil
		close(resumed)
	})
}

// Kill stops the node permanently: none of its later calls has an effect.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed = true
}

// Killed reports whether Kill was called.
func (n *Node) Killed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// Pass marks a pause point. It blocks while the node is paused and reports whether the node is alive.
// The points of the store are "get", "put", "delete", "list" and "watch" before a call and the same with
// the suffix "-answer" after it; callers define further ones.
func (n *Node) Pass(point string) bool {
	n.mu.Lock()
	if n.pausePoint == point && n.pauseDuration > 0 {
		n.pauseFor(n.pauseDuration)
		n.pauseDuration = 0
	}
	for n.paused != nil {
		resumed := n.paused
		n.mu.Unlock()
		<-resumed
		n.mu.Lock()
	}
	defer n.mu.Unlock()
	return !n.killed
}

// callStore makes one call to the store under the node's failure mode. write is set if a lost response
// leaves it uncertain whether the call took effect.
func (n *Node) callStore(ctx context.Context, point string, write bool, call func(ctx context.Context) error) error {
	if !n.Pass(point) {
		return storer.ErrUnavailable
	}
	n.mu.Lock()
	mode, delay := n.mode, n.delay
	n.mu.Unlock()
	lost := storer.ErrUnavailable
	if write {
		lost = storer.ErrUncertain
	}
	switch {
	case mode == Outage:
		return storer.ErrUnavailable
	case mode == Partition:
		sleep(ctx, delay)
		return lost
	case mode == Slow:
		if !sleep(ctx, delay) {
			return storer.ErrUnavailable
		}
	case mode == DelayedWrite && write:
		time.AfterFunc(delay, func() { call(context.WithoutCancel(ctx)) })
		return lost
	}
	err := call(ctx)
	if mode == ResponsesLost || (mode == WriteResponseLost && write) {
		err = lost
	}
	if !n.Pass(point + "-answer") {
		return lost
	}
	return err
}

// sleep waits for d and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Get forwards the call to Store under the failure mode.
func (n *Node) Get(ctx context.Context, key string) (object storer.Object, err error) {
	err = n.callStore(ctx, "get", false, func(ctx context.Context) (err error) {
		object, err = n.Store.Get(ctx, key)
		return err
	})
	return object, err
}

// Put forwards the call to Store under the failure mode.
func (n *Node) Put(ctx context.Context, key string, value []byte, expect storer.Version) (storer.Object, error) {
	written := make(chan storer.Object, 1)
	err := n.callStore(ctx, "put", true, func(ctx context.Context) error {
		object, err := n.Store.Put(ctx, key, value, expect)
		written <- object
		return err
	})
	if err != nil {
		return storer.Object{}, err
	}
	return <-written, nil
}

// Delete forwards the call to Store under the failure mode.
func (n *Node) Delete(ctx context.Context, key string, expect storer.Version) error {
	return n.callStore(ctx, "delete", true, func(ctx context.Context) error { return n.Store.Delete(ctx, key, expect) })
}

// List forwards the call to Store under the failure mode.
func (n *Node) List(ctx context.Context, prefix, after string, limit int) (page storer.Page, err error) {
	err = n.callStore(ctx, "list", false, func(ctx context.Context) (err error) {
		page, err = n.Store.List(ctx, prefix, after, limit)
		return err
	})
	return page, err
}

// Watch forwards the call to Store under the failure mode.
func (n *Node) Watch(ctx context.Context, prefix string, since storer.Version) (changes storer.Changes, err error) {
	err = n.callStore(ctx, "watch", false, func(ctx context.Context) (err error) {
		changes, err = n.Store.Watch(ctx, prefix, since)
		return err
	})
	return changes, err
}
