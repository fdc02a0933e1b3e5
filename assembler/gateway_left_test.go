package assembler_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopProcess stops a process and waits until it stands still.
func stopProcess(t *testing.T, p *os.Process) {
	t.Helper()
	is := is.New(t)
	is.NoErr(p.Signal(syscall.SIGSTOP))
	eventually(t, "the process has stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid))
		return err == nil && strings.Contains(string(stat), ") T ")
	})
}

// Guards against requests that a gateway process sends on although their callers had left before it ran again.
func TestStoppedGatewaySendsNothingOfCallersThatLeft(t *testing.T) {
	const rounds, callers = 4, 100
	is := is.New(t)
	s := newVersionedSite(t)
	s.configureDefaultRoutes()
	for i := range 4 {
		s.startServer(fmt.Sprintf("app-%d", i), "app", "")
	}
	s.startServer("llm", "llm", "decode")
	settings := s.newSettings("g")
	process := s.startProcess(settings)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var ids []string
	for range rounds {
		stopProcess(t, process.Process)
		for i := range callers {
			path := []string{"/orders/1", "/items/1", "/ask/1"}[i%3]
			id, r, err := s.NewRequest(http.MethodPost, settings.Callers, path)
			is.NoErr(err)
			conn, err := net.Dial("tcp", settings.Callers.String())
			is.NoErr(err)
			is.NoErr(r.Write(conn))
			is.NoErr(conn.Close())
			ids = append(ids, id)
		}
		is.NoErr(process.Process.Signal(syscall.SIGCONT))
		_, r, err := s.NewRequest(http.MethodGet, settings.Callers, "/none") // is read after all others
		is.NoErr(err)
		response, err := client.Do(r)
		is.NoErr(err)
		response.Body.Close()
	}
	time.Sleep(200 * time.Millisecond)
	run := 0
	for _, id := range ids {
		run += s.Executions(id)
	}
	is.Equal(run, 0)
}
