package assembler_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/platform/platformtest"
)

// ask sends a request whose prompt has the given parts and one of its own, and reports whether it got its whole
// stream.
func (s *site) ask(client *http.Client, g *gateway, parts string) bool {
	id, r, err := s.NewRequest("POST", g.settings.Callers, "/ask/1")
	if err != nil {
		return false
	}
	r.Header.Set("Prompt-Prefix", parts+","+id+":300")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(body) == platformtest.StreamBody(id, 5)
}

// requestsAfter counts the requests that reached servers after a time, repeats included. The prefill and the
// generation of one attempt count once.
func requestsAfter(arrivals []platformtest.Arrival, after time.Time) int {
	counts := map[string][2]int{} // by request: for the prompt only, and to generate
	for _, a := range arrivals {
		if !a.At.After(after) {
			continue
		}
		n := counts[a.Request]
		if a.Prefill {
			n[0]++
		} else {
			n[1]++
		}
		counts[a.Request] = n
	}
	total := 0
	for _, n := range counts {
		total += max(n[0], n[1])
	}
	return total
}

// Guards against prompts with one part that go on crashing servers, whichever gateway they reach, and against
// blame on the part that sound requests share with them.
func TestGatewaysStopCrashingPart(t *testing.T) {
	const (
		window   = 3 * time.Second // in which the gateways agree
		observed = 2 * time.Second // after both windows
		maxLate  = 3
	)
	s := newSite(t)
	s.configureDefaultRoutes()
	part := &platformtest.CrashingWork{ID: "c", EntryTTL: time.Second, Downtime: 1500 * time.Millisecond}
	s.CrashOn(part)
	for i := range 2 {
		s.startServer(fmt.Sprintf("read-%d", i), platformtest.ModelService, "prefill")
	}
	for i := range 8 {
		s.startServer(fmt.Sprintf("make-%d", i), platformtest.ModelService, "decode")
	}
	var gateways []*gateway
	for i := range 3 {
		gateways = append(gateways, s.startGateway(s.newSettings(fmt.Sprintf("g-%d", i))))
	}
	eventually(t, "readiness", func() bool { return gateways[0].ready() && gateways[1].ready() && gateways[2].ready() })

	var requests sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	stop := make(chan struct{})
	every := func(interval time.Duration, send func(i int)) {
		requests.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					requests.Go(func() { send(i) })
				}
			}
		})
	}
	first := func(i int) string { return []string{"a:300", "d:300"}[i%2] }
	var counting atomic.Bool
	var sound, served atomic.Int32
	every(20*time.Millisecond, func(i int) {
		counted := counting.Load()
		ok := s.ask(client, gateways[i%3], first(i)+",b:300")
		if counted {
			sound.Add(1)
			if ok {
				served.Add(1)
			}
		}
	})
	every(300*time.Millisecond, func(i int) { s.ask(client, gateways[i%3], first(i)+[]string{",c:300", ",b:300,c:300"}[i/2%2]) })

	eventually(t, "a crash", func() bool { return len(part.Crashes()) > 0 })
	for limit := time.Now().Add(2 * time.Second); len(part.Crashes()) < 5 && time.Now().Before(limit); {
		time.Sleep(5 * time.Millisecond)
	}
	known := time.Now()
	time.Sleep(2 * window)
	counting.Store(true)
	time.Sleep(observed)
	close(stop)
	requests.Wait()

	late := requestsAfter(part.Arrivals(), known.Add(window))
	t.Logf("%d crashes, %d requests with the part reached servers late, %d of %d sound requests served", len(part.Crashes()), late, served.Load(), sound.Load())
	is := is.NewRelaxed(t)
	is.True(late <= maxLate)                    // requests with the part
	is.True(sound.Load() >= 20)                 // the verdict on sound requests has a base
	is.True(10*served.Load() >= 9*sound.Load()) // sound requests with the same first part
}
