package placer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/namer"
	"apricotspool/placer"
)

const (
	crashDelay = 50 * time.Millisecond
	// restartTime is the time until an ended engine is back under a new incarnation.
	restartTime = 2 * time.Second

	firstPart    = 1
	crashingPart = 2
	sessionParts = 100 // the first one; all sound
)

// crashes reports whether engines end as they generate a response to the request.
func (f *fleet) crashes(r *trackedRequest) bool {
	if f.crashingRequest != 0 && r.request.Fingerprint == f.crashingRequest {
		return true
	}
	return f.crashingPart != 0 && slices.ContainsFunc(r.request.Parts, func(p decider.Part) bool { return p.ID == f.crashingPart })
}

// crashAndRestart ends an engine, unless it has ended already, and restarts it.
func (f *fleet) crashAndRestart(name namer.Endpoint) {
	if f.engines[name].Down() {
		return
	}
	f.crash(name, restartTime)
	f.ends = append(f.ends, f.now)
	f.after(restartTime, func() {
		i := slices.IndexFunc(f.view.Endpoints, func(v decider.EndpointView) bool { return v.Name == name })
		f.view.Endpoints[i].Incarnation++
		f.configure()
	})
}

// answer is a workload whose prompts have the first part, one of a few session parts and their own.
var answer = workload{prompt: 700, shared: 600, output: 200, sessions: 40, target: 300 * time.Millisecond, idempotent: true}

// generate submits requests at regular times to random hosts, with the first part and the given one or a session's.
func (f *fleet) generate(k workload, perSecond float64, length time.Duration, part uint64) {
	for at := time.Duration(0); at < length; at += time.Duration(float64(time.Second) / perSecond) {
		f.after(at, func() {
			second := part
			if part == 0 {
				second = sessionParts + uint64(f.random.IntN(k.sessions))
			}
			f.arriveWith(f.hosts[f.random.IntN(len(f.hosts))], k, []decider.Part{{ID: firstPart, Tokens: 400}, {ID: second, Tokens: 200}})
		})
	}
}

// reported returns the parts of the reports of a kind.
func (f *fleet) reported(report decider.Report) map[uint64]int {
	parts := map[uint64]int{}
	for _, a := range f.reports {
		if a.Report == report {
			parts[a.Part]++
		}
	}
	return parts
}

// onlyBlocked checks that every daemon has blocked a part, and none another one.
func (f *fleet) onlyBlocked(t *testing.T, part uint64) {
	t.Helper()
	is := is.New(t)
	blocked := f.reported(decider.PromptPartBlocked)
	is.True(blocked[part] >= len(f.hosts))
	is.Equal(len(blocked), 1)
}

// crashingSent counts the runs of requests with the crashing part that began within a time span.
func (f *fleet) crashingSent(from, to time.Duration) int {
	n := 0
	for _, at := range f.crashingRuns {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Guards against requests that end one engine after the other because no daemon sees that their prompts have a
// part in common, and against refusing sound requests that share the caller and the first part.
func TestCrashingPartIsBlocked(t *testing.T) {
	for name, c := range map[string]struct {
		sound, crashing float64 // requests per second
		decode          int     // engines
		lost            float64 // share of the messages
		output          namer.Tokens
	}{
		"few": {8, 1, 5, 0, 200}, "many": {300, 1, 5, 0, 200}, "burst": {300, 5, 12, 0, 200}, "rare": {40, 0.3, 5, 0, 200},
		"lossy": {100, 1, 8, 0.3, 200}, "streams": {60, 1, 6, 0, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 6, 3, c.decode)
			f.inspect = func(_ namer.Host, m placer.Message) {
				is.NoErr(m.Check())
				if m.Quarantine != nil {
					encoded, err := cbor.Marshal(m)
					is.NoErr(err)
					is.True(len(encoded) <= 1300) // with the envelope, a datagram has 1400 bytes
				}
			}
			if c.lost > 0 {
				f.dropMessage = func(_, _ namer.Host) bool { return f.random.Float64() < c.lost }
			}
			k := answer
			k.output = c.output
			f.generate(k, c.sound, 25*time.Second, 0)
			f.run(5 * time.Second)
			f.crashingPart = crashingPart
			f.generate(k, c.crashing, 20*time.Second, crashingPart)
			f.run(35 * time.Second)
			is.True(len(f.ends) >= 3)
			late := 0
			if len(f.ends) >= 5 {
				late = f.crashingSent(f.ends[4]+3*time.Second, f.now)
			}
			blocked := f.reported(decider.PromptPartBlocked)
			sound, served := 0, 0
			for _, r := range f.all {
				if !f.crashes(r) && r.arrived > 15*time.Second {
					sound++
					if r.outcome == classifier.Served {
						served++
					}
				}
			}
			t.Logf("%d ends at %v; %d sent later than 3 s after the fifth; blocked %v; %d of %d sound requests served after 15 s", len(f.ends), f.ends, late, blocked, served, sound)
			is.True(late <= 3)
			f.onlyBlocked(t, crashingPart)
			is.True(float64(served) >= 0.98*float64(sound))
		})
	}
}

