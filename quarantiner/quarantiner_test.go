package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"apricotspool/namer"
	"apricotspool/quarantiner"
)

const service = namer.Service("llm")

// ending returns the ending of an engine under requests with the given parts, dispatched half a second before.
func ending(at namer.Seconds, engine int, request quarantiner.Request, parts ...quarantiner.Part) quarantiner.Ending {
	return quarantiner.Ending{
		Process: quarantiner.Process{Endpoint: namer.Endpoint(fmt.Sprintf("e-%d", engine))}, Service: service, At: at,
		Suspects: []quarantiner.Suspect{{Request: request, DispatchedAt: at - 0.5, Parts: parts}},
	}
}

// Guards against blaming a part that only shares requests with the one that ends engines, and against missing that
// one.
func TestDueParts(t *testing.T) {
	type step struct {
		end     []quarantiner.Part // of the request that ends an engine
		request quarantiner.Request
		success []quarantiner.Part
		wait    namer.Seconds // 1 if 0
	}
	type parts = []quarantiner.Part
	for name, c := range map[string]struct {
		steps []step
		due   parts
	}{
		"two endings":          {[]step{{end: parts{1, 2}, request: 1}, {end: parts{1, 2}, request: 2}}, nil},
		"the deepest":          {[]step{{end: parts{1, 2}, request: 1}, {end: parts{1, 2}, request: 2}, {end: parts{1, 2}, request: 3}}, parts{2}},
		"others change":        {[]step{{end: parts{1, 2, 5}, request: 1}, {end: parts{1, 2, 6}, request: 2}, {end: parts{1, 2}, request: 3}}, parts{2}},
		"first part":           {[]step{{end: parts{1, 2}, request: 1}, {end: parts{1, 3}, request: 2}, {end: parts{1, 4}, request: 3}}, parts{1}},
		"the same request":     {[]step{{end: parts{1, 2}, request: 1}, {end: parts{1, 2}, request: 1}, {end: parts{1, 2}, request: 1}}, nil},
		"at once":              {[]step{{end: parts{2}, request: 1, wait: 0.1}, {end: parts{2}, request: 2, wait: 0.1}, {end: parts{2}, request: 3}}, nil},
		"a success in between": {[]step{{end: parts{2}, request: 1}, {end: parts{2}, request: 2}, {success: parts{2}}, {end: parts{2}, request: 3}}, nil},
		"a success before":     {[]step{{success: parts{2}}, {end: parts{2}, request: 1}, {end: parts{2}, request: 2}, {end: parts{2}, request: 3}}, parts{2}},
		"years later":          {[]step{{end: parts{2}, request: 1}, {end: parts{2}, request: 2, wait: 1e8}, {end: parts{2}, request: 3}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var table quarantiner.Table
			now := namer.Seconds(10)
			for i, s := range c.steps {
				if s.end != nil {
					table.RecordEnding(now, ending(now, i, s.request, s.end...))
				} else {
					table.RecordSuccess(now, service, s.success)
				}
				if now += s.wait; s.wait == 0 {
					now++
				}
			}
			is.Equal(table.Due(now), c.due)
		})
	}
}

// Guards against keeping the part that ends engines in use because one that requests with it have in common was
// blocked first.
func TestSharedPartAfterDeepest(t *testing.T) {
	is := is.New(t)
	var table quarantiner.Table
	for i := range 3 {
		now := namer.Seconds(10 + i)
		table.RecordEnding(now, ending(now, i, quarantiner.Request(i), 1, 2, 3))
	}
	is.Equal(table.Due(13), []quarantiner.Part{3})
	table.Block(13, 3)
	is.Equal(table.Due(13), nil)
	table.RecordEnding(14, ending(14, 4, 4, 1, 2, 5))
	is.Equal(table.Due(14.5), []quarantiner.Part{2})
}

// Guards against blaming a part whose requests were lost like many others.
func TestCoincidence(t *testing.T) {
	is := is.New(t)
	var alone quarantiner.Table
	for i := range 3 {
		now := namer.Seconds(10 + i)
		alone.RecordEnding(now, ending(now, i, quarantiner.Request(i), 1))
	}
	is.Equal(alone.Due(13), []quarantiner.Part{1})
	is.Equal(alone.Judge(1, 100, 3), quarantiner.Proven)
	is.Equal(alone.Judge(1, 100, 30), quarantiner.Unproven)
	is.Equal(alone.Judge(1, 0, 3), quarantiner.Unproven) // nothing succeeds
}

