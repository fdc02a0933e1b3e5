//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a server of the platform: of a plain service, or a model server if it has a stage.
type server struct {
	w                        *world
	id, service, zone, stage string
	slots, queue             int
	work                     time.Duration // of a request, of reading a prompt, and between two events
	events                   int
	address                  string
	http                     *http.Server
	born                     int64
	places, waiting          chan struct{}
	mu                       sync.Mutex
	handles                  map[string]string // request by handle
	lastHandle               int
	runs                     map[string][]time.Time // when it began to run a request
	arrivals                 map[string][]time.Time // when a request came
	running, most            int
	onRun                    func(w http.ResponseWriter, r *http.Request, body []byte) bool // takes the run over if it returns true
	answerHeader             func(h http.Header)
}

// addServer starts a server and registers it in the store.
func (w *world) addServer(s *server) error {
	s.w = w
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	s.born = time.Now().UnixMilli()
	s.places, s.waiting = make(chan struct{}, s.slots), make(chan struct{}, s.slots+s.queue)
	s.handles, s.runs, s.arrivals = map[string]string{}, map[string][]time.Time{}, map[string][]time.Time{}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(listener)
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	w.note("server %s of %s in zone %s, stage %q, %d slots", s.id, s.service, s.zone, s.stage, s.slots)
	return s.register("ready")
}

func (s *server) register(state string) error {
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "coldLeftMs": 0, "seq": 1, "born": s.born,
	}
	if s.stage != "" {
		entry["stage"], entry["models"] = s.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return s.w.put("servers/"+s.id, entry)
}

func (s *server) crash() { s.http.Close() }

func stamp(server, id string, status int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d", server, id, status)
	return fmt.Sprintf("%s.%x", server, h.Sum64())
}

// event returns event n of the stream of a request.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n) }

func (s *server) reject(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	if s.answerHeader != nil {
		s.answerHeader(w.Header())
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.URL.Path == "/report":
		s.report(w)
	case r.URL.Path == "/order":
		s.order(w, body)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		s.takeHandle(strings.TrimPrefix(r.URL.Path, "/kv-handle/"))
	case id == "":
		s.reject(w, http.StatusBadRequest)
	default:
		s.mu.Lock()
		s.arrivals[id] = append(s.arrivals[id], time.Now())
		s.mu.Unlock()
		s.serve(w, r, id, body)
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{
		"stage": s.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0, "born": s.born,
		"numWaiting": max(0, len(s.waiting)-len(s.places)), "numRunning": s.running, "kvUsed": 1000 * s.running, "kvTotal": 1_000_000, "kvHandles": len(s.handles),
	})
}

// order accepts no order: the servers of these cases keep their stages.
func (s *server) order(w http.ResponseWriter, _ []byte) { w.WriteHeader(http.StatusBadRequest) }

func (s *server) takeHandle(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.handles[handle]
	delete(s.handles, handle)
	return known
}

// fetch takes the memory of a prompt from the server that holds it.
func (s *server) fetch(source string) bool {
	address, handle, _ := strings.Cut(source, "/")
	s.w.mu.Lock()
	var holder *server
	for _, other := range s.w.servers {
		if other.address == address {
			holder = other
		}
	}
	s.w.mu.Unlock()
	return holder != nil && holder.takeHandle(handle)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	deadline := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	late := time.After(deadline)
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	if r.Header.Get("Stage") == "prefill" {
		s.prefill(w, id)
		return
	}
	if source := r.Header.Get("Kv-Source"); source != "" && !s.fetch(source) {
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	if s.stage == "prefill" {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.places <- struct{}{}:
		defer func() { <-s.places }()
	case <-late:
		s.reject(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	s.began(id)
	defer s.ended()
	if s.onRun != nil && s.onRun(w, r, body) {
		return
	}
	if s.stage != "" {
		s.stream(w, r, id)
		return
	}
	select {
	case <-time.After(s.work):
		w.Header().Set("Server-Stamp", stamp(s.id, id, http.StatusOK))
		fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
	case <-late:
		w.Header().Set("Server-Stamp", stamp(s.id, id, http.StatusGatewayTimeout))
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}

func (s *server) began(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = append(s.runs[id], time.Now())
	s.running++
	s.most = max(s.most, s.running)
}

func (s *server) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *server) prefill(w http.ResponseWriter, id string) {
	if s.stage != "prefill" {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(s.work)
	s.mu.Lock()
	s.lastHandle++
	handle := fmt.Sprintf("%x%04x", s.born, s.lastHandle)
	s.handles[handle] = id
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"handleId": handle, "tokens": 100, "version": 1})
}

// stream sends the events after the last one that the client has.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Stamp", stamp(s.id, id, http.StatusOK))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // without one it starts at the first event
	out := http.NewResponseController(w)
	for n := from + 1; n <= s.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.work):
		}
		io.WriteString(w, event(id, n))
		if out.Flush() != nil {
			return
		}
	}
}

// runsOf returns how often all servers together began to run a request.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	servers := append([]*server(nil), w.servers...)
	w.mu.Unlock()
	n := 0
	for _, s := range servers {
		s.mu.Lock()
		n += len(s.runs[id])
		s.mu.Unlock()
	}
	return n
}
