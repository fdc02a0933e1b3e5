//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kinds of requests, as on the sheet of Siamrak Beltworks.
var (
	fitterAsk = kind{
		route: "fitter-ask", method: http.MethodPost, path: "/ask/1", deadline: 15 * time.Second, body: []byte("question"),
		header: map[string]string{"Model": "m", "Token-Usage": "141,180", "Prompt-Prefix": "a1:48,b2:32,c3:61"},
	}
	orderPlace  = kind{route: "order-place", method: http.MethodPost, path: "/order-place/1", deadline: 1500 * time.Millisecond, body: make([]byte, 600)}
	catalogRead = kind{route: "catalog-read", method: http.MethodGet, path: "/catalog/1", deadline: 1500 * time.Millisecond}
)

// beltConfig is the configuration of a small deployment whose engines have 6 slots.
func beltConfig() map[string]any {
	return map[string]any{
		"routes": []any{
			map[string]any{
				"name": "r-ask", "host": host, "pathPrefix": "/ask/", "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 100, "targetGapMs": 150,
				"priority": 0, "service": "belt-llm", "attempts": 2, "sticky": true, "resumable": true,
			},
			map[string]any{
				"name": "r-order", "host": host, "pathPrefix": "/order-place/", "kind": "unsafe", "timeoutMs": 800, "targetLatencyMs": 300, "priority": 2,
				"service": "order-app", "attempts": 1,
			},
			map[string]any{
				"name": "r-catalog", "host": host, "pathPrefix": "/catalog/", "kind": "safe", "timeoutMs": 800, "targetLatencyMs": 300, "priority": 2,
				"service": "order-app", "attempts": 2,
			},
		},
		"services": []any{
			map[string]any{
				"name": "belt-llm", "healthPath": "/healthz", "maxConns": 550, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 6, "kvTokens": 1191556, "kvTokenBytes": 163840, "linkMbps": 5500000.0, "moves": false, "backups": false, "stride": 15, "most": 12,
					"handleTtlS": 5.0, "switchS": 3.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "order-app", "healthPath": "/healthz", "maxConns": 520, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// startBelt starts servers and gateways of a small deployment in three zones.
func startBelt(w *world) error {
	zones := []string{"bkk-a", "bkk-b", "bkk-c"}
	for _, zone := range zones {
		if _, err := w.addDaemon("front-"+zone+"-1", zone); err != nil {
			return err
		}
	}
	servers := []*server{
		{id: "i-p1", service: "belt-llm", zone: "bkk-a", stage: "prefill"},
		{id: "i-p2", service: "belt-llm", zone: "bkk-b", stage: "prefill"},
		{id: "i-d7", service: "belt-llm", zone: "bkk-a", stage: "decode"},
		{id: "i-d4", service: "belt-llm", zone: "bkk-a", stage: "decode"},
		{id: "i-d6", service: "belt-llm", zone: "bkk-a", stage: "decode"},
		{id: "i-d3", service: "belt-llm", zone: "bkk-b", stage: "decode"},
		{id: "i-d1", service: "belt-llm", zone: "bkk-c", stage: "decode"},
	}
	for _, s := range servers {
		s.slots, s.queue, s.work, s.events = 6, 18, 80*time.Millisecond, 6
		if s.stage == "prefill" {
			s.work = 5 * time.Millisecond
		}
	}
	for _, zone := range zones {
		servers = append(servers, &server{id: "i-o-" + zone, service: "order-app", zone: zone, slots: 6, queue: 24, work: 60 * time.Millisecond})
	}
	for _, s := range servers {
		if err := w.addServer(s); err != nil {
			return err
		}
	}
	if err := w.configure(beltConfig()); err != nil {
		return err
	}
	return w.startDaemons()
}

const (
	// usersPerZone keep 12 of the 30 places of the five decode engines busy, and burstPerZone are 2.5 times as many, which
	// is as many as there are places.
	usersPerZone = 4
	burstPerZone = 10
	calmFor      = 8 * time.Second
	burstFor     = 5400 * time.Millisecond
	afterFor     = 40 * time.Second
	// judgedFor is the time at the end in which a gateway that hangs serves nothing.
	judgedFor = 30 * time.Second
	// minAsked is the number of requests from which on that says something.
	minAsked = 100
)

// fullEngines has many users ask at once, for some seconds.
func fullEngines(w *world, trouble bool) (verdict, error) {
	if err := startBelt(w); err != nil {
		return verdict{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	all := &calls{}
	for _, d := range w.daemons {
		w.users(ctx, &wg, all, d.zone, usersPerZone, fitterAsk)
		w.load(ctx, &wg, all, d.zone, 10, orderPlace)
		w.load(ctx, &wg, all, d.zone, 7, catalogRead)
	}
	time.Sleep(calmFor)
	if trouble {
		w.note("burst: %d fitters instead of %d in each zone, for %s", burstPerZone, usersPerZone, burstFor)
		burst, end := context.WithTimeout(ctx, burstFor)
		defer end()
		for _, d := range w.daemons {
			w.users(burst, &wg, all, d.zone, burstPerZone-usersPerZone, fitterAsk)
		}
	}
	time.Sleep(burstFor)
	w.note("the burst is over")
	time.Sleep(afterFor - judgedFor)
	v := w.judgeHangs(all)
	stop()
	wg.Wait()
	w.recordCalls(all.list)
	return v, nil
}

// judgeHangs looks for judgedFor whether a gateway that says it is ready serves anything at all.
func (w *world) judgeHangs(all *calls) verdict {
	from, before := time.Now(), make([]float64, len(w.daemons))
	for i, d := range w.daemons {
		before[i] = d.processorTime()
	}
	time.Sleep(judgedFor)
	v := verdict{}
	for i, d := range w.daemons {
		used, ready := d.processorTime()-before[i], d.ready()
		asked, served, answers := 0, 0, map[int]int{}
		all.mu.Lock()
		for _, c := range all.list {
			if c.to != d || c.sentAt.Before(from) || (c.route != orderPlace.route && c.route != catalogRead.route) {
				continue
			}
			asked++
			answers[c.status]++
			if c.status == http.StatusOK {
				served++
			}
		}
		all.mu.Unlock()
		hangs := ready && asked >= minAsked && served == 0
		v.broken = v.broken || hangs
		v.text += fmt.Sprintf("gateway %s, the last %s: %d orders and catalogue reads, %d served, answers by status %v; %.1f s of processor time; ready: %t; hangs: %t\n",
			d.name, judgedFor, asked, served, answers, used, ready, hangs)
	}
	return v
}

// processorTime returns the processor time of the process in seconds.
func (d *daemon) processorTime() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64) // numbers by the format of proc(5)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// ticksPerSecond is the unit of processor times in /proc on all our machines.
const ticksPerSecond = 100
