package receiver_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"apricotspool/receiver"
)

// BenchmarkReadResponse shows what the check of a head costs beside net/http's parser alone.
func BenchmarkReadResponse(b *testing.B) {
	const text = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	request := &http.Request{Method: http.MethodPost}
	for name, read := range map[string]func(*bufio.Reader) (*http.Response, error){
		"checked": func(r *bufio.Reader) (*http.Response, error) {
			return receiver.ReadResponse(r, request, receiver.Limits{Bytes: 64 << 10, Lines: 256})
		},
		"net-http": func(r *bufio.Reader) (*http.Response, error) { return http.ReadResponse(r, request) },
	} {
		b.Run(name, func(b *testing.B) {
			is := is.New(b)
			b.ReportAllocs()
			source := strings.NewReader(text)
			in := bufio.NewReader(source)
			for b.Loop() {
				source.Reset(text)
				in.Reset(source)
				response, err := read(in)
				is.NoErr(err)
				io.Copy(io.Discard, response.Body)
			}
		})
	}
}
