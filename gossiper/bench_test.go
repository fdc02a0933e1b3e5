package gossiper_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/gossiper"
	"apricotspool/messenger"
	"apricotspool/recorder"
)

// fleetSizes lists numbers of members and data centres; the largest is the fleet the system is designed for.
var fleetSizes = []struct{ members, centres int }{{4, 2}, {16, 4}, {64, 4}, {256, 8}, {420, 13}}

// endpointsFor scales 1,600 endpoints for 420 daemons to the number of members.
func endpointsFor(members int) int { return max(1, members*1600/420) }

func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMembership reports per daemon and virtual second the messages and payload bytes sent (also
// as compressed on the wire) and the CPU time without HTTP, and per daemon the memory of its table.
//
//	go test ./gossiper -run xxx -bench Membership -benchtime 30x
func BenchmarkMembership(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			before := heap()
			f := newFleet(b, size.members, size.centres, endpointsFor(size.members))
			f.polling = true
			f.run(time.Minute)
			state := heap() - before
			f.messages, f.bytes = 0, 0
			cpuTime := time.Duration(0)
			seconds := 0
			for b.Loop() {
				started := processorTime()
				f.run(time.Second)
				for _, table := range f.tables {
					table.View(f.now)
					table.View(f.now) // a daemon builds about three views per second
					table.View(f.now)
				}
				cpuTime += processorTime() - started
				seconds++
			}
			f.compressedBytes = new(int) // measured separately, since compression takes CPU time
			messages, raw := f.messages, f.bytes
			f.run(10 * time.Second)
			ratio := float64(*f.compressedBytes) / float64(f.bytes-raw)
			f.messages, f.bytes = messages, raw
			each := float64(seconds * size.members)
			ages, n := time.Duration(0), 0
			for _, table := range f.tables {
				for _, l := range table.View(f.now).Loads {
					ages += f.now.Sub(l.At)
					n++
				}
			}
			b.ReportMetric(float64(f.messages)/each, "messages/s")
			b.ReportMetric(float64(f.bytes)/each, "payload-B/s")
			b.ReportMetric(ratio*float64(f.bytes)/each, "compressed-B/s")
			b.ReportMetric(float64(cpuTime.Microseconds())/each, "cpu-us/s")
			b.ReportMetric(float64(state)/float64(size.members), "state-B")
			b.ReportMetric((ages / time.Duration(n)).Seconds(), "load-age-s")
		})
	}
}

// compressed returns the size of a message as sent by messenger, which compresses from 512 bytes on.
func compressed(data []byte) int {
	if len(data) < 512 {
		return len(data)
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	w.Write(data)
	w.Close()
	return out.Len()
}

// countingListener counts the bytes transferred over all its connections.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.out.Add(int64(n))
	return n, err
}

// BenchmarkExchangeOverHTTP reports the cost of one exchange over loopback in a data centre with 32
// members: bytes in both directions including headers, and CPU time of both sides.
func BenchmarkExchangeOverHTTP(b *testing.B) {
	is := is.New(b)
	f := newFleet(b, 32, 1, 123)
	f.polling = true
	f.run(time.Minute)
	remote := &gossiper.Gossiper{Self: peer(1, 1), Incarnation: 1, Configuration: fixedConfiguration{snapshot(b, 1, 1, 123)}, Metrics: recorder.NewMetrics(), Log: zerolog.Nop()}
	mux := http.NewServeMux()
	for path, handler := range remote.Handlers() {
		mux.Handle(path, handler)
	}
	server := httptest.NewUnstartedServer(mux)
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	to := netip.MustParseAddrPort(listener.Addr().String())
	client := &gossiper.Client{Messenger: &messenger.Client{HTTP: server.Client(), Scheme: "http"}}
	message := f.tables[0].OpenExchange(f.now, gossiper.Target{Address: to, DataCentre: centre(0)})
	data, err := messenger.Marshal(message)
	is.NoErr(err)
	started, calls := processorTime(), 0
	for b.Loop() {
		_, err := client.Exchange(b.Context(), to, message)
		is.NoErr(err)
		calls++
	}
	b.ReportMetric(float64((processorTime()-started).Microseconds())/float64(calls), "cpu-us/call")
	b.ReportMetric(float64(listener.in.Load())/float64(calls), "request-B")
	b.ReportMetric(float64(listener.out.Load())/float64(calls), "answer-B")
	b.ReportMetric(float64(compressed(data)), "request-payload-B")
}
