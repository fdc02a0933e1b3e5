package configurer

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"apricotspool/decoder"
	"apricotspool/namer"
)

// Defaults for fields that a document omits.
const (
	DefaultDistance       = time.Millisecond      // one-way, within a region
	DefaultRegionDistance = 40 * time.Millisecond // one-way, between regions
	DefaultMaxBody        = 4 << 20               // bytes; a prompt of 60,000 tokens is about 300 kB
	DefaultQueueLimit     = 256
	DefaultConcurrency    = 64
)

// Limits of a document, a few times the size that the system is designed for.
const (
	MaxCallers     = 10_000
	MaxEndpoints   = 5_000
	MaxServices    = 200
	MaxModels      = 200
	MaxDataCentres = 100
	MaxRanks       = 8
	MaxDeadline    = time.Hour
	MaxQueueLimit  = 100_000
	MaxConcurrency = 100_000
	MaxBodyLimit   = 64 << 20
	MaxWeight      = 1_000
)

// Parse decodes and validates a document. The error is a decoder.Faults.
func Parse(data []byte) (*Document, error) {
	document := &Document{}
	faults := decoder.Decode(data, document)
	if len(faults) > 0 {
		return nil, faults
	}
	if err := document.Check().Err(); err != nil {
		return nil, err
	}
	document.canonicalise()
	return document, nil
}

// canonicalise converts token hashes to lower case, so that equal documents have equal encodings.
func (d *Document) canonicalise() {
	for name, caller := range d.Callers {
		caller.TokenSHA256 = strings.ToLower(caller.TokenSHA256)
		d.Callers[name] = caller
	}
}

// Check returns all faults of the document in a stable order.
func (d *Document) Check() decoder.Faults {
	c := checker{document: d}
	c.maxEntries("/callers", len(d.Callers), MaxCallers)
	c.maxEntries("/endpoints", len(d.Endpoints), MaxEndpoints)
	c.maxEntries("/services", len(d.Services), MaxServices)
	c.maxEntries("/models", len(d.Models), MaxModels)
	c.maxEntries("/data-centres", len(d.DataCentres), MaxDataCentres)
	forEachSorted(d.DataCentres, func(name namer.DataCentre, dc DataCentre) { c.dataCentre("/data-centres/"+string(name), dc) })
	forEachSorted(d.Models, func(name namer.Model, m Model) { c.model("/models/"+string(name), m) })
	forEachSorted(d.Services, func(name namer.Service, s Service) { c.service("/services/"+string(name), s) })
	forEachSorted(d.Callers, func(name namer.Caller, caller Caller) { c.caller("/callers/"+string(name), caller) })
	forEachSorted(d.Endpoints, func(name namer.Endpoint, e Endpoint) { c.endpoint("/endpoints/"+string(name), e) })
	c.uniqueTokens()
	return c.faults
}

// forEachSorted visits the entries of a map in key order, so that faults are reported in a stable order.
func forEachSorted[K ~string, V any](m map[K]V, visit func(K, V)) {
	for _, key := range slices.Sorted(maps.Keys(m)) {
		visit(key, m[key])
	}
}

type checker struct {
	document *Document
	faults   decoder.Faults
}

func (c *checker) require(ok bool, path string, value any, problem string, args ...any) {
	if !ok {
		c.faults.Addf(path, value, problem, args...)
	}
}

func (c *checker) maxEntries(path string, n, limit int) {
	c.require(n <= limit, path, n, "at most %d entries are allowed", limit)
}

func (c *checker) inRange(path string, n, low, high int) {
	c.require(n >= low && n <= high, path, n, "must be between %d and %d", low, high)
}

func (c *checker) dataCentre(path string, dc DataCentre) {
	c.require(dc.Region != "", path+"/region", dc.Region, "a region is required")
	forEachSorted(dc.Distances, func(to namer.DataCentre, d namer.Duration) {
		_, known := c.document.DataCentres[to]
		c.require(known, path+"/distances/"+string(to), to, "data centre does not exist")
		c.require(d >= 0 && d.Std() <= time.Second, path+"/distances/"+string(to), d, "must be between 0s and 1s")
	})
}

func (c *checker) model(path string, m Model) {
	c.inRange(path+"/context", int(m.Context), 1, 10_000_000)
	c.inRange(path+"/kv-bytes", m.KVBytes, 0, 1<<30)
	c.require(m.Version != "", path+"/version", m.Version, "a version is required")
	c.require(len(m.Version) <= namer.MaxNameLength, path+"/version", m.Version, "at most %d characters are allowed", namer.MaxNameLength)
}

