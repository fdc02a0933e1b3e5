package placer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/historian"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/placer"
)

var (
	originSeeds = flag.Uint64("origin-seeds", 12, "seeds of TestStreamsHaveOneBuild")
	originFirst = flag.Uint64("origin-first", 1, "first seed of TestStreamsHaveOneBuild")
)

const (
	originLifetime = 2 * time.Second
	originSettling = 500 * time.Millisecond
	// originStable is the time since its start after which a daemon's refusals count.
	originStable = 3 * time.Second
	// originPoll is the longest time between two reads of the object API.
	originPoll = 2 * originSettling / 5
)

// originWorld simulates daemons whose streams break off and are taken up, while builds come and go. Daemons learn of changes
// by polling the object API, which some are cut off from; others are cut off from their peers, in one direction or both, or
// stand still while their steady clock doesn't run.
type originWorld struct {
	fleet // schedules events only
	t     *testing.T

	endpoints map[namer.Endpoint]*versionedEndpoint
	daemons   []*originDaemon
	listed    map[namer.Build]time.Duration // builds in the object API, and when an endpoint last had them
	listedAt  map[namer.Build]time.Duration
	requests  map[namer.StreamID]*originRequest
	streams   []*versionedStream
	last      int

	begun, takenUp, wentOn, joined int // takenUp and wentOn only where a take-up should go on
}

type versionedEndpoint struct {
	view      decider.EndpointView
	down      bool
	fullUntil time.Duration
}

type originDaemon struct {
	name      namer.Host
	core      *placer.Core
	down      bool
	starts    int
	startedAt time.Duration

	storeCuts, receiveCuts, sendCuts, suspensions int           // in progress
	troubled                                      time.Duration // when the last of them ended
	lost                                          time.Duration // in suspensions, by which the steady clock is late
	pending                                       []func()      // for the end of the suspension

	generation    uint64 // of the fleet that the core has
	confirmed     time.Duration
	unbrokenSince time.Duration
	gaps          uint64
	gap           time.Duration
}

// confirmation says how current a daemon's fleet is, by a clock that doesn't stop.
func (w *originWorld) confirmation(d *originDaemon) decider.Confirmation {
	return decider.Confirmation{
		Known: true, Generation: d.generation, Age: w.now - d.confirmed, Unbroken: w.now - d.unbrokenSince, Gaps: d.gaps, Gap: d.gap,
		ListAge: w.now - d.confirmed,
	}
}

// maxGap is the longest time between two reads of the object API after which nothing has been missed.
const maxGap = 3 * originSettling / 4

// configure passes a fleet to a daemon, which was read at a time.
func (w *originWorld) configure(d *originDaemon, view decider.Fleet, read time.Duration) {
	if gap := read - d.confirmed; gap > maxGap {
		d.unbrokenSince, d.gap = read, gap
		d.gaps++
	}
	d.confirmed = read
	d.generation++
	view.Generation = d.generation
	d.core.Configure(w.clock(d), view)
	d.core.Confirm(w.clock(d), w.confirmation(d))
}

// inStep reports whether nothing has disrupted the daemon for a while.
func (d *originDaemon) inStep(now time.Duration) bool {
	return d.storeCuts+d.receiveCuts+d.sendCuts+d.suspensions == 0 && now-max(d.startedAt, d.troubled) > originStable
}

// versionedStream is a stream over all requests that continue it.
type versionedStream struct {
	key     historian.StreamKey
	begunAt time.Duration
	builds  []namer.Build // that wrote events
	over    bool
}

type originRequest struct {
	id       namer.StreamID
	stream   *versionedStream
	daemon   *originDaemon
	tries    int
	counts   bool // takes a stream up while that should be possible
	started  bool
	attempt  namer.Attempt
	endpoint namer.Endpoint
}

