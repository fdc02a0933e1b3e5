package attester_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"apricotspool/decider"
	"apricotspool/historian"
	"apricotspool/imitator"
	"apricotspool/matcher"
	"apricotspool/meterer"
	"apricotspool/namer"
	"apricotspool/registrar"
	"apricotspool/storer"
)

const (
	worldStep = 50 * time.Millisecond
	// troubles come until calmAt; at worldEnd everything must be served again.
	calmAt, worldEnd = 26 * time.Second, 40 * time.Second
	bound            = 2 * time.Second // staleness bound of all replicas
	drainTime        = 3 * time.Second
	revocationBound  = 5 * time.Second
	// inTouch is the time without trouble after which a daemon is in touch with the store.
	inTouch        = 4 * time.Second
	streamLifetime = 6 * time.Second
	// lateRewrite is the longest time after a restore until a writer writes again what was lost.
	lateRewrite = 1800 * time.Millisecond
	serviceName = namer.Service("llm")
	configKey   = "config/main"
	entryPrefix = "servers/"
)

// mechanism is a part of the product that a run of the simulation works without.
type mechanism string

// world simulates the store, its writers, servers and callers of several daemons in virtual time. The daemons consist of the
// parts of the product that conclude something from what the store holds. Only the goroutine of run uses its fields, but those
// that mu guards.
type world struct {
	t        *testing.T
	random   *rand.Rand
	without  mechanism
	begin    time.Time
	store    *imitator.Store
	backups  []backup
	daemons  []*daemon
	servers  []*server
	builds   []namer.Build // of the first servers
	streams  []*stream
	events   []event
	last     int
	version  int
	keys     []matcher.Key // of the configuration; the first is never withdrawn
	expiring map[matcher.Key]time.Time
	troubled time.Time // when the store was last in trouble
	joined   int
	calm     map[string]int // what happened to requests at the end

	mu      sync.Mutex // guards the fields below
	away    bool
	reports []report
	broken  []string
}

type backup struct {
	at time.Time
	imitator.Backup
}

type event struct {
	at time.Time
	do func()
}

type report struct {
	at     time.Time
	holder namer.Host
	token  namer.FencingToken
	window meterer.Window
	counts string
}

// server is a server, which may start again under its name as another process.
type server struct {
	name    namer.Endpoint
	build   namer.Build
	born    int64
	up      bool
	listed  bool // it has an entry
	leaving bool
	leftAt  time.Time // when the store has accepted that
	unseen  bool      // its process has ended, and no daemon had a request there
}

// stream is a stream over all requests that continue it.
type stream struct {
	key   historian.StreamKey
	build namer.Build
	begun time.Time
	first string // what began it
	// uncertain says that it began at a server of which no daemon could know that it has another version.
	uncertain bool
	end       time.Time
	id        namer.StreamID // of the last request
	at        *server
	born      int64
	daemon    *life
}

func newWorld(t *testing.T, seed uint64, without mechanism) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 53)), without: without, begin: time.Now(), store: &imitator.Store{},
		expiring: map[matcher.Key]time.Time{}, keys: []matcher.Key{"kept", "k1"}, calm: map[string]int{},
	}
	w.store.Fault = func(context.Context, string, string) imitator.Fault {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.away {
			return imitator.Fault{Err: storer.ErrUnavailable}
		}
		return imitator.Fault{}
	}
	if w.random.IntN(2) == 0 {
		w.store.Restore(w.store.Backup()) // it was restored long ago
	}
	w.writeConfig()
	if w.builds = []namer.Build{"v1", "v2"}; w.random.IntN(2) == 0 {
		w.builds = []namer.Build{"v1", "v1"}
		w.after(8*time.Second+w.upTo(2*time.Second), w.release)
	}
	for i := range 4 {
		w.addServer(w.builds[i%2])
	}
	for i := range 6 { // so that a daemon isn't told of all streams
		d := &daemon{world: w, name: namer.Host(fmt.Sprintf("h%d", i)), dataCentre: namer.DataCentre("ab"[i/3 : i/3+1]), number: i}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		d.start()
	}
	return w
}

// violate records a broken rule.
func (w *world) violate(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf("%6.2fs ", time.Since(w.begin).Seconds())+fmt.Sprintf(format, values...))
}

// note prints what happens, if a schedule is traced.
func (w *world) note(format string, values ...any) {
	if *traced {
		fmt.Printf("%6.2fs "+format+"\n", append([]any{time.Since(w.begin).Seconds()}, values...)...)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{time.Now().Add(d), do})
}

