//go:build review

package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call is one client attempt.
type call struct {
	id, route  string
	to         *daemon
	sentAt     time.Time
	headAt     time.Time // when the head of the answer came; zero if none came
	answeredAt time.Time // when the whole answer had come; zero if it has not
	status     int
	header     http.Header
	body       []byte
	err        error
}

// kind is a kind of request.
type kind struct {
	route, method, path string
	deadline            time.Duration
	header              map[string]string
	body                []byte
	stream              func() io.Reader // a body of the length of body that is sent slowly; nil to send body at once
}

const host = "floor.example"

// send sends a request on a new connection and waits for its answer until the client's deadline. Streams are given up
// after a gap of two seconds.
func (w *world) send(to *daemon, k kind) *call {
	c := &call{id: w.newID(), route: k.route, to: to, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+to.callers+k.path, bytes.NewReader(k.body))
	if err != nil {
		c.err = err
		return c
	}
	if k.stream != nil {
		r.Body, r.ContentLength = io.NopCloser(k.stream()), int64(len(k.body))
	}
	r.Host = host
	r.Header.Set("Request-Id", c.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	for name, value := range k.header {
		r.Header.Set(name, value)
	}
	streaming := k.header["Model"] != ""
	var gap *time.Timer
	if streaming {
		gap = time.AfterFunc(patience, cancel)
		defer gap.Stop()
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		c.err = err
		return c
	}
	defer response.Body.Close()
	c.headAt, c.status, c.header = time.Now(), response.StatusCode, response.Header
	chunk := make([]byte, 4096)
	for {
		n, err := response.Body.Read(chunk)
		if n > 0 && gap != nil {
			gap.Reset(patience)
		}
		c.body = append(c.body, chunk[:n]...)
		if err == io.EOF {
			c.answeredAt = time.Now()
			return c
		}
		if err != nil {
			c.err = err
			return c
		}
	}
}

// patience is the gap after which a client gives a stream up.
const patience = 2 * time.Second

// calls collects the client attempts of a case.
type calls struct {
	mu   sync.Mutex
	list []*call
}

func (c *calls) add(one *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, one)
}

// load sends requests of a kind at a steady rate from a zone, each on its own connection, until ctx ends.
func (w *world) load(ctx context.Context, wg *sync.WaitGroup, into *calls, zone string, perSecond float64, k kind) {
	wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			to := w.entry(n, zone)
			if to == nil {
				continue
			}
			wg.Go(func() { into.add(w.send(to, k)) })
		}
	})
}

// users are clients who send one request after the other until ctx ends. One that was refused waits as it was told.
func (w *world) users(ctx context.Context, wg *sync.WaitGroup, into *calls, zone string, count int, k kind) {
	for n := range count {
		wg.Go(func() {
			for ctx.Err() == nil {
				to := w.entry(n, zone)
				if to == nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				c := w.send(to, k)
				into.add(c)
				wait := 10 * time.Millisecond
				if after, err := strconv.ParseFloat(c.header.Get("Retry-After"), 64); err == nil {
					wait = time.Duration(min(after, 5) * float64(time.Second))
				} else if c.err != nil {
					wait = 100 * time.Millisecond
				}
				time.Sleep(wait)
			}
		})
	}
}

// recordCalls writes the client attempts to the record.
func (w *world) recordCalls(list []*call) {
	for _, c := range list {
		answered := "no whole answer"
		if !c.answeredAt.IsZero() {
			answered = "answered after " + c.answeredAt.Sub(c.sentAt).Round(time.Millisecond).String()
		}
		w.note("%s %s sent at %.3f to %s: status %d, %s, %v, ran %d times", c.route, c.id, w.at(c.sentAt), c.to.name, c.status, answered, c.err, w.runsOf(c.id))
	}
}
