package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/pkg/errors"

	"apricotspool/namer"
)

// The extension headers of the engine protocol; docs/engine-protocol.md describes them.
const (
	HeaderStream      = "X-Stream-Id"
	HeaderAttempt     = "X-Attempt"
	HeaderPriority    = "X-Priority"
	HeaderFrom        = "X-From"
	HeaderPrefillOnly = "X-Prefill-Only"
	HeaderImportFrom  = "X-Import-From"
	HeaderResumeOnly  = "X-Resume-Only"
	// HeaderIfUnread on a cancellation spares a stream that another connection reads.
	HeaderIfUnread = "X-If-Unread"
)

// ContinuationField is the member of the request body that holds Call.Continuation. It is not a
// header because answers exceed the usual limits on headers.
const ContinuationField = "continuation"

// DefaultTimeout bounds every call other than Generate.
const DefaultTimeout = 2 * time.Second

// maxAnswerBytes bounds load reports, states and error bodies.
const maxAnswerBytes = 64 << 10

// Client speaks the engine protocol over HTTP. It owns no state beyond its connections.
type Client struct {
	Timeout time.Duration // limit of every call other than Generate; 0 means DefaultTimeout
	HTTP    *http.Client  // nil means a client without a proxy
}

var _ Engine = (*Client)(nil)

// A daemon has up to a few hundred streams on one engine; connections beyond the idle limit would
// be closed after each stream.
var directClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 512,
	IdleConnTimeout:     time.Minute,
	DisableCompression:  true,
}}

// Generate starts or resumes a stream. It returns when the engine has accepted the call, which may
// be long before the first chunk.
func (c *Client) Generate(ctx context.Context, to Target, call Call) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, to, http.MethodPost, string(call.Operation), call.body(), call.header())
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "generate at endpoint %q", to.Endpoint)
	}
	stream, err := newStream(response, call, cancel)
	if err != nil {
		drop(response)
		cancel()
		return nil, errors.Wrapf(err, "generate at endpoint %q", to.Endpoint)
	}
	return stream, nil
}

func (c Call) header() http.Header {
	header := http.Header{
		"Content-Type": {"application/json"},
		"Accept":       {"text/event-stream"},
		HeaderStream:   {string(c.Stream)},
		HeaderAttempt:  {strconv.Itoa(int(c.Attempt))},
		HeaderPriority: {strconv.Itoa(c.Priority)},
		HeaderFrom:     {strconv.Itoa(c.From)},
	}
	if c.PrefillOnly {
		header.Set(HeaderPrefillOnly, "1")
	}
	if c.ImportFrom.IsValid() {
		header.Set(HeaderImportFrom, c.ImportFrom.String())
	}
	if c.Resume {
		header.Set(HeaderResumeOnly, "1")
	}
	return header
}

// body adds the continuation to the caller's body without parsing it.
func (c Call) body() []byte {
	if c.Continuation == "" {
		return c.Body // an absent member means the same
	}
	trimmed := bytes.TrimRight(c.Body, " \t\r\n")
	trimmed = bytes.TrimRight(bytes.TrimSuffix(trimmed, []byte("}")), " \t\r\n")
	body := make([]byte, 0, len(trimmed)+len(c.Continuation)+64)
	body = append(body, trimmed...)
	if !bytes.HasSuffix(trimmed, []byte("{")) {
		body = append(body, ',')
	}
	body = append(body, `"`+ContinuationField+`":`...)
	body, _ = jsontext.AppendQuote(body, c.Continuation) // replaces invalid UTF-8, which is the only fault
	return append(body, '}')
}

// Cancel ends a stream at the engine. A stream that the engine does not have is no error.
func (c *Client) Cancel(ctx context.Context, to Target, stream namer.StreamID) error {
	return c.cancel(ctx, to, stream, nil)
}

// Abandon ends a stream at the engine unless another connection reads it.
func (c *Client) Abandon(ctx context.Context, to Target, stream namer.StreamID) error {
	return c.cancel(ctx, to, stream, http.Header{HeaderIfUnread: {"1"}})
}

func (c *Client) cancel(ctx context.Context, to Target, stream namer.StreamID, header http.Header) error {
	ctx, stop := context.WithTimeout(ctx, c.timeout())
	defer stop()
	response, err := c.send(ctx, to, http.MethodDelete, "/v1/streams/"+string(stream), nil, header)
	if errors.Is(err, ErrNoStream) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "cancel stream %s at endpoint %q", stream, to.Endpoint)
	}
	drop(response)
	return nil
}

// Load asks for the engine's load report.
func (c *Client) Load(ctx context.Context, to Target) (LoadReport, error) {
	var report LoadReport
	err := c.get(ctx, to, "/load", &report)
	return report, errors.Wrapf(err, "load of endpoint %q", to.Endpoint)
}

// State asks for the engine's state.
func (c *Client) State(ctx context.Context, to Target) (EngineState, error) {
	var state EngineState
	err := c.get(ctx, to, "/state", &state)
	return state, errors.Wrapf(err, "state of endpoint %q", to.Endpoint)
}

func (c *Client) get(ctx context.Context, to Target, path string, answer any) error {
	ctx, stop := context.WithTimeout(ctx, c.timeout())
	defer stop()
	response, err := c.send(ctx, to, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer drop(response)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return errors.Wrapf(ErrBroken, "answer of %s: %v", path, err)
	}
	return nil
}

// Command sends a command. After ErrUncertain the command may have taken effect.
func (c *Client) Command(ctx context.Context, to Target, command Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return errors.Wrapf(ErrRejected, "encode command %q: %v", command.ID, err)
	}
	ctx, stop := context.WithTimeout(ctx, c.timeout())
	defer stop()
	response, err := c.send(ctx, to, http.MethodPost, "/control/commands", body, nil)
	if errors.Is(err, ErrBroken) {
		err = errors.Wrap(ErrUncertain, err.Error())
	}
	if err != nil {
		return errors.Wrapf(err, "command %q to endpoint %q", command.ID, to.Endpoint)
	}
	drop(response)
	return nil
}

// send does one exchange and returns the response only when its status is a success.
func (c *Client) send(ctx context.Context, to Target, method, path string, body []byte, header http.Header) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+to.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(ErrNotStarted, "build request: %v", err)
	}
	if header != nil {
		request.Header = header
	}
	response, err := c.client().Do(request)
	if err != nil && !connected {
		return nil, errors.Wrap(ErrNotStarted, err.Error())
	}
	if err != nil {
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	if response.StatusCode < 300 {
		return response, nil
	}
	defer drop(response)
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return nil, errors.Wrapf(statusClass(response.StatusCode), "status %d: %s", response.StatusCode, bytes.TrimSpace(text))
}

// statusClass maps the statuses of the engine protocol to the classes of errors.
func statusClass(status int) error {
	switch status {
	case http.StatusNotFound:
		return ErrNoStream
	case http.StatusConflict:
		return ErrFenced
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return ErrRefused
	}
	if status < 500 {
		return ErrRejected
	}
	return ErrBroken
}

// drop reads the rest of a small body, so that its connection can be used again, and closes it.
func drop(response *http.Response) {
	io.CopyN(io.Discard, response.Body, maxAnswerBytes)
	response.Body.Close()
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return directClient
}

func (c *Client) timeout() time.Duration {
	if c.Timeout != 0 {
		return c.Timeout
	}
	return DefaultTimeout
}