// upTo returns a random time up to a limit.
func (w *world) upTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// run plays a schedule of troubles, then a calm in which all requests must be served.
func (w *world) run() {
	next := w.begin.Add(8 * time.Second)
	for time.Since(w.begin) < worldEnd {
		now := time.Now()
		for i := 0; i < len(w.events); i++ { // events may add others
			if e := w.events[i]; !e.at.After(now) {
				w.events = slices.Delete(w.events, i, i+1)
				i--
				e.do()
			}
		}
		if now.Sub(w.begin)%(500*time.Millisecond) < worldStep {
			w.mu.Lock()
			away := w.away
			w.mu.Unlock()
			if !away {
				w.backups = append(w.backups, backup{now, w.store.Backup()})
			}
		}
		if !now.Before(next) && now.Sub(w.begin) < calmAt {
			w.trouble()
			next = now.Add(w.upTo(2500 * time.Millisecond))
		}
		for _, d := range w.daemons {
			d.step()
		}
		w.load()
		for received := true; received; {
			received = false
			for _, d := range w.daemons {
				received = d.life.receive() || received
			}
		}
		time.Sleep(worldStep)
	}
	for _, d := range w.daemons {
		d.kill()
	}
	w.checkReports()
	w.checkCalm()
}

// trouble begins one disruption.
func (w *world) trouble() {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	switch w.random.IntN(10) {
	case 0: // of any share of the daemons
		for _, d := range w.daemons[w.random.IntN(len(w.daemons)):] {
			d.kill()
			w.after(w.upTo(time.Second), d.start)
		}
	case 1, 2:
		w.restore()
	case 3:
		d.disrupt(imitator.Outage, w.upTo(5*time.Second))
	case 4:
		d.disrupt(imitator.Partition, w.upTo(5*time.Second))
	case 5:
		d.disrupt(imitator.DelayedWrite, w.upTo(3*time.Second))
	case 6:
		d.freeze(w.upTo(5 * time.Second))
	case 7:
		w.changeServer()
	case 8:
		w.withdrawKey()
	case 9:
		w.release()
	}
}

// release adds servers of another software version while the reader of a data centre is cut off.
func (w *world) release() {
	w.daemons[3*w.random.IntN(2)].disrupt(imitator.Partition, 5*time.Second+w.upTo(2*time.Second))
	for range 4 {
		w.after(100*time.Millisecond+w.upTo(100*time.Millisecond), func() { w.addServer("v2") })
	}
}

// restore takes the store away for a moment and brings it back from a copy, sometimes with a loss of power of all daemons.
func (w *world) restore() {
	age := w.upTo(8 * time.Second)
	w.note("store goes away, copy is %v old", age)
	copied := w.backups[max(0, len(w.backups)-1-int(age/(500*time.Millisecond)))]
	w.setAway(true)
	w.after(w.upTo(time.Second), func() {
		w.store.Restore(copied.Backup)
		w.note("store is back")
		w.backups = []backup{{time.Now(), w.store.Backup()}}
		w.setAway(false)
		w.after(w.upTo(lateRewrite), w.writeConfig)
		for _, s := range w.servers {
			w.after(w.upTo(lateRewrite), func() { w.writeEntry(s) })
		}
		if w.random.IntN(3) == 0 {
			for _, d := range w.daemons {
				d.kill()
				w.after(w.upTo(600*time.Millisecond), d.start)
			}
		}
	})
}

func (w *world) setAway(away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.away, w.troubled = away, time.Now()
}

// write makes the store hold a value, or none, and calls back when it has acknowledged that.
func (w *world) write(key, value string, acknowledged func()) {
	ctx := context.Background()
	old, err := w.store.Get(ctx, key)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		err = nil
		if value != "" {
			_, err = w.store.Put(ctx, key, []byte(value), 0)
		}
	case err != nil:
	case value == "":
		err = w.store.Delete(ctx, key, old.Version)
	case string(old.Value) != value:
		_, err = w.store.Put(ctx, key, []byte(value), old.Version)
	}
	if err != nil {
		w.after(200*time.Millisecond, func() { w.write(key, value, acknowledged) })
		return
	}
	w.note("store holds %q = %q", key, value)
	acknowledged()
}

func (w *world) writeConfig() {
	value := fmt.Sprint(w.version)
	for _, k := range w.keys {
		value += " " + string(k)
	}
	w.write(configKey, value, func() {
		for k, at := range w.expiring {
			if at.IsZero() {
				w.expiring[k] = time.Now()
			}
		}
	})
}

