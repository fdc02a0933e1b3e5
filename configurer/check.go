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

// Defaults for fields that a document leaves out.
const (
	DefaultDistance       = time.Millisecond      // one way inside a region
	DefaultRegionDistance = 40 * time.Millisecond // one way between regions
	DefaultMaxBody        = 4 << 20               // bytes; a prompt of 60,000 tokens is about 300 kB
	DefaultQueueLimit     = 256
	DefaultConcurrency    = 64
)

// Limits on a document. They are a few times the size that the system is designed for.
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

// Parse decodes and checks a document. The error is decoder.Faults.
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

// canonicalise writes token sums in one way, so that equal documents have equal encodings.
func (d *Document) canonicalise() {
	for name, caller := range d.Callers {
		caller.TokenSHA256 = strings.ToLower(caller.TokenSHA256)
		d.Callers[name] = caller
	}
}

// Check returns every fault of the document in a stable order.
func (d *Document) Check() decoder.Faults {
	c := checker{document: d}
	c.count("/callers", len(d.Callers), MaxCallers)
	c.count("/endpoints", len(d.Endpoints), MaxEndpoints)
	c.count("/services", len(d.Services), MaxServices)
	c.count("/models", len(d.Models), MaxModels)
	c.count("/data-centres", len(d.DataCentres), MaxDataCentres)
	each(d.DataCentres, func(name namer.DataCentre, dc DataCentre) { c.dataCentre("/data-centres/"+string(name), dc) })
	each(d.Models, func(name namer.Model, m Model) { c.model("/models/"+string(name), m) })
	each(d.Services, func(name namer.Service, s Service) { c.service("/services/"+string(name), s) })
	each(d.Callers, func(name namer.Caller, caller Caller) { c.caller("/callers/"+string(name), caller) })
	each(d.Endpoints, func(name namer.Endpoint, e Endpoint) { c.endpoint("/endpoints/"+string(name), e) })
	c.tokensUnique()
	return c.faults
}

