package imitator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Service is a plain service: orders, which must not run twice, lookups and an echo.
//
//	POST /orders...     executes an order and counts it by its Idempotency-Key
//	GET /catalogue/...  looks an item up
//	GET /executed/KEY   tells how often the order with a key was executed
//	.../echo...         answers with the call and streams its body back
type Service struct {
	Delay time.Duration // of orders and lookups
	// LoseAnswer makes an order run and its answer get lost, if set and true for its key. Orders below
	// /orders/lost always lose it.
	LoseAnswer func(key string) bool

	mu       sync.Mutex // guards the fields below
	executed map[string]int
	orders   int
}

// Executed returns how often an order with a key was executed.
func (s *Service) Executed(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[key]
}

// Orders returns how many orders were executed in all.
func (s *Service) Orders() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders
}

func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/echo"):
		s.echo(w, r)
	case strings.HasPrefix(r.URL.Path, "/orders"):
		s.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/catalogue/") && r.Method == http.MethodGet:
		time.Sleep(s.Delay)
		fmt.Fprintf(w, `{"item":%q,"length":%d}`, strings.TrimPrefix(r.URL.Path, "/catalogue/"), len(r.URL.Path))
	case strings.HasPrefix(r.URL.Path, "/executed/") && r.Method == http.MethodGet:
		fmt.Fprint(w, s.Executed(strings.TrimPrefix(r.URL.Path, "/executed/")))
	default:
		http.NotFound(w, r)
	}
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	if s.executed == nil {
		s.executed = map[string]int{}
	}
	s.executed[key]++
	s.orders++
	number := s.orders
	s.mu.Unlock()
	time.Sleep(s.Delay)
	if strings.HasPrefix(r.URL.Path, "/orders/lost") || (s.LoseAnswer != nil && s.LoseAnswer(key)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, `{"order":%d}`, number)
}

func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	control.EnableFullDuplex()
	w.Header().Set("Connection", "X-Hop")
	w.Header().Set("X-Hop", "h")
	json.NewEncoder(w).Encode(map[string]any{
		"method": r.Method, "path": r.URL.EscapedPath(), "query": r.URL.RawQuery, "header": r.Header,
	})
	control.Flush()
	buffer := make([]byte, 32<<10)
	for {
		n, err := r.Body.Read(buffer)
		if n > 0 {
			w.Write(buffer[:n])
			control.Flush()
		}
		if err != nil {
			return
		}
	}
}
