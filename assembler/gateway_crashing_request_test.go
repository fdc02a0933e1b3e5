package assembler_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/platform/platformtest"
)

// sendAlike sends a request that is the same each time but for its id, and returns the status; 0 if there is none.
func (t *traffic) sendAlike(g *gateway, method string, work *platformtest.CrashingWork) int {
	_, r, err := t.site.NewRequest(method, g.settings.Callers, work.Path)
	if err != nil {
		return 0
	}
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(work.Body)), int64(len(work.Body))
	r.Header.Set("Prompt-Prefix", "a:300,b:300,c:300")
	response, err := t.client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// repeat sends a request at each interval, to the gateways in turn, and once more to the next one if it fails.
func (t *traffic) repeat(interval time.Duration, method string, work *platformtest.CrashingWork) {
	t.requests.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-t.stop:
				return
			case <-time.After(interval):
				t.requests.Go(func() {
					if status := t.sendAlike(t.gateways[i%len(t.gateways)], method, work); status == 0 || status == http.StatusBadGateway {
						t.sendAlike(t.gateways[(i+1)%len(t.gateways)], method, work)
					}
				})
			}
		}
	})
}

// Guards against a request that comes again and again and goes on crashing servers, of plain services too, whichever
// gateway it reaches, and against blame on the requests that were running beside it.
func TestGatewaysStopCrashingRequest(t *testing.T) {
	const (
		window  = 3 * time.Second // in which the gateways agree
		maxLate = 3
	)
	for name, c := range map[string]struct {
		plain, decode int
		method, path  string
		disturb       func(s *site, servers []*platformtest.Server, gateways []*gateway)
	}{
		"plain servers":  {plain: 4, method: "GET", path: "/items/crash"},
		"unsafe":         {plain: 4, method: "POST", path: "/orders/crash"},
		"model servers":  {decode: 6, method: "POST", path: "/ask/crash"},
		"beside crashes": {plain: 8, method: "GET", path: "/items/crash", disturb: crashOthers},
		"beside a restart and a new configuration": {
			plain: 4, method: "GET", path: "/items/crash", disturb: func(s *site, _ []*platformtest.Server, gateways []*gateway) {
				s.configureDefaultRoutes()
				gateways[0].stop()
				<-gateways[0].ended
				s.startGateway(gateways[0].settings)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			s.configureDefaultRoutes()
			s.ServiceTime = 30 * time.Millisecond // so that other requests run beside
			var servers []*platformtest.Server
			for i := range c.plain {
				servers = append(servers, s.startServer(fmt.Sprintf("app-%d", i), platformtest.PlainService, ""))
			}
			for i := range c.decode {
				s.startServer(fmt.Sprintf("make-%d", i), platformtest.ModelService, "decode")
			}
			work := &platformtest.CrashingWork{Path: c.path, Body: "crash", EntryTTL: time.Second, Downtime: 1500 * time.Millisecond}
			s.CrashOn(work)
			gateways := s.startGateways(3)
			traffic := s.newTraffic(gateways...)
			if c.disturb != nil {
				traffic.gateways = gateways[1:]
			}
			if c.plain > 0 {
				traffic.send(20*time.Millisecond, "GET", "/items/1")
				traffic.send(20*time.Millisecond, "POST", "/orders/1")
			} else {
				traffic.send(20*time.Millisecond, "POST", "/ask/1")
			}
			time.Sleep(window) // the gateways know each other
			traffic.repeat(200*time.Millisecond, c.method, work)
			eventually(t, "a crash", func() bool { return len(work.Crashes()) > 0 })
			for limit := time.Now().Add(3 * time.Second); len(work.Crashes()) < 3 && time.Now().Before(limit); {
				time.Sleep(5 * time.Millisecond)
			}
			known := time.Now()
			if c.disturb != nil {
				c.disturb(s, servers, gateways)
			}
			time.Sleep(2*window - time.Since(known))
			traffic.sent.Store(0)
			traffic.served.Store(0)
			time.Sleep(2 * window)
			traffic.end()
			late := requestsAfter(work.Arrivals(), known.Add(window))
			t.Logf("%d crashes, %d arrivals late, %d of %d sound requests served", len(work.Crashes()), late, traffic.served.Load(), traffic.sent.Load())
			is := is.NewRelaxed(t)
			is.True(late <= maxLate)
			is.True(traffic.sent.Load() >= 100)                          // the verdict on sound requests has a base
			is.True(100*traffic.served.Load() >= 98*traffic.sent.Load()) // of the last six seconds
		})
	}
}

// crashOthers crashes two servers for good.
func crashOthers(_ *site, servers []*platformtest.Server, _ []*gateway) {
	for _, server := range servers[:2] {
		server.Crash()
		server.Remove()
	}
}
