package lister

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"apricotspool/decoder"
	"apricotspool/receiver"
)

// DefaultTimeout bounds one call for the list.
const DefaultTimeout = 2 * time.Second

// maxListBytes bounds the response body; a host takes about 150 bytes.
const maxListBytes = decoder.MaxBytes

// Client reads the list over HTTP: GET /hosts returns {"hosts": [...]}.
type Client struct {
	Address netip.AddrPort
	Token   string        // bearer token; no token is sent if empty
	Timeout time.Duration // of one call; 0 means DefaultTimeout
	HTTP    *http.Client  // if nil, a client that uses no proxy
}

var _ Lister = (*Client)(nil)

var directClient = receiver.NewClient(&http.Transport{
	DialContext:     (&net.Dialer{Timeout: time.Second}).DialContext,
	IdleConnTimeout: time.Minute,
})

// List is the JSON document that the platform returns.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Hosts implements Lister.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+"/hosts", nil)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "build request: %v", err)
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = directClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "read host list: %v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil || response.StatusCode != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "read host list: status %d, error %v", response.StatusCode, err)
	}
	var list List
	if faults := decoder.Decode(body, &list); len(faults) > 0 {
		return nil, errors.Wrapf(ErrUnavailable, "decode host list: %v", faults)
	}
	return list.Hosts, nil
}
