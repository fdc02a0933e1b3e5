package assembler_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against the same floods in the product's own mode: unfinished bodies of legal size, heads of many lines and silent
// connections.
func TestServeIsBounded(t *testing.T) {
	const memoryMB, descriptors, crowd = 100, 1000, 300
	is := is.New(t)
	c := newCluster(t, 1, "1ms", "0s")
	d := c.daemons[0]
	is.NoErr(d.Process.Kill())
	d.Wait()
	c.limits = map[string]any{"memory-mb": memoryMB, "descriptors": descriptors}
	c.startDaemon(0)
	ready := func() bool { return c.status(http.MethodGet, "http://"+d.callers+"/readyz") == http.StatusOK }
	c.eventually("the daemon is ready", ready)
	var opened []net.Conn
	body, lines := bytes.Repeat([]byte(" "), 1<<20), bytes.Repeat([]byte("a:\r\n"), 12_000)
	peak := 0
	for i := range crowd {
		conn, err := net.Dial("tcp", d.callers)
		if err != nil {
			continue // refused
		}
		opened = append(opened, conn)
		go func() { // what the daemon doesn't read stays with the caller
			head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + callerToken + "\r\n"
			switch i % 3 {
			case 0:
				fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body)+10, body)
			case 1:
				fmt.Fprintf(conn, "%s%sContent-Length: 10\r\n\r\n", head, lines)
			}
			io.Copy(io.Discard, conn)
		}()
		peak = max(peak, descriptorsOf(d.Process.Pid))
	}
	for i := 0; ; i++ {
		peak = max(peak, descriptorsOf(d.Process.Pid))
		response, err := c.callerRequest(0, http.MethodPost, "/v1/chat/completions", chatRequest(5, false))
		if err != nil {
			continue // closed or refused
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			break
		}
		if i == 2 {
			for _, conn := range opened {
				conn.Close()
			}
		}
	}
	is.NoErr(d.Process.Signal(syscall.Signal(0)))
	c.eventually("the daemon is ready", ready)
	memory := peakMemory(t, d.Process.Pid)
	t.Logf("peak memory %.1f MB of %d, %d descriptors of %d", memory, memoryMB, peak, descriptors)
	is.True(memory <= memoryMB)
	is.True(peak <= descriptors)
	for _, conn := range opened {
		conn.Close()
	}
}
