package inspector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/accountant"
	"apricotspool/inspector"
)

// bounded is an HTTP server with a budget. Its handler reads the body like the daemons' do and returns its length.
type bounded struct {
	t       testing.TB
	budget  *inspector.Budget
	address string
	held    sync.WaitGroup // requests on the path /held wait for it after they have been sent
}

func newBounded(t testing.TB, budget *inspector.Budget) *bounded {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	b := &bounded{t: t, budget: budget, address: raw.Addr().String()}
	server := &http.Server{Handler: b, ConnContext: inspector.ConnContext, ConnState: inspector.ConnState}
	go server.Serve(&inspector.Listener{Listener: raw, Budget: budget})
	t.Cleanup(func() { server.Close() })
	return b
}

func (b *bounded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	connection := inspector.Of(r.Context())
	if !connection.StartRequest(len(r.Header)) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := connection.ReadBody(w, r, 1<<20)
	if errors.Is(err, inspector.ErrNoMemory) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if !connection.Wait(0, cancel) || ctx.Err() != nil || !connection.Keep() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/held" {
		b.held.Wait()
	}
	fmt.Fprint(w, len(body))
}

func (b *bounded) dial() net.Conn {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.address)
	is.New(b.t).NoErr(err)
	b.t.Cleanup(func() { conn.Close() })
	return conn
}

// status sends a request and returns the status of its answer; 0 if the connection was closed.
func (b *bounded) status(conn net.Conn, request string) int {
	b.t.Helper()
	io.WriteString(conn, request) // may fail while the refusal is on its way
	return readStatus(conn)
}

func readStatus(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("condition not met: %s", condition)
		}
	}
}

// Guards against heads over the limit that are read, and heads within it that are refused, on new and on used connections.
func TestHeadsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBounded(t, &inspector.Budget{HeadBytes: func() int { return 16 << 10 }})
	fitting := "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 16<<10-40) + "\r\n\r\n"
	for _, long := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 24<<10) + "\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A:\r\n", 6<<10) + "\r\n",
		"GET /" + strings.Repeat("a", 24<<10),
	} {
		conn := b.dial()
		is.Equal(b.status(conn, fitting), http.StatusOK)
		is.Equal(b.status(conn, fitting), http.StatusOK)
		if status := b.status(conn, long); status != http.StatusRequestHeaderFieldsTooLarge && status != 0 { // a reset may drop the answer
			t.Errorf("status %d", status)
		}
	}
	eventually(t, "nothing is held", func() bool { return b.budget.Open() == 0 })
	is.Equal(b.budget.Usage(accountant.Head), int64(0))
}

// Guards against heads whose lines take more memory than their bytes and are charged for these only.
func TestLinesAreCharged(t *testing.T) {
	is := is.New(t)
	b := newBounded(t, &inspector.Budget{Bytes: 1 << 20})
	lines := strings.Repeat("A:\r\n", 3000)
	status := b.status(b.dial(), "GET / HTTP/1.1\r\nHost: a\r\n"+lines+"\r\n")
	is.True(status == http.StatusServiceUnavailable || status == 0) // 1.2 MB
	is.Equal(b.status(b.dial(), "GET / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("a", len(lines))+"\r\n\r\n"), http.StatusOK)
}

// Guards against silent connections that keep out callers which send requests.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	b := newBounded(t, &inspector.Budget{Connections: 4})
	for range 20 {
		b.dial()
		is.True(b.budget.Open() <= 4)
	}
	is.Equal(b.status(b.dial(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n"), http.StatusOK)
}

// Guards against stopped bodies that keep the memory from other requests, and against requests that have been sent and lose
// theirs.
func TestStoppedBodiesMakeRoom(t *testing.T) {
	is := is.New(t)
	b := newBounded(t, &inspector.Budget{Bytes: 2 << 20})
	b.held.Add(1)
	sent := b.dial()
	fmt.Fprintf(sent, "POST /held HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 800<<10, make([]byte, 800<<10))
	eventually(t, "the first body", func() bool { return b.budget.Usage(accountant.Body) == 800<<10 })
	stopped := b.dial()
	fmt.Fprintf(stopped, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 800<<10, make([]byte, 700<<10))
	eventually(t, "the second body", func() bool { return b.budget.Usage(accountant.Body) == 1600<<10 })
	eventually(t, "a third request is served", func() bool {
		return b.status(b.dial(), fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 600<<10, make([]byte, 600<<10))) == http.StatusOK
	})
	is.Equal(readStatus(stopped), http.StatusServiceUnavailable)
	b.held.Done()
	is.Equal(readStatus(sent), http.StatusOK)
	eventually(t, "nothing is held for requests", func() bool {
		return b.budget.Usage(accountant.Body)+b.budget.Usage(accountant.Request)+b.budget.Usage(accountant.Head) == 0
	})
}

// Guards against bodies without a length that are held in full before they are admitted.
func TestChunkedBodiesAreAdmittedInPieces(t *testing.T) {
	is := is.New(t)
	b := newBounded(t, &inspector.Budget{Bytes: 1 << 20})
	chunked := func(bytes int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bytes, make([]byte, bytes))
	}
	is.Equal(b.status(b.dial(), chunked(200<<10)), http.StatusOK)
	status := b.status(b.dial(), chunked(1<<20))
	is.True(status == http.StatusServiceUnavailable || status == 0)
	eventually(t, "nothing is held", func() bool { return b.budget.Usage(accountant.Body) == 0 })
}

// Guards against bytes that the kernel has received for a request which isn't read, and that don't count.
func TestUnreadBytesCount(t *testing.T) {
	b := newBounded(t, &inspector.Budget{Bytes: 1 << 20})
	b.held.Add(1)
	defer b.held.Done()
	conn := b.dial()
	eventually(t, "unread bytes are counted", func() bool {
		conn.SetWriteDeadline(time.Now().Add(time.Millisecond))
		fmt.Fprintf(conn, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n%s", make([]byte, 40<<10)) // until the buffer is full
		other := b.dial()
		defer other.Close()
		b.budget.Measure()
		return b.budget.Usage(accountant.Unread) > 16<<10
	})
}

// Guards against heads that crash the counting or leave something in the account.
func FuzzHead(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), 3)
	f.Add([]byte("\r\n\r\n\n\nPOST / HTTP/1.1\nHost: a\nContent-Length: 3\n\nabcGET / HTTP/1.1\r\n"), 7)
	f.Add([]byte("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"), 1)
	b := newBounded(f, &inspector.Budget{Bytes: 1 << 20, Connections: 50})
	f.Fuzz(func(t *testing.T, head []byte, piece int) {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Skip()
		}
		piece = max(1, piece&0xff)
		for len(head) > 0 {
			n := min(piece, len(head))
			if _, err := conn.Write(head[:n]); err != nil {
				break // refused
			}
			head = head[n:]
		}
		conn.(*net.TCPConn).CloseWrite()
		io.Copy(io.Discard, conn)
		conn.Close()
		eventually(t, "nothing is held", func() bool { return b.budget.Open() == 0 })
		for kind := range accountant.Kinds {
			if held := b.budget.Usage(accountant.Kind(kind)); held != 0 {
				t.Errorf("%d bytes of kind %s are left", held, accountant.Kinds[kind])
			}
		}
	})
}
