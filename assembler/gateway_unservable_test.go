package assembler_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against gateways that hang after a request that no engine can ever take: each request after it waited for its
// deadline, while the gateway said that it was ready (review/2).
func TestGatewaysServeOnAfterUnservableRequest(t *testing.T) {
	for name, c := range map[string]struct {
		usage, deadline string
	}{
		"larger than memory":                      {"1200000,1250000", "4000"},
		"larger than memory, little output":       {"1200000,2", "4000"},
		"not to be read in time":                  {"900000,950000", "500"},
		"not to be read in time, little output":   {"900000,2", "500"},
		"as large as numbers are":                 {"9223372036854775807,9223372036854775807", "4000"},
		"more output than memory, to be accepted": {"100,1250000", "4000"},
	} {
		for _, gateways := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d gateways", name, gateways), func(t *testing.T) {
				is := is.New(t)
				s := newSite(t)
				s.configureDefaultRoutes()
				s.startServer("app-1", "app", "")
				for i := range 4 {
					s.startServer("make-"+strconv.Itoa(i), "llm", "decode")
				}
				var all []*gateway
				for i := range gateways {
					all = append(all, s.startGateway(s.newSettings("g-"+strconv.Itoa(i))))
				}
				for _, g := range all {
					eventually(t, "readiness", g.ready)
				}
				client := &http.Client{Timeout: 10 * time.Second}
				for _, g := range all {
					_, r, err := s.NewRequest("POST", g.settings.Callers, "/ask/1")
					is.NoErr(err)
					r.Header.Set("Token-Usage", c.usage)
					r.Header.Set("Deadline-Ms", c.deadline)
					response, err := client.Do(r)
					is.NoErr(err)
					response.Body.Close()
					if strings.HasSuffix(name, "accepted") {
						is.Equal(response.StatusCode, http.StatusOK)
					} else {
						is.Equal(response.StatusCode, http.StatusServiceUnavailable)
						is.True(response.Header.Get("Retry-After") != "")
					}
					_, got := s.send(client, g, "POST", "/orders/1")
					is.Equal(got.status, http.StatusOK)
					is.True(g.ready())
				}
			})
		}
	}
}

// Guards against gateways that don't start, or stop following the servers, beside odd entries of another writer.
func TestGatewayServesBesideOddEntries(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.configureDefaultRoutes()
	odd := []string{
		`{"service":"app","address":"127.0.0.1:70000","zone":"a","slots":6,"state":"ready"}`,
		`{"service":"app","address":"127.0.0.1:0","zone":"a","slots":6,"state":"ready"}`,
		`{"service":"app","address":"127.0.0.1:1","zone":"a","slots":99999999999999999999,"state":"ready"}`,
		`{"service":"app","address":"127.0.0.1:1","zone":"a","slots":6,"state":"ready","x":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
		`{"service":"app","address":"127.0.0.1:1","zone":"a","slots":6,"state":"ready","x":"` + strings.Repeat("x", 900_000) + `"}`,
		`?`,
	}
	put := func(from int) {
		for i, value := range odd {
			_, err := s.Store.Put(t.Context(), fmt.Sprintf("servers/odd-%d-%d", from, i), []byte(value), 0)
			is.NoErr(err)
		}
	}
	put(0)
	one := s.startServer("app-1", "app", "")
	g, other := s.startGateway(s.newSettings("g-1")), s.startGateway(s.newSettings("g-2"))
	eventually(t, "readiness", func() bool { return g.ready() && other.ready() })
	put(1)
	two := s.startServer("app-2", "app", "")
	eventually(t, "use of a server that came after them", func() bool {
		for _, g := range []*gateway{g, other} {
			_, got := s.send(http.DefaultClient, g, "GET", "/items/1")
			is.Equal(got.status, http.StatusOK)
		}
		return !two.LastAccepted().IsZero()
	})
	is.NoErr(one.Drain())
	eventually(t, "no use of a server that leaves", func() bool {
		before := one.LastAccepted()
		for range 20 {
			_, got := s.send(http.DefaultClient, other, "GET", "/items/1")
			is.Equal(got.status, http.StatusOK)
		}
		return one.LastAccepted().Equal(before)
	})
}
