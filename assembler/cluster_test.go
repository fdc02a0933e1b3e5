package assembler_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/administrator"
	"apricotspool/loader"
	"apricotspool/loader/loadertest"
)

// Settings of the process tests. A wait ends as soon as its condition holds.
const (
	hangTimeout  = 5 * time.Minute // ends only a test that hangs; the transfer of a lease alone takes 12 s
	pollInterval = 50 * time.Millisecond
	callerToken  = "bench-token"
)

// binaries is the directory with the two programs, which are built once for all tests.
var binaries string

func TestMain(m *testing.M) {
	var err error
	if binaries, err = os.MkdirTemp("", "apricotspool-test-"); err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", binaries+"/", "apricotspool", "apricotspool/standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s", output)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(binaries)
	os.Exit(code)
}

// clusters is the number of clusters that this test process has created.
var clusters atomic.Int64

// cluster is a set of daemon and fake processes on loopback.
type cluster struct {
	t         testing.TB
	is        *is.I
	dir       string
	peerTLS   loader.TLS // mutual TLS between the daemons
	host      string     // loopback address used by this cluster only
	usedPorts int        // number of ports assigned at host
	store     string
	ordering  string
	engines   []string
	daemons   []*daemon
	limits    map[string]any // of the daemons' settings
}

type daemon struct {
	*exec.Cmd
	settings                  string
	callers, operators, peers string
}