func newOriginWorld(t *testing.T, seed uint64, daemons int) *originWorld {
	w := &originWorld{t: t, endpoints: map[namer.Endpoint]*versionedEndpoint{}, listed: map[namer.Build]time.Duration{}, listedAt: map[namer.Build]time.Duration{}, requests: map[namer.StreamID]*originRequest{}}
	w.random = rand.New(rand.NewPCG(seed, 7))
	for range 6 {
		w.addEndpoint("v1")
	}
	for i := range daemons {
		w.daemons = append(w.daemons, &originDaemon{name: namer.Host(fmt.Sprintf("h-%02d", i))})
	}
	for _, d := range w.daemons {
		w.start(d)
	}
	return w
}

// transmit encodes and decodes a message, as on its way to another daemon.
func (w *originWorld) transmit(message placer.Message) placer.Message {
	w.t.Helper()
	data, err := messenger.Marshal(message)
	if err != nil {
		w.t.Fatalf("encode %+v: %v", message, err)
	}
	var received placer.Message
	if err := messenger.Unmarshal(data, &received); err != nil {
		w.t.Fatalf("decode %+v: %v", message, err)
	}
	if err := received.Check(); err != nil {
		w.t.Fatalf("message would be refused: %v", err)
	}
	return received
}

func (w *originWorld) addEndpoint(build namer.Build) {
	w.last++
	name := namer.Endpoint(fmt.Sprintf("e-%03d", w.last))
	role := namer.RoleDecode
	if w.last%4 == 0 {
		role = namer.RolePrefill
	}
	w.endpoints[name] = &versionedEndpoint{view: decider.EndpointView{
		Name: name, Service: service, DataCentre: "a", Role: role, Concurrency: 64, Build: build, Incarnation: namer.Incarnation(w.last),
	}}
}

func (w *originWorld) view() decider.Fleet {
	view := decider.Fleet{Settling: originSettling, Services: []decider.ServiceView{{
		Name: service, Backups: true, EventTokens: eventTokens, StreamLifetime: originLifetime,
	}}}
	for build := range w.listed {
		view.Services[0].Builds = append(view.Services[0].Builds, build)
		if w.now-w.listedAt[build] > originSettling {
			view.Services[0].Settled = append(view.Services[0].Settled, build)
		}
	}
	for _, e := range w.endpoints {
		view.Endpoints = append(view.Endpoints, e.view)
	}
	for _, d := range w.daemons {
		view.Members = append(view.Members, decider.MemberView{Host: d.name, DataCentre: "a"})
	}
	return view
}

// clock returns the steady time of a daemon.
func (w *originWorld) clock(d *originDaemon) time.Time { return w.time().Add(-d.lost) }

// step runs a step of a daemon, at the end of its suspension if there is one.
func (w *originWorld) step(d *originDaemon, f func()) {
	if d.suspensions > 0 {
		d.pending = append(d.pending, f)
		return
	}
	if !d.down {
		f()
	}
}

// poll reads the object API for a daemon, again and again.
func (w *originWorld) poll(d *originDaemon, start int) {
	if d.down || d.starts != start {
		return
	}
	if d.storeCuts == 0 && d.suspensions == 0 {
		w.list()
		w.confirm(d, start)
	}
	w.after(time.Duration(10+w.random.Int64N(int64(originPoll/time.Millisecond)))*time.Millisecond, func() { w.poll(d, start) })
}

// list adds builds that serve to the list in the object API, and removes those whose last stream can't be taken up any more.
func (w *originWorld) list() {
	for _, e := range w.endpoints {
		if _, listed := w.listed[e.view.Build]; !listed {
			w.listedAt[e.view.Build] = w.now
		}
		w.listed[e.view.Build] = w.now
	}
	for build, at := range w.listed {
		if w.now-at > originLifetime+originSettling {
			delete(w.listed, build)
		}
	}
}

// confirm passes what the object API holds now to a daemon.
func (w *originWorld) confirm(d *originDaemon, start int) {
	view, read := w.view(), w.now
	w.after(networkDelay, func() {
		w.step(d, func() {
			if d.starts == start && read > d.confirmed {
				w.configure(d, view, read)
			}
		})
	})
}