func (c *checker) service(path string, s Service) {
	switch s.Kind {
	case KindModel:
		c.require(len(s.Models) > 0, path+"/models", s.Models, "a service of kind %q must offer at least one model", KindModel)
		c.require(len(s.NonIdempotent) == 0, path+"/non-idempotent", s.NonIdempotent, "only allowed for services of kind %q", KindPlain)
	case KindPlain:
		c.require(len(s.Models) == 0, path+"/models", s.Models, "only allowed for services of kind %q", KindModel)
	default:
		c.require(false, path+"/kind", s.Kind, "must be %q or %q", KindModel, KindPlain)
	}
	c.models(path, s.Models)
	c.require(s.Deadline > 0 && s.Deadline.Std() <= MaxDeadline, path+"/deadline", s.Deadline, "must be greater than 0s and at most %s", MaxDeadline)
	c.require(s.MaxBody >= 0 && s.MaxBody <= MaxBodyLimit, path+"/max-body", s.MaxBody, "must be between 0 and %d bytes", MaxBodyLimit)
	for i, pattern := range s.NonIdempotent {
		at := fmt.Sprintf("%s/non-idempotent/%d", path, i)
		c.require(pattern.Method != "" && pattern.Method == strings.ToUpper(pattern.Method), at+"/method", pattern.Method, "must be an HTTP method in upper case or \"*\"")
		c.require(strings.HasPrefix(pattern.Path, "/"), at+"/path", pattern.Path, "must start with \"/\"")
	}
	c.ranks(path+"/ranks", s)
}

func (c *checker) models(path string, models []namer.Model) {
	for i, m := range models {
		_, known := c.document.Models[m]
		c.require(known, fmt.Sprintf("%s/models/%d", path, i), m, "model does not exist")
	}
}

func (c *checker) ranks(path string, s Service) {
	c.inRange(path, len(s.Ranks), 1, MaxRanks)
	orders := map[int]namer.Rank{}
	total := 0.0
	forEachSorted(s.Ranks, func(name namer.Rank, r Rank) {
		at := path + "/" + string(name)
		other, taken := orders[r.Order]
		c.require(!taken, at+"/order", r.Order, "rank %q has the same order", other)
		orders[r.Order] = name
		c.inRange(at+"/order", r.Order, 0, MaxRanks-1)
		c.require(r.FirstToken > 0 && r.FirstToken.Std() <= MaxDeadline, at+"/first-token", r.FirstToken, "must be greater than 0s and at most %s", MaxDeadline)
		c.require(r.BetweenTokens >= 0 && r.BetweenTokens.Std() <= time.Minute, at+"/between-tokens", r.BetweenTokens, "must be between 0s and 1m")
		c.require(r.Share >= 0 && r.Share <= 1, at+"/share", r.Share, "must be between 0 and 1")
		c.inRange(at+"/queue-limit", r.QueueLimit, 0, MaxQueueLimit)
		total += r.Share
	})
	c.require(total <= 1+1e-9, path, total, "the sum of the shares of all ranks must be at most 1")
}

func (c *checker) caller(path string, caller Caller) {
	raw, err := hex.DecodeString(caller.TokenSHA256)
	c.require(err == nil && len(raw) == 32, path+"/token-sha256", caller.TokenSHA256, "must have 64 hexadecimal digits")
	c.inRange(path+"/weight", caller.Weight, 0, MaxWeight)
	c.require(len(caller.Services) > 0, path+"/services", caller.Services, "at least one service is required")
	for i, name := range caller.Services {
		at := fmt.Sprintf("%s/services/%d", path, i)
		s, known := c.document.Services[name]
		c.require(known, at, name, "service does not exist")
		_, hasRank := s.Ranks[caller.Rank]
		c.require(!known || hasRank, path+"/rank", caller.Rank, "service %q has no such rank", name)
	}
}

// uniqueTokens rejects callers that share a token, since their requests could not be told apart.
func (c *checker) uniqueTokens() {
	owners := make(map[string]namer.Caller, len(c.document.Callers))
	forEachSorted(c.document.Callers, func(name namer.Caller, caller Caller) {
		token := strings.ToLower(caller.TokenSHA256)
		other, taken := owners[token]
		c.require(!taken, "/callers/"+string(name)+"/token-sha256", caller.TokenSHA256, "caller %q has the same token", other)
		owners[token] = name
	})
}

func (c *checker) endpoint(path string, e Endpoint) {
	s, known := c.document.Services[e.Service]
	c.require(known, path+"/service", e.Service, "service does not exist")
	_, dataCentreKnown := c.document.DataCentres[e.DataCentre]
	c.require(dataCentreKnown, path+"/data-centre", e.DataCentre, "data centre does not exist")
	c.require(e.Address.IsValid() && e.Address.Port() != 0, path+"/address", e.Address, "must be an IP address and a port")
	c.require(e.State == "" || e.State == StateActive || e.State == StateDraining, path+"/state", e.State, "must be %q or %q", StateActive, StateDraining)
	c.inRange(path+"/concurrency", e.Concurrency, 0, MaxConcurrency)
	c.require(e.PrefillRate >= 0, path+"/prefill-rate", e.PrefillRate, "must not be negative")
	c.require(e.DecodeRate >= 0, path+"/decode-rate", e.DecodeRate, "must not be negative")
	c.models(path, e.Models)
	if known && s.Kind == KindPlain {
		c.require(len(e.Models) == 0 && e.Role == "", path, e.Models, "models and role are only allowed for services of kind %q", KindModel)
	}
	if known && s.Kind == KindModel {
		c.require(len(e.Models) > 0, path+"/models", e.Models, "an engine must have at least one model")
	}
}