// each visits a map in the order of its keys, so that faults come in a stable order.
func each[K ~string, V any](m map[K]V, visit func(K, V)) {
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

func (c *checker) count(path string, n, limit int) {
	c.require(n <= limit, path, n, "at most %d entries are allowed", limit)
}

func (c *checker) within(path string, n, low, high int) {
	c.require(n >= low && n <= high, path, n, "allowed are %d to %d", low, high)
}

func (c *checker) dataCentre(path string, dc DataCentre) {
	c.require(dc.Region != "", path+"/region", dc.Region, "a region is required")
	each(dc.Distances, func(to namer.DataCentre, d namer.Duration) {
		_, known := c.document.DataCentres[to]
		c.require(known, path+"/distances/"+string(to), to, "data centre does not exist")
		c.require(d >= 0 && d.Std() <= time.Second, path+"/distances/"+string(to), d, "allowed are 0s to 1s")
	})
}

func (c *checker) model(path string, m Model) {
	c.within(path+"/context", int(m.Context), 1, 10_000_000)
	c.within(path+"/kv-bytes", m.KVBytes, 0, 1<<30)
	c.require(m.Version != "", path+"/version", m.Version, "a version is required")
	c.require(len(m.Version) <= namer.MaxNameLength, path+"/version", m.Version, "at most %d characters are allowed", namer.MaxNameLength)
}

func (c *checker) service(path string, s Service) {
	switch s.Kind {
	case KindModel:
		c.require(len(s.Models) > 0, path+"/models", s.Models, "a service of kind %q offers at least one model", KindModel)
		c.require(len(s.NonIdempotent) == 0, path+"/non-idempotent", s.NonIdempotent, "only allowed for kind %q", KindPlain)
	case KindPlain:
		c.require(len(s.Models) == 0, path+"/models", s.Models, "only allowed for kind %q", KindModel)
	default:
		c.require(false, path+"/kind", s.Kind, "allowed are %q and %q", KindModel, KindPlain)
	}
	c.models(path, s.Models)
	c.require(s.Deadline > 0 && s.Deadline.Std() <= MaxDeadline, path+"/deadline", s.Deadline, "allowed are more than 0s to %s", MaxDeadline)
	c.require(s.MaxBody >= 0 && s.MaxBody <= MaxBodyLimit, path+"/max-body", s.MaxBody, "allowed are 0 to %d bytes", MaxBodyLimit)
	for i, pattern := range s.NonIdempotent {
		at := fmt.Sprintf("%s/non-idempotent/%d", path, i)
		c.require(pattern.Method != "" && pattern.Method == strings.ToUpper(pattern.Method), at+"/method", pattern.Method, "an HTTP method in capital letters or \"*\" is required")
		c.require(strings.HasPrefix(pattern.Path, "/"), at+"/path", pattern.Path, "a path starts with \"/\"")
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
	c.within(path, len(s.Ranks), 1, MaxRanks)
	orders := map[int]namer.Rank{}
	total := 0.0
	each(s.Ranks, func(name namer.Rank, r Rank) {
		at := path + "/" + string(name)
		other, taken := orders[r.Order]
		c.require(!taken, at+"/order", r.Order, "rank %q has the same order", other)
		orders[r.Order] = name
		c.within(at+"/order", r.Order, 0, MaxRanks-1)
		c.require(r.FirstToken > 0 && r.FirstToken.Std() <= MaxDeadline, at+"/first-token", r.FirstToken, "allowed are more than 0s to %s", MaxDeadline)
		c.require(r.BetweenTokens >= 0 && r.BetweenTokens.Std() <= time.Minute, at+"/between-tokens", r.BetweenTokens, "allowed are 0s to 1m")
		c.require(r.Share >= 0 && r.Share <= 1, at+"/share", r.Share, "allowed are 0 to 1")
		c.within(at+"/queue-limit", r.QueueLimit, 0, MaxQueueLimit)
		total += r.Share
	})
	c.require(total <= 1+1e-9, path, total, "the shares of all ranks add up to at most 1")
}

func (c *checker) caller(path string, caller Caller) {
	raw, err := hex.DecodeString(caller.TokenSHA256)
	c.require(err == nil && len(raw) == 32, path+"/token-sha256", caller.TokenSHA256, "64 hexadecimal digits are required")
	c.within(path+"/weight", caller.Weight, 0, MaxWeight)
	c.require(len(caller.Services) > 0, path+"/services", caller.Services, "at least one service is required")
	for i, name := range caller.Services {
		at := fmt.Sprintf("%s/services/%d", path, i)
		s, known := c.document.Services[name]
		c.require(known, at, name, "service does not exist")
		_, ranked := s.Ranks[caller.Rank]
		c.require(!known || ranked, path+"/rank", caller.Rank, "service %q has no such rank", name)
	}
}

// tokensUnique refuses two callers with one token, since a request could not be told apart.
func (c *checker) tokensUnique() {
	owners := make(map[string]namer.Caller, len(c.document.Callers))
	each(c.document.Callers, func(name namer.Caller, caller Caller) {
		token := strings.ToLower(caller.TokenSHA256)
		other, taken := owners[token]
		c.require(!taken, "/callers/"+string(name)+"/token-sha256", caller.TokenSHA256, "caller %q has the same token", other)
		owners[token] = name
	})
}

func (c *checker) endpoint(path string, e Endpoint) {
	s, known := c.document.Services[e.Service]
	c.require(known, path+"/service", e.Service, "service does not exist")
	_, placed := c.document.DataCentres[e.DataCentre]
	c.require(placed, path+"/data-centre", e.DataCentre, "data centre does not exist")
	c.require(e.Address.IsValid() && e.Address.Port() != 0, path+"/address", e.Address, "an IP address and a port are required")
	c.require(e.State == "" || e.State == StateActive || e.State == StateDraining, path+"/state", e.State, "allowed are %q and %q", StateActive, StateDraining)
	c.within(path+"/concurrency", e.Concurrency, 0, MaxConcurrency)
	c.require(e.PrefillRate >= 0, path+"/prefill-rate", e.PrefillRate, "a rate is not negative")
	c.require(e.DecodeRate >= 0, path+"/decode-rate", e.DecodeRate, "a rate is not negative")
	c.models(path, e.Models)
	if known && s.Kind == KindPlain {
		c.require(len(e.Models) == 0 && e.Role == "", path, e.Models, "models and role are only allowed for services of kind %q", KindModel)
	}
	if known && s.Kind == KindModel {
		c.require(len(e.Models) > 0, path+"/models", e.Models, "an engine has at least one model")
	}
}
