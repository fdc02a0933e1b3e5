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

// Defaults of settings that are not in the file.
const (
	DefaultDrainNotice   = 5 * time.Second
	DefaultDrainLimit    = time.Hour
	DefaultHeaderBytes   = 64 << 10
	DefaultHeaderTimeout = 10 * time.Second
	DefaultBodyTimeout   = time.Minute
	DefaultRequests      = 20_000
)

// Limits of settings.
const (
	MaxSeeds       = 1_000
	MaxHeaderBytes = 1 << 20
	MaxRequests    = 1_000_000
	MaxTimeout     = 24 * time.Hour

	// MinSigningKeyBytes is the output size of SHA-256; shorter keys weaken the signature.
	MinSigningKeyBytes = 32
)

// Check returns all faults of the settings.
func (s *Settings) Check() decoder.Faults {
	v := validator{}
	v.require(s.Host != "", "/host", s.Host, "a host name is required")
	v.require(s.DataCentre != "", "/data-centre", s.DataCentre, "a data centre is required")
	v.listener("/callers", s.Callers)
	v.listener("/operators", s.Operators)
	v.listener("/peers", s.Peers)
	v.authentication(s)
	v.distinctAddresses(s)
	v.require(len(s.Seeds) <= MaxSeeds, "/seeds", len(s.Seeds), "at most %d are allowed", MaxSeeds)
	for i, seed := range s.Seeds {
		v.address("/seeds/"+strconv.Itoa(i), seed)
	}
	v.address("/platform/object-api", s.Platform.ObjectAPI)
	v.file("/platform/token-file", s.Platform.TokenFile)
	v.signingKeys(s.SigningKeyFiles)
	v.limits(s)
	_, err := zerolog.ParseLevel(s.LogLevel)
	v.require(err == nil, "/log-level", s.LogLevel, "must be \"debug\", \"info\", \"warn\" or \"error\"")
	return v.faults
}

type validator struct{ faults decoder.Faults }

func (v *validator) require(ok bool, path string, value any, problem string, args ...any) {
	if !ok {
		v.faults.Addf(path, value, problem, args...)
	}
}

func (v *validator) address(path string, a netip.AddrPort) {
	v.require(a.IsValid() && a.Port() != 0, path, a, "an IP address and a port are required")
}

func (v *validator) file(path, name string) {
	if name == "" {
		return
	}
	_, err := os.Stat(name)
	v.require(err == nil, path, name, "cannot read the file: %v", err)
}

func (v *validator) listener(path string, l Listener) {
	v.address(path+"/address", l.Address)
	if !l.TLS.Enabled() {
		return
	}
	v.require(l.TLS.CertificateFile != "", path+"/tls/certificate-file", "", "a certificate file is required with TLS")
	v.require(l.TLS.KeyFile != "", path+"/tls/key-file", "", "a key file is required with TLS")
	v.file(path+"/tls/certificate-file", l.TLS.CertificateFile)
	v.file(path+"/tls/key-file", l.TLS.KeyFile)
	v.file(path+"/tls/client-authority-file", l.TLS.ClientAuthorityFile)
}

func (v *validator) authentication(s *Settings) {
	v.require(s.Operators.TokenFile != "", "/operators/token-file", "", "a token file is required")
	v.file("/operators/token-file", s.Operators.TokenFile)
	v.require(s.Callers.TokenFile == "", "/callers/token-file", s.Callers.TokenFile, "not allowed; tokens of callers are part of the configuration")
	v.require(s.Peers.TokenFile == "", "/peers/token-file", s.Peers.TokenFile, "not allowed; peers authenticate with client certificates")
	if s.Peers.TLS.Enabled() {
		v.require(s.Peers.TLS.ClientAuthorityFile != "", "/peers/tls/client-authority-file", "", "required because TLS between daemons is mutual")
	}
}

func (v *validator) distinctAddresses(s *Settings) {
	v.require(s.Operators.Address != s.Callers.Address, "/operators/address", s.Operators.Address, "must differ from /callers/address")
	v.require(s.Peers.Address != s.Callers.Address && s.Peers.Address != s.Operators.Address, "/peers/address", s.Peers.Address, "must differ from the addresses of the other listeners")
}

func (v *validator) signingKeys(files []string) {
	v.require(len(files) > 0, "/signing-key-files", files, "at least one file is required")
	for i, name := range files {
		path := "/signing-key-files/" + strconv.Itoa(i)
		text, err := os.ReadFile(name)
		v.require(err == nil, path, name, "cannot read the file: %v", err)
		v.require(err != nil || len(strings.TrimSpace(string(text))) >= MinSigningKeyBytes, path, name, "the file must contain at least %d bytes", MinSigningKeyBytes)
	}
}

func (v *validator) limits(s *Settings) {
	v.timeout("/drain/notice", s.Drain.Notice)
	v.timeout("/drain/limit", s.Drain.Limit)
	v.timeout("/limits/header-timeout", s.Limits.HeaderTimeout)
	v.timeout("/limits/body-timeout", s.Limits.BodyTimeout)
	v.require(s.Limits.HeaderBytes >= 0 && s.Limits.HeaderBytes <= MaxHeaderBytes, "/limits/header-bytes", s.Limits.HeaderBytes, "must be between 0 and %d", MaxHeaderBytes)
	v.require(s.Limits.Requests >= 0 && s.Limits.Requests <= MaxRequests, "/limits/requests", s.Limits.Requests, "must be between 0 and %d", MaxRequests)
	v.require(s.Limits.MemoryMB >= 0, "/limits/memory-mb", s.Limits.MemoryMB, "must not be negative")
	v.require(s.Limits.Descriptors >= 0, "/limits/descriptors", s.Limits.Descriptors, "must not be negative")
}

func (v *validator) timeout(path string, d namer.Duration) {
	v.require(d >= 0 && d.Std() <= MaxTimeout, path, d, "must be between 0s and %s", MaxTimeout)
}

// SetDefaults sets unset fields to their defaults. Parse calls it.
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
