package receiver

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// checkedTransport is an http.RoundTripper that refuses malformed responses. RoundTrip returns ErrMalformed if HTTP/1.1 doesn't
// allow the status or a field, and the body's Read if it doesn't allow a field of the trailer section. It doesn't see continued
// lines, which net/http joins as RFC 9112, section 5.2, asks of a recipient.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = checkStatus(response.StatusCode)
	if err == nil {
		err = checkHeader(response.Header)
	}
	if err != nil {
		response.Body.Close()
		return nil, errors.Wrap(err, request.URL.Redacted())
	}
	response.Body = &checkedBody{response.Body, response}
	return response, nil
}

// checkedBody is a body whose trailer section is checked at its end.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkHeader(b.response.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}
