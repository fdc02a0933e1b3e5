package receiver_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/receiver"
)

var limits = receiver.Limits{Bytes: 200, Lines: 10}

// Guards against refusing a sound response because of a form that HTTP/1.1 allows, or that recipients have to tolerate, and
// against reading it otherwise than its endpoint means it.
func TestSoundResponsesAreRead(t *testing.T) {
	for name, c := range map[string]struct{ response, field, body, rest string }{
		"a length":                  {"HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 4\r\n\r\nbodyrest", "1", "body", "rest"},
		"chunks":                    {"HTTP/1.1 200 OK\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;e=1\r\nbod\r\n1\r\ny\r\n0\r\n\r\nrest", "1", "body", "rest"},
		"chunks and a trailer":      {"HTTP/1.1 200 OK\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\nrest", "1", "body", "rest"},
		"ends with its connection":  {"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nbody", "1", "body", ""},
		"earlier version":           {"HTTP/1.0 200 OK\r\nX: 1\r\n\r\nbody", "1", "body", ""},
		"lines end in LF":           {"HTTP/1.1 200 OK\nX: 1\nContent-Length: 4\n\nbody", "1", "body", ""},
		"no reason":                 {"HTTP/1.1 200 \r\nX: 1\r\nContent-Length: 4\r\n\r\nbody", "1", "body", ""},
		"no reason and no blank":    {"HTTP/1.1 200\r\nX: 1\r\nContent-Length: 4\r\n\r\nbody", "1", "body", ""},
		"blanks around a value":     {"HTTP/1.1 200 OK\r\nX:\t 1 \t\r\nContent-Length:4\r\n\r\nbody", "1", "body", ""},
		"blanks in a value":         {"HTTP/1.1 200 OK\r\nX: a\t b\r\nContent-Length: 4\r\n\r\nbody", "a\t b", "body", ""},
		"bytes over 127 in a value": {"HTTP/1.1 200 d\xe9j\xe0\r\nX: \xe9\r\nContent-Length: 4\r\n\r\nbody", "\xe9", "body", ""},
		"empty value":               {"HTTP/1.1 200 OK\r\nX:\r\nContent-Length: 4\r\n\r\nbody", "", "body", ""},
		"any character of a name":   {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09aZ: 1\r\nX: 1\r\nContent-Length: 4\r\n\r\nbody", "1", "body", ""},
		"undefined status":          {"HTTP/1.1 299 OK\r\nX: 1\r\nContent-Length: 4\r\n\r\nbody", "1", "body", ""},
		"no content":                {"HTTP/1.1 204 OK\r\nX: 1\r\n\r\nrest", "1", "", "rest"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := bufio.NewReader(strings.NewReader(c.response))
			response, err := receiver.ReadResponse(in, &http.Request{Method: http.MethodPost}, limits)
			is.NoErr(err)
			is.Equal(response.Header.Get("X"), c.field)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), c.body)
			rest, err := io.ReadAll(in)
			is.NoErr(err)
			is.Equal(string(rest), c.rest)
		})
	}
}

// Guards against a head or a trailer section that takes more memory than its limits allow.
func TestSectionsAreLimited(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	for name, text := range map[string]string{
		"bytes of a head":    "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200) + "\r\n\r\n",
		"lines of a head":    "HTTP/1.1 200 OK\r\n" + strings.Repeat("x:\r\n", 10) + "\r\n",
		"bytes of a trailer": chunked + "X: " + strings.Repeat("x", 200) + "\r\n\r\n",
		"lines of a trailer": chunked + strings.Repeat("x:\r\n", 11) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := receiver.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{}, limits)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			is.True(errors.Is(err, receiver.ErrHeadTooLarge))
		})
	}
}
