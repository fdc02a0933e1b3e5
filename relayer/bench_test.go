package relayer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"apricotspool/forwarder"
)

// canned answers every call with the same answer, without a network.
type canned struct {
	header http.Header
	body   string
}

func (c canned) Forward(context.Context, forwarder.Target, forwarder.Call) (*forwarder.Answer, error) {
	return &forwarder.Answer{Status: http.StatusOK, Header: c.header, Length: int64(len(c.body)), Body: io.NopCloser(strings.NewReader(c.body))}, nil
}

// discard is a caller that reads everything.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

// serveAll measures the relayer and the dispatcher, without net/http and the network on both sides.
func serveAll(b *testing.B, path string, answer canned) {
	bed := newBed(b)
	bed.targets["a"] = forwarder.Target{Endpoint: "a"}
	bed.relayer.Endpoints = answer
	b.ReportAllocs()
	for b.Loop() {
		bed.core.begin(to("a"))
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
		r.Host = "h"
		r.Header.Set("X-Id", "id-1")
		bed.relayer.ServeHTTP(discard{http.Header{}}, r)
	}
}

// BenchmarkRequest is one request of a plain service, its log lines included.
func BenchmarkRequest(b *testing.B) {
	serveAll(b, "/unsafe/", canned{http.Header{"X-Stamp": {"a"}, "X-Id": {"id-1"}}, "answer"})
}

// BenchmarkStream is one stream of 1,000 events.
func BenchmarkStream(b *testing.B) {
	serveAll(b, "/stream/", canned{http.Header{"X-Stamp": {"a"}, "X-Id": {"id-1"}, "Content-Type": {"text/event-stream"}}, events(1000)})
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/event")
}