// withdrawKey replaces the key that can be withdrawn by a new one.
func (w *world) withdrawKey() {
	old := w.keys[1]
	w.version++
	w.keys = []matcher.Key{"kept", matcher.Key(fmt.Sprintf("k%d", w.version+1))}
	w.expiring[old] = time.Time{}
	w.writeConfig()
}

func decodeConfig(value []byte) (*matcher.Table, error) {
	fields := strings.Fields(string(value))
	var version int
	if _, err := fmt.Sscan(fields[0], &version); err != nil {
		return nil, err
	}
	table := matcher.New(namer.ConfigVersion(version), nil, nil, matcher.Limits{})
	for _, key := range fields[1:] {
		table.Workspaces = append(table.Workspaces, matcher.Workspace{Name: "w", Keys: []matcher.Key{matcher.Key(key)}})
	}
	return table, nil
}

func (w *world) addServer(build namer.Build) {
	w.last++
	s := &server{name: namer.Endpoint(fmt.Sprintf("i-%02d", w.last)), build: build, born: time.Now().UnixMilli(), up: true, listed: true}
	w.servers = append(w.servers, s)
	w.writeEntry(s)
}

// writeEntry writes or removes the entry of a server, as it is when the store accepts it.
func (w *world) writeEntry(s *server) {
	value := ""
	if s.listed {
		value = fmt.Sprint(s.build, " ", s.born, " ", s.leaving)
	}
	w.write(entryPrefix+string(s.name), value, func() {
		if (s.leaving || !s.listed) && s.leftAt.IsZero() {
			s.leftAt = time.Now()
		}
	})
}

func decodeEntry(key string, value []byte) (e registrar.Entry, err error) {
	e = registrar.Entry{Name: namer.Endpoint(strings.TrimPrefix(key, entryPrefix)), Service: serviceName, DataCentre: "a", Slots: 64, Role: namer.RoleMixed}
	_, err = fmt.Sscan(string(value), &e.Build, &e.Incarnation, &e.Leaving)
	return e, err
}

// changeServer has a server leave, with or without a report, or start again in place with another software version.
func (w *world) changeServer() {
	s := w.servers[w.random.IntN(len(w.servers))]
	if s.leaving || !s.listed || !s.up {
		return
	}
	other := map[namer.Build]namer.Build{"v1": "v2", "v2": "v1"}[s.build]
	if w.random.IntN(2) == 0 {
		w.end(s)
		w.after(300*time.Millisecond+w.upTo(700*time.Millisecond), func() {
			s.up, s.build, s.born = true, other, time.Now().UnixMilli()
			w.after(50*time.Millisecond+w.upTo(450*time.Millisecond), func() {
				w.writeEntry(s)
				w.after(2*bound, func() { s.unseen = false })
			})
		})
		return
	}
	s.leaving = w.random.IntN(2) == 0
	s.listed = s.leaving
	w.writeEntry(s)
	w.after(drainTime+w.upTo(4*time.Second), func() {
		s.listed = false
		w.writeEntry(s)
		w.end(s)
	})
	w.after(w.upTo(time.Second), func() { w.addServer([]namer.Build{s.build, other}[w.random.IntN(2)]) })
}

// end ends a server's process. The daemons that have a request there notice, if they aren't frozen.
func (w *world) end(s *server) {
	s.up, s.unseen = false, true
	defer func() { w.note("%s ends, unseen %v", s.name, s.unseen) }()
	for _, st := range w.streams {
		if st.at == s && st.daemon != nil && st.daemon.running() {
			s.unseen = false
			st.daemon.breakOff(st, true)
		}
	}
}

func (w *world) server(name namer.Endpoint) *server {
	return w.servers[slices.IndexFunc(w.servers, func(s *server) bool { return s.name == name })]
}

// load begins streams, ends them, and has callers take those up that have broken off.
func (w *world) load() {
	now := time.Now()
	if now.Sub(w.begin)%(200*time.Millisecond) < worldStep {
		w.last++
		st := &stream{key: historian.StreamKey(w.last), begun: now, end: now.Add(time.Second + w.upTo(4*time.Second))}
		w.streams = append(w.streams, st)
		w.send(st)
	}
	w.streams = slices.DeleteFunc(w.streams, func(st *stream) bool {
		over := now.After(st.end) || now.Sub(st.begun) > streamLifetime-time.Second
		if over && st.daemon != nil {
			st.daemon.finish(st)
		}
		return over
	})
	for _, st := range w.streams {
		if st.daemon != nil && !st.daemon.alive() {
			st.daemon = nil // the caller's connection has ended
		}
		if st.daemon != nil && st.daemon.running() && w.random.IntN(40) == 0 {
			st.daemon.breakOff(st, false) // the caller's connection ends
		}
		if st.daemon == nil && w.random.IntN(6) == 0 {
			w.send(st)
		}
	}
	if now.Sub(w.begin) > worldEnd-3*time.Second && len(w.streams) > 0 {
		if st := w.streams[w.random.IntN(len(w.streams))]; st.daemon != nil && st.build != "" {
			st.daemon.breakOff(st, false) // the caller's connection ends
			w.send(st)
		}
	}
}

