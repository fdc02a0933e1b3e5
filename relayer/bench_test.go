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

// staticForwarder returns the same response to every call, without a network.
type staticForwarder struct {
	header http.Header
	body   string
}

func (c staticForwarder) Forward(context.Context, forwarder.Target, forwarder.Call) (*forwarder.Response, error) {
	return &forwarder.Response{Status: http.StatusOK, Header: c.header, Length: int64(len(c.body)), Body: io.NopCloser(strings.NewReader(c.body))}, nil
}

// discardingWriter is a response writer that discards the body.
type discardingWriter struct{ header http.Header }

func (d discardingWriter) Header() http.Header         { return d.header }
func (d discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardingWriter) WriteHeader(int)             {}
func (d discardingWriter) Flush()                      {}

// benchmarkServe measures the relayer and the dispatcher, without HTTP connections to caller and endpoint.
func benchmarkServe(b *testing.B, path string, endpoints staticForwarder) {
	f := newFixture(b)
	f.targets["a"] = forwarder.Target{Endpoint: "a"}
	f.relayer.Endpoints = endpoints
	b.ReportAllocs()
	for b.Loop() {
		f.core.reset(dispatchTo("a"))
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
		r.Host = "h"
		r.Header.Set("X-Id", "id-1")
		f.relayer.ServeHTTP(discardingWriter{http.Header{}}, r)
	}
}

// BenchmarkRequest measures one request of a plain service, including its log lines.
func BenchmarkRequest(b *testing.B) {
	benchmarkServe(b, "/unsafe/", staticForwarder{http.Header{"X-Stamp": {"a"}, "X-Id": {"id-1"}}, "answer"})
}

// BenchmarkStream measures one stream of 1,000 events.
func BenchmarkStream(b *testing.B) {
	benchmarkServe(b, "/stream/", staticForwarder{http.Header{"X-Stamp": {"a"}, "X-Id": {"id-1"}, "Content-Type": {"text/event-stream"}}, events(1000)})
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/event")
}
