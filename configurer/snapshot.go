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

// TokenHash is the SHA-256 of a caller's bearer token.
type TokenHash [sha256.Size]byte

// HashToken returns the hash by which the configuration identifies a token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Snapshot is one version of the configuration with its indexes. It is immutable, so that goroutines can
// read it without locks. The values that its methods return are shared and must not be modified.
type Snapshot struct {
	version   namer.ConfigVersion
	document  *Document
	digest    Digest
	callers   map[TokenHash]namer.Caller
	endpoints map[namer.Service][]namer.Endpoint
	engines   map[serviceModel][]namer.Endpoint
}

type serviceModel struct {
	service namer.Service
	model   namer.Model
}

// NewSnapshot indexes a document that passed Check. The snapshot takes ownership of the document.
func NewSnapshot(version namer.ConfigVersion, document *Document) *Snapshot {
	s := &Snapshot{
		version:   version,
		document:  document,
		digest:    DigestOf(document.Encode()),
		callers:   make(map[TokenHash]namer.Caller, len(document.Callers)),
		endpoints: make(map[namer.Service][]namer.Endpoint, len(document.Services)),
		engines:   map[serviceModel][]namer.Endpoint{},
	}
	for name, caller := range document.Callers {
		var hash TokenHash
		hex.Decode(hash[:], []byte(caller.TokenSHA256)) // Check has verified the format
		s.callers[hash] = name
	}
	forEachSorted(document.Endpoints, func(name namer.Endpoint, e Endpoint) {
		s.endpoints[e.Service] = append(s.endpoints[e.Service], name)
		for _, model := range e.Models {
			key := serviceModel{e.Service, model}
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

// Caller returns the caller with the given token hash.
func (s *Snapshot) Caller(hash TokenHash) (namer.Caller, Caller, bool) {
	name, ok := s.callers[hash]
	return name, s.document.Callers[name], ok
}

// Endpoints returns the endpoints of a service, sorted by name.
func (s *Snapshot) Endpoints(service namer.Service) []namer.Endpoint { return s.endpoints[service] }

// Engines returns the endpoints of a service that have a model, sorted by name.
func (s *Snapshot) Engines(service namer.Service, model namer.Model) []namer.Endpoint {
	return s.engines[serviceModel{service, model}]
}

// Models returns the models that a service offers.
func (s *Snapshot) Models(service namer.Service) []namer.Model {
	return s.document.Services[service].Models
}

// Offers reports whether a service offers a model.
func (s *Snapshot) Offers(service namer.Service, model namer.Model) bool {
	return slices.Contains(s.Models(service), model)
}

// NonIdempotent reports whether a call of a plain service must not be retried. A path with "//", "/./" or
// "/../" is also matched in its cleaned form, since the service may treat both as the same path.
func (s *Snapshot) NonIdempotent(service namer.Service, method, callPath string) bool {
	cleaned := path.Clean("/" + callPath)
	if strings.HasSuffix(callPath, "/") && cleaned != "/" {
		cleaned += "/"
	}
	for _, pattern := range s.document.Services[service].NonIdempotent {
		if pattern.matches(method, callPath) || pattern.matches(method, cleaned) {
			return true
		}
	}
	return false
}

func (p CallPattern) matches(method, callPath string) bool {
	if p.Method != "*" && p.Method != method {
		return false
	}
	return callPath == p.Path || (strings.HasSuffix(p.Path, "/") && strings.HasPrefix(callPath, p.Path))
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