// disrupt begins a disruption of a daemon, and ends it after a while.
func (w *originWorld) disrupt(d *originDaemon) {
	length := time.Duration(50+w.random.IntN(3000)) * time.Millisecond
	kinds := [][]*int{{&d.storeCuts}, {&d.storeCuts}, {&d.receiveCuts}, {&d.sendCuts}, {&d.receiveCuts, &d.sendCuts}, {&d.suspensions}, {&d.storeCuts, &d.receiveCuts}}
	for _, n := range kinds[w.random.IntN(len(kinds))] {
		*n++
		w.after(length, func() {
			*n--
			d.troubled = w.now
			if n == &d.suspensions {
				w.wake(d, length)
			}
		})
	}
}

func (w *originWorld) wake(d *originDaemon, length time.Duration) {
	if d.suspensions > 0 {
		return
	}
	d.lost += length
	pending := d.pending
	d.pending = nil
	w.random.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	for _, f := range pending {
		w.step(d, f)
	}
}

func (w *originWorld) start(d *originDaemon) {
	if d.storeCuts+d.suspensions > 0 { // it can't read its configuration
		w.after(100*time.Millisecond, func() { w.start(d) })
		return
	}
	d.down = false
	d.starts++
	d.startedAt = w.now
	d.core = &placer.Core{
		Self: d.name, Seed: w.random.Uint64(), Retries: placer.Retries{Ratio: 0.2, Slack: 500, Window: 10 * time.Second},
	}
	w.list()
	d.confirmed, d.unbrokenSince, d.gaps = w.now, w.now, 0
	w.configure(d, w.view(), w.now)
	w.tick(d, d.starts)
	w.poll(d, d.starts)
}

func (w *originWorld) tick(d *originDaemon, start int) {
	if d.down || d.starts != start {
		return
	}
	if d.suspensions == 0 {
		w.perform(d, d.core.Tick(w.clock(d)))
	}
	w.after(10*time.Millisecond, func() { w.tick(d, start) })
}

func (w *originWorld) kill(d *originDaemon) {
	if d.down {
		return
	}
	d.down, d.pending = true, nil
	for _, r := range w.requests {
		if r.daemon == d {
			delete(w.requests, r.id)
			w.loseConnection(r)
		}
	}
	w.after(time.Duration(50+w.random.IntN(800))*time.Millisecond, func() { w.start(d) })
}

// loseConnection makes the caller take up a stream that has broken off.
func (w *originWorld) loseConnection(r *originRequest) {
	if len(r.stream.builds) == 0 || r.tries >= 3 || w.now-r.stream.begunAt > originLifetime {
		return
	}
	w.after(time.Duration(2+w.random.IntN(150))*time.Millisecond, func() { w.send(r.stream, r.tries+1) })
}

func (w *originWorld) send(s *versionedStream, tries int) {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	if d.down || s.over {
		return
	}
	w.last++
	r := &originRequest{id: namer.StreamID(fmt.Sprint(w.last)), stream: s, daemon: d, tries: tries}
	w.requests[r.id] = r
	if r.counts = len(s.builds) > 0 && d.inStep(w.now) && w.serving(s.builds[0]) >= 2; r.counts {
		w.takenUp++
	}
	request := decider.Request{
		ID: r.id, Service: service, Idempotent: true, PromptTokens: 2000, MaxTokens: 114,
		Target: 300 * time.Millisecond, Attempts: 3, Stream: s.key, Continues: len(s.builds) > 0, Lifetime: originLifetime,
		Priority: w.random.IntN(2),
	}
	w.step(d, func() {
		if w.requests[r.id] == r {
			request.Deadline, request.Confirmation = w.clock(d).Add(originLifetime), w.confirmation(d)
			w.perform(d, d.core.Arrive(w.clock(d), request))
		}
	})
}

