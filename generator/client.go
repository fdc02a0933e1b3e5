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
	"apricotspool/receiver"
)

// Extension headers of the engine protocol, described in docs/engine-protocol.md.
const (
	HeaderStream      = "X-Stream-Id"
	HeaderAttempt     = "X-Attempt"
	HeaderPriority    = "X-Priority"
	HeaderFrom        = "X-From"
	HeaderPrefillOnly = "X-Prefill-Only"
	HeaderImportFrom  = "X-Import-From"
	HeaderResumeOnly  = "X-Resume-Only"
	// HeaderIfUnread makes a cancellation conditional: the engine keeps a stream that another connection is reading.
	HeaderIfUnread = "X-If-Unread"
)

// ContinuationField is the request body's member for Call.Continuation. The text is not sent in a header
// because it can exceed the usual header size limits.
const ContinuationField = "continuation"

// DefaultTimeout bounds every call other than Generate.
const DefaultTimeout = 2 * time.Second

// maxResponseBytes bounds the bodies of load reports, state reports and error responses.
const maxResponseBytes = 64 << 10

// Client is an Engine that speaks the engine protocol over HTTP. Its only state is its connection pool.
type Client struct {
	Timeout time.Duration // for every call other than Generate; 0 means DefaultTimeout
	HTTP    *http.Client  // nil means a client that ignores the proxy settings
}

var _ Engine = (*Client)(nil)

// directClient connects without a proxy. A daemon can have a few hundred streams on one engine, and
// connections beyond the limit on idle ones would be closed after each stream.
var directClient = receiver.NewClient(&http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 512,
	IdleConnTimeout:     time.Minute,
	DisableCompression:  true,
})

// Generate starts or resumes a stream. It returns when the engine has accepted the call, possibly long
// before the first chunk.
func (c *Client) Generate(ctx context.Context, to Target, call Call) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, to, http.MethodPost, string(call.Operation), call.body(), call.header())
	if err != nil {
		cancel()
		return nil, errors.Wrapf(err, "generate at endpoint %q", to.Endpoint)
	}
	stream, err := newStream(response, call, cancel)
	if err != nil {
		drainAndClose(response)
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

// body returns the caller's body with the continuation appended as a member. It does not parse the body.
func (c Call) body() []byte {
	if c.Continuation == "" {
		return c.Body // an absent member means an empty continuation
	}
	trimmed := bytes.TrimRight(c.Body, " \t\r\n")
	trimmed = bytes.TrimRight(bytes.TrimSuffix(trimmed, []byte("}")), " \t\r\n")
	body := make([]byte, 0, len(trimmed)+len(c.Continuation)+64)
	body = append(body, trimmed...)
	if !bytes.HasSuffix(trimmed, []byte("{")) {
		body = append(body, ',')
	}
	body = append(body, `"`+ContinuationField+`":`...)
	body, _ = jsontext.AppendQuote(body, c.Continuation) // the only possible error is invalid UTF-8, which it replaces
	return append(body, '}')
}

// Cancel ends a stream at the engine. It returns nil if the engine does not have the stream.
func (c *Client) Cancel(ctx context.Context, to Target, stream namer.StreamID) error {
	return c.cancel(ctx, to, stream, nil)
}

// Abandon ends a stream at the engine unless another connection is reading it.
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
	drainAndClose(response)
	return nil
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context, to Target) (LoadReport, error) {
	var report LoadReport
	err := c.get(ctx, to, "/load", &report)
	return report, errors.Wrapf(err, "fetch load report of endpoint %q", to.Endpoint)
}

// State fetches the engine's state.
func (c *Client) State(ctx context.Context, to Target) (EngineState, error) {
	var state EngineState
	err := c.get(ctx, to, "/state", &state)
	return state, errors.Wrapf(err, "fetch state of endpoint %q", to.Endpoint)
}

func (c *Client) get(ctx context.Context, to Target, path string, result any) error {
	ctx, stop := context.WithTimeout(ctx, c.timeout())
	defer stop()
	response, err := c.send(ctx, to, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer drainAndClose(response)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return errors.Wrapf(ErrBroken, "decode response of %s: %v", path, err)
	}
	return nil
}

// Command sends a command. ErrUncertain means that the command may have taken effect.
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
		return errors.Wrapf(err, "send command %q to endpoint %q", command.ID, to.Endpoint)
	}
	drainAndClose(response)
	return nil
}

// send performs one HTTP request. It returns an error for any status that is not a success.
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
	defer drainAndClose(response)
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return nil, errors.Wrapf(errorForStatus(response.StatusCode), "status %d: %s", response.StatusCode, bytes.TrimSpace(detail))
}

// errorForStatus maps a status of the engine protocol to an error class.
func errorForStatus(status int) error {
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

// drainAndClose reads the rest of a small body so that its connection can be reused, and closes the body.
func drainAndClose(response *http.Response) {
	io.CopyN(io.Discard, response.Body, maxResponseBytes)
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
