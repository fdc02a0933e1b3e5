package placer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/modeler"
	"apricotspool/namer"
	"apricotspool/placer"
)

// Two kinds of endpoints. Engines take 60 ms for the part of a prompt that isn't cached, plain endpoints run six calls of
// 40 ms.
var (
	slowPrompt = workload{prompt: 2890, shared: 10, output: 2, sessions: 100_000, target: 500 * time.Millisecond, priority: 1, idempotent: true}
	slowStream = workload{prompt: 200, shared: 100, output: 720, sessions: 20, target: 150 * time.Millisecond, idempotent: true}
	plainOrder = workload{prompt: 1, output: 1, sessions: 1, target: 150 * time.Millisecond, idempotent: true, attempts: 2}
	plainClass = modeler.Class{
		StepBase: 40 * time.Millisecond, KVTokens: 1_000_000, MaxSequences: 6, StepTokens: 512, PrefillStepTokens: 512, CacheTokens: 1, ExportRate: 1,
	}
)

// returning is a fleet in which some endpoints are down, and return later.
type returning struct {
	*fleet
	class  modeler.Class
	names  []namer.Endpoint // that return
	others []namer.Endpoint
}

func newReturningEngines(t *testing.T, hosts, engines, down int, perSecond float64) *returning {
	class := slower(prefillClass, 4)
	f := newFleetOf(t, class, hosts, 0, engines)
	f.generateLoad(slowPrompt, perSecond, 30*time.Second)
	f.generateLoad(slowStream, perSecond/20, 30*time.Second)
	return (&returning{fleet: f, class: decodeClass(class)}).split(down)
}

func newReturningPlain(t *testing.T, hosts, endpoints, down int, perSecond float64) *returning {
	f := newFleetOf(t, plainClass, hosts, 0, endpoints)
	f.view.Services[0].Plain = true
	f.configure()
	f.generateLoad(plainOrder, perSecond, 30*time.Second)
	return (&returning{fleet: f, class: decodeClass(plainClass)}).split(down)
}

func (r *returning) split(down int) *returning {
	r.names, r.others = r.fleet.names[:down], r.fleet.names[down:]
	return r
}

// leave takes the endpoints out.
func (r *returning) leave() {
	for _, name := range r.names {
		r.engines[name].Crash(r.now)
		r.poll(r.engines[name])
		for i := range r.view.Endpoints {
			r.view.Endpoints[i].Leaving = r.view.Endpoints[i].Leaving || r.view.Endpoints[i].Name == name
		}
	}
	r.learn(0)
}

// comeBack starts the endpoints again, as another instance, with a multiple of the usual time for a while. The daemons learn
// of it within a time.
func (r *returning) comeBack(factor float64, cold, within time.Duration) {
	for _, name := range r.names {
		e := r.engines[name]
		e.Restart(r.now)
		e.Class = slower(r.class, factor)
		r.after(cold, func() { e.Class = r.class })
		for i := range r.view.Endpoints {
			if v := &r.view.Endpoints[i]; v.Name == name {
				v.Leaving, v.Incarnation = false, v.Incarnation+1
				v.WarmupLeft = cold
				if factor == 1 || cold > 10*time.Second {
					v.WarmupLeft = 0
				}
			}
		}
	}
	r.learn(within)
}

func (r *returning) learn(within time.Duration) {
	view := r.view
	view.Endpoints = slices.Clone(view.Endpoints)
	for _, h := range r.hosts {
		r.after(time.Duration(r.random.Float64()*float64(within)), func() { h.core.Configure(r.time(), view) })
	}
}

// flooded counts the requests that were sent to one of the endpoints within a time span, and missed their target or weren't
// served.
func (r *returning) flooded(from, to time.Duration) (missed, sent int) {
	for _, q := range r.all {
		if !slices.Contains(r.names, q.endpoint) || q.arrived < from || q.arrived >= to {
			continue
		}
		sent++
		if q.outcome != classifier.Served || q.firstEventAfter > q.request.Target {
			missed++
		}
	}
	return missed, sent
}

// share returns what the endpoints that returned were sent within a time span, relative to the others.
func (r *returning) share(from, to time.Duration) float64 {
	count := func(names []namer.Endpoint) float64 {
		n := 0
		for _, name := range names {
			for _, at := range r.sent[name] {
				if at >= from && at < to {
					n++
				}
			}
		}
		return float64(n) / float64(len(names))
	}
	return count(r.names) / max(1, count(r.others))
}

// idleUntil returns the time from a point until the endpoints get 0.9 of their share for half a second.
func (r *returning) idleUntil(from time.Duration) time.Duration {
	for at := from; ; at += 100 * time.Millisecond {
		if r.share(at, at+500*time.Millisecond) >= 0.9 || at > from+10*time.Second {
			return at - from
		}
	}
}

