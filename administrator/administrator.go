// Package administrator implements the operators' HTTP API, which has its own listener: configuration,
// status, drain, metrics and health. Every path but the health checks requires the operators' token.
// The package holds no state; it reads and changes that of the components behind its interfaces.
package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"apricotspool/configurer"
	"apricotspool/decoder"
	"apricotspool/distributor"
	"apricotspool/namer"
)

// Request headers of a patch.
const (
	// HeaderPatchID identifies a patch, so that a retried patch is applied at most once.
	HeaderPatchID = "X-Patch-Id"
	// HeaderPatchRepeat marks a retry of a patch whose outcome was unknown.
	HeaderPatchRepeat = "X-Patch-Repeat"
	// HeaderOperator is the operator's name, recorded in the history.
	HeaderOperator = "X-Operator"
)

// patchTimeout bounds one patch. A healthy platform responds within milliseconds.
const patchTimeout = 15 * time.Second

// maxReleaseBodyBytes bounds the request body of a release, which describes a process.
const maxReleaseBodyBytes = 4 << 10

// Default and maximum number of patches in a history response.
const (
	DefaultHistoryLimit = 20
	MaxHistoryLimit     = 1000
)

// Configuration reads and changes the configuration; distributor.Distributor implements it.
type Configuration interface {
	Snapshot() *configurer.Snapshot
	Patch(ctx context.Context, p distributor.Patch) distributor.PatchReply
	History(ctx context.Context, after namer.ConfigVersion, limit int) ([]distributor.Entry, error)
}

// Daemon is the process that the API manages.
type Daemon interface {
	Status() Status
	Ready() bool
	// Drain starts a graceful shutdown and returns at once.
	Drain()
	// Release removes the binding of an endpoint, one that does not check fencing tokens, to a
	// process that the operator has stopped.
	Release(ctx context.Context, endpoint namer.Endpoint, stopped namer.Process) error
	WriteMetrics(w io.Writer)
}

// Administrator serves the operators' API. Set the exported fields before use.
type Administrator struct {
	Token         string // bearer token of the operators
	Configuration Configuration
	Daemon        Daemon
}

// Handler returns the HTTP handler of the operators' listener.
func (a *Administrator) Handler() http.Handler {
	protected := http.NewServeMux()
	protected.HandleFunc("GET /configuration", a.getConfiguration)
	protected.HandleFunc("PATCH /configuration", a.patchConfiguration)
	protected.HandleFunc("GET /configuration/history", a.history)
	protected.HandleFunc("GET /status", a.status)
	protected.HandleFunc("POST /drain", a.drain)
	protected.HandleFunc("POST /endpoints/{endpoint}/release", a.release)
	protected.HandleFunc("GET /metrics", a.metrics)
	public := http.NewServeMux()
	RegisterHealthChecks(public, a.Daemon.Ready)
	public.Handle("/", a.requireToken(protected))
	return public
}

// RegisterHealthChecks registers the health checks that the platform's load balancer and process supervisor call.
func RegisterHealthChecks(mux *http.ServeMux, ready func() bool) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
}

func (a *Administrator) requireToken(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(a.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, http.StatusUnauthorized, "the operators' token is required")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *Administrator) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	snapshot := a.Configuration.Snapshot()
	if snapshot == nil || snapshot.Version() == 0 {
		writeError(w, http.StatusNotFound, "no configuration is available yet")
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(snapshot.Version()), 10)))
	w.Header().Set("Content-Type", "application/json")
	w.Write(snapshot.Document().Encode())
}

func (a *Administrator) patchConfiguration(w http.ResponseWriter, r *http.Request) {
	base, err := baseVersion(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	patch, err := io.ReadAll(http.MaxBytesReader(w, r.Body, decoder.MaxBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "read patch: "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), patchTimeout)
	defer cancel()
	reply := a.Configuration.Patch(ctx, distributor.Patch{
		ID: distributor.PatchID(r.Header.Get(HeaderPatchID)), Base: base, Merge: patch,
		By: r.Header.Get(HeaderOperator), Retry: r.Header.Get(HeaderPatchRepeat) == "true",
	})
	writeJSON(w, patchStatus(reply.Result), reply)
}

func baseVersion(r *http.Request) (namer.ConfigVersion, error) {
	text, err := strconv.Unquote(r.Header.Get("If-Match"))
	if err != nil {
		return 0, errors.New("header If-Match is required: the quoted configuration version that the patch was written against")
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Errorf("If-Match %q is not a version", text)
	}
	return namer.ConfigVersion(version), nil
}

// history lists the most recently accepted patches in ascending order of their versions.
func (a *Administrator) history(w http.ResponseWriter, r *http.Request) {
	limit := DefaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > MaxHistoryLimit {
			writeError(w, http.StatusBadRequest, "limit "+strconv.Quote(text)+" is not an integer from 1 to "+strconv.Itoa(MaxHistoryLimit))
			return
		}
		limit = n
	}
	var after namer.ConfigVersion
	if snapshot := a.Configuration.Snapshot(); snapshot != nil && snapshot.Version() > namer.ConfigVersion(limit) {
		after = snapshot.Version() - namer.ConfigVersion(limit)
	}
	entries, err := a.Configuration.History(r.Context(), after, limit)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "read configuration history: "+err.Error())
		return
	}
	if entries == nil {
		entries = []distributor.Entry{}
	}
	writeJSON(w, http.StatusOK, entries)
}

func (a *Administrator) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.Daemon.Status())
}

func (a *Administrator) drain(w http.ResponseWriter, _ *http.Request) {
	a.Daemon.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (a *Administrator) release(w http.ResponseWriter, r *http.Request) {
	var endpoint namer.Endpoint
	if err := endpoint.UnmarshalText([]byte(r.PathValue("endpoint"))); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	var stopped namer.Process
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReleaseBodyBytes)).Decode(&stopped); err != nil {
		writeError(w, http.StatusBadRequest, "decode the stopped process from the request body: "+err.Error())
		return
	}
	if err := a.Daemon.Release(r.Context(), endpoint, stopped); err != nil {
		writeError(w, http.StatusConflict, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Administrator) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	a.Daemon.WriteMetrics(w)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, message string) {
	type problem struct {
		Message string `json:"message"`
	}
	writeJSON(w, status, struct {
		Error problem `json:"error"`
	}{problem{message}})
}
