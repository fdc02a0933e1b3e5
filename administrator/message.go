package administrator

import (
	"net/http"
	"time"

	"apricotspool/decoder"
	"apricotspool/namer"
)

// PatchResult says what became of a patch.
type PatchResult string

// The results of a patch.
const (
	PatchApplied    PatchResult = "applied"
	PatchStale      PatchResult = "stale"       // written against an old version; nothing was applied
	PatchInvalid    PatchResult = "invalid"     // the patched document has faults; nothing was applied
	PatchNotApplied PatchResult = "not-applied" // the platform could not take it; nothing was applied
	PatchUnknown    PatchResult = "unknown"     // it may have been applied; ask again with the same patch id
)

func (r PatchResult) status() int {
	switch r {
	case PatchApplied:
		return http.StatusOK
	case PatchStale:
		return http.StatusPreconditionFailed
	case PatchInvalid:
		return http.StatusUnprocessableEntity
	case PatchNotApplied:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// PatchAnswer is the answer to a patch.
type PatchAnswer struct {
	Result PatchResult `json:"result"`
	// Version is the one that the patch became, or the current one.
	Version namer.ConfigVersion `json:"version"`
	Changes []string            `json:"changes,omitempty"` // for "stale": what changed since the patch's base
	Faults  decoder.Faults      `json:"faults,omitempty"`  // for "invalid"
	Message string              `json:"message,omitempty"`
}

// HistoryEntry is one accepted patch.
type HistoryEntry struct {
	Version namer.ConfigVersion `json:"version"`
	ID      string              `json:"id"`
	At      time.Time           `json:"at"`
	Patch   string              `json:"patch"`
}

// Status is what a daemon knows.
type Status struct {
	Host          namer.Host          `json:"host"`
	DataCentre    namer.DataCentre    `json:"data-centre"`
	Version       string              `json:"version"`
	State         string              `json:"state"` // "starting", "ready" or "draining"
	Configuration namer.ConfigVersion `json:"configuration"`
	Requests      int                 `json:"requests"` // accepted and not finished
	Authority     bool                `json:"authority"`
	Peers         []PeerStatus        `json:"peers"`
	Endpoints     []EndpointStatus    `json:"endpoints"`
}

// PeerStatus is another daemon as this one knows it.
type PeerStatus struct {
	Host          namer.Host          `json:"host"`
	DataCentre    namer.DataCentre    `json:"data-centre"`
	State         string              `json:"state"`
	Configuration namer.ConfigVersion `json:"configuration"`
	Heard         namer.Duration      `json:"heard"` // since its last heartbeat
}

// EndpointStatus is an endpoint as this daemon knows it.
type EndpointStatus struct {
	Name       namer.Endpoint   `json:"name"`
	Service    namer.Service    `json:"service"`
	DataCentre namer.DataCentre `json:"data-centre"`
	State      string           `json:"state"` // "active", "draining" or "leaving"
	Role       namer.Role       `json:"role,omitempty"`
	Running    int              `json:"running"`
	Waiting    int              `json:"waiting"`
	ReportAge  namer.Duration   `json:"report-age"`
}
