package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// malformedHeads returns responses with a line of a head, or of a trailer section, that the grammar of HTTP/1.1 doesn't allow.
// Their connection ends after them. LINES stands for the fields of a response to the request.
func malformedHeads() map[string]string {
	const (
		head  = "HTTP/1.1 200 OK\r\nLINES"
		sized = "Content-Length: 5\r\n\r\nwrong"
	)
	responses := map[string]string{
		"two blanks before the status":       "HTTP/1.1  200 OK\r\nLINES" + sized,
		"control byte in the reason":         "HTTP/1.1 200 O\x01K\r\nLINES" + sized,
		"other version":                      "HTTP/2.0 200 OK\r\nLINES" + sized,
		"coding in an earlier version":       "HTTP/1.0 200 OK\r\nLINESTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
		"length and coding":                  head + "Content-Length: 20\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
		"blank before the colon of a size":   head + "Content-Length : 3\r\n\r\nwrong",
		"blank before the colon of a coding": head + "Transfer-Encoding : chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
		"blank before a size":                head + " Content-Length: 3\r\n\r\nwrong",
		"blank in a failure's name":          "HTTP/1.1 500 Failed\r\nLINESX Other: 1\r\n" + sized,
		"blank in a refusal's name":          "HTTP/1.1 503 Refused\r\nX-Not-Run: 1\r\nLINESX Other: 1\r\n" + sized,
		"blank in an earlier head's name":    "HTTP/1.1 103 Early Hints\r\nX Other: 1\r\n\r\n" + head + sized,
		"blank in a trailer's name":          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nX Other: 1\r\n\r\n",
		"control byte in a trailer":          head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\nX-Other: a\x01b\r\n\r\n",
	}
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "+20", "-20", "2 0", ""} {
		responses["status "+status] = "HTTP/1.1 " + status + " OK\r\nLINES" + sized
	}
	for name, line := range map[string]string{
		"blank in a name":            "X Other: 1",
		"blank before a colon":       "X-Other : 1",
		"tab in a name":              "X\tOther: 1",
		"control byte in a name":     "X-\x01Other: 1",
		"null byte in a name":        "X-\x00Other: 1",
		"delete in a name":           "X-Other\x7f: 1",
		"separator in a name":        "X(Other): 1",
		"byte over 127 in a name":    "X-\xd6ther: 1",
		"no name":                    ": 1",
		"no colon":                   "X-Other",
		"continued line":             "X-Other: 1\r\n 2",
		"control byte in a value":    "X-Other: a\x01b",
		"null byte in a value":       "X-Other: a\x00b",
		"carriage return in a value": "X-Other: a\rb",
	} {
		responses[name] = head + line + "\r\n" + sized
		responses[name+", first"] = "HTTP/1.1 200 OK\r\n" + line + "\r\nLINES" + sized
	}
	return responses
}

// Guards against a malformed response that reaches the caller, as a response with the odd line or with another body than the
// endpoint's, and against a promise that a request has not run which rests on one.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resumed/"} {
		for name, text := range malformedHeads() {
			t.Run(strings.Trim(path, "/")+" "+name, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, dispatchTo("a")...)
				retried, stream := path == "/safe/" || path == "/resumed/", path == "/stream/" || path == "/resumed/"
				if retried {
					f.core.actions = dispatchTo("a", "b")
				}
				sent, body := text, "a whole body"
				if stream {
					body = events(3)
					size := len(event(1))
					sent = strings.NewReplacer("LINES", "LINESContent-Type: text/event-stream\r\n", "Length: 5", fmt.Sprintf("Length: %d", size),
						"5\r\nwrong", fmt.Sprintf("%x\r\n%s", size, event(1)), "wrong", event(1)).Replace(text)
				}
				f.targets["a"] = rawEndpoint(t, func(in *bufio.Reader, out net.Conn) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					io.WriteString(out, strings.Replace(sent, "LINES", "X-Id: "+r.Header.Get("X-Id")+"\r\nX-Stamp: a\r\n", 1))
				})
				f.endpoint("b", func(w http.ResponseWriter, r *http.Request) {
					if stream {
						streamFrom(3, func() {})(w, r)
						return
					}
					io.WriteString(w, body)
				})
				got := f.send("POST", path, "body")
				switch {
				case retried:
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, body)
					is.True(got.complete)
				case strings.Contains(name, "trailer") && stream:
					is.True(!got.complete) // its events came before the trailer section
				default:
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(got.body, "endpoint-failed\n")
				}
			})
		}
	}
}
