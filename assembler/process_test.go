package assembler_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/administrator"
	"apricotspool/generator"
)

// streamChunk is the part of a streamed chunk that the tests decode.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readEvents reads server-sent events until the stream ends or limit events have been read. It returns the
// IDs, the text and whether the stream was complete.
func readEvents(body io.Reader, limit int) (ids []string, text string, done bool) {
	lines := bufio.NewScanner(body)
	for lines.Scan() && len(ids) < limit {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return ids, text, true
		}
		var chunk streamChunk
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return ids, text, false
}

func chatRequest(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"belt-7b","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"Which buckle fits a 38 mm belt?"}]}`, stream, tokens)
}

// Guards property P4 when an entry daemon gets SIGKILL in mid-stream: another daemon must deliver the
// rest, with no token lost or duplicated.
func TestKilledDaemonInMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, "20ms", "0s")
	response, err := c.callerRequest(0, http.MethodPost, "/v1/chat/completions", chatRequest(100, true))
	c.is.NoErr(err)
	defer response.Body.Close()
	seen, before, done := readEvents(response.Body, 20)
	c.is.Equal(len(seen), 20)
	c.is.True(!done)
	c.is.NoErr(c.daemons[0].Process.Kill())

	rest, err := c.callerRequest(1, http.MethodGet, "/v1/streams/"+response.Header.Get("X-Request-Id"), "", "Last-Event-ID", seen[len(seen)-1])
	c.is.NoErr(err)
	defer rest.Body.Close()
	c.is.Equal(rest.StatusCode, http.StatusOK)
	more, after, done := readEvents(rest.Body, 1000)
	c.is.True(done)
	for i, id := range append(seen, more...) {
		c.is.Equal(id, fmt.Sprintf("1-%d", i))
	}
	whole, err := c.callerRequest(1, http.MethodPost, "/v1/chat/completions", chatRequest(100, true))
	c.is.NoErr(err)
	defer whole.Body.Close()
	_, text, _ := readEvents(whole.Body, 1000)
	// The text of the last counted event may not have been read. The texts can be compared because the
	// fake's output depends on the request only.
	c.is.True(strings.HasPrefix(text, before))
	c.is.True(strings.HasSuffix(text, after))
}

// Guards property P6 when an entry daemon gets SIGKILL while an order is executing: the order must be
// executed once. A retry gets the outcome "unknown" or the stored response, never a second execution.
func TestKilledDaemonInMidOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, "1ms", "3s")
	executed := func() string {
		response, err := c.callerRequest(2, http.MethodGet, "/services/ordering/executed/belt-1", "")
		c.is.NoErr(err)
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		return string(text)
	}
	go func() {
		if response, err := c.callerRequest(0, http.MethodPost, "/services/ordering/orders", `{"belt":1}`, "Idempotency-Key", "belt-1"); err == nil {
			response.Body.Close()
		}
	}()
	c.eventually("the order has reached the service", func() bool { return executed() == "1" })
	c.is.NoErr(c.daemons[0].Process.Kill())
	for i := 1; i <= 2; i++ {
		response, err := c.callerRequest(i, http.MethodPost, "/services/ordering/orders", `{"belt":1}`, "Idempotency-Key", "belt-1")
		c.is.NoErr(err)
		response.Body.Close()
		c.is.Equal(response.StatusCode, http.StatusConflict)
		c.is.Equal(response.Header.Get("X-Outcome"), "unknown")
		c.is.Equal(executed(), "1")
	}
}

// Guards property P6 when a caller disconnects and retries its order at another daemon while the order is
// executing: it must be executed once, and both daemons must return its response.
func TestOrderRetriedAtAnotherDaemon(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, "1ms", "1s")
	bodies := make([]string, 2)
	var group sync.WaitGroup
	for i := range bodies {
		group.Go(func() {
			response, err := c.callerRequest(i, http.MethodPost, "/services/ordering/orders", `{"belt":2}`, "Idempotency-Key", "belt-2")
			if err != nil {
				return
			}
			defer response.Body.Close()
			text, _ := io.ReadAll(response.Body)
			bodies[i] = string(text)
		})
	}
	group.Wait()
	c.is.Equal(bodies[0], `{"order":1}`)
	c.is.Equal(bodies[1], `{"order":1}`)
}

