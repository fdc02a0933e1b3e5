package assembler_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"apricotspool/administrator"
	"apricotspool/generator"
)

// chunkBody is the part of a chunk that the tests compare.
type chunkBody struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// events reads server-sent events until the stream ends or limit events were read. It returns the
// ids, the text and whether the stream was complete.
func events(body io.Reader, limit int) (ids []string, text string, done bool) {
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
		var chunk chunkBody
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return ids, text, false
}

func chat(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"belt-7b","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"Which buckle fits a 38 mm belt?"}]}`, stream, tokens)
}

// Guards P4 against kill -9 of an entry daemon in mid-stream: another daemon gives the rest, and no
// token is lost or doubled.
func TestKilledDaemonInMidStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, "20ms", "0s")
	response, err := c.call(0, http.MethodPost, "/v1/chat/completions", chat(100, true))
	c.is.NoErr(err)
	defer response.Body.Close()
	seen, before, done := events(response.Body, 20)
	c.is.Equal(len(seen), 20)
	c.is.True(!done)
	c.is.NoErr(c.daemons[0].Process.Kill())

	rest, err := c.call(1, http.MethodGet, "/v1/streams/"+response.Header.Get("X-Request-Id"), "", "Last-Event-ID", seen[len(seen)-1])
	c.is.NoErr(err)
	defer rest.Body.Close()
	c.is.Equal(rest.StatusCode, http.StatusOK)
	more, after, done := events(rest.Body, 1000)
	c.is.True(done)
	for i, id := range append(seen, more...) {
		c.is.Equal(id, fmt.Sprintf("1-%d", i))
	}
	whole, err := c.call(1, http.MethodPost, "/v1/chat/completions", chat(100, true))
	c.is.NoErr(err)
	defer whole.Body.Close()
	_, text, _ := events(whole.Body, 1000)
	// The last event that was counted may not have had its text read yet; the fake's answers depend on the request only.
	c.is.True(strings.HasPrefix(text, before))
	c.is.True(strings.HasSuffix(text, after))
}

// Guards P6 against kill -9 of an entry daemon in mid-order: the order runs once, and whoever asks
// again gets "unknown" or the stored answer, never a second run.
func TestKilledDaemonInMidOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, "1ms", "3s")
	executed := func() string {
		response, err := c.call(2, http.MethodGet, "/services/ordering/executed/belt-1", "")
		c.is.NoErr(err)
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		return string(text)
	}
	go func() {
		if response, err := c.call(0, http.MethodPost, "/services/ordering/orders", `{"belt":1}`, "Idempotency-Key", "belt-1"); err == nil {
			response.Body.Close()
		}
	}()
	c.await("the order has reached the service", func() bool { return executed() == "1" })
	c.is.NoErr(c.daemons[0].Process.Kill())
	for i := 1; i <= 2; i++ {
		response, err := c.call(i, http.MethodPost, "/services/ordering/orders", `{"belt":1}`, "Idempotency-Key", "belt-1")
		c.is.NoErr(err)
		response.Body.Close()
		c.is.Equal(response.StatusCode, http.StatusConflict)
		c.is.Equal(response.Header.Get("X-Outcome"), "unknown")
		c.is.Equal(executed(), "1")
	}
}

// Guards P6 against a caller that goes away and asks at another daemon while its order runs.
func TestOrderAskedAgainElsewhere(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, "1ms", "1s")
	bodies := make([]string, 2)
	var group sync.WaitGroup
	for i := range bodies {
		group.Go(func() {
			response, err := c.call(i, http.MethodPost, "/services/ordering/orders", `{"belt":2}`, "Idempotency-Key", "belt-2")
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

// Guards P1 and P3 against a lease holder that is stopped past its lapse and continued: its successor
// commands the engines, and the former holder has no authority when it wakes.
func TestStoppedLeaseHolder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, "1ms", "0s")
	all := []int{0, 1, 2}
	first := -1
	c.await("a daemon has authority", func() bool { first = c.holder(all...); return first >= 0 })
	others := []int{(first + 1) % 3, (first + 2) % 3}
	c.is.NoErr(c.daemons[first].Process.Signal(syscall.SIGSTOP))
	c.await("another daemon has authority", func() bool { return c.holder(others...) >= 0 })
	next := c.holder(others...)

	code, _ := c.operator(next, http.MethodPatch, "/configuration", c.configuration("belt-7b", "belt-70b"),
		http.Header{"If-Match": {`"1"`}, administrator.HeaderPatchID: {"second-model"}})
	c.is.Equal(code, http.StatusOK)
	c.await("the successor has loaded the model", func() bool { return len(c.engine(0).Models) == 2 && len(c.engine(1).Models) == 2 })
	fencing := c.engine(0).Fencing
	c.is.True(fencing >= 2)

	c.is.NoErr(c.daemons[first].Process.Signal(syscall.SIGCONT))
	c.await("the former holder answers and has no authority", func() bool {
		code, _ := c.operator(first, http.MethodGet, "/status", nil, nil)
		return code == http.StatusOK && c.holder(first) == -1
	})
	c.await("the former holder has the new configuration", func() bool {
		var status administrator.Status
		_, text := c.operator(first, http.MethodGet, "/status", nil, nil)
		return json.Unmarshal(text, &status) == nil && status.Configuration == 2
	})
	for i := range c.engines {
		c.is.Equal(len(c.engine(i).Models), 2)
		c.is.True(c.engine(i).Fencing >= fencing)
	}
}

// engine asks a fake engine for its state.
func (c *cluster) engine(i int) (state generator.EngineState) {
	response, err := http.Get("http://" + c.engines[i] + "/state")
	if err != nil {
		return state
	}
	defer response.Body.Close()
	json.NewDecoder(response.Body).Decode(&state)
	return state
}

// Guards P8: SIGTERM finishes every accepted stream, closes the listener and exits 0.
func TestTerminationCutsNoStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, "10ms", "0s")
	const streams = 32
	var started, group sync.WaitGroup
	complete := make([]bool, streams)
	started.Add(streams)
	for i := range streams {
		group.Go(func() {
			response, err := c.call(0, http.MethodPost, "/v1/chat/completions", chat(100, true))
			started.Done()
			if err != nil {
				return
			}
			defer response.Body.Close()
			_, _, complete[i] = events(response.Body, 1000)
		})
	}
	started.Wait()
	c.is.NoErr(c.daemons[0].Process.Signal(syscall.SIGTERM))
	c.await("the daemon is unready", func() bool {
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
	case <-time.After(patience):
		t.Fatal("the daemon did not exit")
	}
}

// Guards P9: a patch that is accepted at one daemon is in force at all, also at one that starts later
// while the platform is gone.
func TestRestartLearnsFromPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, "1ms", "0s")
	c.is.NoErr(c.daemons[2].Process.Kill())
	c.daemons[2].Wait()
	code, _ := c.operator(0, http.MethodPatch, "/configuration", []byte(`{"callers":{"bench":{"weight":7}}}`),
		http.Header{"If-Match": {`"1"`}, administrator.HeaderPatchID: {"weight"}})
	c.is.Equal(code, http.StatusOK)
	c.await("the other daemon has the version", func() bool { return c.version(1) == 2 })
	c.store = c.free() // the restarted daemon finds no platform
	c.startDaemon(2)
	c.await("the restarted daemon has the version from its peers", func() bool { return c.version(2) == 2 })
}

func (c *cluster) version(i int) int {
	var status administrator.Status
	_, text := c.operator(i, http.MethodGet, "/status", nil, nil)
	if json.Unmarshal(text, &status) != nil {
		return -1
	}
	return int(status.Configuration)
}
