package imitator_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/generator/generatortest"
	"apricotspool/imitator"
	"apricotspool/namer"
)

// Guards against a fake that violates the engine contract.
func TestEngineContract(t *testing.T) {
	for name, engine := range map[string]*imitator.Engine{
		"fast":    {Models: []namer.Model{"model"}},
		"fencing": {Models: []namer.Model{"model"}, ChecksFencing: true},
		"paced":   {Models: []namer.Model{"model"}, Interval: 10 * time.Microsecond, Concurrency: 4},
	} {
		t.Run(name, func(t *testing.T) {
			generatortest.Run(t, generatortest.Subject{Engine: engine, Fencing: engine.ChecksFencing})
		})
	}
}

// Guards against a client or handler that alters calls, chunks or error classes.
func TestEngineContractOverHTTP(t *testing.T) {
	engine := &imitator.Engine{Models: []namer.Model{"model"}, ChecksFencing: true}
	server := httptest.NewServer(&imitator.EngineHandler{Engine: engine})
	defer server.Close()
	target := generator.Target{Endpoint: "engine", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	generatortest.Run(t, generatortest.Subject{Engine: &generator.Client{}, Target: target, Fencing: true})
}

// Guards against streams that start out of priority order or exceed the concurrency limit.
func TestEngineServesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := &imitator.Engine{Interval: time.Millisecond, Concurrency: 1}
		ends := map[int]time.Duration{}
		start := time.Now()
		finished := make(chan int)
		for _, priority := range []int{0, 5, 1, 5} { // the first one occupies the only slot
			call := generatortest.NewCall("priority", 8)
			call.Priority = priority
			stream, err := engine.Generate(t.Context(), generator.Target{}, call)
			is.NoErr(err)
			go func() {
				generatortest.Read(stream, -1)
				finished <- priority
			}()
		}
		report, err := engine.Load(t.Context(), generator.Target{})
		is.NoErr(err)
		is.Equal([]int{report.Running, report.Waiting}, []int{1, 3})
		for range 4 {
			ends[<-finished] = time.Since(start)
		}
		is.Equal(ends, map[int]time.Duration{0: 10 * time.Millisecond, 1: 20 * time.Millisecond, 5: 40 * time.Millisecond})
	})
}

// Guards against a fake that never removes unread streams, or drops them when the connection breaks.
func TestEngineKeepsUnreadStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := &imitator.Engine{Interval: time.Millisecond, UnreadTTL: time.Second}
		call := generatortest.NewCall("keep", 20)
		stream, err := engine.Generate(t.Context(), generator.Target{}, call)
		is.NoErr(err)
		engine.BreakConnections()
		_, err = stream.Next()
		is.True(errors.Is(err, generator.ErrBroken))
		is.NoErr(stream.Close())
		call.Resume = true
		time.Sleep(900 * time.Millisecond)
		again, err := engine.Generate(t.Context(), generator.Target{}, call)
		is.NoErr(err)
		is.NoErr(again.Close())
		time.Sleep(1100 * time.Millisecond)
		_, err = engine.Generate(t.Context(), generator.Target{}, call)
		is.True(errors.Is(err, generator.ErrNoStream))
	})
}

// Guards against load reports without lag, cache events without lag or gaps, and role changes that are
// instantaneous or spare running streams. Each would hide faults of the daemon.
func TestEngineLagsAndChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine := &imitator.Engine{
			Interval: time.Second, LoadLag: 5 * time.Second, RoleChange: 3 * time.Second,
			CacheLag: 2 * time.Second, CacheGap: 2,
		}
		stream, err := engine.Generate(t.Context(), generator.Target{}, generatortest.NewCall("a", 100))
		is.NoErr(err)
		for _, prompt := range []string{"b", "c"} {
			_, err := engine.Generate(t.Context(), generator.Target{}, generatortest.NewCall(prompt, 100))
			is.NoErr(err)
		}
		running := func() int {
			report, _ := engine.Load(t.Context(), generator.Target{})
			return report.Running
		}
		is.Equal(running(), 0)
		is.Equal(len(engine.Cache(0).Events), 0)
		time.Sleep(6 * time.Second)
		is.Equal(running(), 3)
		events := engine.Cache(0).Events
		is.Equal([]uint64{events[0].Number, events[1].Number}, []uint64{1, 3})
		is.NoErr(engine.Command(t.Context(), generator.Target{}, generator.Command{ID: "1", Kind: generator.CommandRole, Role: namer.RoleDecode}))
		_, err = stream.Next()
		is.True(errors.Is(err, generator.ErrBroken))
		state, _ := engine.State(t.Context(), generator.Target{})
		is.True(state.Changing)
		_, err = engine.Generate(t.Context(), generator.Target{}, generatortest.NewCall("d", 4))
		is.True(errors.Is(err, generator.ErrRefused))
		time.Sleep(3 * time.Second)
		synctest.Wait()
		state, _ = engine.State(t.Context(), generator.Target{})
		is.Equal(state.Role, namer.RoleDecode)
		engine.Crash()
		after, _ := engine.State(t.Context(), generator.Target{})
		is.True(after.Incarnation > state.Incarnation)
	})
}
