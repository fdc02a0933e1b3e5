package relayer_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/classifier"
	"apricotspool/decider"
	"apricotspool/detector"
	"apricotspool/forwarder"
	"apricotspool/namer"
)

// closableEngine starts engine "a", which handles requests with respond and is closed through its server.
func (f *fixture) closableEngine(respond func(*http.Server, http.ResponseWriter, *http.Request)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(f.t).NoErr(err)
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { respond(server, w, r) })
	go server.Serve(listener)
	f.t.Cleanup(func() { server.Close() })
	f.targets["a"] = forwarder.Target{Endpoint: "a", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

func endProcess(server *http.Server, _ http.ResponseWriter, _ *http.Request) {
	server.Close()
	abortConnection()
}

// Guards against a process that has ended being taken for a broken connection, against the reverse, and against
// a retry that waits for an engine that is silent.
func TestEndedEngineIsTold(t *testing.T) {
	replace := func(f *fixture) func(*http.Server, http.ResponseWriter, *http.Request) {
		return func(server *http.Server, _ http.ResponseWriter, _ *http.Request) {
			server.Close()
			listener, err := net.Listen("tcp", f.targets["a"].Address.String())
			is.New(f.t).NoErr(err)
			successor := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusMisdirectedRequest)
			})}
			go successor.Serve(listener)
			f.t.Cleanup(func() { successor.Close() })
			abortConnection()
		}
	}
	restart := func(before, after namer.Incarnation) func(*fixture) {
		return func(f *fixture) {
			f.reportEndpoint("a", func() (detector.Report, bool) { return detector.Report{Incarnation: after}, true },
				func(http.ResponseWriter, *http.Request) { abortConnection() })
			target := f.targets["a"]
			target.Incarnation = before
			f.targets["a"] = target
		}
	}
	breakOff := func(http.ResponseWriter, *http.Request) { abortConnection() }
	for name, c := range map[string]struct {
		start func(*fixture)
		ended bool
	}{
		"ended":                          {func(f *fixture) { f.closableEngine(endProcess) }, true},
		"replaced":                       {func(f *fixture) { f.closableEngine(replace(f)) }, true},
		"back before anyone was refused": {restart(1, 2), true},
		"says when it has started":       {restart(1, 1), false},
		"entry doesn't say":              {restart(0, 2), false},
		"alive": {func(f *fixture) {
			f.reportEndpoint("a", func() (detector.Report, bool) { return detector.Report{}, true }, breakOff)
		}, false},
		"silent": {func(f *fixture) {
			f.reportEndpoint("a", func() (detector.Report, bool) { return detector.Report{}, false }, breakOff)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			c.start(f)
			f.endpoint("b", streamFrom(3, func() {}))
			start := time.Now()
			is.Equal(f.send("POST", "/engine/", "").body, events(3))
			is.True(time.Since(start) < 300*time.Millisecond)
			failed := f.core.waitEvents(1)[0]
			is.Equal(failed.Reason, classifier.RetryStreamBroken)
			is.True(!failed.NotRun)
			is.Equal(failed.Ended, c.ended)
			is.Equal(len(f.log.requestLines(t, "id-1")), 4)
			is.Equal(f.log.requestLines(t, "id-1", "ended")[1] == "attempt-failed ended=true", c.ended)
		})
	}
}

// Guards against an earlier report of an engine that hides its end.
func TestReportBeforeTheEndIsStale(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b", "a", "b")...)
	requests := 0
	f.endpoint("b", streamFrom(3, func() {}))
	f.closableEngine(func(server *http.Server, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			io.WriteString(w, "{}")
			return
		}
		if requests++; requests == 2 {
			server.Close()
		}
		abortConnection()
	})
	f.send("POST", "/engine/", "")
	f.send("POST", "/engine/", "")
	var ended []bool
	for _, e := range f.core.waitEvents(6) {
		if e.Reason != "" {
			ended = append(ended, e.Ended)
		}
	}
	is.Equal(ended, []bool{false, true})
}

// Guards against the end of a plain endpoint being taken for a broken connection, and the reverse.
func TestEndedPlainEndpointIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		start func(*fixture)
		ended bool
	}{
		"ended": {func(f *fixture) { f.closableEngine(endProcess) }, true},
		"alive": {func(f *fixture) {
			f.endpoint("a", func(http.ResponseWriter, *http.Request) { abortConnection() })
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			c.start(f)
			f.endpoint("b", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") })
			is.Equal(f.send("POST", "/safe/", "").body, "x")
			failed := f.core.waitEvents(1)[0]
			is.Equal(failed.Reason, classifier.RetryStreamBroken)
			is.Equal(failed.Ended, c.ended)
		})
	}
}

// Guards against repetitions of a request that can't be told from other requests, and against other requests that are
// taken for repetitions.
func TestRepetitionsHaveOneFingerprint(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	fingerprint := func(method, path, body string, header ...string) decider.Fingerprint {
		f.core.reset(nil)
		f.send(method, path, body, header...)
		f.core.mu.Lock()
		defer f.core.mu.Unlock()
		return f.core.request.Fingerprint
	}
	first := fingerprint("POST", "/safe/1", "x", "X-Id", "id-1")
	is.Equal(fingerprint("POST", "/safe/1", "x", "X-Id", "id-2", "X-Patience", "300"), first)
	others := map[decider.Fingerprint]bool{
		first: true, fingerprint("POST", "/safe/2", "x"): true, fingerprint("POST", "/safe/1", "y"): true, fingerprint("PUT", "/safe/1", "x"): true,
		fingerprint("POST", "/safe/1?q=1", "x"): true, fingerprint("POST", "/safe/1", ""): true, 0: true,
	}
	is.Equal(len(others), 7)
}
