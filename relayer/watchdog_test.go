package relayer_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response that is cut because its endpoint pauses, when a part of it has been sent and no other
// attempt can continue it.
func TestPauseInLongResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, dispatchTo("a", "b")...)
	long := strings.Repeat("0123456789abcdef", 20<<10)
	f.endpoint("a", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, long)
		w.(http.Flusher).Flush()
		time.Sleep(1500 * time.Millisecond)
		io.WriteString(w, "end")
	})
	f.endpoint("b", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "other") })
	got := f.send("GET", "/safe/", "")
	is.True(got.complete)
	is.Equal(got.body, long+"end")
}