// start starts a program, which is killed when the test ends.
func (c *cluster) start(name string, arguments ...string) (*exec.Cmd, io.Reader) {
	command := exec.Command(filepath.Join(binaries, name), arguments...)
	out, err := command.StdoutPipe()
	c.is.NoErr(err)
	log, err := os.Create(filepath.Join(c.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	c.is.NoErr(err)
	command.Stderr = log
	c.is.NoErr(command.Start())
	c.t.Cleanup(func() {
		command.Process.Signal(syscall.SIGCONT)
		command.Process.Kill()
		command.Wait()
		log.Close()
	})
	return command, out
}

// startFake starts a fake and returns its address, which it prints on its first line.
func (c *cluster) startFake(arguments ...string) string {
	_, out := c.start("standin", append(arguments, "--address", c.freeAddress())...)
	line, err := bufio.NewReader(out).ReadString('\n')
	c.is.NoErr(err)
	_, address, found := strings.Cut(strings.TrimSpace(line), "address=")
	c.is.True(found)
	return address
}

// newCluster starts fakes and daemons and submits a configuration.
func newCluster(t testing.TB, daemons int, interval, orderDelay string) *cluster {
	t.Helper()
	pid := os.Getpid()
	c := &cluster{t: t, is: is.New(t), dir: t.TempDir(), limits: map[string]any{}}
	c.host = fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, clusters.Add(1))
	c.store = c.startFake("store")
	c.ordering = c.startFake("service", "--delay", orderDelay)
	for range 2 {
		c.engines = append(c.engines, c.startFake("engine", "--interval", interval, "--checks-fencing", "--model", "belt-7b"))
	}
	c.peerTLS = loadertest.NewAuthority(t).Issue(t, c.dir, "daemon")
	c.write("operators.token", "operators-token")
	c.write("signing.key", strings.Repeat("k", 32))
	for i := range daemons {
		c.daemons = append(c.daemons, &daemon{callers: c.freeAddress(), operators: c.freeAddress(), peers: c.freeAddress(), settings: fmt.Sprintf("entry-%d.json", i)})
	}
	for i := range c.daemons {
		c.startDaemon(i)
	}
	c.eventually("the configuration is accepted", func() bool {
		status, _ := c.operatorRequest(0, http.MethodPatch, "/configuration", c.configuration("belt-7b"), http.Header{"If-Match": {`"0"`}, administrator.HeaderPatchID: {"first"}})
		return status == http.StatusOK
	})
	for _, d := range c.daemons {
		c.eventually("daemon is ready", func() bool { return c.status(http.MethodGet, "http://"+d.callers+"/readyz") == http.StatusOK })
	}
	return c
}

func (c *cluster) write(name, content string) {
	c.is.NoErr(os.WriteFile(filepath.Join(c.dir, name), []byte(content), 0o600))
}

// freeAddress returns an address that nothing listens on. No other process can bind it before the listener
// does, since the IP address is used by this cluster only and the port is below the ephemeral range.
func (c *cluster) freeAddress() string {
	c.usedPorts++
	return fmt.Sprintf("%s:%d", c.host, 9000+c.usedPorts)
}

// startDaemon starts or restarts one daemon.
func (c *cluster) startDaemon(i int) {
	d := c.daemons[i]
	var seeds []string
	for _, other := range c.daemons {
		seeds = append(seeds, other.peers)
	}
	settings, err := json.Marshal(map[string]any{
		"host": fmt.Sprintf("entry-%d", i), "data-centre": "a",
		"callers":   map[string]string{"address": d.callers},
		"operators": map[string]string{"address": d.operators, "token-file": filepath.Join(c.dir, "operators.token")},
		"peers":     map[string]any{"address": d.peers, "tls": c.peerTLS}, "seeds": seeds,
		"platform":          map[string]string{"object-api": c.store},
		"signing-key-files": []string{filepath.Join(c.dir, "signing.key")},
		"drain":             map[string]string{"notice": "200ms"},
		"limits":            c.limits,
	})
	c.is.NoErr(err)
	c.write(d.settings, string(settings))
	d.Cmd, _ = c.start("apricotspool", "serve", "--settings", filepath.Join(c.dir, d.settings))
}

// configuration returns a patch whose engines have the given models.
func (c *cluster) configuration(models ...string) []byte {
	sum := sha256.Sum256([]byte(callerToken))
	ranks := map[string]any{"urgent": map[string]any{"order": 0, "first-token": "30s", "share": 0.7}}
	endpoints := map[string]any{"ordering": map[string]any{"service": "ordering", "address": c.ordering, "data-centre": "a"}}
	known := map[string]any{}
	for _, m := range models {
		known[m] = map[string]any{"version": "1", "context": 65536}
	}
	for i, address := range c.engines {
		endpoints[fmt.Sprintf("engine-%d", i)] = map[string]any{"service": "fitters", "address": address, "data-centre": "a", "models": models, "fencing": true}
	}
	patch, err := json.Marshal(map[string]any{
		"data-centres": map[string]any{"a": map[string]any{"region": "loopback"}},
		"models":       known,
		"services": map[string]any{
			"fitters":  map[string]any{"kind": "model", "models": []string{"belt-7b"}, "ranks": ranks, "deadline": "2m"},
			"ordering": map[string]any{"kind": "plain", "ranks": ranks, "deadline": "20s", "non-idempotent": []any{map[string]string{"method": "POST", "path": "/orders"}}},
		},
		"callers":   map[string]any{"bench": map[string]any{"token-sha256": hex.EncodeToString(sum[:]), "rank": "urgent", "services": []string{"fitters", "ordering"}}},
		"endpoints": endpoints,
	})
	c.is.NoErr(err)
	return patch
}

func (c *cluster) eventually(condition string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(hangTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			c.t.Fatalf("condition not met within %s: %s", hangTimeout, condition)
		}
	}
}

func (c *cluster) status(method, url string) int {
	request, err := http.NewRequestWithContext(c.t.Context(), method, url, nil)
	c.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// operatorRequest sends a request to a daemon's operators' listener. The status is 0 if it fails.
func (c *cluster) operatorRequest(i int, method, path string, body []byte, header http.Header) (int, []byte) {
	request, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.daemons[i].operators+path, bytes.NewReader(body))
	c.is.NoErr(err)
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer operators-token")
	client := http.Client{Timeout: 5 * time.Second} // a stopped daemon does not respond
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, text
}

// leaseHolder returns the first of the given daemons that has authority over the endpoints, or -1.
func (c *cluster) leaseHolder(daemons ...int) int {
	for _, i := range daemons {
		var status administrator.Status
		if code, text := c.operatorRequest(i, http.MethodGet, "/status", nil, nil); code == http.StatusOK && json.Unmarshal(text, &status) == nil && status.Authority {
			return i
		}
	}
	return -1
}

// callerRequest sends a request to a daemon's callers' listener. header lists names and values in turn.
func (c *cluster) callerRequest(i int, method, path, body string, header ...string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.daemons[i].callers+path, strings.NewReader(body))
	c.is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+callerToken)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	return http.DefaultClient.Do(request)
}
