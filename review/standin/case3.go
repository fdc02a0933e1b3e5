//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the limit of the process on the sheet, which the settings state.
	memoryMB = 284
	// linkBytes is what a gateway's link carries in a second: 1,000 Mbit. The clients of one zone send less together.
	linkBytes = 125 << 20
	// bodyBytes is what the configuration lets a client send.
	bodyBytes = 4_194_304
	// uploadersPerZone send bodies at once, and in a burst 2.6 times as many.
	uploadersPerZone = 18
	uploadBurst      = 46
	uploadBurstFor   = 5400 * time.Millisecond
	bursts           = 4
	burstEvery       = 18 * time.Second
	// endsOfFault is how often processes of a machine must end for the rule, and machinesOfFault on how many machines.
	endsOfFault     = 3
	machinesOfFault = 2
)

// longBodies has clients send the longest bodies that the configuration allows, more of them in a burst.
func longBodies(w *world, trouble bool) (verdict, error) {
	if err := startBelt(w); err != nil {
		return verdict{}, err
	}
	// A route with time for an upload, of the servers of orders.
	config := beltConfig()
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": "r-drawing", "host": host, "pathPrefix": "/drawing/", "kind": "unsafe", "timeoutMs": 12000, "targetLatencyMs": 4000, "priority": 2,
		"service": "order-app", "attempts": 1,
	})
	if err := w.configure(config); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)
	drawing := kind{route: "drawing", method: http.MethodPost, path: "/drawing/1", deadline: 12 * time.Second, body: make([]byte, bodyBytes)}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	all := &calls{}
	ends := make([]int, len(w.daemons))
	most := make([]int, len(w.daemons))
	pacers := make([]*pacer, len(w.daemons))
	for i, d := range w.daemons {
		pacers[i] = newPacer(ctx)
		wg.Go(func() { w.limitMemory(ctx, d, &ends[i], &most[i]) })
		w.uploaders(ctx, &wg, all, d, uploadersPerZone, drawing, pacers[i])
		w.load(ctx, &wg, all, d.zone, 10, orderPlace)
	}
	time.Sleep(8 * time.Second)
	for range bursts {
		if trouble {
			w.note("burst: %d uploads at once instead of %d in each zone, for %s", uploadBurst, uploadersPerZone, uploadBurstFor)
			burst, end := context.WithTimeout(ctx, uploadBurstFor)
			for i, d := range w.daemons {
				w.uploaders(burst, &wg, all, d, uploadBurst-uploadersPerZone, drawing, pacers[i])
			}
			defer end()
		}
		time.Sleep(burstEvery)
	}
	stop()
	wg.Wait()
	w.recordCalls(all.list)
	v := verdict{}
	machines := 0
	for i, d := range w.daemons {
		if ends[i] >= endsOfFault {
			machines++
		}
		v.text += fmt.Sprintf("gateway %s: most memory %d MB of %d, processes ended %d times\n", d.name, most[i], memoryMB, ends[i])
	}
	lost := 0
	for _, c := range all.list {
		if c.answeredAt.IsZero() && w.runsOf(c.id) > 0 {
			lost++
		}
	}
	v.text += fmt.Sprintf("requests that may run once, that a server ran and that got no answer: %d", lost)
	v.broken = machines >= machinesOfFault
	return v, nil
}

// uploaders are clients of one zone who upload one body after the other until ctx ends.
func (w *world) uploaders(ctx context.Context, wg *sync.WaitGroup, into *calls, d *daemon, count int, k kind, p *pacer) {
	for range count {
		wg.Go(func() {
			for ctx.Err() == nil {
				if !d.takesTraffic() {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				k.stream = func() io.Reader { return &pacedBody{pacer: p, left: bodyBytes} }
				c := w.send(d, k)
				into.add(c)
				if c.err != nil {
					time.Sleep(300 * time.Millisecond)
				}
			}
		})
	}
}

// limitMemory is the platform's limit: a process over it is killed, and started again after a second.
func (w *world) limitMemory(ctx context.Context, d *daemon, ends, most *int) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		mb := d.memory()
		*most = max(*most, mb)
		if mb <= memoryMB {
			continue
		}
		*ends++
		w.note("platform: gateway %s has %d MB and is killed", d.name, mb)
		d.signal(syscall.SIGKILL)
		<-d.exited
		time.Sleep(time.Second)
		if ctx.Err() == nil && d.start() != nil {
			return
		}
	}
}

// memory returns the memory of the process in MB.
func (d *daemon) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1]) // a number by the format of proc(5)
			return kb / 1024
		}
	}
	return 0
}

// pacer lets the clients of one gateway send what its link carries, piece by piece.
type pacer struct{ pieces chan struct{} }

const pieceBytes = 64 << 10

// newPacer fills four fifths of a link.
func newPacer(ctx context.Context) *pacer {
	p := &pacer{make(chan struct{}, 16)}
	go func() {
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				close(p.pieces)
				return
			case <-tick.C:
			}
			for range linkBytes * 4 / 5 / 100 / pieceBytes {
				select {
				case p.pieces <- struct{}{}:
				default:
				}
			}
		}
	}()
	return p
}

// pacedBody is a body of zeros that waits for its pieces.
type pacedBody struct {
	pacer *pacer
	left  int
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	<-b.pacer.pieces
	n := min(len(p), b.left, pieceBytes)
	clear(p[:n])
	b.left -= n
	return n, nil
}
