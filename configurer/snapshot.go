package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"
	"time"

	"apricotspool/namer"
)

// TokenSum is the SHA-256 of a caller's bearer token.
type TokenSum [sha256.Size]byte

// SumToken returns the sum under which the configuration lists a token.
func SumToken(token string) TokenSum { return sha256.Sum256([]byte(token)) }

// Snapshot is one version of the configuration with its indexes. It is never changed after it was
// built, so that any number of goroutines read it without locks. What its methods return is shared
// and must not be changed either.
type Snapshot struct {
	version   namer.ConfigVersion
	document  *Document
	digest    Digest
	callers   map[TokenSum]namer.Caller
	endpoints map[namer.Service][]namer.Endpoint
	engines   map[modelOf][]namer.Endpoint
}

type modelOf struct {
	service namer.Service
	model   namer.Model
}

// NewSnapshot builds the indexes of a document that passed Check. The snapshot owns the document.
func NewSnapshot(version namer.ConfigVersion, document *Document) *Snapshot {
	s := &Snapshot{
		version:   version,
		document:  document,
		digest:    DigestOf(document.Encode()),
		callers:   make(map[TokenSum]namer.Caller, len(document.Callers)),
		endpoints: make(map[namer.Service][]namer.Endpoint, len(document.Services)),
		engines:   map[modelOf][]namer.Endpoint{},
	}
	for name, caller := range document.Callers {
		var sum TokenSum
		hex.Decode(sum[:], []byte(caller.TokenSHA256)) // Check has verified the form
		s.callers[sum] = name
	}
	each(document.Endpoints, func(name namer.Endpoint, e Endpoint) {
		s.endpoints[e.Service] = append(s.endpoints[e.Service], name)
		for _, model := range e.Models {
			key := modelOf{e.Service, model}
			s.engines[key] = append(s.engines[key], name)
		}
	})
	return s
}

// Version returns the version of the configuration.
func (s *Snapshot) Version() namer.ConfigVersion { return s.version }

// Document returns the document.
func (s *Snapshot) Document() *Document { return s.document }

// Digest returns the digest of the document.
func (s *Snapshot) Digest() Digest { return s.digest }

// Caller returns the caller that a token belongs to.
func (s *Snapshot) Caller(sum TokenSum) (namer.Caller, Caller, bool) {
	name, ok := s.callers[sum]
	return name, s.document.Callers[name], ok
}

// Endpoints returns the endpoints of a service in the order of their names.
func (s *Snapshot) Endpoints(service namer.Service) []namer.Endpoint { return s.endpoints[service] }

// Engines returns the endpoints of a service that have a model, in the order of their names.
func (s *Snapshot) Engines(service namer.Service, model namer.Model) []namer.Endpoint {
	return s.engines[modelOf{service, model}]
}

// Models returns the models that a service offers.
func (s *Snapshot) Models(service namer.Service) []namer.Model {
	return s.document.Services[service].Models
}

// Offers reports whether a service offers a model.
func (s *Snapshot) Offers(service namer.Service, model namer.Model) bool {
	return slices.Contains(s.Models(service), model)
}

// NonIdempotent reports whether a call of a plain service must not be repeated. A path with "//",
// "/./" or "/../" is also compared in its clean form, since the service may treat both alike.
func (s *Snapshot) NonIdempotent(service namer.Service, method, at string) bool {
	clean := path.Clean("/" + at)
	if strings.HasSuffix(at, "/") && clean != "/" {
		clean += "/"
	}
	for _, pattern := range s.document.Services[service].NonIdempotent {
		if pattern.matches(method, at) || pattern.matches(method, clean) {
			return true
		}
	}
	return false
}

func (p CallPattern) matches(method, at string) bool {
	if p.Method != "*" && p.Method != method {
		return false
	}
	return at == p.Path || (strings.HasSuffix(p.Path, "/") && strings.HasPrefix(at, p.Path))
}

// Distance returns the one-way network delay between two data centres.
func (s *Snapshot) Distance(from, to namer.DataCentre) time.Duration {
	if from == to {
		return 0
	}
	a, b := s.document.DataCentres[from], s.document.DataCentres[to]
	if d, ok := a.Distances[to]; ok {
		return d.Std()
	}
	if d, ok := b.Distances[from]; ok {
		return d.Std()
	}
	if a.Region == b.Region {
		return DefaultDistance
	}
	return DefaultRegionDistance
}
