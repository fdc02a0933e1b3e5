package receiver_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/receiver"
)

// Guards against a client of net/http that takes a part of a response for the whole one after a reset which its writing
// goroutine was told of.
func TestEarlyResponseCutShortByResetFailsWithNetHTTP(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			http.ReadRequest(bufio.NewReader(conn))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
			time.Sleep(20 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0) // closing resets the connection
			conn.Close()
		}
	}()
	client := receiver.NewClient(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
	defer client.CloseIdleConnections()
	for range 10 {
		response, err := client.Post("http://"+listener.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", 8<<20)))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
		is.True(err != nil)
	}
}
