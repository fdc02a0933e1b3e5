package assembler_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// BenchmarkGateway measures a request through a whole gateway against stand-ins in the same process, by route.
// With -cpuprofile it shows where the processor time goes; the stand-ins' part is under platformtest.
func BenchmarkGateway(b *testing.B) {
	for name, path := range map[string]string{"plain": "/orders/1", "stream": "/ask/1"} {
		b.Run(name, func(b *testing.B) {
			s := newSite(b)
			s.configureDefaultRoutes()
			s.startServer("app-1", "app", "").ServiceTime = time.Microsecond
			s.startServer("read-1", "llm", "prefill").ServiceTime = time.Microsecond
			s.startServer("make-1", "llm", "decode").ServiceTime = time.Microsecond
			g := s.startGateway(s.newSettings("g-1"))
			eventually(b, "readiness", g.ready)
			for b.Loop() {
				_, got := s.send(http.DefaultClient, g, "POST", path)
				is.New(b).Equal(got.status, 200)
			}
		})
	}
}
