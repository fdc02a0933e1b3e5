package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/forwarder"
)

// refusal is a response that says that the call with an id has not run.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 0.2\r\nRequest-Id: " + id + "\r\nContent-Length: 4\r\n\r\nbusy"
}

// repetitions are the forms in which a faulty endpoint writes its refusal of the call 1 again.
var repetitions = map[string]string{
	"as it was":             refusal("1"),
	"without its id":        strings.Replace(refusal("1"), "Request-Id: 1\r\n", "", 1),
	"with an empty id":      strings.Replace(refusal("1"), "Request-Id: 1\r\n", "Request-Id: \r\n", 1),
	"cut in its status":     "HTTP/1.1 503 Service",
	"cut in a value":        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 0.",
	"cut after a field":     "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n",
	"cut after its id":      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRequest-Id: 1\r\nX: ",
	"cut in its body":       strings.TrimSuffix(refusal("1"), "usy"),
	"twice":                 refusal("1") + refusal("1"),
	"without length":        strings.Replace(refusal("1"), "Content-Length: 4\r\n", "", 1),
	"as 421":                "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	"as an earlier success": "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 6\r\n\r\nforged",
}

// Guards against a refusal of an earlier call that is taken for the response to the current one, whenever and however an
// endpoint writes it again on a kept connection: callers were told that their request had not run, and it had.
func TestRepeatedRefusalIsNoResponse(t *testing.T) {
	for form, text := range repetitions {
		for _, when := range []string{"after the first answer", "before the answer", "after the answer", "in pieces", "late"} {
			t.Run(form+", "+when, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
					for {
						id, _, ok := request(in)
						if !ok {
							return
						}
						if id == "1" {
							io.WriteString(out, refusal("1"))
							if when == "after the first answer" {
								time.Sleep(5 * time.Millisecond)
								io.WriteString(out, text)
							}
							continue
						}
						switch when {
						case "before the answer":
							io.WriteString(out, text)
						case "in pieces":
							for i := range text {
								io.WriteString(out, text[i:i+1])
								time.Sleep(200 * time.Microsecond)
							}
						}
						respond(out, id, "own "+id, "Server-Stamp: s\r\n")
						switch when {
						case "after the answer":
							io.WriteString(out, text)
						case "late":
							go func() {
								time.Sleep(time.Millisecond)
								io.WriteString(out, text)
							}()
						}
					}
				})
				client := &forwarder.Client{EchoHeader: "Request-Id"}
				for n := 1; n <= 6; n++ {
					ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
					defer cancel()
					response, err := client.Forward(ctx, e.target(), call(strconv.Itoa(n)))
					if err != nil {
						continue // nothing is concluded
					}
					body, err := io.ReadAll(response.Body)
					response.Body.Close()
					if n == 1 {
						is.Equal(response.Status, http.StatusServiceUnavailable)
					} else if err == nil {
						is.Equal(fmt.Sprintf("%d %s", response.Status, body), fmt.Sprintf("200 own %d", n))
					}
				}
			})
		}
	}
}

// Guards against a repeated refusal that has the id of the current call, since an earlier call on the connection had the
// same.
func TestSameIDTakesAnotherConnection(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(n int, in *bufio.Reader, out net.Conn) {
		for calls := 1; ; calls++ {
			id, _, ok := request(in)
			switch {
			case !ok:
				return
			case n == 1:
				io.WriteString(out, refusal(id)) // again and again
			default:
				respond(out, id, "own")
			}
		}
	})
	client := &forwarder.Client{EchoHeader: "Request-Id"}
	response, err := client.Forward(t.Context(), e.target(), call("1"))
	is.NoErr(err)
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	body, err := send(t, client, e.target(), call("1"))
	is.NoErr(err)
	is.Equal(body, "own")
}

// Guards against a head with two ids, of which one is the call's.
func TestResponseWithTwoIDsIsRefused(t *testing.T) {
	is := is.New(t)
	e := listen(t, func(_ int, in *bufio.Reader, out net.Conn) {
		request(in)
		respond(out, "1", "body", "Request-Id: 2\r\n")
	})
	_, err := send(t, &forwarder.Client{EchoHeader: "Request-Id"}, e.target(), call("1"))
	is.True(err != nil)
}
