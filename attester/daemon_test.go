package attester_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/activator"
	"apricotspool/archivist"
	"apricotspool/attester"
	"apricotspool/authenticator"
	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/follower"
	"apricotspool/imitator"
	"apricotspool/leaser"
	"apricotspool/matcher"
	"apricotspool/meterer"
	"apricotspool/namer"
	"apricotspool/placer"
	"apricotspool/registrar"
	"apricotspool/storer"
	"apricotspool/timekeeper"
)

// daemon is a host with at most one process at a time.
type daemon struct {
	world      *world
	name       namer.Host
	dataCentre namer.DataCentre
	number     int
	starts     int
	life       *life
	current    atomic.Pointer[life] // life, for other goroutines
	troubled   time.Time            // when its last trouble ended
}

// life is one process.
type life struct {
	daemon *daemon
	path   *path
	stop   context.CancelFunc

	config, entries *follower.Follower
	registrar       *registrar.Registrar
	activator       *activator.Activator
	archivist       *archivist.Archivist
	lease           *leaser.Leaser
	meterer         *meterer.Meterer
	core            *placer.Core

	frozenUntil atomic.Int64 // Unix nanoseconds
	staleReader atomic.Int64 // until then it reads the store itself
	generation  uint64       // of the core's fleet
	entriesOf   uint64       // that it was built from
	listsOf     uint64
	left        map[string]time.Time // lives of servers that it has seen leave
	seen        map[string]bool
	inbox       []func() // messages that came while it was frozen
	requests    map[namer.StreamID]*stream
}

// path is a process's path to the store, which knows the era of the answers that it has got.
type path struct {
	imitator.Node
	era atomic.Uint64
}

func (p *path) Era() storer.Era { return storer.Era(p.era.Load()) }

func (p *path) record(v storer.Version, err error) {
	for err == nil {
		old := p.era.Load()
		if uint64(v.Era()) <= old || p.era.CompareAndSwap(old, uint64(v.Era())) {
			return
		}
	}
}

func (p *path) Get(ctx context.Context, key string) (storer.Object, error) {
	o, err := p.Node.Get(ctx, key)
	p.record(o.Version, err)
	return o, err
}

func (p *path) Put(ctx context.Context, key string, value []byte, expect storer.Version) (storer.Object, error) {
	if expect != 0 && expect.Era() < p.Era() {
		return storer.Object{}, storer.ErrConflict // as platform.Store
	}
	o, err := p.Node.Put(ctx, key, value, expect)
	p.record(o.Version, err)
	return o, err
}

func (p *path) List(ctx context.Context, prefix, after string, limit int) (storer.Page, error) {
	page, err := p.Node.List(ctx, prefix, after, limit)
	p.record(page.Version, err)
	return page, err
}

// eraless is a store whose eras aren't known.
type eraless struct{ meterer.Store }

// configSource is a replica that doesn't know of restores.
type configSource struct{ *follower.Follower }

func (s configSource) Confirmation() follower.Confirmation {
	c := s.Follower.Confirmation()
	c.Eras = attester.Record{}
	c.Eras.Begin(0, 0)
	return c
}

// entrySource is a replica whose versions don't tell eras apart.
type entrySource struct{ *follower.Follower }

func (s entrySource) Listing() *follower.Listing {
	l := s.Follower.Listing()
	if l == nil {
		return nil
	}
	other := &follower.Listing{Objects: map[string]storer.Object{}, Version: l.Version, OutageEnd: l.OutageEnd, Changes: l.Changes}
	for key, o := range l.Objects {
		o.Version = storer.NewVersion(1, o.Version.Revision())
		other.Objects[key] = o
	}
	return other
}

// Mechanisms that a run can work without.
const (
	withoutConfigWait  mechanism = "a restored store confirms no configuration for a while"
	withoutSettling    mechanism = "versions are settled a while after a restore"
	withoutGaps        mechanism = "a gap in the replica makes versions uncertain"
	withoutUsageEra    mechanism = "windows are doubtful after a restore"
	withoutProcessEnds mechanism = "daemons are told of ended processes"
	withoutDepartures  mechanism = "departures outlive a restore"
)

func clock() timekeeper.Instant { return timekeeper.Instant(time.Now().UnixNano()) }

