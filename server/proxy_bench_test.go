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

// BenchmarkProxy compares the daemon with direct calls of the fake engine in one process, over
// loopback. docs/measurements-traffic.md records results.
//
//	go test ./server -run '^$' -bench Proxy -benchtime 3s
func BenchmarkProxy(b *testing.B) {
	for _, streams := range []int{1, 256} {
		for _, through := range []string{"direct", "daemon"} {
			name := fmt.Sprintf("%s/%d", through, streams)
			b.Run("first-byte/"+name, func(b *testing.B) { newProxy(b, through, 0).firstByte(b, streams) })
			b.Run("chunk/"+name, func(b *testing.B) {
				newProxy(b, through, pace(streams)).chunks(b, streams)
			})
			b.Run("throughput/"+name, func(b *testing.B) { newProxy(b, through, 0).chunks(b, streams) })
		}
	}
}

// pace keeps 256 streams at 25,600 chunks a second, well below saturation.
func pace(streams int) time.Duration {
	if streams == 1 {
		return time.Millisecond
	}
	return 10 * time.Millisecond
}

// proxy is a daemon with one fake engine, or the engine alone.
type proxy struct {
	url   string
	begun time.Time
}

const stampStart = `"at":`

func newProxy(b *testing.B, through string, interval time.Duration) *proxy {
	f := newFar(b, &imitator.Engine{Interval: interval}).realCore()
	p := &proxy{begun: time.Now()}
	f.handlers[0].Distort = func(c generator.Chunk) []generator.Chunk {
		if !c.Done { // a chunk of the usual size with the time when the engine sent it
			c.Data = fmt.Appendf(c.Data[:len(c.Data)-1], `,%s%d}`, stampStart, time.Since(p.begun))
		}
		return []generator.Chunk{c}
	}
	p.url = "http://" + f.document.Endpoints["engine-0"].Address.String()
	if through == "daemon" {
		p.url = f.start(b).url
	}
	return p
}

// read requests an answer and calls each with the delay of every chunk since the engine sent it.
func (p *proxy) read(ctx context.Context, tokens int, each func(time.Duration)) error {
	request, _ := http.NewRequestWithContext(ctx, "POST", p.url+"/v1/chat/completions", strings.NewReader(chat(tokens, `,"stream":true`)))
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
		now := time.Since(p.begun)
		_, stamp, _ := strings.Cut(string(event.Data), stampStart)
		sent, err := strconv.ParseInt(strings.TrimSuffix(stamp, "}"), 10, 64)
		if err != nil {
			return err
		}
		each(now - time.Duration(sent))
	}
}

// firstByte measures b.N requests, from their start to their first chunk.
func (p *proxy) firstByte(b *testing.B, streams int) {
	p.measure(b, streams, func(_ int, note func(time.Duration)) error {
		start, first := time.Now(), true
		return p.read(b.Context(), 1, func(time.Duration) {
			if first {
				note(time.Since(start))
			}
			first = false
		})
	})
}

// chunks measures b.N chunks of as many long answers as there are streams.
func (p *proxy) chunks(b *testing.B, streams int) {
	b.ReportAllocs()
	each := max(1, b.N/streams)
	start := time.Now()
	p.measure(b, min(streams, b.N), func(turn int, note func(time.Duration)) error {
		if turn > 0 {
			return errDone
		}
		return p.read(b.Context(), each, note)
	})
	b.ReportMetric(float64(each*streams)/time.Since(start).Seconds(), "chunks/s")
}

var errDone = fmt.Errorf("enough")

// measure runs a function in each stream until b.N calls are done and reports the median of what it notes.
func (p *proxy) measure(b *testing.B, streams int, run func(turn int, note func(time.Duration)) error) {
	var mu sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	b.ResetTimer()
	for stream := range streams {
		group.Go(func() {
			var own []time.Duration
			for turn := range b.N/streams + 1 {
				err := run(turn, func(d time.Duration) { own = append(own, d) })
				if err == errDone {
					break
				}
				if err != nil {
					b.Errorf("stream %d: %v", stream, err)
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, own...)
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

// endless is an engine in memory that sends the same chunk until its limit.
type endless struct{ limit int }

type endlessStream struct {
	left  int
	chunk generator.Chunk
}

func (e *endless) Generate(_ context.Context, _ generator.Target, call generator.Call) (generator.Stream, error) {
	data := fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","created":1,"model":"model",%s}`, call.Stream, delta(`"content":"belt "`))
	return &endlessStream{left: e.limit, chunk: generator.Chunk{Stream: call.Stream, Attempt: 1, Index: -1, Data: data}}, nil
}

func (e *endless) Cancel(context.Context, generator.Target, namer.StreamID) error { return nil }

func (s *endlessStream) Attempt() namer.Attempt { return 1 }
func (s *endlessStream) Pending() bool          { return true }
func (s *endlessStream) Close() error           { return nil }

func (s *endlessStream) Next() (generator.Chunk, error) {
	s.chunk.Index++
	s.chunk.Done = s.chunk.Index == s.left
	return s.chunk, nil
}

type discard struct{ *httptest.ResponseRecorder }

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkRelay measures the daemon's own work for one chunk, without the network and the engine client.
func BenchmarkRelay(b *testing.B) {
	handler := newFar(b, &imitator.Engine{}).start(b, withEngine(&endless{limit: b.N})).server.Handler()
	request := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chat(1, `,"stream":true`)))
	request.Header.Set("Authorization", "Bearer fitter-token")
	b.ReportAllocs()
	b.ResetTimer()
	handler.ServeHTTP(discard{httptest.NewRecorder()}, request)
}