// serving returns the number of endpoints that can generate with a build.
func (w *originWorld) serving(build namer.Build) int {
	n := 0
	for _, e := range w.endpoints {
		if e.view.Build == build && e.view.Role != namer.RolePrefill && !e.down && !e.view.Leaving {
			n++
		}
	}
	return n
}

func (w *originWorld) observe(r *originRequest, e decider.Event) {
	e.Attempt, e.Endpoint = r.attempt, r.endpoint
	w.step(r.daemon, func() {
		if w.requests[r.id] == r && r.attempt == e.Attempt && r.endpoint == e.Endpoint {
			e.Request = r.id
			w.perform(r.daemon, r.daemon.core.Observe(w.clock(r.daemon), e))
		}
	})
}

func (w *originWorld) perform(d *originDaemon, actions []decider.Action) {
	for _, a := range slices.Clone(actions) {
		switch a.Kind {
		case decider.ActionSend:
			message := a.Message.(placer.Message)
			message = w.transmit(message)
			to := w.daemons[slices.IndexFunc(w.daemons, func(d *originDaemon) bool { return d.name == a.To })]
			if w.random.IntN(100) > 0 && d.sendCuts == 0 {
				w.after(networkDelay, func() {
					if to.receiveCuts == 0 {
						w.step(to, func() {
							to.core.Confirm(w.clock(to), w.confirmation(to))
							w.perform(to, to.core.Receive(w.clock(to), d.name, message))
						})
					}
				})
			}
		case decider.ActionRefuse:
			r := w.requests[a.Request]
			delete(w.requests, a.Request)
			w.loseConnection(r)
		case decider.ActionDispatch, decider.ActionPrefill:
			r := w.requests[a.Request]
			r.attempt, r.endpoint, r.started = a.Attempt, a.Endpoint, false
			w.after(time.Duration(2+w.random.IntN(30))*time.Millisecond, func() { w.arrive(r, a) })
		}
	}
}

// arrive handles an attempt that has reached its endpoint.
func (w *originWorld) arrive(r *originRequest, a decider.Action) {
	if w.requests[r.id] != r || r.attempt != a.Attempt || r.endpoint != a.Endpoint {
		return
	}
	e := w.endpoints[a.Endpoint]
	switch {
	case e == nil || e.down:
		w.observe(r, decider.Event{Kind: decider.EventFailed, Reason: classifier.RetryConnectFailed, NotRun: true})
	case a.Kind == decider.ActionPrefill:
		w.observe(r, decider.Event{Kind: decider.EventPrefilled})
	case w.now < e.fullUntil:
		w.observe(r, decider.Event{Kind: decider.EventFailed, Reason: classifier.RetryEndpointRefused, NotRun: true})
	default:
		r.started = true
		if len(r.stream.builds) == 0 {
			w.begun++
		} else if r.counts {
			w.wentOn++
			r.counts = false
		}
		if r.stream.builds = append(r.stream.builds, e.view.Build); r.stream.builds[0] != e.view.Build {
			w.joined++
		}
		w.observe(r, decider.Event{Kind: decider.EventStarted})
		if w.random.IntN(6) == 0 {
			w.after(time.Duration(5+w.random.IntN(300))*time.Millisecond, func() { w.disconnect(r) })
		}
		w.after(time.Duration(20+w.random.IntN(900))*time.Millisecond, func() {
			if w.requests[r.id] == r && r.attempt == a.Attempt && r.endpoint == a.Endpoint {
				r.stream.over = true
				w.step(r.daemon, func() {
					w.observe(r, decider.Event{Kind: decider.EventFinished, OutputTokens: 2})
					delete(w.requests, r.id)
				})
			}
		})
	}
}

// disconnect breaks the connection between a caller and its daemon.
func (w *originWorld) disconnect(r *originRequest) {
	if w.requests[r.id] != r || !r.started {
		return
	}
	w.step(r.daemon, func() {
		w.observe(r, decider.Event{Kind: decider.EventCancelled})
		delete(w.requests, r.id)
	})
	w.loseConnection(r)
}

