// Package loader reads the settings of a process: its host and data centre, listeners, peers, platform
// addresses and limits. Settings are a JSON file that is read once at start, and all faults in it are
// reported together. The package owns no state.
package loader

import (
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"apricotspool/decoder"
	"apricotspool/namer"
)

// Settings holds the settings of a daemon.
type Settings struct {
	// Host is the name of the host of this process, which is unique in the fleet.
	Host namer.Host `json:"host"`
	// DataCentre is the data centre of the host, which the configuration must list.
	DataCentre namer.DataCentre `json:"data-centre"`
	// Callers is the listener for requests of callers.
	Callers Listener `json:"callers"`
	// Operators is the listener for requests of operators, which must carry the token in
	// Operators.TokenFile.
	Operators Listener `json:"operators"`
	// Peers is the listener for other daemons. Its TLS is mutual, so ClientAuthorityFile is required with TLS.
	Peers Listener `json:"peers"`
	// Seeds are the peer addresses of daemons from which this one learns the membership. They may include
	// its own address.
	Seeds []netip.AddrPort `json:"seeds,omitzero"`
	// Platform holds the addresses of the platform's services.
	Platform Platform `json:"platform"`
	// SigningKeyFiles contain the keys for request IDs, each at least 32 bytes long. The first key signs
	// and all keys verify. Every daemon of the fleet needs the same keys.
	SigningKeyFiles []string `json:"signing-key-files"`
	// Drain bounds a graceful shutdown.
	Drain Drain `json:"drain,omitzero"`
	// Limits bounds the requests of callers.
	Limits Limits `json:"limits,omitzero"`
	// LogLevel is the lowest level that is logged: "debug", "info", "warn" or "error". Empty means "info".
	LogLevel string `json:"log-level,omitempty"`
}

// Listener holds the settings of one listener.
type Listener struct {
	// Address is an IP address and a TCP port.
	Address netip.AddrPort `json:"address"`
	// TLS enables TLS if its files are set. Otherwise the listener uses plain HTTP.
	TLS TLS `json:"tls,omitzero"`
	// TokenFile contains the bearer token that requests must carry. It is required for operators and not
	// allowed for other listeners.
	TokenFile string `json:"token-file,omitempty"`
}

// TLS holds the names of certificate files, which are reloaded when they change.
type TLS struct {
	// CertificateFile contains the PEM certificate chain.
	CertificateFile string `json:"certificate-file,omitempty"`
	// KeyFile contains the PEM private key.
	KeyFile string `json:"key-file,omitempty"`
	// ClientAuthorityFile contains the PEM certificates of the CAs that sign client certificates. If it is
	// set, clients must present a certificate.
	ClientAuthorityFile string `json:"client-authority-file,omitempty"`
}

// Enabled reports whether any file is set.
func (t TLS) Enabled() bool { return t != TLS{} }

// Platform holds the addresses of the platform's services.
type Platform struct {
	// ObjectAPI is the address of the object API.
	ObjectAPI netip.AddrPort `json:"object-api"`
	// HostList is the address of the host list. Without it, only the configuration and the endpoints
	// themselves report what is leaving.
	HostList netip.AddrPort `json:"host-list,omitzero"`
	// TokenFile contains the bearer token for the platform. No token is sent if it is empty.
	TokenFile string `json:"token-file,omitempty"`
}

// Drain bounds a graceful shutdown.
type Drain struct {
	// Notice is how long the daemon keeps accepting requests after it has become unready, so that the load
	// balancer can detect the change. Default 5s.
	Notice namer.Duration `json:"notice,omitempty"`
	// Limit is the maximum time to wait after Notice for accepted requests to finish. The default of 1h is
	// the longest deadline of a service, so that no request is aborted.
	Limit namer.Duration `json:"limit,omitempty"`
}

// Limits bounds the requests of callers.
type Limits struct {
	// HeaderBytes is the maximum size of a request header in bytes. Default 64 kB.
	HeaderBytes int `json:"header-bytes,omitempty"`
	// HeaderTimeout is the maximum time for a caller to send a request header. Default 10s.
	HeaderTimeout namer.Duration `json:"header-timeout,omitempty"`
	// BodyTimeout is the maximum time for a caller to send a request body. Default 1m.
	BodyTimeout namer.Duration `json:"body-timeout,omitempty"`
	// Requests is the maximum number of requests in flight in the daemon, including queued ones.
	// Default 20000.
	Requests int `json:"requests,omitempty"`
	// MemoryMB is the memory limit of the process in MB; 0 means no limit.
	MemoryMB float64 `json:"memory-mb,omitzero"`
	// Descriptors is the maximum number of sockets that the process may open; 0 means no limit.
	Descriptors float64 `json:"descriptors,omitzero"`
}

// Load reads and checks a settings file. Faults in it are returned as decoder.Faults.
func Load(name string) (*Settings, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(text)
}

// Parse decodes and checks settings and sets unset fields to their defaults.
func Parse(text []byte) (*Settings, error) {
	settings := &Settings{}
	faults := decoder.Decode(text, settings)
	// Check what could be decoded even after decoding faults, so that one run reports all faults.
	faults = append(faults, unreported(faults, settings.Check())...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	settings.SetDefaults()
	return settings, nil
}

// unreported returns the faults in found whose paths are not in reported.
func unreported(reported, found decoder.Faults) decoder.Faults {
	paths := make(map[string]bool, len(reported))
	for _, f := range reported {
		paths[f.Path] = true
	}
	var unreported decoder.Faults
	for _, f := range found {
		if !paths[f.Path] {
			unreported = append(unreported, f)
		}
	}
	return unreported
}
