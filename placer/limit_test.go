package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/messenger"
	"apricotspool/namer"
	"apricotspool/placer"
)

// plainCall is a request of a plain service.
var plainCall = workload{prompt: 1, sessions: 1, target: 300 * time.Millisecond, idempotent: true, attempts: 2}

// limitAll makes endpoints state a rate.
func (f *fleet) limitAll(rate namer.Rate, names ...namer.Endpoint) {
	for _, name := range names {
		f.limits[name] = rate
	}
}

// allowed returns the bound on the attempts in 4 s at an endpoint that states a rate.
func allowed(rate namer.Rate) int { return int(1.5*4*rate) + 5 }

// Guards against daemons that together exceed the rate that an endpoint states: while all is well, while messages are
// lost, while the owner of the limit is dead or its messages are lost, while no daemon reaches another, and where there
// are many daemons.
func TestDaemonsKeepStatedRate(t *testing.T) {
	for name, c := range map[string]struct {
		hosts   int
		rate    namer.Rate
		plain   bool
		disturb func(f *fleet) // after 4 s
		least   float64        // part of the rate that is used
	}{
		"engines":                     {hosts: 9, rate: 7, least: 0.5},
		"engines, one daemon":         {hosts: 1, rate: 7, least: 0.5},
		"plain endpoints":             {hosts: 9, rate: 7, plain: true, least: 0.8},
		"plain endpoints, one daemon": {hosts: 1, rate: 7, plain: true, least: 0.8},
		"below one a second":          {hosts: 9, rate: 0.5, plain: true, least: 0.5},
		"zero":                        {hosts: 9, rate: 0, plain: true},
		"huge":                        {hosts: 9, rate: 1e300, plain: true},
		"many daemons":                {hosts: 60, rate: 5, plain: true, least: 0.5},
		"lost messages": {hosts: 9, rate: 7, plain: true, least: 0.3, disturb: func(f *fleet) {
			f.dropMessage = func(namer.Host, namer.Host) bool { return f.random.IntN(5) == 0 }
		}},
		"lost messages, engines": {hosts: 9, rate: 7, least: 0.3, disturb: func(f *fleet) {
			f.dropMessage = func(namer.Host, namer.Host) bool { return f.random.IntN(5) == 0 }
		}},
		"dead daemons": {hosts: 9, rate: 7, plain: true, least: 0.2, disturb: func(f *fleet) {
			for _, h := range f.hosts[:4] {
				h.down = true
			}
		}},
		"no daemon reaches another": {hosts: 9, rate: 7, plain: true, least: 0.2, disturb: func(f *fleet) {
			f.dropMessage = func(namer.Host, namer.Host) bool { return true }
		}},
		"no daemon reaches another, engines": {hosts: 9, rate: 7, least: 0.1, disturb: func(f *fleet) {
			f.dropMessage = func(namer.Host, namer.Host) bool { return true }
		}},
		"none of many daemons reaches another": {hosts: 60, rate: 5, plain: true, disturb: func(f *fleet) {
			f.dropMessage = func(namer.Host, namer.Host) bool { return true }
		}},
		"halves": {hosts: 8, rate: 7, plain: true, least: 0.3, disturb: func(f *fleet) {
			f.dropMessage = func(from, to namer.Host) bool { return (from < "h-04") != (to < "h-04") }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			f := newFleet(t, c.hosts, 2, 2)
			load, perSecond := longPrompt, 30.0
			if c.plain {
				f = newFleet(t, c.hosts, 0, 4)
				f.view.Services[0].Plain = true
				f.configure()
				load, perSecond = plainCall, 80
			}
			f.generateLoad(load, perSecond, 24*time.Second)
			f.run(time.Second)
			limited := []namer.Endpoint{f.names[0], f.names[2]}
			f.limitAll(c.rate, limited...)
			f.run(4 * time.Second)
			if c.disturb != nil {
				c.disturb(f)
			}
			f.run(24 * time.Second)
			for _, name := range limited {
				sent := 0
				for _, at := range f.sent[name] {
					if at > 8*time.Second {
						sent++
					}
				}
				t.Logf("%s: %d in 4 s, %d allowed, %d in 16 s, %.0f stated", name, f.mostSent(name, 4*time.Second), allowed(min(c.rate, 1e6)), sent, 16*min(c.rate, 1e6))
				is.True(f.mostSent(name, 4*time.Second) <= allowed(min(c.rate, 1e6)))
				is.True(float64(sent) >= c.least*16*float64(c.rate)-1)
			}
		})
	}
}

