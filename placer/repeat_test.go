package placer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/placer"
)

const crashingRequest decider.Fingerprint = 77

// ask submits requests at regular times to random daemons. As callers do, it repeats one that failed at another daemon,
// at once or after the time that it was told, for a second.
func (f *fleet) ask(k workload, perSecond float64, length time.Duration, repeats int) {
	for at := time.Duration(0); at < length; at += time.Duration(float64(time.Second) / perSecond) {
		f.after(at, func() {
			k := k
			if k.fingerprint == 0 {
				k.fingerprint = decider.Fingerprint(len(f.all)) + 1<<41
			}
			f.askOnce(k, f.now+time.Second, repeats)
		})
	}
}

func (f *fleet) askOnce(k workload, until time.Duration, repeats int) {
	up := f.hosts[f.random.IntN(len(f.hosts))]
	for up.down {
		up = f.hosts[f.random.IntN(len(f.hosts))]
	}
	r := f.arrive(up, k)
	var check func()
	check = func() {
		switch {
		case r.outcome == "" || r.outcome == "handled":
			f.after(10*time.Millisecond, check)
		case r.outcome == classifier.Served:
			f.answered++
		case r.outcome != classifier.Served && repeats > 0 && f.now+r.retryAfter < until:
			f.after(r.retryAfter+networkDelay, func() { f.askOnce(k, until, repeats-1) })
		}
	}
	f.after(5*time.Millisecond, check)
}

// newPlainFleet returns daemons and the endpoints of a plain service that takes 10 ms for a request.
func newPlainFleet(t testing.TB, hosts, endpoints int) *fleet {
	f := newFleet(t, hosts, 0, endpoints)
	f.view.Services[0].Plain = true
	f.configure()
	f.crashesAtOnce = true
	return f
}

// call is a request of a plain service; its prompt makes the model take 10 ms.
var call = workload{prompt: 2000, sessions: 1 << 30, output: 10, target: 150 * time.Millisecond, idempotent: true}

// Guards against a request that comes again and ends one endpoint after the other, at plain services and at engines,
// whichever daemon it reaches, and against refusing the requests beside it.
func TestCrashingRequestIsBlocked(t *testing.T) {
	for name, c := range map[string]struct {
		plain     bool
		endpoints int
		sound     float64 // requests per second
		crashing  float64
		lost      float64       // share of the messages
		down      bool          // a daemon dies after the first ending
		every     time.Duration // between the ends of endpoints for other reasons
	}{
		"plain":            {plain: true, endpoints: 4, sound: 60, crashing: 2},
		"often":            {plain: true, endpoints: 4, sound: 60, crashing: 10},
		"rarely":           {plain: true, endpoints: 4, sound: 20, crashing: 0.3},
		"without others":   {plain: true, endpoints: 4, sound: 1, crashing: 2},
		"many others":      {plain: true, endpoints: 5, sound: 200, crashing: 2},
		"lossy":            {plain: true, endpoints: 6, sound: 60, crashing: 2, lost: 0.3},
		"engines":          {endpoints: 6, sound: 40, crashing: 2},
		"other ends":       {plain: true, endpoints: 8, sound: 60, crashing: 2, every: 2 * time.Second},
		"the decider dies": {plain: true, endpoints: 6, sound: 60, crashing: 2, down: true},
	} {
		for seed := range uint64(2) {
			t.Run(name, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newPlainFleet(t, 9, c.endpoints)
				f.view.Services[0].Plain = c.plain
				f.configure()
				f.random = rand.New(rand.NewPCG(seed, 7))
				f.inspect = func(_ namer.Host, m placer.Message) { is.NoErr(m.Check()) }
				if c.lost > 0 {
					f.dropMessage = func(_, _ namer.Host) bool { return f.random.Float64() < c.lost }
				}
				f.ask(call, c.sound, 18*time.Second, 1)
				f.run(3 * time.Second)
				f.crashingRequest = crashingRequest
				crashing := call
				crashing.fingerprint = crashingRequest
				f.ask(crashing, c.crashing, 15*time.Second, 1)
				for at := c.every; c.every > 0 && at < 15*time.Second; at += c.every {
					f.after(at, func() { f.crashAndRestart(f.names[f.random.IntN(c.endpoints)]) })
				}
				if c.down {
					for len(f.ends) == 0 {
						f.run(f.now + 10*time.Millisecond)
					}
					f.hosts[seed%9].down = true
				}
				f.run(20 * time.Second)
				is.True(len(f.ends) >= 3)
				late := 0
				if len(f.crashingRuns) >= 3 {
					late = f.crashingSent(f.crashingRuns[2]+3*time.Second, f.now)
				}
				sound, served := 0, 0
				for _, r := range f.all {
					if !f.crashes(r) && r.arrived > 10*time.Second && !r.host.down {
						sound++
						if r.outcome == classifier.Served {
							served++
						}
					}
				}
				t.Logf("seed %d: %d ends, %d late, %d of %d sound requests served after 10 s", seed, len(f.ends), late, served, sound)
				is.True(late <= 3)
				is.True(float64(served) >= 0.99*float64(sound))
				for part, n := range f.reported(decider.RequestBlocked) {
					is.True(n > 0 && part == uint64(crashingRequest) || f.longestBlock(part) == 0)
				}
			})
		}
	}
}

// longestBlock returns the longest block of a request that was reported.
func (f *fleet) longestBlock(fingerprint uint64) time.Duration {
	longest := time.Duration(0)
	for _, a := range f.reports {
		if a.Report == decider.RequestBlocked && a.Part == fingerprint {
			longest = max(longest, a.ReportDuration)
		}
	}
	return longest
}

