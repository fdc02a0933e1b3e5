package relayer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/accountant"
	"apricotspool/inspector"
)

// bound serves the fixture's relayer once more with a budget, and returns a connection to it.
func (f *fixture) bound(budget *inspector.Budget) net.Conn {
	f.t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(f.t).NoErr(err)
	server := &http.Server{Handler: f.relayer, ConnContext: inspector.ConnContext, ConnState: inspector.ConnState}
	go server.Serve(&inspector.Listener{Listener: raw, Budget: budget})
	f.t.Cleanup(func() { server.Close() })
	conn, err := net.Dial("tcp", raw.Addr().String())
	is.New(f.t).NoErr(err)
	f.t.Cleanup(func() { conn.Close() })
	return conn
}

func exchangeOn(is *is.I, conn net.Conn, request string) (*http.Response, string) {
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response, string(body)
}

// Guards against bodies that stop short of their end and are held for good.
func TestStoppedBodyEndsAtDeadline(t *testing.T) {
	for name, request := range map[string]string{
		"known length": "POST /short/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nabc",
		"chunked":      "POST /short/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			response, body := exchangeOn(is, f.bound(&inspector.Budget{}), request)
			is.Equal(response.StatusCode, http.StatusGatewayTimeout)
			is.Equal(body, "deadline-exceeded\n")
		})
	}
}

// Guards against a request without memory that is run, or refused without saying that it may be repeated.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", func(http.ResponseWriter, *http.Request) { t.Error("the request was run") })
	response, body := exchangeOn(is, f.bound(&inspector.Budget{Bytes: 60 << 10}), "POST /unsafe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc")
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(body, "memory-exhausted\n")
}

// Guards against the answer to a request that has run which is lost because there is no memory to buffer it.
func TestAnswerWithoutMemoryIsPassedOn(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	long := strings.Repeat("x", 600<<10)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, long) })
	response, body := exchangeOn(is, f.bound(&inspector.Budget{Bytes: 80 << 10}), "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
	is.Equal(response.StatusCode, http.StatusOK)
	is.True(body == long)
}

// Guards against callers that don't read their answer and hold its memory for good.
func TestUnreadAnswerEnds(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a")...)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) {
		for chunk := make([]byte, 1<<20); ; {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	budget := &inspector.Budget{}
	_, err := io.WriteString(f.bound(budget), "GET /short/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
	is.NoErr(err)
	for f.relayer.InFlight() == 0 || budget.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	for f.relayer.InFlight() > 0 || budget.Open() > 0 { // fails by the time-out of the test run
		time.Sleep(time.Millisecond)
	}
}

// Guards against an event without end that is held beyond the memory for answers, and takes that of other requests; and against
// memory that isn't given back when a long event has ended.
func TestLongEventsStayWithinMemory(t *testing.T) {
	long := "id: 3\ndata: " + strings.Repeat("x", 60<<10)
	for name, c := range map[string]struct {
		third  string // event of the first endpoint
		passes bool
	}{
		"long event":        {long + "\n\n", true},
		"event without end": {strings.Repeat(long, 10), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, dispatchTo("a", "b")...)
			budget := &inspector.Budget{Bytes: 1 << 20}
			f.endpoint("a", func(w http.ResponseWriter, r *http.Request) {
				streamFrom(2, func() {
					io.WriteString(w, c.third)
					w.(http.Flusher).Flush()
					abortConnection()
				})(w, r)
			})
			var heldByLongEvent int64
			f.endpoint("b", func(w http.ResponseWriter, r *http.Request) {
				heldByLongEvent = budget.Usage(accountant.Answer)
				streamFrom(5, func() {})(w, r)
			})
			response, body := exchangeOn(is, f.bound(budget), "POST /resumed/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n")
			is.Equal(response.StatusCode, http.StatusOK)
			third := event(3)
			if c.passes {
				third = c.third
			}
			is.Equal(body, events(2)+third+event(4)+event(5))
			is.True(heldByLongEvent <= budget.Bytes/4)
			for budget.Usage(accountant.Answer) > 0 { // fails by the time-out of the test run
				time.Sleep(time.Millisecond)
			}
		})
	}
}
