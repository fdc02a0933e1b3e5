package imitator_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"apricotspool/imitator"
	"apricotspool/lister"
	"apricotspool/lister/listertest"
)

// Guards against a fake that violates the contract of the host list.
func TestHostsContract(t *testing.T) {
	hosts := &imitator.Hosts{}
	listertest.Run(t, hosts, hosts.Set)
}

// Guards against a client that drops fields or treats a failure as an empty list.
func TestHostsContractOverHTTP(t *testing.T) {
	hosts := &imitator.Hosts{}
	server := httptest.NewServer(&imitator.HostsHandler{Hosts: hosts, Token: "secret"})
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	listertest.Run(t, &lister.Client{Address: address, Token: "secret"}, hosts.Set)
}

// Guards against a fake without lag, which would hide faults caused by a stale host list.
func TestHostsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := &imitator.Hosts{Lag: 10 * time.Second}
		hosts.Set([]lister.Host{{Name: "a", State: lister.Live}})
		time.Sleep(10 * time.Second)
		hosts.Set([]lister.Host{{Name: "a", State: lister.Leaving}})
		time.Sleep(9 * time.Second)
		for _, want := range []lister.State{lister.Live, lister.Leaving} {
			list, err := hosts.Hosts(t.Context())
			is.NoErr(err)
			is.Equal(list[0].State, want)
			time.Sleep(time.Second)
		}
	})
}
