package receiver

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
)

// ReadResponse reads the head of a response to a request, whose method it uses, and checks it by the grammar of HTTP/1.1. The
// body of the response is read from r as well. It fails with io.ErrUnexpectedEOF if it ends before its announced end or within
// its trailer section, and with ErrMalformed or ErrHeadTooLarge because of its trailer section, whose fields are dropped.
//
// It returns ErrMalformed, ErrHeadTooLarge, io.ErrUnexpectedEOF, or an error of r.
func ReadResponse(r *bufio.Reader, request *http.Request, limits Limits) (*http.Response, error) {
	head, err := readSection(r, limits)
	if err != nil {
		return nil, err
	}
	if err := checkHead(head); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(strings.NewReader(head), len(head)), request)
	if err != nil {
		return nil, err
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
