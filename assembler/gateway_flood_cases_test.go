package assembler_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against heads of legal size that take many times their size: each of their lines becomes an entry of a map.
func TestFloodOfHeaderLines(t *testing.T) {
	f := newFloodedGateway(t, floodDescriptors)
	lines := []func(n int) string{
		func(n int) string { return fmt.Sprintf("%x:\r\n", n) },
		func(int) string { return "a:\r\n" },
		func(n int) string { return fmt.Sprintf("%x:\t\r\n \r\n", n) },
		func(n int) string { return fmt.Sprintf("!%x:%c\r\n", n, '!'+n%90) },
	}
	f.flood(400, func(i int, conn net.Conn) {
		var head strings.Builder
		head.WriteString(requestHead(i))
		for n := 0; head.Len() < floodHeaderBytes-100; n++ {
			head.WriteString(lines[i%len(lines)](n))
		}
		head.WriteString("Content-Length: 0\r\n\r\n")
		io.WriteString(conn, head.String())
		hold(conn)
	})
}

// Guards against many large bodies of legal size that are all held at once.
func TestFloodOfWholeBodies(t *testing.T) {
	f := newFloodedGateway(t, floodDescriptors)
	body := make([]byte, floodBodyBytes)
	f.flood(150, func(i int, conn net.Conn) {
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", requestHead(i), len(body))
		conn.Write(body)
		hold(conn)
	})
}

// Guards against bodies that come piece by piece, stop short of their end and stay open.
func TestFloodOfUnfinishedBodies(t *testing.T) {
	f := newFloodedGateway(t, floodDescriptors)
	piece := make([]byte, 16<<10)
	f.flood(150, func(i int, conn net.Conn) {
		io.WriteString(conn, requestHead(i)+"Transfer-Encoding: chunked\r\n\r\n")
		for sent := 0; sent+len(piece) < floodBodyBytes; sent += len(piece) {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece); err != nil {
				return
			}
		}
		hold(conn)
	})
}

// Guards against heads over the limit or without end.
func TestFloodOfEndlessHeads(t *testing.T) {
	f := newFloodedGateway(t, floodDescriptors)
	value := bytes.Repeat([]byte("a"), 64<<10)
	f.flood(150, func(i int, conn net.Conn) {
		io.WriteString(conn, requestHead(i))
		for n := range 14 {
			if i%2 == 0 || n == 0 { // one long line, or several
				fmt.Fprintf(conn, "X-%d: ", n)
			}
			conn.Write(value)
			if i%2 == 0 {
				io.WriteString(conn, "\r\n")
			}
		}
		hold(conn)
	})
}

// Guards against empty lines without end before a request.
func TestFloodOfEmptyLines(t *testing.T) {
	f := newFloodedGateway(t, floodDescriptors)
	lines := bytes.Repeat([]byte("\r\n"), 32<<10)
	f.flood(150, func(_ int, conn net.Conn) {
		for range 64 {
			if _, err := conn.Write(lines); err != nil {
				return
			}
		}
		hold(conn)
	})
}

// Guards against answers that are held for callers which don't read them.
func TestFloodOfSlowReaders(t *testing.T) {
	f := newFloodedGateway(t, floodDescriptors)
	f.endpoint.Padding = 16 << 20
	body := make([]byte, 256<<10)
	f.flood(150, func(i int, conn net.Conn) {
		f.endpoint.SetPace(1)
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", requestHead(i), len(body))
		conn.Write(body)
		time.Sleep(time.Until(f.end)) // reads nothing
	})
}

// Guards against connections that send nothing and take all descriptors.
func TestFloodOfSilentConnections(t *testing.T) {
	f := newFloodedGateway(t, 400)
	f.flood(800, func(_ int, conn net.Conn) { hold(conn) })
}

// Guards against limits that keep a single request within the configuration's limits from being served by a small host.
func TestLargestRequestIsServed(t *testing.T) {
	is := is.New(t)
	f := newGatewayProcess(t, 144, 3075, 4<<20)
	lines, body := []string{}, bytes.Repeat([]byte("b"), 4<<20)
	for n := range 2700 {
		lines = append(lines, fmt.Sprintf("%x:", n))
	}
	for _, chunked := range []bool{false, true} {
		for range 3 {
			head := requestHead(0) + strings.Join(lines, "\r\n") + "\r\nConnection: close\r\n"
			conn, err := net.Dial("tcp", f.gateway.settings.Callers.String())
			is.NoErr(err)
			if chunked {
				_, err = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
			} else {
				_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			}
			is.NoErr(err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			answer, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(len(answer) > 2*len(body)) // the endpoint returns the body in hexadecimal digits
			conn.Close()
		}
	}
	f.checkLives()
	is.True(f.peakMemory() <= 144)
}