// Guards against a limit that stays in force at daemons, or at an endpoint that has started again, after it is gone.
func TestLiftedLimitIsNoticed(t *testing.T) {
	for name, rate := range map[string]namer.Rate{"some": 4, "less than one a second": 0.4, "zero": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 5, 0, 2)
			f.view.Services[0].Plain = true
			f.configure()
			f.generateLoad(plainCall, 80, 80*time.Second)
			f.run(time.Second)
			f.limitAll(rate, f.names[0])
			f.run(20 * time.Second)
			delete(f.limits, f.names[0])
			f.run(35 * time.Second) // one request in ten seconds finds out
			is.True(f.mostSent(f.names[0], 31*time.Second) > 100)
			f.limitAll(rate, f.names[0])
			f.run(45 * time.Second)
			delete(f.limits, f.names[0])
			f.view.Endpoints[0].Incarnation++
			f.configure()
			restarted := f.now
			f.run(f.now + 4*time.Second)
			is.True(f.mostSent(f.names[0], restarted) > 100)
		})
	}
}

// Guards against ejecting an endpoint that refuses requests because it has more of them than it takes.
func TestLimitedEndpointIsNotEjected(t *testing.T) {
	for name, c := range map[string]struct {
		limited bool
		ejected bool
	}{"limited": {true, false}, "not limited": {false, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 0, 2)
			f.view.Services[0].Plain = true
			f.configure()
			if c.limited {
				f.limitAll(1000, f.names...)
				f.generateLoad(plainCall, 40, time.Second)
				f.run(time.Second)
			}
			for range 20 {
				r := f.arrive(f.hosts[0], plainCall)
				f.fail(r, r.attempt, classifier.RetryEndpointRefused, true)
			}
			ejected := false
			for _, report := range f.reports {
				ejected = ejected || report.Report == decider.EndpointEjected
			}
			is.Equal(ejected, c.ejected)
		})
	}
}

// Guards against requests that wait at a daemon for a rate limit, against refusals without the time to come back, and
// against callers that all come back at once.
func TestRefusesBeyondRateLimits(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 0, 2)
	f.view.Services[0].Plain = true
	f.configure()
	f.limitAll(10, f.names...)
	f.generateLoad(plainCall, 100, 10*time.Second)
	f.run(11 * time.Second)
	var returns [4]int // per second, of the callers refused between 5 s and 6 s
	refused := 0
	for _, r := range f.arrivedWithin(plainCall, 5*time.Second, 6*time.Second) {
		if r.outcome != classifier.EndpointsLimited {
			continue
		}
		refused++
		is.True(r.retryAfter > 0)
		returns[min(3, int(r.retryAfter/time.Second))]++
	}
	is.True(refused > 50)
	is.True(returns[0] <= 40) // twice what the endpoints take
	served := servedRatio(f.arrivedWithin(plainCall, 5*time.Second, 10*time.Second))
	t.Logf("%.2f served, %d refused, back by second: %v", served, refused, returns)
	is.True(served >= 0.15 && served <= 0.25)
}

// Guards against calls that are no attempts and don't count against the rate limit, whether the daemon that makes them
// owns the limit or not.
func TestOtherCallsAreCharged(t *testing.T) {
	for name, c := range map[string]func(f *fleet, h *host, limited namer.Endpoint){
		"reports": func(f *fleet, h *host, limited namer.Endpoint) {
			f.perform(h, h.core.Observe(f.time(), decider.Event{Kind: decider.EventCalled, Endpoint: limited}))
		},
		"orders": func(f *fleet, h *host, limited namer.Endpoint) {
			f.perform(h, h.core.Pause(f.time(), limited, 0))
		},
	} {
		for hosts := 1; hosts <= 3; hosts++ {
			t.Run(fmt.Sprintf("%s, %d daemons", name, hosts), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, hosts, 0, 2)
				f.view.Services[0].Plain = true
				f.configure()
				f.limitAll(4, f.names[0])
				f.generateLoad(plainCall, 40, 20*time.Second)
				f.run(4 * time.Second)
				before := len(f.sent[f.names[0]])
				for range 8 {
					c(f, f.hosts[hosts-1], f.names[0])
				}
				f.run(8 * time.Second)
				is.True(len(f.sent[f.names[0]])-before <= 10) // of 16, and the rest of the burst
			})
		}
	}
}