// Guards against a part that is forgotten or tried by several requests, and against one that stays blocked after a
// success.
func TestBlock(t *testing.T) {
	is := is.New(t)
	var table, restarted, other quarantiner.Table
	for i := range 3 {
		now := namer.Seconds(10 + i)
		table.RecordEnding(now, ending(now, i, quarantiner.Request(i), 1))
	}
	table.Block(13, 1)
	left, blocked := table.Blocked(20, 1)
	is.True(blocked)
	is.Equal(left, namer.Seconds(53))
	for _, b := range table.Blocks() {
		is.True(restarted.Merge(20, b))
		is.True(!restarted.Merge(20, b))
		is.True(other.Merge(20, b))
	}
	is.Equal(restarted.Endings(1), table.Endings(1))

	is.True(!restarted.BeginTrial(72, 1, 0))
	is.True(!restarted.BeginTrial(73, 1, 10))
	is.True(restarted.BeginTrial(73, 1, 0))
	is.True(!restarted.BeginTrial(74, 1, 0))
	restarted.EndTrial(1) // without a result
	is.True(restarted.BeginTrial(75, 1, 0))
	is.True(other.Merge(76, restarted.Block(76, 1))) // failed
	left, _ = other.Blocked(76, 1)
	is.Equal(left, namer.Seconds(240))
	is.True(!other.Merge(77, table.Blocks()[0])) // an earlier state

	is.True(restarted.BeginTrial(316, 1, 0))
	cleared := restarted.RecordSuccess(317, service, []quarantiner.Part{1})
	is.Equal(len(cleared), 1)
	is.True(cleared[0].Blocked)
	is.True(other.Clear(317.1, cleared[0]).Blocked)
	is.True(!restarted.Blocking())
	is.True(!other.Blocking())
	is.True(!other.Merge(318, table.Blocks()[0])) // a late message
}

// Guards against a repeated message about an ending that counts after a success has cleared the part.
func TestRepeatedMessagesCountOnce(t *testing.T) {
	is := is.New(t)
	var table quarantiner.Table
	for i := range 3 {
		now := namer.Seconds(10 + i)
		for range 3 {
			table.RecordEnding(now, ending(now, i, quarantiner.Request(i), 1))
		}
		is.Equal(len(table.Endings(1)), i+1)
	}
	table.RecordSuccess(13, service, []quarantiner.Part{1})
	table.RecordEnding(14, ending(12, 2, 2, 1))
	is.Equal(len(table.Endings(1)), 0)
}

// Guards against a table that grows with the number of parts, and against dropping the blocked ones for others.
func TestBoundedSize(t *testing.T) {
	is := is.New(t)
	var table quarantiner.Table
	table.Block(0, 1)
	for i := range 3 * quarantiner.MaxTracked {
		now := namer.Seconds(i) / 100
		table.RecordEnding(now, ending(now, i, quarantiner.Request(i), quarantiner.Part(1000+i)))
		is.True(table.Len() <= quarantiner.MaxTracked)
	}
	_, blocked := table.Blocked(200, 1)
	is.True(blocked)
	for i := range 3 * quarantiner.MaxBlocked {
		table.Block(300+namer.Seconds(i), quarantiner.Part(1e6+i))
	}
	is.Equal(len(table.Blocks()), quarantiner.MaxBlocked)
}

