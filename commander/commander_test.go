package commander_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/commander"
)

// Guards the exit codes that scripts rely on.
func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(broken, []byte(`{"host":"a b"}`), 0o600))
	for _, c := range []struct {
		args   []string
		code   int
		output string
	}{
		{[]string{"version"}, commander.ExitOK, "apricotspool " + commander.Version},
		{[]string{"version", "--output", "json"}, commander.ExitOK, `"version":"` + commander.Version + `"`},
		{[]string{"--help"}, commander.ExitOK, "serve"},
		{[]string{"reticulate"}, commander.ExitUsage, "reticulate"},
		{[]string{"check", "--settings", broken}, commander.ExitUsage, "/data-centre"},
		{[]string{"check", "--settings", broken, "--output", "json"}, commander.ExitUsage, `"path":"/host"`},
		{[]string{"serve", "--settings", "/nowhere"}, commander.ExitUsage, "/nowhere"},
		{[]string{"config", "patch", "--base-version", "1", "--operators", "nowhere", "--token-file", broken, broken}, commander.ExitUsage, "--operators"},
		{[]string{"status", "--operators", "127.0.0.1:9", "--token-file", broken}, commander.ExitFailure, "call daemon"},
	} {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(commander.RunContext(t.Context(), c.args, &out, &out), c.code)
			is.True(strings.Contains(out.String(), c.output))
		})
	}
}

// syncBuffer collects the output of a running command.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// startDev runs the demonstration until the test ends and returns its first port.
func startDev(t *testing.T) (port int, out *syncBuffer) {
	port = 12_000 + os.Getpid()%20_000 // below the ephemeral port range
	out = &syncBuffer{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan int, 1)
	go func() {
		ended <- commander.RunContext(ctx, []string{"dev", "--base-port", fmt.Sprint(port)}, out, out)
	}()
	t.Cleanup(func() {
		cancel()
		is.New(t).Equal(<-ended, commander.ExitOK)
	})
	for !strings.Contains(out.String(), "try: curl") {
		select {
		case code := <-ended:
			t.Fatalf("dev ended with %d: %s", code, out)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return port, out
}

// Patterns for the curl command lines in the documentation.
var (
	curlLine   = regexp.MustCompile(`(?m)^    curl (?:[^\n\\]|\\\n)*$`)
	curlURL    = regexp.MustCompile(`http://127\.0\.0\.1:(\d+)(\S*)`)
	curlHeader = regexp.MustCompile(`-H '([^:]+): ([^']*)'`)
	curlBody   = regexp.MustCompile(`-d '([^']*)'`)
	curlMethod = regexp.MustCompile(`-X (\S+)`)
)

// replay sends the request of a curl command line to the demonstration, whose base port differs from the
// documented one.
func replay(t *testing.T, line string, port int) (*http.Response, string) {
	is := is.New(t)
	url := curlURL.FindStringSubmatch(line)
	is.True(url != nil)
	var documented int
	fmt.Sscan(url[1], &documented)
	method, body := http.MethodGet, ""
	if found := curlBody.FindStringSubmatch(line); found != nil {
		method, body = http.MethodPost, found[1]
	}
	if found := curlMethod.FindStringSubmatch(line); found != nil {
		method = found[1]
	}
	request, err := http.NewRequestWithContext(t.Context(), method, fmt.Sprintf("http://127.0.0.1:%d%s", documented-8080+port, url[2]), strings.NewReader(body))
	is.NoErr(err)
	for _, header := range curlHeader.FindAllStringSubmatch(line, -1) {
		request.Header.Set(header[1], header[2])
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response, string(text)
}

// Guards against examples in the documentation that do not work against "go run . dev".
func TestDocumentationExamples(t *testing.T) {
	port, _ := startDev(t)
	requestID := ""
	for _, page := range []string{"../README.md", "../docs/callers.md"} {
		text, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		lines := curlLine.FindAllString(string(text), -1)
		is.New(t).True(len(lines) > 0)
		for i, line := range lines {
			t.Run(fmt.Sprint(filepath.Base(page), " ", i), func(t *testing.T) {
				is := is.New(t)
				response, body := replay(t, strings.ReplaceAll(line, "REQUEST-ID", requestID), port)
				if response.StatusCode >= http.StatusMultipleChoices {
					t.Fatalf("%s: status %d: %s", line, response.StatusCode, body)
				}
				if strings.Contains(line, `"stream":true`) {
					requestID = response.Header.Get("X-Request-Id")
					is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
				}
			})
		}
	}
}

// Guards the operator commands against a running daemon, and against merging a patch with a stale base version.
func TestOperatorsCommands(t *testing.T) {
	port, out := startDev(t)
	is := is.New(t)
	token := regexp.MustCompile(`operators' token file: (\S+)`).FindStringSubmatch(out.String())
	patch := filepath.Join(t.TempDir(), "patch.json")
	is.NoErr(os.WriteFile(patch, []byte(`{"callers":{"guest":{"weight":5}}}`), 0o600))
	run := func(code int, want string, args ...string) {
		t.Helper()
		var text bytes.Buffer
		is.Equal(commander.RunContext(t.Context(), args, &text, &text), code)
		if !strings.Contains(text.String(), want) {
			t.Errorf("%v: output does not contain %q: %s", args, want, text.String())
		}
	}
	t.Setenv("APRICOTSPOOL_OPERATORS", fmt.Sprintf("127.0.0.1:%d", port+1))
	t.Setenv("APRICOTSPOOL_TOKEN_FILE", token[1])
	run(commander.ExitOK, "belt-7b", "config", "get")
	run(commander.ExitOK, "applied", "config", "patch", "--base-version", "1", "--patch-id", "p", "--by", "kim", patch)
	run(commander.ExitOK, "applied", "config", "patch", "--base-version", "1", "--patch-id", "p", "--by", "kim", "--again", patch)
	run(commander.ExitStale, "/callers/guest/weight", "config", "patch", "--base-version", "1", patch)
	is.NoErr(os.WriteFile(patch, []byte(`{"callers":{"guest":{"rank":"royal"}}}`), 0o600))
	run(commander.ExitUsage, "/callers/guest/rank", "config", "patch", "--base-version", "2", patch)
	run(commander.ExitOK, "kim", "config", "history")
	run(commander.ExitOK, "engine-3", "status")
	run(commander.ExitOK, `"configuration":2`, "status", "--output", "json")
	run(commander.ExitFailure, "is bound to", "release", "engine-1", "--host", "h", "--peer-address", "127.0.0.1:1", "--incarnation", "1")
}
