package imitator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"apricotspool/lister"
)

// Hosts is an in-memory host list whose changes become visible after a lag. It implements lister.Lister;
// HostsHandler serves it over HTTP.
type Hosts struct {
	Lag time.Duration // time until a change is visible

	mu      sync.Mutex      // guards states
	history []hostsSnapshot // oldest first
}

type hostsSnapshot struct {
	at    time.Time
	hosts []lister.Host
}

var _ lister.Lister = (*Hosts)(nil)

// Set replaces the list; nil makes it unavailable.
func (h *Hosts) Set(hosts []lister.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b lister.Host) int { return strings.Compare(string(a.Name), string(b.Name)) })
	h.history = append(h.history, hostsSnapshot{time.Now(), hosts})
}

// Hosts returns the list as it was Lag ago.
func (h *Hosts) Hosts(ctx context.Context) ([]lister.Host, error) {
	if ctx.Err() != nil {
		return nil, lister.ErrUnavailable
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	shown := time.Now().Add(-h.Lag)
	for len(h.history) > 1 && !h.history[1].at.After(shown) {
		h.history = h.history[1:]
	}
	if len(h.history) == 0 || h.history[0].hosts == nil || h.history[0].at.After(shown) {
		return nil, lister.ErrUnavailable
	}
	return slices.Clone(h.history[0].hosts), nil
}

// HostsHandler serves a host list over the HTTP protocol of lister.Client.
type HostsHandler struct {
	Hosts *Hosts
	Token string // required bearer token; empty accepts every call
}

func (h *HostsHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Token != "" && r.Header.Get("Authorization") != "Bearer "+h.Token {
		http.Error(w, "token is not valid", http.StatusUnauthorized)
		return
	}
	if r.Method != http.MethodGet || r.URL.Path != "/hosts" {
		http.NotFound(w, r)
		return
	}
	hosts, err := h.Hosts.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(lister.List{Hosts: hosts})
}