// crashDay simulates the requests of a service on engines that end at random, or under the part bad if it isn't 0. It
// returns the blocked parts and the number of engines that ended before the first block.
func crashDay(seed uint64, perSecond float64, parts, engines int, every, length, took namer.Seconds, bad quarantiner.Part) ([]quarantiner.Part, int) {
	type running struct {
		suspect quarantiner.Suspect
		engine  int
		until   namer.Seconds
	}
	var table quarantiner.Table
	const generating = 1.2 // then a stream that goes on is a success
	random := rand.New(rand.NewPCG(seed, 1))
	var active []running
	var blocked []quarantiner.Part
	downUntil, ends := make([]namer.Seconds, engines), 0
	next, crashAt, badAt := namer.Seconds(0), every*namer.Seconds(random.ExpFloat64()), namer.Seconds(5)
	for now := namer.Seconds(0); now < length; now += 0.02 {
		send := func(part quarantiner.Part, lasting namer.Seconds) {
			engine := random.IntN(engines)
			if _, is := table.Blocked(now, part); downUntil[engine] > now || is {
				return
			}
			s := quarantiner.Suspect{Request: quarantiner.Request(random.Uint64()), DispatchedAt: now, Parts: []quarantiner.Part{1, part}}
			active = append(active, running{s, engine, now + lasting})
		}
		for ; next <= now; next += namer.Seconds(random.ExpFloat64() / perSecond) {
			send(quarantiner.Part(100+random.IntN(parts)), min(generating, took*namer.Seconds(0.2+random.ExpFloat64())))
		}
		if bad != 0 && now >= badAt {
			send(bad, 1e9)
			badAt = now + namer.Seconds(random.ExpFloat64())
		}
		crash := func(engine int) {
			if downUntil[engine] > now {
				return
			}
			e := quarantiner.Ending{Process: quarantiner.Process{Endpoint: "e", Incarnation: namer.Incarnation(ends)}, Service: service, At: now}
			var rest []running
			for _, r := range active {
				if r.engine == engine {
					e.Suspects = append(e.Suspects, r.suspect)
				} else {
					rest = append(rest, r)
				}
			}
			active, downUntil[engine] = rest, now+2
			table.RecordLost(now, service, len(e.Suspects), 0)
			table.RecordEnding(now, e)
			if len(blocked) == 0 {
				ends++
			}
		}
		if every > 0 && now >= crashAt {
			crash(random.IntN(engines))
			crashAt += every * namer.Seconds(random.ExpFloat64())
		}
		var rest []running
		for _, r := range active {
			if now >= r.until {
				table.RecordSuccess(now, service, r.suspect.Parts)
			} else {
				rest = append(rest, r)
			}
		}
		active = rest
		for _, r := range active {
			if bad != 0 && r.suspect.Parts[1] == bad && now >= r.suspect.DispatchedAt+0.2 {
				crash(r.engine)
				break
			}
		}
		for _, part := range table.Due(now) {
			suspicion := table.Suspicion(part)
			if served, lost := table.Tally(now, service, suspicion.First); table.Judge(part, served, lost) == quarantiner.Proven {
				table.Block(now, part)
				blocked = append(blocked, part)
			}
		}
	}
	return blocked, ends
}

var crashDays = []struct {
	perSecond      float64
	parts, engines int
	every, took    namer.Seconds
}{
	{5, 3, 8, 1, 0.5}, {5, 100, 8, 1, 2}, {5, 10, 16, 0.5, 2}, {500, 10, 8, 1, 0.5}, {500, 3000, 8, 1, 0.5}, {500, 300, 16, 0.3, 1}, {50, 30, 8, 0.5, 3}, {50, 300, 8, 0.2, 1},
}

// Guards against blaming sound parts on days on which engines end at random.
func TestRandomCrashesBlockNothing(t *testing.T) {
	for _, d := range crashDays {
		for seed := range uint64(seeds) {
			blocked, ends := crashDay(seed, d.perSecond, d.parts, d.engines, d.every, 60, d.took, 0)
			if len(blocked) > 0 {
				t.Errorf("%+v, seed %d: %d ends, blocked %v", d, seed, ends, blocked)
			}
		}
	}
}

// Guards against missing a part under which engines end among those that end at random.
func TestFindsPartAmongRandomCrashes(t *testing.T) {
	for _, d := range crashDays {
		for seed := range uint64(seeds) {
			blocked, ends := crashDay(seed, d.perSecond, d.parts, d.engines, 10, 60, d.took, 2)
			if len(blocked) != 1 || blocked[0] != 2 || ends > 16 {
				t.Errorf("%+v, seed %d: %d ends, blocked %v", d, seed, ends, blocked)
			}
		}
	}
}

const seeds = 3
