package assembler_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/platform/platformtest"
)

const (
	endlessCallers = 120
	// endlessTime is how long the callers of faulty servers stay.
	endlessTime = 4 * time.Second
	// unfinishedBytes is where an answer stops that doesn't exceed the limit of an event.
	unfinishedBytes = 900 << 10
)

// endlessAnswers are what faulty servers send without end, at full speed or up to a point from which they send nothing more.
var endlessAnswers = map[string]func(to net.Conn, server, id string){
	"event with a length": func(to net.Conn, server, id string) {
		repeat(to, head(server, id, 200, "Content-Length: 1000000000000", events)+"id: 1\ndata: ", "a", 0)
	},
	"event in chunks": func(to net.Conn, server, id string) {
		repeat(to, head(server, id, 200, chunked, events), chunk("data: abc\n"), 0)
	},
	"event without framing": func(to net.Conn, server, id string) {
		repeat(to, head(server, id, 200, "Connection: close", events), "data: abc\n", 0)
	},
	"unfinished event": func(to net.Conn, server, id string) {
		repeat(to, head(server, id, 200, "Connection: close", events), "data: abc\n", unfinishedBytes)
	},
	"error": func(to net.Conn, server, id string) {
		repeat(to, head(server, id, 500, chunked), chunk(strings.Repeat("e", 1000)), 0)
	},
	"unfinished error": func(to net.Conn, server, id string) {
		repeat(to, head(server, id, 500, chunked), chunk(strings.Repeat("e", 1000)), 250<<10)
	},
	"body": func(to net.Conn, server, id string) {
		repeat(to, head(server, id, 200, chunked), chunk(strings.Repeat("b", 1000)), 0)
	},
	"lines of a head": func(to net.Conn, _, _ string) {
		lines := &strings.Builder{}
		for n := range 100_000 {
			fmt.Fprintf(lines, "%x:\r\n", n)
		}
		repeat(to, "HTTP/1.1 200 OK\r\n", lines.String(), 0)
	},
	"unfinished head": func(to net.Conn, _, _ string) {
		lines := &strings.Builder{}
		for n := 0; lines.Len() < 60<<10; n++ {
			fmt.Fprintf(lines, "%x:\r\n", n)
		}
		repeat(to, "HTTP/1.1 200 OK\r\n", lines.String(), lines.Len())
	},
	"one line of a head": func(to net.Conn, _, _ string) { repeat(to, "HTTP/1.1 200 OK\r\nX: ", "a", 0) },
}

const (
	chunked = "Transfer-Encoding: chunked"
	events  = "Content-Type: text/event-stream"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func head(server, id string, status int, lines ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n%s\r\n\r\n", status, id, platformtest.Stamp(server, id, status), strings.Join(lines, "\r\n"))
}

// repeat sends a text and then another one again and again, until the caller closes the connection. After about so many bytes
// it only holds the connection; 0 means never.
func repeat(to net.Conn, first, again string, bytes int) {
	if len(again) < 4<<10 {
		again = strings.Repeat(again, (4<<10)/len(again))
	}
	_, err := io.WriteString(to, first)
	for sent := 0; err == nil && (bytes == 0 || sent+len(again) <= bytes); sent += len(again) {
		_, err = io.WriteString(to, again)
	}
	if err == nil {
		io.Copy(io.Discard, to)
	}
}

// Guards against servers that send bytes which are no answer, or an answer without end: a gateway that held them all ran out of
// memory and took the requests of other clients with it.
func TestEndlessAnswersOfServers(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFloodedGateway(t, floodDescriptors)
			f.configure(route{"/orders/", "unsafe", "app", floodTime}, route{"/items/", "safe", "app", floodTime}, route{"/ask/", "streaming", "llm", endlessTime})
			for i := range 3 {
				faulty := &platformtest.Server{ID: fmt.Sprintf("faulty-%d", i), Service: "llm", Zone: f.endpoint.Zone, Stage: "decode", Slots: 64, Store: &f.Store}
				faulty.Answer = func(to net.Conn, id string) { answer(to, faulty.ID, id) }
				is.NoErr(faulty.Start("127.0.0.1:0"))
				t.Cleanup(faulty.Crash)
			}
			time.Sleep(settling)
			f.callFaultyServers()
			f.checkServes()
			f.checkLives()
			memory := f.peakMemory()
			t.Logf("peak memory %.1f MB of %d", memory, floodMemoryMB)
			is.True(memory <= floodMemoryMB)
		})
	}
}

// callFaultyServers has callers read answers of faulty servers, while another caller's requests to a sound one must not be cut.
func (f *floodedGateway) callFaultyServers() {
	f.t.Helper()
	is := is.New(f.t)
	end := time.Now().Add(endlessTime)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var callers sync.WaitGroup
	for range endlessCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				_, r, err := f.NewRequest(http.MethodPost, f.gateway.settings.Callers, "/ask/x")
				if err != nil {
					return
				}
				response, err := client.Do(r)
				if err == nil {
					io.CopyN(io.Discard, response.Body, 8<<20)
					response.Body.Close()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	answered, refused := 0, 0
	for time.Now().Before(end) {
		_, got := f.send(client, f.gateway, "POST", "/orders/1")
		is.NoErr(got.err)
		if got.status == http.StatusOK {
			answered++
		} else {
			refused++
		}
	}
	callers.Wait()
	f.t.Logf("other requests: %d answered, %d refused", answered, refused)
	is.True(answered > 0)
}
