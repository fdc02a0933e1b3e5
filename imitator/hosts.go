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

// Hosts is a host list in memory that lags. It implements lister.Lister directly; HostsHandler
// serves it over HTTP.
type Hosts struct {
	Lag time.Duration // time until a change shows

	mu     sync.Mutex // guards states
	states []hostsAt  // in the order of time
}

type hostsAt struct {
	at    time.Time
	hosts []lister.Host
}

var _ lister.Lister = (*Hosts)(nil)

// Set replaces the list; nil makes it unreadable.
func (h *Hosts) Set(hosts []lister.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b lister.Host) int { return strings.Compare(string(a.Name), string(b.Name)) })
	h.states = append(h.states, hostsAt{time.Now(), hosts})
}

// Hosts returns the list as it was before the lag.
func (h *Hosts) Hosts(ctx context.Context) ([]lister.Host, error) {
	if ctx.Err() != nil {
		return nil, lister.ErrUnavailable
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	shown := time.Now().Add(-h.Lag)
	for len(h.states) > 1 && !h.states[1].at.After(shown) {
		h.states = h.states[1:]
	}
	if len(h.states) == 0 || h.states[0].hosts == nil || h.states[0].at.After(shown) {
		return nil, lister.ErrUnavailable
	}
	return slices.Clone(h.states[0].hosts), nil
}

// HostsHandler serves a host list over HTTP as lister.Client expects it.
type HostsHandler struct {
	Hosts *Hosts
	Token string // bearer token that calls must carry; empty accepts every call
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
