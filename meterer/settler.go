package meterer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"apricotspool/attester"
	"apricotspool/leaser"
	"apricotspool/namer"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// SettledKey is the key of the object with the settled windows.
const SettledKey = "usage/settled"

// ErrRefused means that the platform responded but hasn't accepted a report.
var ErrRefused = errors.New("platform has not accepted the report")

const (
	// settleInterval is the time between two looks for windows to settle or report.
	settleInterval = 250 * time.Millisecond
	// startDelay is the time in which a process that starts hears from all daemons twice before it settles anything.
	startDelay = 2 * sendInterval
	// reportTimeout bounds a call to the platform; the remaining authority usually bounds it more.
	reportTimeout = 2 * time.Second
	// reportRetry is the time between a failed report and the next one.
	reportRetry = time.Second
	// handoverTime after a daemon had the authority, no other one can have it: a holder's authority ends by twice the margin
	// before another daemon may acquire the lease.
	handoverTime = 2 * leaser.DutyMargin
)

// settler is what the holder knows of the settled windows, and a former holder of those that it has settled.
type settler struct {
	stored  ledger         // as last confirmed by the store
	version storer.Version // of stored
	loaded  bool           // stored is the newest version, unless another holder has written since
	token   namer.FencingToken
	// acknowledged are the windows that the platform has accepted and stored doesn't show yet. The next write adds them;
	// if it is never made, the next holder repeats reports that the platform ignores.
	acknowledged map[Window]bool
	unsaved      bool   // windows known from before the store was restored aren't in it
	doubtful     Window // see settlement
	eras         attester.Record
	heldAt       timekeeper.Instant // when this daemon last had the authority
	retryAt      timekeeper.Instant
}

func (m *Meterer) runSettler(ctx context.Context) {
	m.settler.acknowledged = map[Window]bool{}
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.step(ctx)
		}
	}
}

// step makes the calls of the holder that are due.
func (m *Meterer) step(ctx context.Context) {
	m.observeEra()
	authority, held := m.Lease.Duties()
	if !held {
		m.loaded = false
		return
	}
	ctx, end, err := authority.Begin(ctx)
	if err != nil {
		return
	}
	m.heldAt = m.Steady()
	defer func() {
		if authority.Check() == nil {
			m.heldAt = m.Steady()
		}
		end()
	}()
	if m.token != authority.Fencing() {
		m.token, m.loaded = authority.Fencing(), false
	}
	if !m.loaded && !m.read(ctx) {
		return
	}
	if !m.clockAgrees() {
		m.Log.Error().Time("now", m.timeOfDay()).Msg("time-of-day-differs")
		authority.GiveUp()
		return
	}
	if m.settle(ctx) {
		m.report(ctx, authority)
	}
}

// clockAgrees reports whether this daemon's time of day is near that of most daemons. A holder whose clock is wrong would
// settle windows before their counts arrive, or none.
func (m *Meterer) clockAgrees() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := windowAt(m.now(), m.Length)
	return len(m.tally.heard) == 0 || m.tally.most(func(current Window) bool { return max(own-current, current-own) < sentWindows })
}

// observeEra notices that the store was restored from a copy, perhaps just before this process has started. Only a process that
// held the lease until then knows everything that was settled; others may miss windows that the store has lost.
func (m *Meterer) observeEra() {
	source, ok := m.Store.(storer.EraSource)
	if !ok || !m.eras.Begin(source.Era(), m.Steady()) {
		return
	}
	if m.token == 0 || m.Steady().Sub(m.heldAt) > handoverTime {
		m.doubtful = m.lastFinal()
	}
	m.loaded = false
	m.Log.Info().Uint64("era", uint64(m.eras.Era())).Int64("doubtful", int64(m.doubtful)).Msg("usage-perhaps-lost")
}

// lastFinal returns the last window that may have been settled by now.
func (m *Meterer) lastFinal() Window {
	m.mu.Lock()
	defer m.mu.Unlock()
	return windowAt(m.now().Add(-settleDelay), m.Length) - 1
}