// Guards against streams that go on at a limited engine without being counted.
func TestResumedStreamsAreCharged(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	for range 20 {
		f.arrive(f.hosts[0], longOutput)
	}
	f.run(500 * time.Millisecond)
	f.limitAll(4, f.names...)
	for _, name := range f.names {
		limit := decider.StatedLimit{State: decider.LimitStated, Rate: 4}
		f.perform(f.hosts[0], f.hosts[0].core.Observe(f.time(), decider.Event{Kind: decider.EventLimit, Endpoint: name, RequestedAt: f.time(), Limit: limit}))
	}
	f.run(1500 * time.Millisecond)
	f.crash(f.names[0], time.Minute)
	f.run(1600 * time.Millisecond)
	f.view.Endpoints = f.view.Endpoints[1:]
	f.configure()
	f.run(3600 * time.Millisecond)
	is.Equal(f.arrive(f.hosts[0], longOutput).outcome, classifier.EndpointsLimited) // the streams have used two seconds' worth
	f.run(5 * time.Second)
	is.Equal(f.arrive(f.hosts[0], longOutput).outcome, classifier.Outcome(""))
}

// Guards against prompts that are processed although no engine that could generate the response has room.
func TestPromptIsNotProcessedInVain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 2, 2)
	f.limitAll(0, f.names[2:]...)
	f.generateLoad(longPrompt, 30, 12*time.Second)
	f.run(2 * time.Second)
	before := len(f.sent[f.names[0]]) + len(f.sent[f.names[1]])
	f.run(12 * time.Second)
	is.True(len(f.sent[f.names[0]])+len(f.sent[f.names[1]])-before <= 20) // each daemon asks each engine once in two seconds
}

// Guards against a limit of an endpoint's earlier incarnation that another daemon reports late.
func TestLimitOfEarlierIncarnationIsIgnored(t *testing.T) {
	for incarnation, limited := range map[namer.Incarnation]bool{0: true, 1: false} {
		is := is.New(t)
		f := newFleet(t, 2, 0, 2)
		f.view.Services[0].Plain = true
		f.view.Endpoints[0].Incarnation = incarnation
		f.configure()
		f.hosts[0].core.Receive(f.time(), f.hosts[1].name, placer.Message{Limit: &placer.LimitNotice{Endpoint: f.names[0], Limited: true, Rate: 3}})
		for range 4 {
			f.arrive(f.hosts[0], plainCall)
		}
		is.Equal(len(f.sent[f.names[0]]) == 0, limited) // the bucket is empty
	}
}

// Guards against streams that are cut because the engines that could continue them have reached their limits, and
// against engines at which they continue without being counted.
func TestStreamContinuesAtLimitedEngine(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 0, 3)
	f.limitAll(0, f.names...)
	var streams []*trackedRequest
	for i := range 3 {
		streams = append(streams, f.arrive(f.hosts[i], longOutput))
	}
	f.run(500 * time.Millisecond) // the daemons know the limits
	is.Equal(streams[0].outcome, classifier.Outcome(""))
	f.crashAndRestart(streams[0].endpoint)
	f.run(15 * time.Second)
	is.Equal(streams[0].outcome, classifier.Served)
	var last *trackedRequest
	for range 5 { // one in ten seconds is sent to each engine
		last = f.arrive(f.hosts[0], longOutput)
		f.run(f.now + 100*time.Millisecond)
	}
	is.Equal(last.outcome, classifier.EndpointsLimited)
}

// Measures the messages about one limited endpoint, by the number of daemons that have more requests than it takes.
//
//	go test ./placer -run '^$' -bench RateLimit -benchtime 1x
func BenchmarkRateLimit(b *testing.B) {
	for _, hosts := range []int{9, 60, 420} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			f := newFleet(b, hosts, 0, 1)
			f.view.Services[0].Plain = true
			f.configure()
			f.limitAll(5, f.names[0])
			f.generateLoad(plainCall, 10*float64(hosts), 10*time.Second)
			f.run(5 * time.Second)
			messages, size := 0, 0
			f.inspect = func(_ namer.Host, m placer.Message) {
				if m.ReserveRequest == nil && m.ReserveResponse == nil {
					return
				}
				encoded, err := messenger.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				messages, size = messages+1, size+len(encoded)
			}
			f.run(10 * time.Second)
			b.ReportMetric(float64(messages)/5/float64(hosts), "messages/s/daemon")
			b.ReportMetric(float64(messages)/5, "messages/s/owner")
			b.ReportMetric(float64(size)/float64(max(1, messages)), "B/message")
		})
	}
}