// Guards properties P1 and P3 when a lease holder is stopped until its lease has expired and then continued:
// the successor must command the engines, and the former holder must have no authority when it resumes.
func TestStoppedLeaseHolder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, "1ms", "0s")
	all := []int{0, 1, 2}
	first := -1
	c.eventually("a daemon has authority", func() bool { first = c.leaseHolder(all...); return first >= 0 })
	others := []int{(first + 1) % 3, (first + 2) % 3}
	c.is.NoErr(c.daemons[first].Process.Signal(syscall.SIGSTOP))
	c.eventually("another daemon has authority", func() bool { return c.leaseHolder(others...) >= 0 })
	next := c.leaseHolder(others...)

	code, _ := c.operatorRequest(next, http.MethodPatch, "/configuration", c.configuration("belt-7b", "belt-70b"),
		http.Header{"If-Match": {`"1"`}, administrator.HeaderPatchID: {"second-model"}})
	c.is.Equal(code, http.StatusOK)
	c.eventually("the successor has loaded the model", func() bool { return len(c.engineState(0).Models) == 2 && len(c.engineState(1).Models) == 2 })
	fencing := c.engineState(0).Fencing
	c.is.True(fencing >= 2)

	c.is.NoErr(c.daemons[first].Process.Signal(syscall.SIGCONT))
	c.eventually("the former holder responds and has no authority", func() bool {
		code, _ := c.operatorRequest(first, http.MethodGet, "/status", nil, nil)
		return code == http.StatusOK && c.leaseHolder(first) == -1
	})
	c.eventually("the former holder has the new configuration", func() bool {
		var status administrator.Status
		_, text := c.operatorRequest(first, http.MethodGet, "/status", nil, nil)
		return json.Unmarshal(text, &status) == nil && status.Configuration == 2
	})
	for i := range c.engines {
		c.is.Equal(len(c.engineState(i).Models), 2)
		c.is.True(c.engineState(i).Fencing >= fencing)
	}
}

// engineState returns the state of a fake engine.
func (c *cluster) engineState(i int) (state generator.EngineState) {
	response, err := http.Get("http://" + c.engines[i] + "/state")
	if err != nil {
		return state
	}
	defer response.Body.Close()
	json.NewDecoder(response.Body).Decode(&state)
	return state
}

// Guards property P8: on SIGTERM, a daemon must finish every accepted stream, close its listener and exit
// with code 0.
func TestTerminationFinishesStreams(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, "10ms", "0s")
	const streams = 32
	var started, group sync.WaitGroup
	complete := make([]bool, streams)
	started.Add(streams)
	for i := range streams {
		group.Go(func() {
			response, err := c.callerRequest(0, http.MethodPost, "/v1/chat/completions", chatRequest(100, true))
			started.Done()
			if err != nil {
				return
			}
			defer response.Body.Close()
			_, _, complete[i] = readEvents(response.Body, 1000)
		})
	}
	started.Wait()
	c.is.NoErr(c.daemons[0].Process.Signal(syscall.SIGTERM))
	c.eventually("the daemon is not ready", func() bool {
		return c.status(http.MethodGet, "http://"+c.daemons[0].callers+"/readyz") != http.StatusOK
	})
	group.Wait()
	for _, done := range complete {
		c.is.True(done)
	}
	exited := make(chan error, 1)
	go func() { exited <- c.daemons[0].Wait() }()
	select {
	case err := <-exited:
		c.is.NoErr(err)
	case <-time.After(hangTimeout):
		t.Fatal("the daemon did not exit")
	}
}

// Guards property P9: a patch accepted by one daemon must become active at all daemons, including one that
// starts later while the platform is unavailable.
func TestRestartLearnsFromPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, "1ms", "0s")
	c.is.NoErr(c.daemons[2].Process.Kill())
	c.daemons[2].Wait()
	code, _ := c.operatorRequest(0, http.MethodPatch, "/configuration", []byte(`{"callers":{"bench":{"weight":7}}}`),
		http.Header{"If-Match": {`"1"`}, administrator.HeaderPatchID: {"weight"}})
	c.is.Equal(code, http.StatusOK)
	c.eventually("the other daemon has the version", func() bool { return c.version(1) == 2 })
	c.store = c.freeAddress() // nothing listens here: the platform is unavailable to the restarted daemon
	c.startDaemon(2)
	c.eventually("the restarted daemon has the version from its peers", func() bool { return c.version(2) == 2 })
}

func (c *cluster) version(i int) int {
	var status administrator.Status
	_, text := c.operatorRequest(i, http.MethodGet, "/status", nil, nil)
	if json.Unmarshal(text, &status) != nil {
		return -1
	}
	return int(status.Configuration)
}

// Guards against SIGHUP ending a gateway that drains, and the requests that it has accepted with it.
func TestReloadDuringDrain(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	s.startServer("app-1", "app", "").ServiceTime = time.Second
	g := &gateway{settings: s.newSettings("g-1")}
	text, err := json.Marshal(g.settings)
	is.NoErr(err)
	name := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(name, text, 0o600))
	process := exec.Command(binaries+"/apricotspool", "gateway", "--settings", name)
	is.NoErr(process.Start())
	t.Cleanup(func() { process.Process.Kill() })
	eventually(t, "readiness", g.ready)
	answers := make(chan reply, 1)
	go func() {
		_, got := s.send(http.DefaultClient, g, "POST", "/orders/1")
		answers <- got
	}()
	time.Sleep(200 * time.Millisecond)
	is.NoErr(process.Process.Signal(syscall.SIGTERM))
	eventually(t, "unreadiness", func() bool { return !g.ready() })
	is.NoErr(process.Process.Signal(syscall.SIGHUP))
	got := <-answers
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.NoErr(process.Wait())
}
