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

// Service is a fake plain service with orders, which must not be executed twice, lookups and an echo.
//
//	POST /orders...     executes an order and counts executions by Idempotency-Key
//	GET /catalogue/...  looks up an item
//	GET /executed/KEY   returns the number of executions of the order with a key
//	/echo...            responds with a description of the request and streams its body back
type Service struct {
	Delay time.Duration // of orders and lookups
	// LoseResponse, if set and true for the key of an order, makes the order execute without a response.
	// Orders below /orders/lost never get a response.
	LoseResponse func(key string) bool

	mu       sync.Mutex // guards the fields below
	executed map[string]int
	orders   int
}

// Executed returns the number of executions of the order with a key.
func (s *Service) Executed(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executed[key]
}

// Orders returns the total number of executed orders.
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
	if strings.HasPrefix(r.URL.Path, "/orders/lost") || (s.LoseResponse != nil && s.LoseResponse(key)) {
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
