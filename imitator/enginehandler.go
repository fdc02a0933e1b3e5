package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/pkg/errors"

	"apricotspool/generator"
	"apricotspool/namer"
)

// maxEngineBody exceeds the largest body limit that can be configured for the daemon.
const maxEngineBody = 65 << 20

// EngineHandler serves an Engine over the HTTP protocol of generator.Client.
type EngineHandler struct {
	Engine *Engine
	// Distort, if set, replaces each outgoing chunk. Tests use it to send misrouted, late and duplicate
	// chunks.
	Distort func(generator.Chunk) []generator.Chunk
}

func (h *EngineHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/chat/completions", "POST /v1/completions":
		h.generate(w, r)
	case "GET /load":
		respond(w)(h.Engine.Load(r.Context(), generator.Target{}))
	case "GET /state":
		respond(w)(h.Engine.State(r.Context(), generator.Target{}))
	case "GET /cache":
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		respond(w)(h.Engine.Cache(after), nil)
	case "POST /control/commands":
		h.command(w, r)
	default:
		mux := http.NewServeMux()
		mux.HandleFunc("DELETE /v1/streams/{stream}", h.cancel)
		mux.ServeHTTP(w, r)
	}
}

func respond(w http.ResponseWriter) func(value any, err error) {
	return func(value any, err error) {
		if err != nil {
			writeEngineError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(value)
	}
}

func (h *EngineHandler) command(w http.ResponseWriter, r *http.Request) {
	var command generator.Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineBody)).Decode(&command); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := h.Engine.Command(r.Context(), generator.Target{}, command); err != nil {
		writeEngineError(w, err)
	}
}

func (h *EngineHandler) cancel(w http.ResponseWriter, r *http.Request) {
	cancel := h.Engine.Cancel
	if r.Header.Get(generator.HeaderIfUnread) != "" {
		cancel = h.Engine.Abandon
	}
	cancel(r.Context(), generator.Target{}, namer.StreamID(r.PathValue("stream")))
	w.WriteHeader(http.StatusNoContent)
}

func (h *EngineHandler) generate(w http.ResponseWriter, r *http.Request) {
	call, err := readCall(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// The stream outlives the connection; the end of the request's context detaches only this reader.
	stream, err := h.Engine.Generate(r.Context(), generator.Target{}, call)
	if err != nil {
		writeEngineError(w, err)
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(generator.HeaderStream, string(call.Stream))
	w.Header().Set(generator.HeaderAttempt, strconv.Itoa(int(stream.Attempt())))
	flusher := http.NewResponseController(w)
	flusher.Flush()
	for {
		chunk, err := stream.Next()
		if err != nil {
			panic(http.ErrAbortHandler) // closes the connection, so that the client does not take the response for complete
		}
		if h.write(w, chunk) != nil || flusher.Flush() != nil || chunk.Done {
			return
		}
	}
}

func (h *EngineHandler) write(w io.Writer, chunk generator.Chunk) error {
	chunks := [...]generator.Chunk{chunk}
	all := chunks[:]
	if h.Distort != nil {
		all = h.Distort(chunk)
	}
	var event []byte
	for _, c := range all {
		event = appendEvent(event, c)
	}
	_, err := w.Write(event)
	return err
}

func appendEvent(to []byte, chunk generator.Chunk) []byte {
	if chunk.Done {
		return append(to, "data: [DONE]\n\n"...)
	}
	to = append(to, "id: "...)
	to = generator.AppendEventID(to, chunk.Attempt, chunk.Index)
	to = append(to, "\ndata: "...)
	to = append(to, chunk.Data...)
	return append(to, "\n\n"...)
}

func readCall(w http.ResponseWriter, r *http.Request) (generator.Call, error) {
	header := r.Header
	call := generator.Call{
		Operation:   generator.Operation(r.URL.Path),
		PrefillOnly: header.Get(generator.HeaderPrefillOnly) != "",
		Resume:      header.Get(generator.HeaderResumeOnly) != "",
	}
	if err := call.Stream.UnmarshalText([]byte(header.Get(generator.HeaderStream))); err != nil {
		return call, err
	}
	var attempt int
	for name, target := range map[string]*int{
		generator.HeaderAttempt: &attempt, generator.HeaderPriority: &call.Priority, generator.HeaderFrom: &call.From,
	} {
		n, err := strconv.Atoi(header.Get(name))
		if err != nil || n < 0 {
			return call, errors.Errorf("header %s: %q is not a non-negative integer", name, header.Get(name))
		}
		*target = n
	}
	call.Attempt = namer.Attempt(attempt)
	if source := header.Get(generator.HeaderImportFrom); source != "" {
		address, err := netip.ParseAddrPort(source)
		if err != nil {
			return call, errors.Wrap(err, generator.HeaderImportFrom)
		}
		call.ImportFrom = address
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEngineBody))
	if err != nil {
		return call, err
	}
	call.Body = body
	return call, nil
}

func writeEngineError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, generator.ErrRefused), errors.Is(err, generator.ErrNotStarted):
		status = http.StatusServiceUnavailable
	case errors.Is(err, generator.ErrRejected):
		status = http.StatusBadRequest
	case errors.Is(err, generator.ErrNoStream):
		status = http.StatusNotFound
	case errors.Is(err, generator.ErrFenced):
		status = http.StatusConflict
	}
	http.Error(w, err.Error(), status)
}
