// Package namer defines the types for identifiers and units that all other packages share. Values are
// validated when they are decoded. The package owns no state.
package namer

import (
	"regexp"

	"github.com/pkg/errors"
)

// MaxNameLength bounds the length of every name, so that names fit in metric labels and object keys.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Names of the entities that the configuration and the settings describe.
type (
	// Host names a machine that runs a daemon.
	Host string
	// DataCentre names a zone: a failure domain of hosts and endpoints that partition together.
	DataCentre string
	// Region names a group of data centres with about a millisecond of latency between them.
	Region string
	// Caller names a workspace that sends requests.
	Caller string
	// Service names a set of endpoints with their models, ranks and latency targets.
	Service string
	// Model names a language model.
	Model string
	// Endpoint names a back end: a model engine or an instance of a plain service.
	Endpoint string
	// Build is the software version of an endpoint. Builds have no order.
	Build string
	// Rank names a priority class with its own latency targets and capacity share.
	Rank string
)

func checkName(kind string, text []byte) error {
	if len(text) > MaxNameLength {
		return errors.Errorf("%s name has %d bytes; at most %d are allowed", kind, len(text), MaxNameLength)
	}
	if !namePattern.Match(text) {
		return errors.Errorf("invalid %s name %q; it must start with a letter or digit and contain only letters, digits, '.', '_' and '-'", kind, text)
	}
	return nil
}

func decodeName[T ~string](kind string, text []byte, target *T) error {
	if err := checkName(kind, text); err != nil {
		return err
	}
	*target = T(text)
	return nil
}

// UnmarshalText validates and sets the name.
func (h *Host) UnmarshalText(text []byte) error { return decodeName("host", text, h) }

// UnmarshalText validates and sets the name.
func (d *DataCentre) UnmarshalText(text []byte) error { return decodeName("data centre", text, d) }

// UnmarshalText validates and sets the name.
func (r *Region) UnmarshalText(text []byte) error { return decodeName("region", text, r) }

// UnmarshalText validates and sets the name.
func (c *Caller) UnmarshalText(text []byte) error { return decodeName("caller", text, c) }

// UnmarshalText validates and sets the name.
func (s *Service) UnmarshalText(text []byte) error { return decodeName("service", text, s) }

// UnmarshalText validates and sets the name.
func (m *Model) UnmarshalText(text []byte) error { return decodeName("model", text, m) }

// UnmarshalText validates and sets the name.
func (e *Endpoint) UnmarshalText(text []byte) error { return decodeName("endpoint", text, e) }

// UnmarshalText validates and sets the name.
func (r *Rank) UnmarshalText(text []byte) error { return decodeName("rank", text, r) }

// Route names a rule that matches requests and assigns them a service.
type Route string

// UnmarshalText validates and sets the name.
func (r *Route) UnmarshalText(text []byte) error { return decodeName("route", text, r) }
