package server_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"apricotspool/generator"
	"apricotspool/imitator"
	"apricotspool/namer"
)

// BenchmarkProxy compares requests through the daemon with requests sent directly to the fake engine, over
// loopback in one process. Results are recorded in docs/measurements-traffic.md.
//
//	go test ./server -run '^$' -bench Proxy -benchtime 3s
func BenchmarkProxy(b *testing.B) {
	for _, streams := range []int{1, 256} {
		for _, through := range []string{"direct", "daemon"} {
			name := fmt.Sprintf("%s/%d", through, streams)
			b.Run("first-byte/"+name, func(b *testing.B) { newProxy(b, through, 0).firstByte(b, streams) })
			b.Run("chunk/"+name, func(b *testing.B) {
				newProxy(b, through, tokenInterval(streams)).chunks(b, streams)
			})
			b.Run("throughput/"+name, func(b *testing.B) { newProxy(b, through, 0).chunks(b, streams) })
		}
	}
}

// tokenInterval returns the interval between the chunks of a stream. With 256 streams the load is 25,600
// chunks a second, well below saturation.
func tokenInterval(streams int) time.Duration {
	if streams == 1 {
		return time.Millisecond
	}
	return 10 * time.Millisecond
}

// proxyBenchmark holds the URL of a daemon with one fake engine, or of the engine itself.
type proxyBenchmark struct {
	url       string
	startTime time.Time
}

const timestampPrefix = `"at":`

func newProxy(b *testing.B, through string, interval time.Duration) *proxyBenchmark {
	f := newFixture(b, &imitator.Engine{Interval: interval}).withRealCore()
	p := &proxyBenchmark{startTime: time.Now()}
	f.handlers[0].Distort = func(c generator.Chunk) []generator.Chunk {
		if !c.Done { // append the time at which the engine sent the chunk
			c.Data = fmt.Appendf(c.Data[:len(c.Data)-1], `,%s%d}`, timestampPrefix, time.Since(p.startTime))
		}
		return []generator.Chunk{c}
	}
	p.url = "http://" + f.document.Endpoints["engine-0"].Address.String()
	if through == "daemon" {
		p.url = f.startDaemon(b).url
	}
	return p
}

// read requests a completion and calls observe with the latency of every chunk since the engine sent it.
func (p *proxyBenchmark) read(ctx context.Context, tokens int, observe func(time.Duration)) error {
	request, _ := http.NewRequestWithContext(ctx, "POST", p.url+"/v1/chat/completions", strings.NewReader(chatBody(tokens, `,"stream":true`)))
	request.Header.Set("Authorization", "Bearer fitter-token")
	request.Header.Set(generator.HeaderStream, string(namer.NewStreamID()))
	for name, value := range map[string]string{generator.HeaderAttempt: "1", generator.HeaderFrom: "0", generator.HeaderPriority: "0"} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	for events := generator.NewEventReader(response.Body); ; {
		event, err := events.Next()
		if err != nil {
			return err
		}
		if string(event.Data) == "[DONE]" {
			return nil
		}
		now := time.Since(p.startTime)
		_, stamp, _ := strings.Cut(string(event.Data), timestampPrefix)
		sent, err := strconv.ParseInt(strings.TrimSuffix(stamp, "}"), 10, 64)
		if err != nil {
			return err
		}
		observe(now - time.Duration(sent))
	}
}

// firstByte measures the time to the first chunk of b.N requests.
func (p *proxyBenchmark) firstByte(b *testing.B, streams int) {
	p.measure(b, streams, func(_ int, observe func(time.Duration)) error {
		start, first := time.Now(), true
		return p.read(b.Context(), 1, func(time.Duration) {
			if first {
				observe(time.Since(start))
			}
			first = false
		})
	})
}

// chunks measures the latency and throughput of b.N chunks, spread over concurrent streams.
func (p *proxyBenchmark) chunks(b *testing.B, streams int) {
	b.ReportAllocs()
	tokens := max(1, b.N/streams)
	start := time.Now()
	p.measure(b, min(streams, b.N), func(iteration int, observe func(time.Duration)) error {
		if iteration > 0 {
			return errStop
		}
		return p.read(b.Context(), tokens, observe)
	})
	b.ReportMetric(float64(tokens*streams)/time.Since(start).Seconds(), "chunks/s")
}

var errStop = fmt.Errorf("enough")

// measure calls run repeatedly in a goroutine for each stream, about b.N times in total, and reports the
// median and the 99th percentile of the observed durations.
func (p *proxyBenchmark) measure(b *testing.B, streams int, run func(iteration int, observe func(time.Duration)) error) {
	var mu sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	b.ResetTimer()
	for stream := range streams {
		group.Go(func() {
			var durations []time.Duration
			for iteration := range b.N/streams + 1 {
				err := run(iteration, func(d time.Duration) { durations = append(durations, d) })
				if err == errStop {
					break
				}
				if err != nil {
					b.Errorf("stream %d: %v", stream, err)
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, durations...)
		})
	}
	group.Wait()
	b.StopTimer()
	slices.Sort(all)
	if len(all) > 0 {
		b.ReportMetric(float64(all[len(all)/2].Nanoseconds())/1e3, "µs-median")
		b.ReportMetric(float64(all[len(all)*99/100].Nanoseconds())/1e3, "µs-p99")
	}
}

// inMemoryEngine is an engine without a network whose streams consist of limit equal chunks.
type inMemoryEngine struct{ limit int }

type inMemoryStream struct {
	limit int
	chunk generator.Chunk
}

func (e *inMemoryEngine) Generate(_ context.Context, _ generator.Target, call generator.Call) (generator.Stream, error) {
	data := fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","created":1,"model":"model",%s}`, call.Stream, delta(`"content":"belt "`))
	return &inMemoryStream{limit: e.limit, chunk: generator.Chunk{Stream: call.Stream, Attempt: 1, Index: -1, Data: data}}, nil
}

func (e *inMemoryEngine) Cancel(context.Context, generator.Target, namer.StreamID) error { return nil }

func (s *inMemoryStream) Attempt() namer.Attempt { return 1 }
func (s *inMemoryStream) Pending() bool          { return true }
func (s *inMemoryStream) Close() error           { return nil }

func (s *inMemoryStream) Next() (generator.Chunk, error) {
	s.chunk.Index++
	s.chunk.Done = s.chunk.Index == s.limit
	return s.chunk, nil
}

// discardingWriter discards the response body.
type discardingWriter struct{ *httptest.ResponseRecorder }

func (discardingWriter) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkRelay measures the daemon's work per chunk, without the network and the engine client.
func BenchmarkRelay(b *testing.B) {
	handler := newFixture(b, &imitator.Engine{}).startDaemon(b, withEngine(&inMemoryEngine{limit: b.N})).server.Handler()
	request := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatBody(1, `,"stream":true`)))
	request.Header.Set("Authorization", "Bearer fitter-token")
	b.ReportAllocs()
	b.ResetTimer()
	handler.ServeHTTP(discardingWriter{httptest.NewRecorder()}, request)
}
