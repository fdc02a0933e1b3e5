package resumer_test

import (
	"context"
	"flag"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"apricotspool/generator"
	"apricotspool/generator/generatortest"
	"apricotspool/imitator"
	"apricotspool/namer"
	"apricotspool/resumer"
)

// Property tests use a fixed seed unless -rapid.seed is set on the command line.
func init() { flag.Set("rapid.seed", "1") }

var keys = [][]byte{[]byte("new key of sixteen bytes"), []byte("old key of sixteen bytes")}

func drawIdentity(t *rapid.T) resumer.Identity {
	name := rapid.StringMatching(`[A-Za-z0-9][A-Za-z0-9._-]{0,62}`)
	return resumer.Identity{
		Stream: namer.NewStreamID(), Caller: resumer.HashCaller(namer.Caller(name.Draw(t, "caller"))),
		Service: namer.Service(name.Draw(t, "service")), Endpoint: namer.Endpoint(name.Draw(t, "endpoint")),
	}
}

// Guards against ids that don't preserve the identity, and against ids that verify after one character was changed.
func TestRequestIDs(t *testing.T) {
	signer := &resumer.Signer{Keys: keys}
	rapid.Check(t, func(t *rapid.T) {
		identity := drawIdentity(t)
		id := signer.Sign(identity)
		got, err := signer.Parse(id)
		if err != nil || got != identity || len(id) > resumer.MaxIDLength {
			t.Fatalf("%v: %+v", err, got)
		}
		forged := []byte(id)
		at := rapid.IntRange(0, len(forged)-1).Draw(t, "at")
		forged[at] = rapid.SampledFrom([]byte("AZaz09-_=.")).Filter(func(c byte) bool { return c != id[at] }).Draw(t, "character")
		if _, err := signer.Parse(namer.RequestID(forged)); !errors.Is(err, resumer.ErrBadID) {
			t.Fatalf("forged id is accepted: %v", err)
		}
	})
	is := is.New(t)
	old := (&resumer.Signer{Keys: keys[1:]}).Sign(resumer.Identity{Stream: namer.NewStreamID()})
	_, err := signer.Parse(old)
	is.NoErr(err) // signed with the previous key
	_, err = (&resumer.Signer{Keys: keys[:1]}).Parse(old)
	is.True(errors.Is(err, resumer.ErrBadID))
}

// Guards against ids that make the parser panic or that have more than one encoding.
func FuzzParse(f *testing.F) {
	signer := &resumer.Signer{Keys: keys[:1]}
	f.Add(string(signer.Sign(resumer.Identity{Stream: namer.NewStreamID(), Service: "s", Endpoint: "e"})))
	f.Add("")
	f.Add("AQ==")
	f.Fuzz(func(t *testing.T, id string) {
		identity, err := signer.Parse(namer.RequestID(id))
		if err == nil && string(signer.Sign(identity)) != id {
			t.Fatalf("%q has another encoding", id)
		}
	})
}

// fakeEngines sends each call to the engine of its endpoint; a missing engine never replies.
type fakeEngines map[namer.Endpoint]*imitator.Engine

func (f fakeEngines) Generate(ctx context.Context, to generator.Target, call generator.Call) (generator.Stream, error) {
	if f[to.Endpoint] == nil {
		<-ctx.Done()
		return nil, errors.Wrap(generator.ErrBroken, "no response")
	}
	return f[to.Endpoint].Generate(ctx, to, call)
}

