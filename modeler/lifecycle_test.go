package modeler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/modeler"
	"apricotspool/namer"
)

func engineWith(role namer.Role) *modeler.Engine {
	return &modeler.Engine{Class: modeler.Large70B, Role: role}
}

// Guards against an export that ignores the bandwidth and against a decode engine that processes the
// prompt again.
func TestCacheMovesFromPrefillToDecode(t *testing.T) {
	is := is.New(t)
	job := modeler.Job{Stream: "s", Attempt: 1, Prompt: 39_000, Output: 10, Phase: modeler.PhasePrefill}
	prefill, decode := engineWith(namer.RolePrefill), engineWith(namer.RoleDecode)
	is.True(prefill.Submit(0, job))
	is.True(!decode.Submit(0, job)) // wrong role
	exported := prefill.Advance(time.Minute)
	is.Equal(len(exported), 1)
	is.Equal(exported[0].Kind, modeler.JobExported)
	// 39,000 tokens take 2.925 s of matrix products and 0.76 s of attention, then 0.5 s to export.
	is.True(exported[0].At > 4185*time.Millisecond && exported[0].At < 4500*time.Millisecond)
	is.Equal(prefill.Load(time.Minute).KVUsed, 0.0)

	job.Phase = modeler.PhaseDecode
	is.True(!prefill.Submit(time.Minute, job)) // wrong role
	is.True(decode.Submit(time.Minute, job))
	events := decode.Advance(2 * time.Minute)
	is.Equal(len(events), 2)
	is.True(events[0].At < time.Minute+20*time.Millisecond)
	is.Equal(events[1].Output, namer.Tokens(10))
}

// Guards against a draining engine that accepts new work or loses work, and against a role change that
// ends early or is applied despite a crash.
func TestRoleChangeDrainsFirstAndIsLostInACrash(t *testing.T) {
	is := is.New(t)
	e := engineWith(namer.RoleMixed)
	job := modeler.Job{Stream: "running", Attempt: 1, Prompt: 1000, Output: 100}
	is.True(e.Submit(0, job))
	e.Drain(0, true)
	is.True(!e.Submit(0, modeler.Job{Stream: "new", Prompt: 10, Output: 1}))
	is.True(e.Submit(0, modeler.Job{Stream: "import", Prompt: 10, Output: 1, Phase: modeler.PhaseDecode}))
	is.True(e.Load(0).Leaving)
	finished := 0
	for _, event := range e.Advance(time.Minute) {
		if event.Kind == modeler.JobFinished {
			finished++
		}
	}
	is.Equal(finished, 2)
	is.True(e.Idle())

	e.ChangeRole(time.Minute, namer.RolePrefill, 5*time.Second)
	is.True(!e.Submit(time.Minute+4*time.Second, job))
	e.Advance(time.Minute + 5*time.Second)
	is.Equal(e.Role, namer.RolePrefill)
	job.Phase = modeler.PhasePrefill
	is.True(e.Submit(time.Minute+5*time.Second, job))

	e.ChangeRole(2*time.Minute, namer.RoleDecode, 5*time.Second)
	e.Crash(2*time.Minute + time.Second)
	is.True(!e.Submit(2*time.Minute+time.Second, job))
	e.Restart(3 * time.Minute)
	is.Equal(e.Role, namer.RolePrefill)
	is.True(e.Submit(3*time.Minute, job))
}

// Guards against a crash that loses a job without an event or without its number of delivered tokens.
func TestCrashReportsWhatWasDelivered(t *testing.T) {
	is := is.New(t)
	e := engineWith(namer.RoleMixed)
	job := modeler.Job{Stream: "s", Attempt: 1, Prompt: 100, Output: 50}
	is.True(e.Submit(0, job))
	e.Advance(300 * time.Millisecond)
	e.Crash(300 * time.Millisecond)
	events := e.Advance(300 * time.Millisecond)
	is.Equal(len(events), 1)
	is.Equal(events[0].Kind, modeler.JobFailed)
	is.True(events[0].Output > 1 && events[0].Output < 50)
	is.Equal(e.Load(time.Second).KVUsed, 0.0)

	e.Restart(time.Second)
	job.Attempt, job.Delivered = 2, events[0].Output
	is.True(e.Submit(time.Second, job))
	events = e.Advance(time.Minute)
	is.Equal(events[len(events)-1].Output, namer.Tokens(50))
	// Delivered tokens are not generated again; each of the others takes 11 ms.
	is.True(events[len(events)-1].At-events[0].At < time.Duration(50-job.Delivered)*12*time.Millisecond)
}

// Guards against a prefix cache that saves no prefill, exceeds its limit or does not report its changes.
func TestPrefixCacheSavesPrefillAndEvictsTheOldest(t *testing.T) {
	is := is.New(t)
	e := engineWith(namer.RoleMixed)
	e.Class.CacheTokens = 8 * 256
	prefix := func(conversation uint64) []uint64 {
		blocks := make([]uint64, 8)
		for n := range blocks {
			blocks[n] = conversation*100 + uint64(n)
		}
		return blocks
	}
	now := time.Duration(0)
	firstToken := func(stream namer.StreamID, conversation uint64) time.Duration {
		now += time.Minute
		is.True(e.Submit(now, modeler.Job{Stream: stream, Prompt: 2100, Output: 1, Prefix: prefix(conversation)}))
		return e.Advance(now + time.Minute)[0].At - now
	}
	fresh := firstToken("a", 1)
	is.Equal(len(e.TakeCacheChange().Added), 8)
	is.True(firstToken("b", 1) < fresh/4) // 52 of 2,100 tokens remain
	is.Equal(firstToken("c", 2), fresh)   // evicts the first conversation
	change := e.TakeCacheChange()
	is.Equal(len(change.Added), 8)
	is.Equal(len(change.Dropped), 8)
	is.Equal(firstToken("d", 1), fresh)
	e.Crash(now + 2*time.Minute)
	is.True(e.TakeCacheChange().Reset)
}
