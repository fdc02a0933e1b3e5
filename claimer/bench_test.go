package claimer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"apricotspool/claimer"
	"apricotspool/imitator"
	"apricotspool/namer"
	"apricotspool/platform"
	"apricotspool/platform/platformtest"
)

// BenchmarkCall reports the time of a call to a plain service on loopback without a claim, with a
// claim, and as a retry whose response is stored, and the number of calls each makes to a store
// on loopback.
//
//	go test ./claimer -run NONE -bench Call -benchtime 5000x
func BenchmarkCall(b *testing.B) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}))
	defer service.Close()
	store := &imitator.Store{}
	storeServer := httptest.NewServer(&platformtest.StoreHandler{Store: store})
	defer storeServer.Close()
	address := netip.MustParseAddrPort(storeServer.Listener.Addr().String())
	c := &claimer.Claimer{Store: platform.OpenStore(address, "", nil), Process: namer.Process{Host: "h", Address: address, Incarnation: 1}}
	post := func() claimer.Answer {
		response, err := service.Client().Post(service.URL, "text/plain", strings.NewReader(strings.Repeat("x", 1000)))
		if err != nil {
			b.Fatal(err)
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			b.Fatal(err)
		}
		return claimer.Answer{Status: response.StatusCode, Header: claimer.HeaderOf(response.Header), Body: body}
	}
	claimed := func(key string) {
		result := c.Claim(context.Background(), call(key, "order"))
		if result.Permit == nil {
			return
		}
		if err := result.Permit.Consume(); err != nil {
			b.Fatal(err)
		}
		result.Permit.Finish(context.Background(), post())
	}
	keys := 0
	for name, run := range map[string]func(){
		"unclaimed": func() { post() },
		"claimed":   func() { keys++; claimed(strconv.Itoa(keys)) },
		"repeated":  func() { claimed("0") },
	} {
		b.Run(name, func(b *testing.B) {
			claimed("0")
			before := store.Calls()
			b.ResetTimer()
			for b.Loop() {
				run()
			}
			after := store.Calls()
			b.ReportMetric(float64(after["get"]+after["put"]-before["get"]-before["put"])/float64(b.N), "store-calls/op")
		})
	}
}