// Guards against resuming an earlier attempt than the caller's, lost or duplicated chunks, waiting for
// dead endpoints, and ErrGone for a stream that an unreachable endpoint may have.
func TestFindTakesTheHighestAttempt(t *testing.T) {
	type held struct{ attempt, from int } // attempt 0: the engine has no stream; -1: it never replies
	cases := map[string]struct {
		engines       map[namer.Endpoint]held
		attempt, from int
		found         namer.Endpoint
		err           error
	}{
		"first endpoint":                      {map[namer.Endpoint]held{"a": {1, 0}, "b": {}}, 1, 5, "a", nil},
		"another endpoint":                    {map[namer.Endpoint]held{"a": {}, "b": {2, 3}}, 1, 5, "b", nil},
		"later attempt wins":                  {map[namer.Endpoint]held{"a": {1, 0}, "b": {3, 4}, "c": {2, 2}}, 1, 5, "b", nil},
		"earlier attempt is not taken":        {map[namer.Endpoint]held{"a": {1, 0}, "b": {}}, 2, 5, "", resumer.ErrGone},
		"attempt that begins too late":        {map[namer.Endpoint]held{"a": {1, 0}, "b": {2, 6}}, 1, 5, "a", nil},
		"gone":                                {map[namer.Endpoint]held{"a": {}, "b": {}}, 1, 5, "", resumer.ErrGone},
		"unresponsive endpoint does not hide": {map[namer.Endpoint]held{"a": {-1, 0}, "b": {2, 3}}, 1, 5, "b", nil},
		"unresponsive endpoint may have it":   {map[namer.Endpoint]held{"a": {-1, 0}, "b": {}}, 1, 5, "", resumer.ErrUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				base := generatortest.NewCall("prompt", 10)
				whole := fullText(t, base)
				engines := fakeEngines{}
				var targets []generator.Target
				for _, endpoint := range []namer.Endpoint{"c", "b", "a"} {
					h, listed := c.engines[endpoint]
					if !listed {
						continue
					}
					targets = append(targets, generator.Target{Endpoint: endpoint})
					if h.attempt < 0 {
						continue
					}
					engines[endpoint] = &imitator.Engine{}
					if h.attempt > 0 {
						call := base
						call.Attempt, call.From, call.Continuation = namer.Attempt(h.attempt), h.from, generatortest.Text(whole[:h.from])
						_, err := engines[endpoint].Generate(t.Context(), generator.Target{}, call)
						is.NoErr(err)
					}
				}
				r := &resumer.Resumer{Engine: engines, Endpoints: func(namer.Service) []generator.Target { return targets }, Concurrency: 2}
				found, err := r.Find(t.Context(), resumer.Identity{Stream: base.Stream, Endpoint: "a"}, namer.Attempt(c.attempt), c.from)
				is.True(errors.Is(err, c.err))
				is.Equal(found.Target.Endpoint, c.found)
				if err != nil {
					return
				}
				rest, done, err := generatortest.Read(found.Stream, -1)
				is.NoErr(err)
				is.True(done)
				is.Equal(append(whole[:c.from:c.from], rest...), whole)
				is.NoErr(found.Stream.Close())
			})
		})
	}
}

func fullText(t *testing.T, call generator.Call) []string {
	stream, err := (&imitator.Engine{}).Generate(t.Context(), generator.Target{}, call)
	is.New(t).NoErr(err)
	defer stream.Close()
	chunks, _, err := generatortest.Read(stream, -1)
	is.New(t).NoErr(err)
	return chunks
}

// Guards against streams that keep running for callers that do not reconnect, and against cancelling a
// stream whose caller has reconnected to this or another daemon.
func TestCancellerEndsDisconnectedStreams(t *testing.T) {
	for name, c := range map[string]struct {
		act    func(t *testing.T, engine *imitator.Engine, canceller *resumer.Canceller, call generator.Call)
		remain int
	}{
		"caller stays away": {func(*testing.T, *imitator.Engine, *resumer.Canceller, generator.Call) {}, 0},
		"caller is back here": {func(_ *testing.T, _ *imitator.Engine, c *resumer.Canceller, call generator.Call) {
			c.CallerReconnected(call.Stream)
		}, 1},
		"caller is back at another daemon": {func(t *testing.T, e *imitator.Engine, _ *resumer.Canceller, call generator.Call) {
			call.Resume = true
			_, err := e.Generate(t.Context(), generator.Target{}, call)
			is.New(t).NoErr(err)
		}, 1},
		"caller leaves again": {func(_ *testing.T, _ *imitator.Engine, c *resumer.Canceller, call generator.Call) {
			c.CallerReconnected(call.Stream)
			c.CallerDisconnected(generator.Target{}, call.Stream)
		}, 1}, // the timeout restarts
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engine := &imitator.Engine{Interval: time.Second}
				call := generatortest.NewCall("left", 1000)
				stream, err := engine.Generate(t.Context(), generator.Target{}, call)
				is.NoErr(err)
				is.NoErr(stream.Close())
				canceller := &resumer.Canceller{Engine: engine}
				canceller.CallerDisconnected(generator.Target{}, call.Stream)
				time.Sleep(29 * time.Second)
				is.Equal(len(engine.Streams()), 1)
				c.act(t, engine, canceller, call)
				time.Sleep(2 * time.Second)
				is.Equal(len(engine.Streams()), c.remain)
			})
		})
	}
}
