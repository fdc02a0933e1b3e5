package loader

import (
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"apricotspool/decoder"
	"apricotspool/namer"
)

// Defaults of settings that a file leaves out.
const (
	DefaultDrainNotice   = 5 * time.Second
	DefaultDrainLimit    = time.Hour
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 10 * time.Second
	DefaultBodyTimeout   = time.Minute
	DefaultRequests      = 20_000
)

// Limits on settings.
const (
	MaxSeeds       = 1_000
	MaxHeaderBytes = 1 << 20
	MaxRequests    = 1_000_000
	MaxTimeout     = 24 * time.Hour

	// MinSigningKeyBytes is the output size of SHA-256; a shorter key weakens the signature.
	MinSigningKeyBytes = 32
)

// Check returns every fault of the settings.
func (s *Settings) Check() decoder.Faults {
	c := checker{}
	c.require(s.Host != "", "/host", s.Host, "a host name is required")
	c.require(s.DataCentre != "", "/data-centre", s.DataCentre, "a data centre is required")
	c.listener("/callers", s.Callers)
	c.listener("/operators", s.Operators)
	c.listener("/peers", s.Peers)
	c.token(s)
	c.addressesDiffer(s)
	c.require(len(s.Seeds) <= MaxSeeds, "/seeds", len(s.Seeds), "at most %d are allowed", MaxSeeds)
	for i, seed := range s.Seeds {
		c.address("/seeds/"+strconv.Itoa(i), seed)
	}
	c.address("/platform/object-api", s.Platform.ObjectAPI)
	c.file("/platform/token-file", s.Platform.TokenFile)
	c.signingKeys(s.SigningKeyFiles)
	c.limits(s)
	_, err := zerolog.ParseLevel(s.LogLevel)
	c.require(err == nil, "/log-level", s.LogLevel, "allowed are \"debug\", \"info\", \"warn\" and \"error\"")
	return c.faults
}

type checker struct{ faults decoder.Faults }

func (c *checker) require(ok bool, path string, value any, problem string, args ...any) {
	if !ok {
		c.faults.Addf(path, value, problem, args...)
	}
}

func (c *checker) address(path string, a netip.AddrPort) {
	c.require(a.IsValid() && a.Port() != 0, path, a, "an IP address and a port are required")
}

func (c *checker) file(path, name string) {
	if name == "" {
		return
	}
	_, err := os.Stat(name)
	c.require(err == nil, path, name, "the file can't be read: %v", err)
}

func (c *checker) listener(path string, l Listener) {
	c.address(path+"/address", l.Address)
	if !l.TLS.Enabled() {
		return
	}
	c.require(l.TLS.CertificateFile != "", path+"/tls/certificate-file", "", "a certificate file is required with TLS")
	c.require(l.TLS.KeyFile != "", path+"/tls/key-file", "", "a key file is required with TLS")
	c.file(path+"/tls/certificate-file", l.TLS.CertificateFile)
	c.file(path+"/tls/key-file", l.TLS.KeyFile)
	c.file(path+"/tls/client-authority-file", l.TLS.ClientAuthorityFile)
}

func (c *checker) token(s *Settings) {
	c.require(s.Operators.TokenFile != "", "/operators/token-file", "", "a token file is required")
	c.file("/operators/token-file", s.Operators.TokenFile)
	c.require(s.Callers.TokenFile == "", "/callers/token-file", s.Callers.TokenFile, "not allowed; callers' tokens are in the configuration")
	c.require(s.Peers.TokenFile == "", "/peers/token-file", s.Peers.TokenFile, "not allowed; peers use client certificates")
	if s.Peers.TLS.Enabled() {
		c.require(s.Peers.TLS.ClientAuthorityFile != "", "/peers/tls/client-authority-file", "", "required, since TLS between daemons is mutual")
	}
}

func (c *checker) addressesDiffer(s *Settings) {
	c.require(s.Operators.Address != s.Callers.Address, "/operators/address", s.Operators.Address, "differs from /callers/address")
	c.require(s.Peers.Address != s.Callers.Address && s.Peers.Address != s.Operators.Address, "/peers/address", s.Peers.Address, "differs from the other listeners")
}

func (c *checker) signingKeys(files []string) {
	c.require(len(files) > 0, "/signing-key-files", files, "at least one file is required")
	for i, name := range files {
		path := "/signing-key-files/" + strconv.Itoa(i)
		text, err := os.ReadFile(name)
		c.require(err == nil, path, name, "the file can't be read: %v", err)
		c.require(err != nil || len(strings.TrimSpace(string(text))) >= MinSigningKeyBytes, path, name, "the file holds at least %d bytes", MinSigningKeyBytes)
	}
}

func (c *checker) limits(s *Settings) {
	c.timeout("/drain/notice", s.Drain.Notice)
	c.timeout("/drain/limit", s.Drain.Limit)
	c.timeout("/limits/header-timeout", s.Limits.HeaderTimeout)
	c.timeout("/limits/body-timeout", s.Limits.BodyTimeout)
	c.require(s.Limits.HeaderBytes >= 0 && s.Limits.HeaderBytes <= MaxHeaderBytes, "/limits/header-bytes", s.Limits.HeaderBytes, "allowed are 0 to %d", MaxHeaderBytes)
	c.require(s.Limits.Requests >= 0 && s.Limits.Requests <= MaxRequests, "/limits/requests", s.Limits.Requests, "allowed are 0 to %d", MaxRequests)
}

func (c *checker) timeout(path string, d namer.Duration) {
	c.require(d >= 0 && d.Std() <= MaxTimeout, path, d, "allowed are 0s to %s", MaxTimeout)
}

// SetDefaults fills in the fields that were left out. Parse calls it.
func (s *Settings) SetDefaults() {
	setDefault(&s.Drain.Notice, namer.Duration(DefaultDrainNotice))
	setDefault(&s.Drain.Limit, namer.Duration(DefaultDrainLimit))
	setDefault(&s.Limits.HeaderBytes, DefaultHeaderBytes)
	setDefault(&s.Limits.HeaderTimeout, namer.Duration(DefaultHeaderTimeout))
	setDefault(&s.Limits.BodyTimeout, namer.Duration(DefaultBodyTimeout))
	setDefault(&s.Limits.Requests, DefaultRequests)
	setDefault(&s.LogLevel, zerolog.LevelInfoValue)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
