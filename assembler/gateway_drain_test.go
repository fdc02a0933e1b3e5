package assembler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/namer"
)

// slowRequest is a request that a client writes in two parts on its own connection.
type slowRequest struct {
	id   string
	conn net.Conn
	body string
}

func (s *site) beginRequest(t *testing.T, g *gateway, path string) *slowRequest {
	t.Helper()
	is := is.New(t)
	id, r, err := s.NewRequest(http.MethodPost, g.settings.Callers, path)
	is.NoErr(err)
	conn, err := net.Dial("tcp", g.settings.Callers.String())
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	q := &slowRequest{id: id, conn: conn, body: strings.Repeat("b", 200)}
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, r.Host, len(q.body))
	is.NoErr(r.Header.Write(&head))
	_, err = io.WriteString(conn, head.String()+"\r\n"+q.body[:len(q.body)/2])
	is.NoErr(err)
	return q
}

// finish writes the rest of the request and returns the status of the answer; 0 if the connection ends without one.
func (q *slowRequest) finish() int {
	io.WriteString(q.conn, q.body[len(q.body)/2:])
	response, err := http.ReadResponse(bufio.NewReader(q.conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Guards against requests that a planned stop of a gateway takes and then cuts without an answer, long after it began: what
// can't end in time is refused at once and doesn't run, and what was taken before gets an answer that says what is known.
func TestStopAnswersWhatItHasRead(t *testing.T) {
	for name, c := range map[string]struct {
		path           string
		begin, finish  time.Duration // since the stop; before it if negative
		status         int
		runs           int
		notice, length time.Duration // of the drain
	}{
		"unsafe, late":                     {"/orders/1", 100 * time.Millisecond, 1500 * time.Millisecond, 503, 0, 0, 0},
		"unsafe, within the notice":        {"/orders/1", 0, 100 * time.Millisecond, 503, 0, 0, 0},
		"unsafe, begun before, read late":  {"/orders/1", -100 * time.Millisecond, 2 * time.Second, 503, 0, 0, 0},
		"unsafe, running when it begins":   {"/orders/1", -200 * time.Millisecond, -100 * time.Millisecond, 502, 1, 0, 0},
		"safe, late":                       {"/items/1", 100 * time.Millisecond, 1500 * time.Millisecond, 503, 0, 0, 0},
		"stream, late":                     {"/ask/1", 100 * time.Millisecond, 1500 * time.Millisecond, 503, 0, 0, 0},
		"short work, within the notice":    {"/short/1", 0, 100 * time.Millisecond, 200, 1, 0, 0},
		"short work, late":                 {"/short/1", 100 * time.Millisecond, 700 * time.Millisecond, 200, 1, 0, 0},
		"unsafe, stop shorter than notice": {"/orders/1", -200 * time.Millisecond, -100 * time.Millisecond, 502, 1, 5 * time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t)
			s.configure(
				route{"/orders/", "unsafe", "app", 10 * time.Second}, route{"/items/", "safe", "app", 10 * time.Second},
				route{"/ask/", "streaming", "llm", 10 * time.Second}, route{"/short/", "unsafe", "app", time.Second},
			)
			if s.ServiceTime = 6 * time.Second; c.path == "/short/1" {
				s.ServiceTime = 50 * time.Millisecond
			}
			app := s.startServer("app-1", "app", "")
			model := s.startServer("llm-1", "llm", "decode")
			settings := s.newSettings("g")
			if c.notice > 0 {
				settings.Drain.Notice, settings.Drain.Limit = namer.Duration(c.notice), namer.Duration(c.length)
			}
			g := s.startGateway(settings)
			eventually(t, "readiness", g.ready)
			stop := time.Now().Add(300 * time.Millisecond)
			time.AfterFunc(time.Until(stop), g.stop)
			time.Sleep(time.Until(stop.Add(c.begin)))
			q := s.beginRequest(t, g, c.path)
			time.Sleep(time.Until(stop.Add(c.finish)))
			is.Equal(q.finish(), c.status)
			is.Equal(app.Executions()[q.id]+model.Executions()[q.id], c.runs)
		})
	}
}
