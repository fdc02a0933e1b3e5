package meterer_test

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/meterer"
	"apricotspool/namer"
	"apricotspool/timekeeper"
)

const length = 5 * time.Second

// report is one call that reached the platform.
type report struct {
	at     time.Time
	holder namer.Host
	token  namer.FencingToken
	window meterer.Window
	counts meterer.Counts
}

// platform is a stand-in of the platform's interface.
type platform struct {
	t       *testing.T
	mu      sync.Mutex // guards the fields below
	reports []report
	// unreachable daemons get no response, deaf ones get none to reports that were accepted.
	unreachable, deaf map[namer.Host]bool
	onReport          func(holder namer.Host) // may be nil
}

func newPlatform(t *testing.T) *platform {
	return &platform{t: t, unreachable: map[namer.Host]bool{}, deaf: map[namer.Host]bool{}}
}

func (p *platform) Report(_ context.Context, holder namer.Host, token namer.FencingToken, w meterer.Window, counts meterer.Counts) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unreachable[holder] {
		return errors.New("no response")
	}
	p.reports = append(p.reports, report{time.Now(), holder, token, w, maps.Clone(counts)})
	if p.onReport != nil {
		p.onReport(holder)
	}
	if p.deaf[holder] {
		return errors.New("response lost")
	}
	return nil
}

// set changes how the platform fails.
func (p *platform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// check fails the test if the calls violate a rule of the platform's interface.
func (p *platform) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	is := is.New(p.t)
	first, holders, lastOf := map[meterer.Window]meterer.Counts{}, map[namer.FencingToken]namer.Host{}, map[namer.Host]report{}
	for i, r := range p.reports {
		if i > 0 {
			is.True(p.reports[i-1].token <= r.token) // tokens never fall
			if last, acted := lastOf[r.holder]; acted && p.reports[i-1].holder != r.holder {
				is.True(r.at.Sub(last.at) > 3*time.Second) // no A, B, A within the gap
			}
		}
		if holder, known := holders[r.token]; known {
			is.Equal(holder, r.holder) // a token belongs to one holder
		}
		holders[r.token], lastOf[r.holder] = r.holder, r
		if counts, known := first[r.window]; known {
			is.Equal(counts, r.counts) // a window is reported with the same counts
		}
		first[r.window] = r.counts
	}
}

// counts returns the counts of all reported windows together, each window once.
func (p *platform) counts() meterer.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum, seen := meterer.Counts{}, map[meterer.Window]bool{}
	for _, r := range p.reports {
		if !seen[r.window] {
			for workspace, n := range r.counts {
				sum[workspace] += n
			}
		}
		seen[r.window] = true
	}
	return sum
}

// windows returns the number of different windows that were reported, and how many between the first and the last weren't.
func (p *platform) windows() (reported, missing int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[meterer.Window]bool{}
	low, high := meterer.Window(1<<62), meterer.Window(0)
	for _, r := range p.reports {
		seen[r.window] = true
		low, high = min(low, r.window), max(high, r.window)
	}
	return len(seen), int(high-low) + 1 - len(seen)
}

// daemon is one process with its lease and meterer.
type daemon struct {
	*meterer.Meterer
	lease  *leaser.Leaser
	node   *imitator.Node
	cancel context.CancelFunc
	step   atomic.Int64 // of the time of day
	// countsOnly says that the daemon only counts and doesn't compete for the lease.
	countsOnly atomic.Bool
}

func (d *daemon) kill() {
	d.node.Kill()
	d.cancel()
}

func (d *daemon) holds() bool {
	_, ok := d.lease.Duties()
	return ok
}

// reporter is the path of a process that can be paused and killed to the platform.
type reporter struct {
	*platform
	node *imitator.Node
}

func (r reporter) Report(ctx context.Context, holder namer.Host, token namer.FencingToken, w meterer.Window, counts meterer.Counts) error {
	if !r.node.Pass("report") {
		return errors.New("killed")
	}
	if ctx.Err() != nil {
		return ctx.Err() // the connection was reset meanwhile
	}
	err := r.platform.Report(ctx, holder, token, w, counts)
	if !r.node.Pass("report-answer") {
		return errors.New("killed")
	}
	return err
}

// fleet holds daemons that are all candidates.
type fleet struct {
	t        *testing.T
	store    *imitator.Store
	platform *platform
	daemons  []*daemon
	mu       sync.Mutex // guards the fields below
	// deliver passes a message on; nil delivers it at once.
	deliver func(from, to *daemon, pass func())
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, store: &imitator.Store{}, platform: newPlatform(t)}
	for range n {
		f.start()
		time.Sleep(270 * time.Millisecond) // daemons send at different times
	}
	return f
}

func (f *fleet) start() *daemon {
	n := len(f.daemons)
	host := namer.Host(fmt.Sprintf("h%d", n))
	ctx, cancel := context.WithCancel(f.t.Context())
	d := &daemon{node: &imitator.Node{Store: f.store}, cancel: cancel}
	d.lease = &leaser.Leaser{
		Store: d.node, Name: leaser.Duties,
		Process: namer.Process{Host: host, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", n+1)), Incarnation: namer.Incarnation(n + 1)},
	}
	d.lease.SetDutyTimes(3 * time.Second)
	d.lease.Eligible = func() bool { return !d.countsOnly.Load() }
	start := time.Now()
	d.Meterer = &meterer.Meterer{
		Host: host, Incarnation: namer.Incarnation(n + 1), Length: length, Due: 10 * time.Second, Lease: d.lease, Store: d.node,
		Reporter: reporter{f.platform, d.node}, Log: zerolog.Nop(),
		Steady:    func() timekeeper.Instant { return timekeeper.Instant(time.Since(start)) },
		TimeOfDay: func() time.Time { return time.Now().Add(time.Duration(d.step.Load())) },
		Send:      func(m meterer.Message) { f.send(d, m) },
	}
	go d.lease.Run(ctx)
	go d.Meterer.Run(ctx)
	f.t.Cleanup(func() { cancel(); <-d.lease.Done(); <-d.Meterer.Done() })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, d)
	return d
}

func (f *fleet) send(from *daemon, m meterer.Message) {
	if from.node.Killed() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, to := range f.daemons {
		pass := func() { to.Receive(from.Host, m) }
		switch {
		case to == from:
		case f.deliver != nil:
			f.deliver(from, to, pass)
		default:
			pass()
		}
	}
}

// holders returns the hosts that have reported, in order of their first report.
func (p *platform) holders() (hosts []namer.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reports {
		if !slices.Contains(hosts, r.holder) {
			hosts = append(hosts, r.holder)
		}
	}
	return hosts
}

// setDelivery changes how messages are delivered.
func (f *fleet) setDelivery(deliver func(from, to *daemon, pass func())) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deliver = deliver
}

// load counts a request of workspace w at every living daemon, ten times a second for d.
func (f *fleet) load(d time.Duration) (counted uint64) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, d := range f.daemons {
			if !d.node.Killed() {
				d.Began("w", time.Now())
				counted++
			}
		}
	}
	return counted
}

func (f *fleet) holder() *daemon {
	for range 200 {
		for _, d := range f.daemons {
			if d.holds() && !d.node.Killed() {
				return d
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("no daemon holds the lease")
	return nil
}

// settle waits until everything counted has been reported.
func (f *fleet) settle() { time.Sleep(20 * time.Second) }
