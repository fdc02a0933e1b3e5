package assembler_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/platform/platformtest"
)

// Settings of the processes that are flooded.
const (
	floodMemoryMB    = 80
	floodDescriptors = 1000
	floodBodyBytes   = 1 << 20
	floodHeaderBytes = 16 << 10
	// floodTime is how long the connections of a flood last.
	floodTime = 6 * time.Second
)

// floodedGateway is a gateway in its own process, whose endpoint holds requests while the flood lasts.
type floodedGateway struct {
	*site
	gateway  *gateway
	endpoint *platformtest.Server
	process  *exec.Cmd
	exited   chan struct{}
	end      time.Time // of the flood
	log      lockedBuffer
}

// lockedBuffer holds what a process has written.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) tail() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.text.String()
	return text[max(0, len(text)-2000):]
}

func newFloodedGateway(t *testing.T, descriptors int) *floodedGateway {
	return newGatewayProcess(t, floodMemoryMB, descriptors, floodBodyBytes)
}

// newGatewayProcess starts a gateway with limits of its own.
func newGatewayProcess(t *testing.T, memoryMB float64, descriptors, bodyBytes int) *floodedGateway {
	is := is.New(t)
	s := newSite(t)
	s.Limits = map[string]any{"maxHeaderBytes": floodHeaderBytes, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	s.configure(route{"/orders/", "unsafe", "app", floodTime}, route{"/items/", "safe", "app", floodTime})
	f := &floodedGateway{site: s, endpoint: s.startServer("app-1", "app", ""), exited: make(chan struct{})}
	settings := s.newSettings("g-1")
	settings.MemoryMB, settings.Descriptors = memoryMB, float64(descriptors)
	f.gateway = &gateway{settings: settings}
	text, err := json.Marshal(settings)
	is.NoErr(err)
	name := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(name, text, 0o600))
	f.process = exec.Command(filepath.Join(binaries, "apricotspool"), "gateway", "--settings", name)
	f.process.Stdout, f.process.Stderr = &f.log, &f.log
	is.NoErr(f.process.Start())
	go func() {
		f.process.Wait()
		close(f.exited)
	}()
	t.Cleanup(func() {
		f.process.Process.Kill()
		<-f.exited
	})
	eventually(t, "readiness", f.gateway.ready)
	f.checkServes()
	return f
}

// checkServes checks that an ordinary request is answered.
func (f *floodedGateway) checkServes() {
	f.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	eventually(f.t, "an ordinary request is answered", func() bool {
		id, got := f.send(client, f.gateway, "POST", "/orders/1")
		return got.status == http.StatusOK && f.stampedByServer(id, got)
	})
}

// flood opens connections, each of which does its part at once with all others and is then held open until
// floodTime has passed or the gateway closes it.
func (f *floodedGateway) flood(connections int, part func(i int, conn net.Conn)) {
	f.t.Helper()
	f.endpoint.SetPace(floodTime)
	f.end = time.Now().Add(floodTime)
	peak, sampled := 0, make(chan struct{})
	flooded := make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			peak = max(peak, f.descriptors())
			select {
			case <-flooded:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	var group sync.WaitGroup
	for i := range connections {
		group.Go(func() {
			// The callers share four addresses.
			dialer := net.Dialer{Deadline: f.end, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i%4))}}
			conn, err := dialer.Dial("tcp", f.gateway.settings.Callers.String())
			if err != nil {
				return // refused
			}
			defer conn.Close()
			conn.SetDeadline(f.end)
			part(i, conn)
		})
	}
	group.Wait()
	close(flooded)
	<-sampled
	f.endpoint.SetPace(5 * time.Millisecond)
	f.checkLives()
	f.checkServes()
	f.checkLives()
	memory := f.peakMemory()
	f.t.Logf("peak memory %.1f MB of %d, %d descriptors of %.0f", memory, floodMemoryMB, peak, f.gateway.settings.Descriptors)
	if memory > floodMemoryMB {
		f.t.Errorf("peak memory %.1f MB, limit %d", memory, floodMemoryMB)
	}
	if peak > int(f.gateway.settings.Descriptors) {
		f.t.Errorf("%d descriptors, limit %.0f", peak, f.gateway.settings.Descriptors)
	}
}

func (f *floodedGateway) checkLives() {
	f.t.Helper()
	select {
	case <-f.exited:
		f.t.Fatalf("the process has exited: %s", f.log.tail())
	default:
	}
	is.New(f.t).NoErr(f.process.Process.Signal(syscall.Signal(0)))
}

func (f *floodedGateway) peakMemory() float64 { return peakMemory(f.t, f.process.Process.Pid) }

// peakMemory returns the peak resident memory of a process in MB.
func peakMemory(t testing.TB, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kB, err := strconv.Atoi(strings.Fields(value)[0])
			is.New(t).NoErr(err)
			return float64(kB) * 1024 / 1e6
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

func (f *floodedGateway) descriptors() int { return descriptorsOf(f.process.Process.Pid) }

func descriptorsOf(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // empty if the process has exited
	return len(entries)
}

// requestHead returns the start of a request's head, up to its last line.
func requestHead(i int) string {
	return fmt.Sprintf("POST /orders/1 HTTP/1.1\r\nHost: site.example\r\nRequest-Id: flood-%d\r\nDeadline-Ms: %d\r\n", i, floodTime.Milliseconds())
}

// hold waits until the gateway closes the connection or the flood ends.
func hold(conn net.Conn) { io.Copy(io.Discard, conn) }
