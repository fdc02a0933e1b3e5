package meterer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

const (
	// sendInterval is the time between two sendings of the counts.
	sendInterval = time.Second
	// retention is how long counts and settled windows are kept that the store or the platform don't take.
	retention = 10 * time.Minute
	// countGrace after the end of a window, no more requests are counted in it: a later count might arrive after the holder
	// has settled the window. Half a second is left for the network and for differences between clocks.
	countGrace = settleDelay - sendInterval - 500*time.Millisecond
	// maxAhead is how far ahead of this daemon's time the windows of others may be.
	maxAhead = 30 * time.Second
)

// Lease gives the authority for calls to the platform.
type Lease interface {
	Duties() (leaser.DutyAuthority, bool)
}

// Store is the part of the object API that a Meterer uses.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Put(ctx context.Context, key string, value []byte, expect storer.Version) (storer.Object, error)
}

// Reporter sends reports to the platform.
type Reporter interface {
	// Report sends the counts of a window once. An error that wraps ErrRefused means that the platform responded.
	Report(ctx context.Context, holder namer.Host, token namer.FencingToken, w Window, counts Counts) error
}

// Meterer counts the requests of this daemon and, while it holds the lease, settles and reports the windows of all daemons.
// Set the exported fields before Run.
type Meterer struct {
	Host        namer.Host
	Incarnation namer.Incarnation
	// Length is the length of a window, Due the time after its end at which its report is due.
	Length, Due time.Duration
	Lease       Lease
	Store       Store
	Reporter    Reporter
	// Send sends a message to the other candidates for the lease.
	Send func(Message)
	// Steady includes the time in which the host was suspended; TimeOfDay may step.
	Steady    timekeeper.Clock
	TimeOfDay func() time.Time
	// OnSettled is called for each settled window with the number of daemons that contributed, OnReported for each that the
	// platform has accepted. Both may be nil.
	OnSettled  func(sources int)
	OnReported func(late bool)
	Log        zerolog.Logger

	once sync.Once
	done chan struct{}

	mu       sync.Mutex // guards the fields below; never held during I/O
	timeline timeline
	began    time.Time
	own      map[Window]Counts
	tally    *tally

	settler // used only by the goroutine that settles
}

func (m *Meterer) init() {
	m.once.Do(func() {
		m.done = make(chan struct{})
		m.own, m.tally = map[Window]Counts{}, newTally()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.began = m.now()
	})
}

// Done returns a channel that is closed when Run has returned.
func (m *Meterer) Done() <-chan struct{} {
	m.init()
	return m.done
}

// now returns the time of day. The caller holds mu.
func (m *Meterer) now() time.Time {
	now, stepped := m.timeline.observe(m.Steady(), m.TimeOfDay())
	if stepped {
		m.Log.Warn().Time("now", now).Msg("time-of-day-stepped")
	}
	return now
}

// Began counts a request of a workspace that began to run at an instant of the process's clock.
func (m *Meterer) Began(workspace namer.Caller, at time.Time) {
	m.init()
	ago := max(0, time.Since(at))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	w := max(windowAt(now.Add(-ago), m.Length), windowAt(now.Add(-countGrace), m.Length))
	if m.own[w] == nil {
		m.own[w] = Counts{}
	}
	m.own[w][workspace]++
}

// Receive takes a message of another daemon.
func (m *Meterer) Receive(from namer.Host, message Message) {
	m.init()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receive(from, message)
}

func (m *Meterer) receive(from namer.Host, message Message) {
	now := m.now()
	first, last := m.oldest(now), windowAt(now.Add(maxAhead), m.Length)
	source := Source{Host: from, Incarnation: message.Incarnation}
	for _, w := range message.Windows {
		if h, known := m.tally.heard[source]; !known || w.Window >= h.window || h.window-w.Window > sentWindows {
			m.tally.hear(source, w.Window, m.Steady())
		}
		if w.Window >= first && w.Window <= last {
			m.tally.receive(source, w.Window, w.Counts)
		}
	}
}

// oldest returns the oldest window that is kept.
func (m *Meterer) oldest(now time.Time) Window { return windowAt(now.Add(-retention), m.Length) }

// messages returns the counts to send, and adds them to the daemon's own tally.
func (m *Meterer) messages() []Message {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	current := windowAt(now, m.Length)
	var windows []WindowCounts
	// A daemon that has just started says nothing about the windows before, which others may still know.
	for w := max(current-sentWindows+1, windowAt(m.began, m.Length)); w <= current; w++ {
		windows = append(windows, WindowCounts{Window: w, Counts: maps.Clone(m.own[w])})
	}
	maps.DeleteFunc(m.own, func(w Window, _ Counts) bool { return w <= current-sentWindows })
	messages := split(m.Incarnation, windows)
	for _, message := range messages {
		m.receive(m.Host, message)
	}
	m.tally.trim(current-sentWindows-1, m.oldest(now))
	return messages
}

// Run sends the counts, and settles and reports windows while this daemon holds the lease, until ctx ends.
func (m *Meterer) Run(ctx context.Context) error {
	m.init()
	defer close(m.done)
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { m.runSettler(ctx) })
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		m.Flush()
	}
}

// Flush sends the counts at once. A daemon that shuts down calls it when its last request has ended.
func (m *Meterer) Flush() {
	m.init()
	for _, message := range m.messages() {
		m.Send(message)
	}
}