// crash ends an endpoint and the streams at it.
func (w *originWorld) crash(name namer.Endpoint) {
	e := w.endpoints[name]
	if e.down {
		return
	}
	e.down = true
	for _, r := range w.requests {
		if r.endpoint == name && r.started && !r.daemon.down {
			w.after(networkDelay, func() {
				if r.endpoint == name {
					w.observe(r, decider.Event{Kind: decider.EventFailed, Reason: classifier.RetryStreamBroken, OutputTokens: 1})
				}
			})
		}
	}
	w.after(time.Duration(200+w.random.IntN(1500))*time.Millisecond, func() {
		delete(w.endpoints, name)
		w.addEndpoint(e.view.Build) // back under another name
	})
}

func (w *originWorld) someEndpoint() namer.Endpoint {
	names := make([]namer.Endpoint, 0, len(w.endpoints))
	for name := range w.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[w.random.IntN(len(names))]
}

// release replaces an endpoint by one of another build.
func (w *originWorld) release(build namer.Build) {
	old := w.someEndpoint()
	w.addEndpoint(build)
	w.after(time.Duration(w.random.IntN(1000))*time.Millisecond, func() {
		if e := w.endpoints[old]; e != nil && !e.down {
			e.view.Leaving = true
			w.after(originSettling+originLifetime, func() {
				delete(w.endpoints, old)
			})
		}
	})
}

// replaceBuilds has each build replaced by the next one, with a time between in which only one build serves, and disrupts
// daemons as the first endpoint of a build comes.
func (w *originWorld) replaceBuilds(next []namer.Build) {
	for i, build := range next {
		at := time.Duration(4+4*i) * time.Second
		for range 3 {
			w.after(at-time.Duration(w.random.IntN(1000))*time.Millisecond, func() { w.disrupt(w.daemons[w.random.IntN(len(w.daemons))]) })
		}
		w.after(at, func() {
			for _, e := range w.endpoints { // so that the new ones are wanted at once
				e.fullUntil = w.now + time.Duration(w.random.IntN(1500))*time.Millisecond
			}
		})
		for range 6 {
			w.after(at+time.Duration(w.random.IntN(1000))*time.Millisecond, func() { w.release(build) })
		}
	}
}

// Guards against streams that are joined from two builds, over releases, crashes, killed daemons, lost messages and callers
// that take streams up at other daemons, several times, some of which are out of step: cut off from the object API or from
// their peers, or standing still; and against refusing most of these at daemons in step (LOST).
func TestStreamsHaveOneBuild(t *testing.T) {
	is := is.New(t)
	takenUp, wentOn, begun, sent := 0, 0, 0, 0
	for seed := *originFirst; seed < *originFirst+*originSeeds; seed++ {
		w := newOriginWorld(t, seed, 8)
		builds := []namer.Build{"v1", "v2", "v1.1", "v3"}
		rest := 10 // kinds of events that may come
		if seed%2 == 0 {
			w.replaceBuilds(builds[1:])
			rest = 7
		}
		for at := 3 * time.Second; at < 16*time.Second; at += time.Duration(100+w.random.IntN(900)) * time.Millisecond {
			w.after(at, func() {
				switch n := w.random.IntN(rest); {
				case n >= 7:
					w.release(builds[w.random.IntN(1+int(w.now/(4*time.Second)))])
				case n < 2:
					w.disrupt(w.daemons[w.random.IntN(len(w.daemons))])
				case n < 4:
					w.crash(w.someEndpoint())
				case n < 6:
					w.kill(w.daemons[w.random.IntN(len(w.daemons))])
				case w.random.IntN(3) == 0:
					for _, d := range w.daemons {
						w.kill(d)
					}
				}
			})
		}
		for at := 3 * time.Second; at < 17*time.Second; at += 8 * time.Millisecond {
			w.after(at, func() {
				w.last++
				sent++
				s := &versionedStream{key: historian.StreamKey(w.random.Uint64() | 1), begunAt: w.now}
				w.streams = append(w.streams, s)
				w.send(s, 0)
			})
		}
		w.run(20 * time.Second)
		if w.joined > 0 {
			t.Errorf("seed %d: %d streams were joined, of %d that were taken up", seed, w.joined, w.takenUp)
		}
		takenUp, wentOn, begun = takenUp+w.takenUp, wentOn+w.wentOn, begun+w.begun
	}
	t.Logf("%d of %d take-ups went on, %d of %d streams began", wentOn, takenUp, begun, sent)
	is.True(takenUp > 100)
	is.True(2*wentOn*sent >= takenUp*begun) // LOST: half of the share of new streams
}

