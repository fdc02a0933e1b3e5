package receiver

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"

	"github.com/pkg/errors"
)

// ReadResponse reads the head of a response to a request, of which it uses the method, and checks it by the grammar of HTTP/1.1.
// It returns ErrMalformed, ErrHeadTooLarge, io.ErrUnexpectedEOF if r ends within the head, or an error of r.
//
// The body of the response reads from r. Its Read fails with io.ErrUnexpectedEOF if r ends before the body, and with ErrMalformed
// or ErrHeadTooLarge because of the trailer section, whose fields are dropped.
func ReadResponse(r *bufio.Reader, request *http.Request, limits Limits) (*http.Response, error) {
	head, err := readSection(r, limits)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(strings.NewReader(head), len(head)), request)
	if err != nil { // its length or its coding is invalid
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	switch {
	case response.Body == http.NoBody:
	case len(response.TransferEncoding) > 0: // net/http accepts no other coding than chunked
		response.Body = &chunkedBody{Reader: httputil.NewChunkedReader(r), source: r, limits: limits}
	case response.ContentLength >= 0:
		response.Body = &sizedBody{source: r, left: response.ContentLength}
	default:
		response.Body = io.NopCloser(r)
	}
	return response, nil
}

// sizedBody is a body whose length is known. It returns io.EOF with its last bytes.
type sizedBody struct {
	source io.Reader
	left   int64
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		err = io.EOF
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *sizedBody) Close() error { return nil }

// chunkedBody is a body in chunks, with a trailer section after the last one.
type chunkedBody struct {
	io.Reader
	source *bufio.Reader
	limits Limits
	err    error // that ended the body
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// readTrailer reads the trailer section. It returns io.EOF if the section is well formed.
func (b *chunkedBody) readTrailer() error {
	section, err := readSection(b.source, b.limits)
	if err == nil {
		err = checkFields(section, func(string) {})
	}
	if err == nil {
		err = io.EOF
	}
	return err
}

func (b *chunkedBody) Close() error { return nil }
