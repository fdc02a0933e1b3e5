package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"apricotspool/classifier"
)

// defaultRetryAfter is sent where a retry helps and nobody has worked out a better time.
const defaultRetryAfter = time.Second

// refusal is a final answer other than the endpoint's own.
type refusal struct {
	Outcome    classifier.Outcome
	Message    string
	RetryAfter time.Duration // 0 means defaultRetryAfter where the outcome allows a retry
}

// errorBody is OpenAI's error object with the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string               `json:"type"`
	Code    classifier.Outcome   `json:"code"`
	Message string               `json:"message"`
	Outcome classifier.Execution `json:"outcome"`
}

func (f refusal) body() errorBody {
	class := f.Outcome.Class()
	kind := "server_error"
	if class.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	if class.Status == http.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	return errorBody{errorDetail{Type: kind, Code: f.Outcome, Message: f.Message, Outcome: class.Execution}}
}

// refuse sends a refusal at once and counts it.
func (s *Server) refuse(w http.ResponseWriter, f refusal) {
	class := f.Outcome.Class()
	s.Metrics.Outcome(f.Outcome)
	s.Log.Info().Str("outcome", string(f.Outcome)).Str("request", w.Header().Get(HeaderRequestID)).Str("reason", f.Message).Msg("request-refused")
	header := w.Header()
	header.Set(HeaderOutcome, string(class.Execution))
	header.Set("Content-Type", "application/json")
	if class.Retry {
		after := f.RetryAfter
		if after == 0 {
			after = defaultRetryAfter
		}
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	w.WriteHeader(class.Status)
	json.NewEncoder(w).Encode(f.body())
}