const returnAt = 10 * time.Second

// comeBackCold is a way of returning: five times slower than usual for two seconds.
func comeBackCold(r *returning) {
	r.leave()
	r.run(returnAt)
	r.comeBack(5, 2*time.Second, 50*time.Millisecond)
}

// Guards against endpoints that are flooded when they return, because their ledgers are empty and each daemon has its own
// view of them, and against those that stay idle, because what was measured while they were slow is never corrected.
func TestReturningEndpoints(t *testing.T) {
	engines := func(n, down int, perSecond float64) func(*testing.T) *returning {
		return func(t *testing.T) *returning { return newReturningEngines(t, 30, n, down, perSecond) }
	}
	plain := func(hosts int) func(*testing.T) *returning {
		return func(t *testing.T) *returning { return newReturningPlain(t, hosts, 3, 1, 200) }
	}
	slow := func(r *returning) {
		r.leave()
		r.run(returnAt)
		r.comeBack(10, time.Hour, 50*time.Millisecond)
	}
	crash := func(r *returning) { // the entry stays
		for _, name := range r.names {
			r.crash(name, 2*time.Second)
		}
		r.run(returnAt)
		for _, name := range r.names {
			e := r.engines[name]
			e.Class = slower(r.class, 5)
			r.after(2*time.Second, func() { e.Class = r.class })
		}
	}
	for name, c := range map[string]struct {
		make   func(t *testing.T) *returning
		how    func(r *returning)
		missed int           // at most, of the requests that are sent there in the first two seconds
		idle   time.Duration // at most, after it has become as fast as the others; 0 if it doesn't
	}{
		"one of 45 engines":                {engines(45, 1, 600), comeBackCold, 2, 1500 * time.Millisecond},
		"one of 12 engines":                {engines(12, 1, 150), comeBackCold, 2, 1500 * time.Millisecond},
		"a third of the engines":           {engines(12, 4, 110), comeBackCold, 4, 1500 * time.Millisecond},
		"engine that stays ten times slow": {engines(12, 1, 150), slow, 3, 0},
		"engine after a crash":             {engines(12, 1, 150), crash, 3, 1500 * time.Millisecond},
		"plain, 89 daemons":                {plain(89), comeBackCold, 20, 2500 * time.Millisecond},
		"plain, 30 daemons":                {plain(30), comeBackCold, 20, 2500 * time.Millisecond},
		"plain that stays ten times slow":  {plain(89), slow, 20, 0},
		"plain after a crash, 89 daemons":  {plain(89), crash, 50, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			r := c.make(t)
			r.run(returnAt - 2*time.Second)
			c.how(r)
			r.run(returnAt + 13*time.Second)
			missed, sent := r.flooded(returnAt, returnAt+2*time.Second)
			idle := r.idleUntil(returnAt + 2*time.Second)
			t.Logf("%s: %d of %d requests missed; 0.9 of its share %v after it was as fast as the others", name, missed, sent, idle)
			is.True(missed <= c.missed)
			is.True(c.idle == 0 || idle <= c.idle)
			is.True(sent > 0) // never nothing
		})
	}
}

// Guards against an endpoint that gets all that its kind does after a few good answers, and then none of it is answered.
func TestTenAnswersThenNone(t *testing.T) {
	for name, r := range map[string]*returning{
		"engine": newReturningEngines(t, 30, 12, 1, 150),
		"plain":  newReturningPlain(t, 89, 3, 1, 200),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r.run(returnAt - 2*time.Second)
			r.leave()
			r.run(returnAt)
			r.comeBack(1, time.Second, 50*time.Millisecond)
			answered := func() (n int) {
				for _, q := range r.all {
					if q.endpoint == r.names[0] && q.arrived >= returnAt && q.startedAt > 0 {
						n++
					}
				}
				return n
			}
			for answered() < 10 && r.now < returnAt+5*time.Second {
				r.run(r.now + time.Millisecond)
			}
			r.engines[r.names[0]].Class = slower(r.class, 1e5)
			r.run(r.now + 8*time.Second)
			sent := len(slices.DeleteFunc(slices.Clone(r.sent[r.names[0]]), func(at time.Duration) bool { return at < returnAt }))
			t.Logf("%s: %d requests sent, %d answered", name, sent, answered())
			is.True(sent-answered() <= tenThenNone[name])
		})
	}
}

// tenThenNone are the requests that may be lost: about two windows, and some trials.
var tenThenNone = map[string]int{"engine": 22, "plain": 30}