// send has a caller begin a stream, or take it up.
func (w *world) send(st *stream) {
	if l := w.daemons[w.random.IntN(len(w.daemons))].life; l != nil && l.running() && l.configured() {
		l.arrive(st)
	}
}

// dispatched judges an attempt that reaches a server.
func (w *world) dispatched(l *life, st *stream, a decider.Action) {
	s, now := w.server(a.Endpoint), time.Now()
	if !s.up {
		l.breakOffUnsent(st, a)
		return
	}
	if life := fmt.Sprint(s.name, s.born); !s.leftAt.IsZero() && !l.left[life].Before(s.leftAt) && now.Sub(l.left[life]) > drainTime {
		w.violate("DRAIN: %s sends to %s %v after it has seen it leave", l.daemon.name, s.name, now.Sub(l.left[life]))
	}
	if !s.leftAt.IsZero() && now.Sub(s.leftAt) > drainTime && l.inTouchSince(s.leftAt) && w.stableSince(s.leftAt) {
		w.violate("DRAIN: %s in touch sends to %s %v after it has left", l.daemon.name, s.name, now.Sub(s.leftAt))
	}
	switch {
	case st.build == "":
		st.build, st.begun, st.uncertain = s.build, now, s.unseen
		st.first = fmt.Sprintf("begun %v at %s by %s", now.Sub(w.begin), s.name, l.daemon.name)
	case st.build != s.build && !st.uncertain && !s.unseen:
		w.joined++
		w.note("joined: stream of %s, %s, goes on at %s with %s at %s", st.build, st.first, s.name, s.build, l.daemon.name)
		if w.joined > 2 { // as many are allowed
			w.violate("ORDER: stream of %s goes on at %s with %s, at %s", st.build, s.name, s.build, l.daemon.name)
		}
	}
	if now.Sub(w.begin) > worldEnd-3*time.Second {
		w.calm["sent"]++
	}
	st.daemon, st.at, st.born = l, s, s.born
	l.meterer.Began("w", now)
	l.observe(st, decider.Event{Kind: decider.EventStarted, Attempt: a.Attempt, Endpoint: a.Endpoint})
}

// stableSince reports whether the store was without trouble from some seconds before an instant on.
func (w *world) stableSince(at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.away && w.troubled.Before(at.Add(-inTouch))
}

// Report implements meterer.Reporter for all daemons.
func (w *world) report(holder namer.Host, token namer.FencingToken, window meterer.Window, counts meterer.Counts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = append(w.reports, report{time.Now(), holder, token, window, fmt.Sprint(counts)})
}

// checkReports checks that each window has one set of counts, that tokens don't fall, and that holders don't take turns.
func (w *world) checkReports() {
	counts, last := map[meterer.Window]string{}, map[namer.Host]time.Time{}
	for i, r := range w.reports {
		if known, reported := counts[r.window]; reported && known != r.counts {
			w.violate("ONE: window %d is reported with %s and %s", r.window, known, r.counts)
		}
		if i > 0 && w.reports[i-1].token > r.token {
			w.violate("ONE: token %d of %s comes after %d", r.token, r.holder, w.reports[i-1].token)
		}
		if at, acted := last[r.holder]; acted && w.reports[i-1].holder != r.holder && r.at.Sub(at) < 3*time.Second {
			w.violate("ONE: %s acts again %v after another", r.holder, r.at.Sub(at))
		}
		counts[r.window], last[r.holder] = r.counts, r.at
	}
}

// checkCalm checks that streams begin and go on at the end, and that windows are reported again.
func (w *world) checkCalm() {
	if sent, refused := w.calm["sent"], w.calm["refused"]; sent < 20 || refused > 0 {
		w.violate("CALM: %d requests are sent and %d refused after %v without trouble", sent, refused, worldEnd-calmAt-3*time.Second)
	}
	if n := len(w.reports); n == 0 || time.Since(w.reports[n-1].at) > 11*time.Second {
		w.violate("CALM: no window is reported any more")
	}
}
