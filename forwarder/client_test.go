package forwarder_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"apricotspool/forwarder"
	"apricotspool/forwarder/forwardertest"
	"apricotspool/imitator"
)

func target(server *httptest.Server) forwarder.Target {
	return forwarder.Target{Endpoint: "far", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// Guards against a client that modifies calls, sends them twice or reports a sent call as not sent.
func TestClientContract(t *testing.T) {
	service := &imitator.Service{}
	server := httptest.NewServer(service)
	defer server.Close()
	forwardertest.Run(t, forwardertest.Subject{Service: &forwarder.Client{}, Target: target(server), Executed: service.Executed})
}

// Guards against size limits that are not enforced on bodies of unknown length and on response headers,
// and against redirects that the client follows instead of returning them.
func TestClientLimitsAndRedirects(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Location", "/other")
		w.Header().Set("X-Large", strings.Repeat("x", len(r.URL.RawQuery)))
		w.WriteHeader(http.StatusSeeOther)
	}))
	defer server.Close()
	client := &forwarder.Client{MaxHeader: 10_000, MaxRequest: 100}
	response, err := client.Forward(t.Context(), target(server), forwarder.Call{Method: "POST", Path: "/", Length: -1, Body: strings.NewReader("x")})
	is.NoErr(err)
	is.Equal(response.Status, http.StatusSeeOther)
	is.NoErr(response.Body.Close())
	long := strings.Repeat("x", 101)
	_, err = client.Forward(t.Context(), target(server), forwarder.Call{Method: "POST", Path: "/", Length: -1, Body: strings.NewReader(long)})
	is.True(errors.Is(err, forwarder.ErrUncertain)) // a part of it may have been sent
	_, err = client.Forward(t.Context(), target(server), forwarder.Call{Method: "POST", Path: "/", Query: strings.Repeat("x", 9_990)})
	is.True(errors.Is(err, forwarder.ErrUncertain))
}