// originDaemons are cores that exchange messages at once. One serves engines of build v1, and later of another one.
type originDaemons struct {
	t       *testing.T
	view    decider.Fleet
	cores   map[namer.Host]*placer.Core
	refused classifier.Outcome   // of the last request
	sentTo  decider.EndpointView // the engine of the last request
	sent    decider.Action       // that sent it there
	retry   time.Duration        // Retry-After of the last refusal
	age     time.Duration        // of the fleet at all daemons
	settles time.Duration        // when nothing is missing any more that a restore of the object API has lost
	started bool                 // all daemons have started since the restore
}

func newOriginDaemons(t *testing.T, hosts ...namer.Host) *originDaemons {
	d := &originDaemons{t: t, cores: map[namer.Host]*placer.Core{}, view: decider.Fleet{Settling: time.Second, Services: []decider.ServiceView{{
		Name: service, EventTokens: eventTokens, StreamLifetime: 10 * time.Second, Builds: []namer.Build{"v1"},
	}}}}
	for _, name := range []namer.Endpoint{"a", "b"} {
		d.view.Endpoints = append(d.view.Endpoints, decider.EndpointView{Name: name, Service: service, Role: namer.RoleDecode, Concurrency: 64, Build: "v1"})
	}
	for _, host := range hosts {
		d.start(host, 0)
	}
	return d
}

// start adds a daemon that starts.
func (d *originDaemons) start(host namer.Host, at time.Duration) {
	d.view.Members = append(d.view.Members, decider.MemberView{Host: host})
	d.cores[host] = &placer.Core{Self: host, Seed: 1, Retries: placer.Retries{Ratio: 1, Slack: 100, Window: 10 * time.Second}}
	d.configure(at)
}

// confirmation is that of a fleet that has been followed from the beginning, or since it has settled.
func (d *originDaemons) confirmation(at time.Duration) decider.Confirmation {
	if d.settles > 0 {
		return decider.Confirmation{Known: true, Age: d.age, Unbroken: at - d.settles, Unsettled: d.started && at < d.settles}
	}
	return decider.Confirmation{Known: true, Age: d.age, Unbroken: at + time.Second}
}

// confirm tells all daemons how current the fleet is.
func (d *originDaemons) confirm(at time.Duration) {
	for _, core := range d.cores {
		core.Confirm(epoch.Add(at), d.confirmation(at))
	}
}

func (d *originDaemons) configure(at time.Duration) {
	for _, core := range d.cores {
		core.Configure(epoch.Add(at), d.view)
	}
	d.confirm(at)
}

func (d *originDaemons) tick(at time.Duration) {
	for host, core := range d.cores {
		d.perform(at, host, core.Tick(epoch.Add(at)))
	}
}

func (d *originDaemons) perform(at time.Duration, host namer.Host, actions []decider.Action) {
	for _, a := range slices.Clone(actions) {
		switch a.Kind {
		case decider.ActionRefuse:
			d.refused, d.retry = a.Outcome, a.RetryAfter
		case decider.ActionDispatch:
			d.sent = a
			for _, e := range d.view.Endpoints {
				if e.Name == a.Endpoint {
					d.sentTo = e
				}
			}
			d.perform(at, host, d.cores[host].Observe(epoch.Add(at), decider.Event{Kind: decider.EventStarted, Request: a.Request, Attempt: a.Attempt, Endpoint: a.Endpoint}))
		case decider.ActionSend:
			if to := d.cores[a.To]; to != nil {
				d.perform(at, a.To, to.Receive(epoch.Add(at), host, a.Message.(placer.Message)))
			}
		}
	}
}

