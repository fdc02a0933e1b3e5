package assembler_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/loader"
	"apricotspool/namer"
)

// usageCall is one call that reached the stand-in of the platform's interface.
type usageCall struct {
	holder string
	token  uint64
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

// usageAPI is a stand-in of the platform's interface.
type usageAPI struct {
	mu    sync.Mutex
	calls []usageCall
}

func (u *usageAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := usageCall{holder: r.Header.Get("Lease-Holder")}
	call.token, _ = strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || r.Method != http.MethodPost || r.URL.Path != "/usage" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls = append(u.calls, call)
}

func (u *usageAPI) received() []usageCall {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]usageCall(nil), u.calls...)
}

// Guards against gateways that don't report windows, that don't receive each other's counts beside the messages of their
// decision cores, or that lose windows or tokens when the holder drains.
func TestGatewaysReportUsage(t *testing.T) {
	is := is.New(t)
	api := &usageAPI{}
	server := httptest.NewServer(api)
	defer server.Close()
	s := newSite(t)
	s.configureDefaultRoutes()
	s.startServer("i-1", "app", "")
	gateways := map[string]*gateway{}
	for _, name := range []string{"h1", "h2", "h3"} {
		settings := s.newSettings(name)
		settings.CommandGap = namer.Duration(loader.DefaultCommandGap)
		settings.PlatformAPI = loader.PlatformAPI{Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Duties: []loader.Duty{loader.DutyMetering}}
		settings.Metering = loader.Metering{Window: namer.Duration(2 * time.Second), Due: namer.Duration(10 * time.Second)}
		gateways[name] = s.startGateway(settings)
	}
	eventually(t, "all daemons contribute to a report", func() bool {
		calls := api.received()
		return len(calls) > 0 && gateways[calls[len(calls)-1].holder].metric("apricotspool_usage_daemons") == "3"
	})
	before := api.received()
	first := before[len(before)-1].holder
	gateways[first].stop()
	eventually(t, "another daemon reports", func() bool {
		calls := api.received()
		return calls[len(calls)-1].holder != first
	})
	reported := map[int64]bool{}
	calls := api.received()
	for i, call := range calls {
		is.True(call.token > 0 && len(call.Counts) == 0 && call.Counts != nil) // no request belongs to a workspace
		is.True(i == 0 || calls[i-1].token <= call.token)
		reported[call.Window] = true
	}
	for w := calls[0].Window; w <= calls[len(calls)-1].Window; w++ {
		is.True(reported[w])
	}
}

// Guards against gateways that compete for the lease of duties, or write to the object API for them, although the settings
// name no platform address or no duty.
func TestGatewayWithoutDuties(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	settings := s.newSettings("h1")
	settings.PlatformAPI = loader.PlatformAPI{Duties: []loader.Duty{loader.DutyMetering}}
	g := s.startGateway(settings)
	eventually(t, "the lease of roles is held", func() bool {
		_, err := s.Store.Get(t.Context(), "authority/roles")
		return err == nil
	})
	for _, key := range []string{"authority/duties", "usage/settled"} {
		_, err := s.Store.Get(t.Context(), key)
		is.True(err != nil)
	}
	is.Equal(g.metric("apricotspool_usage_daemons"), "0")
}