// Guards against a blocked part that is tried by every daemon, or never again.
func TestOneDaemonTriesBlockedPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 3, 5)
	f.crashingPart = crashingPart
	f.generate(answer, 20, 340*time.Second, 0)
	f.generate(answer, 2, 340*time.Second, crashingPart)
	f.run(30 * time.Second)
	f.onlyBlocked(t, crashingPart)
	f.generate(answer, 100, 90*time.Second, crashingPart)
	f.run(120 * time.Second)
	var refused *trackedRequest
	tried := 0
	for _, r := range f.all {
		if f.crashes(r) && r.arrived > 30*time.Second {
			refused = r
			if r.attempt > 0 {
				tried++
			}
		}
	}
	is.Equal(tried, 1)
	is.Equal(refused.outcome, classifier.PromptBlocked)
	is.True(refused.retryAfter > time.Minute)
	f.crashingPart = 0 // engines no longer end under it
	f.run(339 * time.Second)
	is.Equal(f.reported(decider.PromptPartCleared)[crashingPart], len(f.hosts))
	last := f.arriveWith(f.hosts[0], answer, []decider.Part{{ID: firstPart, Tokens: 400}, {ID: crashingPart, Tokens: 200}})
	f.run(345 * time.Second)
	is.Equal(last.outcome, classifier.Served)
}

// Guards against a blocked part that is in use again after all daemons have restarted.
func TestBlockOutlivesDaemons(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 3, 5)
	f.crashingPart = crashingPart
	f.generate(answer, 40, 40*time.Second, 0)
	f.generate(answer, 1, 40*time.Second, crashingPart)
	f.run(15 * time.Second)
	keepers := 0
	for i, h := range f.hosts {
		f.view.Members[i].Blocked = h.core.KeptParts(f.time())
		keepers += len(f.view.Members[i].Blocked)
		h.core = &placer.Core{Self: h.name, Seed: uint64(i), Retries: placer.Retries{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}}
	}
	is.Equal(keepers, 2)
	before := len(f.ends)
	for _, r := range f.all {
		delete(f.requests, r.request.ID) // lost with the daemons
	}
	f.reports = nil
	f.configure()
	f.run(50 * time.Second)
	is.Equal(len(f.ends), before)
	f.onlyBlocked(t, crashingPart)
}

// Guards against blaming a sound part on a day on which engines end for other reasons: one after the other, all at
// once, or so often that most requests are lost.
func TestOrdinaryCrashesBlockNoPart(t *testing.T) {
	type day struct {
		perSecond float64
		sessions  int
		every     time.Duration // between the endings of single engines
		rack      time.Duration // between the endings of several engines at once
	}
	for _, d := range []day{
		{5, 3, time.Second, 0},
		{5, 40, time.Second, 0},
		{5, 2, 300 * time.Millisecond, 0},
		{300, 10, time.Second, 0},
		{300, 300, time.Second, 0},
		{300, 40, 300 * time.Millisecond, 0},
		{300, 40, time.Second, 4 * time.Second},
		{60, 40, 600 * time.Millisecond, 0},
	} {
		for seed := range uint64(crashDaySeeds) {
			is := is.New(t)
			f := newFleet(t, 6, 3, 5)
			f.random = rand.New(rand.NewPCG(seed, 3))
			k := answer
			k.sessions = d.sessions
			f.generate(k, d.perSecond, 30*time.Second, 0)
			crash := func(every time.Duration, engines int) {
				for at := every; every > 0 && at < 30*time.Second; at += time.Duration(f.random.ExpFloat64() * float64(every)) {
					f.after(at, func() {
						for range engines {
							f.crashAndRestart(f.names[3+f.random.IntN(5)])
						}
					})
				}
			}
			crash(d.every, 1)
			crash(d.rack, 3)
			f.run(45 * time.Second)
			t.Logf("%+v seed %d: %d ends, served %.2f, suspected %d, blocked %v", d, seed, len(f.ends), servedRatio(f.all), len(f.reported(decider.PromptPartSuspected)), f.reported(decider.PromptPartBlocked))
			is.Equal(len(f.reported(decider.PromptPartBlocked)), 0)
		}
	}
}

const crashDaySeeds = 1

// Guards against a part that is blocked late because each engine that ends takes many sound requests with it.
func TestCrashingPartIsBlockedUnderLoad(t *testing.T) {
	for seed := range uint64(4) {
		is := is.New(t)
		f := newFleet(t, 9, 5, 4)
		f.crashesAtOnce = true
		f.random = rand.New(rand.NewPCG(seed, 5))
		short, chat := longPrompt, longOutput
		short.output, short.priority, short.idempotent, short.sessions = 2, 0, true, 1000
		chat.priority, chat.output, chat.idempotent = 6, 700, false
		f.generate(short, 130, 30*time.Second, 0)
		f.generate(chat, 13, 30*time.Second, 0)
		f.run(5 * time.Second)
		f.crashingPart = crashingPart
		f.generate(short, 3, 25*time.Second, crashingPart)
		f.run(40 * time.Second)
		is.True(len(f.ends) >= 5)
		late := f.crashingSent(f.ends[4]+3*time.Second, f.now)
		t.Logf("%d ends at %v; %d sent later than 3 s after the fifth; blocked %v", len(f.ends), f.ends, late, f.reported(decider.PromptPartBlocked))
		is.True(late <= 3)
		f.onlyBlocked(t, crashingPart)
	}
}