func (d *daemon) start() {
	if d.life != nil {
		return
	}
	w := d.world
	w.note("%s starts", d.name)
	d.starts++
	ctx, stop := context.WithCancel(w.t.Context())
	l := &life{daemon: d, path: &path{Node: imitator.Node{Store: w.store}}, stop: stop, left: map[string]time.Time{}, seen: map[string]bool{}, requests: map[namer.StreamID]*stream{}}
	readers := readers{l}
	l.config = &follower.Follower{Source: l.path, Prefix: configKey, StalenessBound: bound, Readers: readers, Clock: clock}
	l.entries = &follower.Follower{Source: l.path, Prefix: entryPrefix, StalenessBound: bound, Readers: readers, Clock: clock}
	l.registrar = &registrar.Registrar{Source: l.entries, Decode: decodeEntry}
	if w.without == withoutDepartures {
		l.registrar.Source = entrySource{l.entries}
	}
	l.archivist = &archivist.Archivist{
		Store: l.path, Services: l.services, Confirmation: l.entries.Confirmation, Clock: clock, ServicesChanged: l.registrar.Changed,
		Settling: bound, Writes: func() bool { return d.number < 3 },
	}
	l.activator = &activator.Activator{
		Source: l.config, Key: configKey, Decode: decodeConfig, Clock: clock, Attested: l.archivist.Attested,
		Bounds: authenticator.Bounds{Revocation: revocationBound, Staleness: bound},
	}
	if w.without == withoutConfigWait {
		l.activator.Source = configSource{l.config}
	}
	l.lease = &leaser.Leaser{
		Store: l.path, Name: leaser.Duties,
		Process: namer.Process{Host: d.name, Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", d.number+1)), Incarnation: namer.Incarnation(d.starts)},
	}
	l.lease.SetDutyTimes(3 * time.Second)
	l.meterer = &meterer.Meterer{
		Host: d.name, Incarnation: namer.Incarnation(d.starts), Length: 5 * time.Second, Due: 10 * time.Second, Lease: l.lease, Store: l.path, Reporter: l,
		Send: l.sendCounts, Steady: clock, TimeOfDay: time.Now, Log: zerolog.Nop(),
	}
	if w.without == withoutUsageEra {
		l.meterer.Store = eraless{l.path}
	}
	l.core = &placer.Core{Self: d.name, DataCentre: d.dataCentre, Seed: uint64(d.number), Retries: placer.Retries{Ratio: 1, Slack: 1000, Window: 10 * time.Second}}
	d.life, d.troubled = l, time.Now()
	d.current.Store(l)
	for _, run := range []func(context.Context) error{l.config.Run, l.entries.Run, l.registrar.Run, l.archivist.Run, l.lease.Run, l.meterer.Run} {
		go run(ctx)
	}
	w.t.Cleanup(func() {
		stop()
		for _, done := range []<-chan struct{}{l.config.Done(), l.entries.Done(), l.registrar.Done(), l.archivist.Done(), l.lease.Done(), l.meterer.Done()} {
			<-done
		}
	})
}

func (d *daemon) kill() {
	if l := d.life; l != nil {
		d.world.note("%s is killed", d.name)
		d.life, d.troubled = nil, time.Now()
		d.current.Store(nil)
		l.path.Kill()
		l.stop()
	}
}

// disrupt makes the calls of the process to the store fail for a time.
func (d *daemon) disrupt(mode imitator.FailureMode, length time.Duration) {
	l := d.life
	if l == nil {
		return
	}
	d.world.note("%s: %s for %v", d.name, mode, length)
	l.path.SetFailureMode(mode, 1500*time.Millisecond)
	d.troubled = time.Now().Add(length)
	d.world.after(length, func() { l.path.SetFailureMode(imitator.Healthy, 0) })
}

// freeze stops the process for a time. It gets no answer meanwhile, and gives none.
func (d *daemon) freeze(length time.Duration) {
	if l := d.life; l != nil && !l.frozen() {
		d.world.note("%s is frozen for %v", d.name, length)
		l.path.Pause(length)
		l.frozenUntil.Store(time.Now().Add(length).UnixNano())
		d.troubled = time.Now().Add(length)
		clear(l.left) // a freeze excuses it
	}
}

func (l *life) frozen() bool  { return time.Now().UnixNano() < l.frozenUntil.Load() }
func (l *life) alive() bool   { return l.daemon.life == l }
func (l *life) running() bool { return l.alive() && !l.frozen() }

func (l *life) configured() bool { return l.generation > 0 }

// inTouchSince reports whether the process was in touch with the store from an instant on.
func (l *life) inTouchSince(at time.Time) bool { return l.daemon.troubled.Before(at.Add(-inTouch)) }

// readers connects a process to the reader of its data centre.
type readers struct{ life *life }

func (r readers) reader() *life {
	for _, d := range r.life.daemon.world.daemons {
		if l := d.current.Load(); l != nil && d.dataCentre == r.life.daemon.dataCentre {
			return l
		}
	}
	return nil
}

func (r readers) IsReader() bool {
	return r.reader() == r.life || time.Now().UnixNano() < r.life.staleReader.Load()
}

func (r readers) ReportStaleReader() {
	r.life.staleReader.Store(time.Now().Add(3 * time.Second).UnixNano())
}

func (r readers) Sync(ctx context.Context, request *follower.SyncRequest) (*follower.SyncReply, error) {
	reader := r.reader()
	if reader == nil || reader.frozen() || r.life.frozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	from := reader.entries
	if request.Prefix == configKey {
		from = reader.config
	}
	reply := from.Serve(ctx, request)
	if reader.frozen() || r.life.frozen() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, nil
}

// services is gatewayFleet.resumableServices for one service.
func (l *life) services() (map[namer.Service]archivist.Service, storer.Era) {
	listing := l.entries.Listing()
	if listing == nil {
		return nil, 0
	}
	s := archivist.Service{Builds: map[namer.Build]bool{}, Lifetime: streamLifetime}
	for _, e := range l.registrar.Entries() {
		s.Builds[e.Build] = true
	}
	return map[namer.Service]archivist.Service{serviceName: s}, listing.Version.Era()
}

// confirmation is gatewayFleet.Confirmation.
func (l *life) confirmation() decider.Confirmation {
	replica, now := l.entries.Confirmation(), clock()
	entries, applied := l.registrar.Generation()
	lists, read := l.archivist.Generation()
	if !replica.Known || applied != replica.Changes || l.entriesOf != entries || l.listsOf != lists {
		return decider.Confirmation{}
	}
	since, unsettled := replica.UnbrokenSince, false
	if !l.archivist.Attested(replica.Eras) {
		since = max(since, replica.SettledAt)
		unsettled = replica.Eras.First() && now < replica.SettledAt
	}
	switch l.daemon.world.without {
	case withoutSettling:
		since, unsettled = 0, false
		replica.Gaps = 0
	case withoutGaps:
		return decider.Confirmation{Known: true, Generation: l.generation, Unbroken: now.Sub(max(0, replica.SettledAt))}
	}
	return decider.Confirmation{
		Known: true, Generation: l.generation, Age: now.Sub(replica.At), Unbroken: now.Sub(since), Gaps: replica.Gaps, Gap: replica.Gap, ListAge: now.Sub(read), Unsettled: unsettled,
	}
}

// step runs what the process does again and again, and checks what it would serve.
func (d *daemon) step() {
	l := d.life
	if l == nil || l.frozen() {
		return
	}
	l.activator.Apply()
	l.activator.Confirm()
	l.checkKeys()
	l.observeEntries()
	l.configure()
	l.core.Confirm(time.Now(), l.confirmation())
	l.perform(l.core.Tick(time.Now()))
}

func (l *life) checkKeys() {
	view, w := l.activator.View(), l.daemon.world
	if view.Directory == nil {
		return
	}
	for key, at := range w.expiring {
		if _, outcome := view.Check([]matcher.Key{key}, false); outcome == "" && !at.IsZero() && time.Since(at) > revocationBound {
			w.violate("CONFIG: %s serves a key that was withdrawn %v ago", l.daemon.name, time.Since(at))
		}
	}
	_, outcome := view.Check([]matcher.Key{w.keys[0]}, false)
	if outcome == classifier.Unauthenticated {
		w.violate("DENIED: %s refuses a key of all configurations", l.daemon.name)
	}
	if outcome != "" && time.Since(w.begin) > worldEnd-3*time.Second {
		w.violate("CALM: %s refuses a key: %s", l.daemon.name, outcome)
	}
}

// observeEntries notes which servers the process has seen leave.
func (l *life) observeEntries() {
	present := map[string]bool{}
	for _, e := range l.registrar.Entries() {
		life := fmt.Sprint(e.Name, int64(e.Incarnation))
		present[life], l.seen[life] = true, true
		if e.Leaving && l.left[life].IsZero() {
			l.left[life] = time.Now()
		}
	}
	for life := range l.seen {
		if !present[life] && l.left[life].IsZero() {
			l.left[life] = time.Now()
		}
	}
}

// configure passes the fleet to the core if it has changed.
func (l *life) configure() {
	entries, _ := l.registrar.Generation()
	lists, _ := l.archivist.Generation()
	if l.registrar.Entries() == nil || l.activator.Table() == nil || (l.generation > 0 && entries == l.entriesOf && lists == l.listsOf) {
		return
	}
	l.generation++
	var known []string
	for _, e := range l.registrar.Entries() {
		known = append(known, fmt.Sprint(e.Name, " ", e.Build, " ", e.Leaving))
	}
	l.daemon.world.note("%s knows %q, listed %v", l.daemon.name, known, l.archivist.Listed(serviceName))
	l.entriesOf, l.listsOf = entries, lists
	fleet := decider.Fleet{DataCentre: l.daemon.dataCentre, Settling: bound, Generation: l.generation, Services: []decider.ServiceView{{
		Name: serviceName, EventTokens: 1, StreamLifetime: streamLifetime, Builds: l.archivist.Listed(serviceName), Settled: l.archivist.Settled(serviceName),
	}}}
	for _, d := range l.daemon.world.daemons {
		fleet.Members = append(fleet.Members, decider.MemberView{Host: d.name, DataCentre: d.dataCentre})
	}
	fleet.Hosts = len(fleet.Members)
	for _, e := range l.registrar.Entries() {
		fleet.Endpoints = append(fleet.Endpoints, decider.EndpointView{
			Name: e.Name, Service: e.Service, DataCentre: e.DataCentre, Role: e.Role, Concurrency: e.Slots, Leaving: e.Leaving, Incarnation: e.Incarnation, Build: e.Build,
		})
	}
	l.core.Configure(time.Now(), fleet)
}

// arrive passes a request that begins a stream, or takes it up, to the core.
func (l *life) arrive(st *stream) {
	w := l.daemon.world
	w.last++
	st.id = namer.StreamID(fmt.Sprint("r", w.last))
	l.requests[st.id] = st
	l.perform(l.core.Arrive(time.Now(), decider.Request{
		ID: st.id, Service: serviceName, Idempotent: true, PromptTokens: 100, MaxTokens: 50, Deadline: time.Now().Add(streamLifetime), Target: time.Second,
		Attempts: 3, Stream: st.key, Continues: st.build != "", Lifetime: streamLifetime, Confirmation: l.confirmation(),
	}))
}

func (l *life) observe(st *stream, e decider.Event) {
	if l.running() && l.requests[st.id] == st {
		e.Request = st.id
		l.perform(l.core.Observe(time.Now(), e))
	}
}

// breakOff ends a running stream: with its server's process, or with the caller's connection.
func (l *life) breakOff(st *stream, ended bool) {
	id := st.id
	st.daemon = nil
	if ended {
		l.observe(st, decider.Event{Kind: decider.EventFailed, Endpoint: st.at.name, Reason: classifier.RetryStreamBroken, OutputTokens: 1, Ended: l.daemon.world.without != withoutProcessEnds})
	}
	if st.daemon == nil && l.requests[id] == st { // the request isn't continued
		l.observe(st, decider.Event{Kind: decider.EventCancelled})
		delete(l.requests, id)
	}
}

// breakOffUnsent tells the core that no connection can be made.
func (l *life) breakOffUnsent(st *stream, a decider.Action) {
	l.observe(st, decider.Event{Kind: decider.EventFailed, Attempt: a.Attempt, Endpoint: a.Endpoint, Reason: classifier.RetryConnectFailed, NotRun: true})
}

func (l *life) finish(st *stream) {
	l.observe(st, decider.Event{Kind: decider.EventFinished, OutputTokens: 2})
	delete(l.requests, st.id)
}

// perform executes the actions of the core.
func (l *life) perform(actions []decider.Action) {
	w := l.daemon.world
	for _, a := range slices.Clone(actions) {
		switch st := l.requests[a.Request]; a.Kind {
		case decider.ActionSend:
			l.send(a.To, a.Message.(placer.Message))
		case decider.ActionRefuse:
			delete(l.requests, a.Request)
			if st != nil && time.Since(w.begin) > worldEnd-3*time.Second {
				w.calm["refused"]++
			}
		case decider.ActionDispatch:
			if st != nil && st.id == a.Request {
				w.dispatched(l, st, a)
			}
		}
	}
}

// receive handles the messages that have come, and reports whether there were any.
func (l *life) receive() bool {
	if l == nil || !l.running() || len(l.inbox) == 0 {
		return false
	}
	inbox := l.inbox
	l.inbox = nil
	for _, deliver := range inbox {
		deliver()
	}
	return true
}

// send delivers a message to the process of another host, when it isn't frozen any more.
func (l *life) send(to namer.Host, m placer.Message) {
	for _, d := range l.daemon.world.daemons {
		if other := d.life; d.name == to && other != nil {
			other.inbox = append(other.inbox, func() {
				if other.configured() {
					other.core.Confirm(time.Now(), other.confirmation())
					other.perform(other.core.Receive(time.Now(), l.daemon.name, m))
				}
			})
		}
	}
}

// sendCounts passes counts to the other processes.
func (l *life) sendCounts(m meterer.Message) {
	if l.frozen() || l.daemon.current.Load() != l {
		return
	}
	for _, d := range l.daemon.world.daemons {
		if other := d.current.Load(); other != nil && other != l && !other.frozen() {
			other.meterer.Receive(l.daemon.name, m)
		}
	}
}

// Report implements meterer.Reporter.
func (l *life) Report(ctx context.Context, holder namer.Host, token namer.FencingToken, window meterer.Window, counts meterer.Counts) error {
	if !l.path.Pass("report") || ctx.Err() != nil {
		return errors.New("no response")
	}
	l.daemon.world.report(holder, token, window, counts)
	return nil
}
