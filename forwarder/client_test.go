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

func target(far *httptest.Server) forwarder.Target {
	return forwarder.Target{Endpoint: "far", Address: netip.MustParseAddrPort(far.Listener.Addr().String())}
}

// Guards against a client that changes calls, sends them twice or reports a sent call as not sent.
func TestClientContract(t *testing.T) {
	service := &imitator.Service{}
	far := httptest.NewServer(service)
	defer far.Close()
	forwardertest.Run(t, forwardertest.Subject{Service: &forwarder.Client{}, Target: target(far), Executed: service.Executed})
}

// Guards against limits that are not enforced on what the length does not announce, and against
// redirects that the daemon follows in place of the caller.
func TestClientLimitsAndRedirects(t *testing.T) {
	is := is.New(t)
	far := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Location", "/other")
		w.Header().Set("X-Large", strings.Repeat("x", len(r.URL.RawQuery)))
		w.WriteHeader(http.StatusSeeOther)
	}))
	defer far.Close()
	client := &forwarder.Client{MaxHeader: 10_000, MaxRequest: 100}
	answer, err := client.Forward(t.Context(), target(far), forwarder.Call{Method: "POST", Path: "/", Length: -1, Body: strings.NewReader("x")})
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusSeeOther)
	is.NoErr(answer.Body.Close())
	long := strings.Repeat("x", 101)
	_, err = client.Forward(t.Context(), target(far), forwarder.Call{Method: "POST", Path: "/", Length: -1, Body: strings.NewReader(long)})
	is.True(errors.Is(err, forwarder.ErrUncertain)) // a part of it may have left
	_, err = client.Forward(t.Context(), target(far), forwarder.Call{Method: "POST", Path: "/", Query: strings.Repeat("x", 9_990)})
	is.True(errors.Is(err, forwarder.ErrUncertain))
}