// read reads the settled windows from the store and reports whether it could.
func (m *Meterer) read(ctx context.Context) bool {
	object, err := m.Store.Get(ctx, SettledKey)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		m.Log.Debug().Err(err).Msg("settled-windows-unreadable")
		return false
	}
	m.observeEra()
	var read ledger
	if err == nil {
		if read, err = decodeLedger(object.Value); err != nil {
			// Another client has written it. What it said is only known as far as this process has read it.
			m.Log.Error().Err(err).Msg("settled-windows-not-valid")
			m.doubtful = m.lastFinal()
		}
	}
	if err == nil && m.eras.Attested(read.Era) {
		m.doubtful = 0
	}
	m.unsaved = read.merge(m.stored)
	m.stored, m.version, m.loaded = read, object.Version, true
	return true
}

// pending returns the settled windows with everything that is known to be acknowledged.
func (m *Meterer) pending() ledger {
	l := m.stored.clone()
	for i := range l.Windows {
		l.Windows[i].Acknowledged = l.Windows[i].Acknowledged || m.acknowledged[l.Windows[i].Window]
	}
	return l
}

// settle writes the windows whose counts are final, and what was acknowledged, to the store. It reports whether stored is
// confirmed.
func (m *Meterer) settle(ctx context.Context) bool {
	next := m.pending()
	m.mu.Lock()
	now := m.now()
	s := settlement{length: m.Length, now: now, began: m.began, oldest: m.oldest(now), doubtful: m.doubtful}
	lost := next.prune(s.oldest)
	var settled []total
	if now.Sub(m.began) >= startDelay {
		settled = next.settle(s, m.tally)
	}
	m.mu.Unlock()
	if len(settled) == 0 && !m.unsaved {
		return true
	}
	if !m.write(ctx, next) {
		return false
	}
	for _, w := range lost {
		m.Log.Error().Int64("window", int64(w)).Msg("usage-never-reported")
	}
	for _, sum := range settled {
		if m.OnSettled != nil {
			m.OnSettled(sum.sources)
		}
	}
	m.Log.Debug().Int64("last", int64(next.Last)).Int("windows", len(settled)).Msg("usage-settled")
	clear(m.acknowledged)
	return true
}

// write replaces the settled windows in the store. After a failure it reads them again before anything else is done:
// the write may have taken effect, or another holder has written.
func (m *Meterer) write(ctx context.Context, next ledger) bool {
	next.Era = m.eras.Era()
	value, err := json.Marshal(next)
	if err != nil {
		m.Log.Error().Err(err).Msg("settled-windows-not-encoded")
		return false
	}
	object, err := m.Store.Put(ctx, SettledKey, value, m.version)
	if err != nil {
		m.Log.Warn().Err(err).Msg("usage-not-settled")
		m.loaded = false
		return false
	}
	m.stored, m.version, m.unsaved = next, object.Version, false
	return true
}

// report sends the next settled window that the platform hasn't accepted.
func (m *Meterer) report(ctx context.Context, authority leaser.DutyAuthority) {
	if m.Steady() < m.retryAt {
		return
	}
	pending := m.pending()
	next, found := pending.nextReport(m.timeOfDay(), m.Length, m.Due)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := m.Reporter.Report(ctx, authority.Holder().Host, authority.Fencing(), next.Window, next.Counts)
	authority.Record(err == nil || errors.Is(err, ErrRefused))
	if err != nil {
		m.retryAt = m.Steady().Add(reportRetry)
		m.Log.Warn().Err(err).Int64("window", int64(next.Window)).Uint64("fencing", uint64(authority.Fencing())).Msg("usage-not-reported")
		return
	}
	m.acknowledged[next.Window] = true
	late := m.timeOfDay().After(next.Window.end(m.Length).Add(m.Due))
	if m.OnReported != nil {
		m.OnReported(late)
	}
	m.Log.Info().Int64("window", int64(next.Window)).Int("workspaces", len(next.Counts)).Bool("late", late).Msg("usage-reported")
}

func (m *Meterer) timeOfDay() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now()
}