// Guards against a flapping endpoint that takes a flood in each of its lives.
func TestFlappingEndpoint(t *testing.T) {
	for name, r := range map[string]*returning{
		"engine": newReturningEngines(t, 30, 12, 1, 150),
		"plain":  newReturningPlain(t, 89, 3, 1, 200),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r.run(returnAt)
			for range 8 {
				r.leave()
				r.run(r.now + 300*time.Millisecond)
				r.comeBack(5, 2*time.Second, 50*time.Millisecond)
				r.run(r.now + 400*time.Millisecond)
			}
			broken := 0
			for _, at := range r.sent[r.names[0]] {
				if at >= returnAt {
					broken++
				}
			}
			t.Logf("%s: %d requests sent in eight lives", name, broken)
			is.True(broken <= 40)
		})
	}
}

// paced returns the reports about paces.
func (f *fleet) paced() (n int) {
	for _, a := range f.reports {
		if a.Report == decider.EndpointPaced {
			n++
		}
	}
	return n
}

// Guards against a fleet that is held back when it starts, and against a daemon that holds back endpoints because it is new
// itself.
func TestNothingIsPacedWithoutComparison(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 3, 5)
	all := f.view.Endpoints
	for i := range all { // the endpoints appear one after the other
		f.view.Endpoints = all[:i+1]
		f.configure()
	}
	f.generateLoad(longPrompt, 200, 3*time.Second)
	f.run(4 * time.Second)
	is.Equal(f.paced(), 0)
	for i := range all { // the whole fleet restarts
		all[i].Incarnation = 2
	}
	f.view.Endpoints = all
	f.configure()
	f.run(5 * time.Second)
	is.Equal(f.paced(), 0)
}

// Guards against a bound that is lost with the daemon that found it: the next owner starts from the summaries.
func TestNextOwnerKeepsPace(t *testing.T) {
	is := is.New(t)
	r := newReturningEngines(t, 12, 12, 1, 150)
	var owner namer.Host
	r.inspect = func(to namer.Host, m placer.Message) {
		if m.ReserveRequest != nil && m.ReserveRequest.Endpoint == r.names[0] {
			owner = to
		}
	}
	r.run(returnAt)
	r.crash(r.names[0], time.Second)
	r.engines[r.names[0]].Class = slower(r.class, 10)
	r.run(returnAt + 2*time.Second)
	for _, h := range r.hosts {
		h.down = h.down || h.name == owner
	}
	r.run(returnAt + 9*time.Second)
	missed, sent := r.flooded(returnAt+2*time.Second, returnAt+8*time.Second)
	t.Logf("%d of %d requests missed after %s was lost", missed, sent, owner)
	is.True(owner != "")
	is.True(missed <= 4)
	is.True(sent > 0)
}

// Guards against one daemon that can't reach an engine and holds it back for all: the others get answers.
func TestLoneFailuresDoNotBound(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 0, 6)
	f.generateLoad(longPrompt, 100, 6*time.Second)
	f.run(2 * time.Second)
	f.onDispatch = func(a decider.Action, _ uint64, _ bool) {
		r := f.requests[a.Request]
		if r.host == f.hosts[0] && a.Endpoint == f.names[0] {
			f.after(networkDelay/2, func() { f.fail(r, a.Attempt, classifier.RetryConnectFailed, true) })
		}
	}
	f.run(8 * time.Second)
	is.Equal(f.paced(), 0)
	is.True(len(f.reports) > 0) // the daemon itself has ejected it
}

// Guards against a plain endpoint that one daemon has ejected alone, and uses again only when its turn among all comes.
func TestLoneEjectionEndsSoon(t *testing.T) {
	is := is.New(t)
	r := newReturningPlain(t, 89, 3, 1, 400)
	r.run(returnAt)
	fail := true
	r.onDispatch = func(a decider.Action, _ uint64, _ bool) {
		q := r.requests[a.Request]
		if fail && q.host == r.hosts[0] && a.Endpoint == r.names[0] {
			r.after(networkDelay/2, func() { r.fail(q, a.Attempt, classifier.RetryConnectFailed, true) })
		}
	}
	r.run(returnAt + 2*time.Second)
	fail = false
	for i := range 400 {
		r.after(time.Duration(i)*10*time.Millisecond, func() { r.arrive(r.hosts[0], plainOrder) })
	}
	r.run(returnAt + 6*time.Second)
	counts := map[namer.Endpoint]int{}
	for _, q := range r.all {
		if q.host == r.hosts[0] && q.arrived > returnAt+4*time.Second {
			counts[q.endpoint]++
		}
	}
	t.Logf("requests of the daemon by endpoint: %v", counts)
	is.True(counts[r.names[0]] >= 40)
}
