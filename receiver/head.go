package receiver

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Limits bounds the head of a response and its trailer section, each by itself.
type Limits struct {
	Bytes int // with the ends of lines
	Lines int // with the status line, without the empty line at the end
}

// Errors of ReadResponse and of the bodies that it returns.
var (
	// ErrMalformed means that a head or a trailer section doesn't have the form that HTTP/1.1 allows. What it means is unknown.
	ErrMalformed = errors.New("malformed response")
	// ErrHeadTooLarge means that a head or a trailer section exceeds its limits, or never ends.
	ErrHeadTooLarge = errors.New("response head exceeds the size limit")
)

// readSection reads lines up to and including an empty one. A section that ends earlier fails with io.ErrUnexpectedEOF.
func readSection(r *bufio.Reader, limits Limits) (string, error) {
	var section strings.Builder
	lines, lineBegins := 0, true
	for {
		part, err := r.ReadSlice('\n') // a part of a line if it exceeds r's buffer
		switch {
		case err == io.EOF:
			return "", io.ErrUnexpectedEOF
		case err != nil && err != bufio.ErrBufferFull:
			return "", err
		}
		section.Write(part)
		if lineBegins && (string(part) == "\r\n" || string(part) == "\n") {
			return section.String(), nil
		}
		lineBegins = err == nil
		if lineBegins {
			lines++
		}
		if lines > limits.Lines || section.Len() > limits.Bytes {
			return "", errors.Wrapf(ErrHeadTooLarge, "limits are %d bytes and %d lines", limits.Bytes, limits.Lines)
		}
	}
}

// checkHead checks a head by the grammar of HTTP/1.1 (RFC 9112, sections 4 and 5, and RFC 9110, section 5). net/http
// accepts more: it takes a line with a blank before its colon, or a continued line, for another field than the one that says
// how long the body is.
func checkHead(head string) error {
	statusLine, fields, _ := strings.Cut(head, "\n")
	minor, err := checkStatusLine(strings.TrimSuffix(statusLine, "\r"))
	if err != nil {
		return err
	}
	hasLength, hasCoding := false, false
	err = checkFields(fields, func(name string) {
		hasLength = hasLength || strings.EqualFold(name, "Content-Length")
		hasCoding = hasCoding || strings.EqualFold(name, "Transfer-Encoding")
	})
	if err != nil {
		return err
	}
	// RFC 9112, sections 6.1 and 6.3: where the body ends is uncertain.
	if hasCoding && hasLength {
		return errors.Wrap(ErrMalformed, "a length and a transfer coding")
	}
	if hasCoding && minor == 0 {
		return errors.Wrap(ErrMalformed, "a transfer coding in HTTP/1.0")
	}
	return nil
}

// checkStatusLine checks a status line without its end. It returns the minor version of the protocol.
func checkStatusLine(line string) (minor int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ") // some servers omit the blank before an empty reason
	major, minor, known := http.ParseHTTPVersion(version)
	status, err := strconv.ParseUint(digits, 10, 16)
	if !known || major != 1 || err != nil || len(digits) != 3 || !httpguts.ValidHeaderFieldValue(reason) || strings.Contains(reason, httpVersionPrefix) {
		return 0, errors.Wrapf(ErrMalformed, "status line %.80q", line)
	}
	return minor, checkStatus(int(status))
}

// checkStatus checks that a status is in the range that HTTP defines.
func checkStatus(status int) error {
	if status < 100 || status > 599 {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}

// checkFields checks the lines of fields and calls visit for the name of each.
func checkFields(lines string, visit func(name string)) error {
	for line := range strings.Lines(lines) {
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if line == "" {
			return nil
		}
		name, value, found := strings.Cut(line, ":")
		if !found {
			return errors.Wrapf(ErrMalformed, "line %.80q has no colon", line)
		}
		if err := checkField(name, value); err != nil {
			return err
		}
		visit(name)
	}
	return nil
}

// checkField checks a field. A value that contains the begin of another response shows that two heads have run together, as
// after a response that broke off in its head.
func checkField(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return errors.Wrapf(ErrMalformed, "field name %.80q", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return errors.Wrapf(ErrMalformed, "value %.80q of field %.80s", value, name)
	case strings.Contains(value, httpVersionPrefix) && !strings.EqualFold(name, "Via"): // Via names protocols
		return errors.Wrapf(ErrMalformed, "field %.80s contains another response", name)
	}
	return nil
}

// checkHeader checks the fields of a header that net/http has read.
func checkHeader(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// httpVersionPrefix begins the status lines of responses.
const httpVersionPrefix = "HTTP/1."