// crashDay simulates a day on which endpoints end for other reasons than their requests.
type crashDay struct {
	perSecond, alike float64       // requests that no other is like, and those that are all alike
	every, rack      time.Duration // between the ends of single endpoints, and of three at once
	length           time.Duration
}

func (d crashDay) run(t testing.TB, seed uint64, sameUnknown bool) *fleet {
	f := newPlainFleet(t, 9, 6)
	f.random = rand.New(rand.NewPCG(seed, 8))
	f.sameUnknown = sameUnknown
	crash := func(every time.Duration, endpoints int) {
		for at := every; every > 0 && at < d.length; at += time.Duration(f.random.ExpFloat64() * float64(every)) {
			first := f.random.IntN(6)
			f.after(at, func() {
				for i := range endpoints {
					f.crashAndRestart(f.names[(first+i)%6])
				}
			})
		}
	}
	crash(d.every, 1)
	crash(d.rack, 3)
	f.ask(call, d.perSecond, d.length, 2)
	if d.alike > 0 {
		alike := call
		alike.fingerprint = 55
		f.ask(alike, d.alike, d.length, 2)
	}
	f.run(d.length + 3*time.Second)
	return f
}

// Guards against blaming sound requests on a day on which endpoints end for other reasons, one after the other or several
// at once: those that are repeated after each end, and one that many callers send alike. Those that were there at two
// ends in a row may wait for one to be tried, but as many are answered as without a quarantine.
func TestOrdinaryCrashesBlockNoRequest(t *testing.T) {
	for name, d := range map[string]crashDay{
		"each second":           {60, 0, time.Second, 0, 20 * time.Second},
		"three at once":         {60, 0, 0, 3 * time.Second, 20 * time.Second},
		"all the time":          {60, 0, 400 * time.Millisecond, 0, 20 * time.Second},
		"many requests":         {300, 0, 400 * time.Millisecond, 2 * time.Second, 8 * time.Second},
		"alike, each second":    {20, 40, time.Second, 0, 20 * time.Second},
		"alike, three at once":  {20, 40, 0, 3 * time.Second, 20 * time.Second},
		"alike, all the time":   {20, 40, 400 * time.Millisecond, 4 * time.Second, 20 * time.Second},
		"seldom alike and both": {60, 2, 700 * time.Millisecond, 4 * time.Second, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			answered, without := 0, 0
			for seed := range uint64(2) {
				f, other := d.run(t, seed, false), d.run(t, seed, true)
				answered, without = answered+f.answered, without+other.answered
				held, longest := 0, time.Duration(0)
				for _, r := range f.all {
					if r.outcome == classifier.RequestBlocked {
						held++
						is.True(r.retryAfter < 500*time.Millisecond)
					}
				}
				for part := range f.reported(decider.RequestBlocked) {
					longest = max(longest, f.longestBlock(part))
				}
				t.Logf("seed %d: %d ends, %d requests, %d held back, blocked for %s, %d answered, %d without quarantine", seed, len(f.ends), len(f.all), held, longest, f.answered, other.answered)
				is.Equal(longest, time.Duration(0))
			}
			is.True(float64(answered) >= 0.99*float64(without))
		})
	}
}

// endUnder ends the endpoint of a request's attempt, which its daemon notices.
func (f *fleet) endUnder(r *trackedRequest) {
	f.observe(r, decider.Event{Kind: decider.EventFailed, Attempt: r.attempt, Endpoint: r.endpoint, Reason: classifier.RetryStreamBroken, Ended: true})
}

// Guards against two daemons that try a request at the same time.
func TestOneDaemonTriesHeldRequest(t *testing.T) {
	is := is.New(t)
	f := newPlainFleet(t, 3, 6)
	k := call
	k.fingerprint, k.attempts = crashingRequest, 1
	for range 2 {
		f.endUnder(f.arrive(f.hosts[0], k))
		f.run(f.now + 20*time.Millisecond)
	}
	f.run(f.now + 300*time.Millisecond)
	is.Equal(f.reported(decider.RequestBlocked)[uint64(crashingRequest)], 3)
	trial := f.arrive(f.hosts[1], k)
	f.run(f.now + 2*networkDelay)
	is.Equal(trial.outcome, classifier.Outcome(""))
	for _, h := range f.hosts {
		is.Equal(f.arrive(h, k).outcome, classifier.RequestBlocked)
	}
	f.endUnder(trial)
	f.run(f.now + 2*networkDelay)
	for _, h := range f.hosts {
		is.True(f.arrive(h, k).retryAfter > 30*time.Second)
	}
}

// Guards against daemons that hold back a request whose success only one of them has seen.
func TestSuccessElsewhereFreesRequest(t *testing.T) {
	is := is.New(t)
	f := newPlainFleet(t, 6, 6)
	k := call
	k.fingerprint, k.attempts = crashingRequest, 1
	f.endUnder(f.arrive(f.hosts[0], k))
	f.run(f.now + 20*time.Millisecond)
	sound := f.arrive(f.hosts[1], k)
	f.run(f.now + 400*time.Millisecond) // its endpoint lives on
	is.Equal(sound.outcome, classifier.Served)
	f.endUnder(f.arrive(f.hosts[2], k))
	f.run(f.now + 200*time.Millisecond) // the first in rank has asked
	for _, h := range f.hosts {
		is.Equal(f.arrive(h, k).outcome, classifier.Outcome(""))
	}
}
