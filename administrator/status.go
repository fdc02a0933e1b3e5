package administrator

import (
	"net/http"

	"apricotspool/distributor"
	"apricotspool/namer"
)

// patchStatus maps the result of a patch to an HTTP status.
func patchStatus(r distributor.Result) int {
	switch r {
	case distributor.Applied:
		return http.StatusOK
	case distributor.Stale:
		return http.StatusPreconditionFailed
	case distributor.Invalid:
		return http.StatusUnprocessableEntity
	case distributor.NotApplied:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// Status is a daemon's own state and its view of peers and endpoints.
type Status struct {
	Host          namer.Host          `json:"host"`
	DataCentre    namer.DataCentre    `json:"data-centre"`
	Version       string              `json:"version"`
	State         string              `json:"state"` // "starting", "ready" or "draining"
	Configuration namer.ConfigVersion `json:"configuration"`
	Requests      int                 `json:"requests"` // in-flight requests
	Authority     bool                `json:"authority"`
	Peers         []PeerStatus        `json:"peers"`
	Endpoints     []EndpointStatus    `json:"endpoints"`
}

// PeerStatus is this daemon's view of another daemon.
type PeerStatus struct {
	Host          namer.Host          `json:"host"`
	DataCentre    namer.DataCentre    `json:"data-centre"`
	State         string              `json:"state"`
	Configuration namer.ConfigVersion `json:"configuration"`
}

// EndpointStatus is this daemon's view of an endpoint.
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
