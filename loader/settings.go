// Package loader reads the settings of one process: its name and place, listeners, peers, platform
// addresses and limits. Settings are JSON in a file, are read once at the start, and every fault is
// reported at once. It owns no state.
package loader

import (
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"apricotspool/decoder"
	"apricotspool/namer"
)

// Settings of a daemon.
type Settings struct {
	// Host names this process' host; it is unique in the fleet.
	Host namer.Host `json:"host"`
	// DataCentre is the data centre that the host stands in. The configuration lists it.
	DataCentre namer.DataCentre `json:"data-centre"`
	// Callers is where callers send requests.
	Callers Listener `json:"callers"`
	// Operators is where operators send requests. It asks for the token in Operators.TokenFile.
	Operators Listener `json:"operators"`
	// Peers is where other daemons connect. With TLS it is mutual: ClientAuthorityFile is required.
	Peers Listener `json:"peers"`
	// Seeds are peer addresses of other daemons to learn the membership from. A daemon's own address may be listed.
	Seeds []netip.AddrPort `json:"seeds,omitzero"`
	// Platform says where the platform's services are.
	Platform Platform `json:"platform"`
	// SigningKeyFiles hold the keys of request ids, at least 32 bytes each. The first signs; all verify.
	// Every daemon of the fleet needs the same files.
	SigningKeyFiles []string `json:"signing-key-files"`
	// Drain bounds a graceful shutdown.
	Drain Drain `json:"drain,omitzero"`
	// Limits bound what one caller connection may use.
	Limits Limits `json:"limits,omitzero"`
	// LogLevel is the least severe level that is logged: "debug", "info", "warn" or "error". Empty means "info".
	LogLevel string `json:"log-level,omitempty"`
}

// Listener is one listening address.
type Listener struct {
	// Address is an IP address and a TCP port.
	Address netip.AddrPort `json:"address"`
	// TLS is used when its files are set; without it the listener speaks plain HTTP.
	TLS TLS `json:"tls,omitzero"`
	// TokenFile holds the bearer token that requests must carry. Required for operators, not allowed elsewhere.
	TokenFile string `json:"token-file,omitempty"`
}

// TLS names certificate files. They are read again when they change.
type TLS struct {
	// CertificateFile holds the PEM certificate chain.
	CertificateFile string `json:"certificate-file,omitempty"`
	// KeyFile holds the PEM private key.
	KeyFile string `json:"key-file,omitempty"`
	// ClientAuthorityFile holds the PEM certificates that sign client certificates; when set, clients must present one.
	ClientAuthorityFile string `json:"client-authority-file,omitempty"`
}

// Enabled reports whether any file is set.
func (t TLS) Enabled() bool { return t != TLS{} }

// Platform holds the addresses of the platform's services.
type Platform struct {
	// ObjectAPI is the address of the object API.
	ObjectAPI netip.AddrPort `json:"object-api"`
	// HostList is the address of the host list. Without it only configuration and endpoints say what is leaving.
	HostList netip.AddrPort `json:"host-list,omitzero"`
	// TokenFile holds the bearer token for the platform. Without it no token is sent.
	TokenFile string `json:"token-file,omitempty"`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	// Notice is how long the daemon still accepts requests after it has become unready, so that the
	// balancer notices. Default 5s.
	Notice namer.Duration `json:"notice,omitempty"`
	// Limit is the longest time to wait for accepted requests after Notice. Default 1h, the longest deadline
	// of a service, so that no request is cut.
	Limit namer.Duration `json:"limit,omitempty"`
}

// Limits bound what one caller connection may use.
type Limits struct {
	// HeaderBytes is the largest request header in bytes. Default 64 kB.
	HeaderBytes int `json:"header-bytes,omitempty"`
	// HeaderTimeout is the longest time for a caller to send a request header. Default 10s.
	HeaderTimeout namer.Duration `json:"header-timeout,omitempty"`
	// BodyTimeout is the longest time for a caller to send a request body. Default 1m.
	BodyTimeout namer.Duration `json:"body-timeout,omitempty"`
	// Requests is the most requests that the daemon holds at once, waiting ones included. Default 20000.
	Requests int `json:"requests,omitempty"`
}

// Load reads and checks a settings file. Faults in it are returned as decoder.Faults.
func Load(name string) (*Settings, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(text)
}

// Parse decodes and checks settings and fills in the defaults.
func Parse(text []byte) (*Settings, error) {
	settings := &Settings{}
	faults := decoder.Decode(text, settings)
	// Checks run on what could be decoded too, so that one run reports all faults.
	faults = append(faults, missing(faults, settings.Check())...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	settings.SetDefaults()
	return settings, nil
}

// missing returns the faults of found whose paths are not reported yet.
func missing(reported, found decoder.Faults) decoder.Faults {
	paths := make(map[string]bool, len(reported))
	for _, f := range reported {
		paths[f.Path] = true
	}
	var fresh decoder.Faults
	for _, f := range found {
		if !paths[f.Path] {
			fresh = append(fresh, f)
		}
	}
	return fresh
}