// send sends a request that begins or continues a stream, and waits for its decision.
func (d *originDaemons) send(at time.Duration, host namer.Host, key historian.StreamKey, continues bool) {
	d.refused, d.sentTo = "", decider.EndpointView{}
	d.perform(at, host, d.cores[host].Arrive(epoch.Add(at), decider.Request{
		ID: namer.NewStreamID(), Service: service, Idempotent: true, PromptTokens: 100, MaxTokens: 57, Deadline: epoch.Add(at + 10*time.Second),
		Target: time.Second, Attempts: 2, Stream: key, Continues: continues, Lifetime: 10 * time.Second, Confirmation: d.confirmation(at),
	}))
	d.tick(at + 50*time.Millisecond)
}

// Guards against streams that nobody knows because they began while one build served, at a daemon that has been killed since.
func TestStreamsBeforeSecondBuildStayKnown(t *testing.T) {
	is := is.New(t)
	d := newOriginDaemons(t, "h-1", "h-2", "h-3")
	d.send(20*time.Second, "h-1", 7, false)
	is.Equal(d.sentTo.Build, namer.Build("v1"))
	d.view.Services[0].Builds = []namer.Build{"v1", "v2"}
	d.view.Endpoints = append(d.view.Endpoints, decider.EndpointView{Name: "c", Service: service, Role: namer.RoleDecode, Concurrency: 64, Build: "v2"})
	d.configure(21 * time.Second)
	d.tick(21*time.Second + 10*time.Millisecond)
	delete(d.cores, "h-1")
	d.send(23*time.Second, "h-2", 7, true)
	is.Equal(d.refused, classifier.Outcome(""))
	is.Equal(d.sentTo.Build, namer.Build("v1"))
	d.send(23*time.Second, "h-2", 8, true)
	is.Equal(d.refused, classifier.StreamUnknown)
}

// Guards against a stream that goes on at the build in the old entry of an endpoint which has restarted with another build
// under its name: which of the two wrote its events isn't known, also if the entry was gone in between.
func TestRestartWithAnotherBuildMakesOriginsUncertain(t *testing.T) {
	for name, gone := range map[string]bool{"entry changes": false, "entry goes and comes back": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newOriginDaemons(t, "h-1")
			d.view.Endpoints = append(d.view.Endpoints, decider.EndpointView{Name: "c", Service: service, Role: namer.RoleDecode, Concurrency: 64, Build: "v2"})
			d.configure(20 * time.Second)
			at := map[historian.StreamKey]namer.Endpoint{}
			for key := range historian.StreamKey(30) {
				d.send(22*time.Second, "h-1", key+1, false)
				at[key+1] = d.sentTo.Name
			}
			a := slices.IndexFunc(d.view.Endpoints, func(e decider.EndpointView) bool { return e.Name == "a" })
			if gone {
				all := d.view.Endpoints
				d.view.Endpoints = slices.Delete(slices.Clone(all), a, a+1)
				d.configure(22500 * time.Millisecond)
				d.view.Endpoints = all
			}
			d.view.Endpoints[a].Build, d.view.Endpoints[a].Incarnation = "v3", 2
			d.configure(23 * time.Second)
			uncertain := 0
			for key, began := range at {
				d.send(23*time.Second, "h-1", key, true)
				if began == "a" {
					uncertain++
					is.Equal(d.refused, classifier.StreamUnknown)
					continue
				}
				is.Equal(d.refused, classifier.Outcome(""))
			}
			is.True(uncertain > 0)
		})
	}
}
