package loader

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// DefaultCheckInterval is the interval between checks for changed certificate files.
const DefaultCheckInterval = 10 * time.Second

// Certificates provides the TLS configuration of one listener and reloads it when the certificate files
// change, so that a renewed certificate needs no restart. If the new files are invalid, the previous
// certificate stays in use.
type Certificates struct {
	Files         TLS
	CheckInterval time.Duration // 0 means DefaultCheckInterval

	mu       sync.Mutex // guards the fields below, which handshakes use concurrently
	checked  time.Time
	modified time.Time
	current  *tls.Config
}

// ServerConfig returns a configuration that presents the latest certificate to each client. If a client
// CA is set, it requires a certificate from the client.
func (c *Certificates) ServerConfig() (*tls.Config, error) {
	if _, err := c.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.load()
		},
	}, nil
}

// ClientConfig returns a configuration that presents the listener's certificate to peers and trusts the
// client CA, which signs the certificates of all daemons.
func (c *Certificates) ClientConfig() (*tls.Config, error) {
	if _, err := c.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		// Peers are dialed by address, so there is no host name to verify. VerifyConnection verifies the
		// chain against the latest client CA file; RootCAs could not follow changes of that file.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			config, err := c.load()
			if err != nil {
				return nil, err
			}
			return &config.Certificates[0], nil
		},
	}, nil
}

// verify checks that the client CA signed the peer's certificate. It does not check the subject name:
// peers are dialed by address, and the CA signs certificates of daemons only.
func (c *Certificates) verify(state tls.ConnectionState) error {
	config, err := c.load()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         config.ClientCAs,
		Intermediates: intermediates,
	})
	return errors.Wrap(err, "verify peer certificate")
}

// load returns the configuration from the latest valid files.
func (c *Certificates) load() (*tls.Config, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && time.Since(c.checked) < cmp.Or(c.CheckInterval, DefaultCheckInterval) {
		return c.current, nil
	}
	c.checked = time.Now()
	modified := c.lastModified()
	if c.current != nil && !modified.After(c.modified) {
		return c.current, nil
	}
	config, err := readTLS(c.Files)
	if err != nil {
		if c.current != nil {
			return c.current, nil
		}
		return nil, err
	}
	c.current, c.modified = config, modified
	return config, nil
}

// lastModified returns the latest modification time of the files.
func (c *Certificates) lastModified() time.Time {
	var newest time.Time
	for _, name := range []string{c.Files.CertificateFile, c.Files.KeyFile, c.Files.ClientAuthorityFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

func readTLS(files TLS) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	config := &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"h2", "http/1.1"},
		Certificates: []tls.Certificate{certificate},
	}
	if files.ClientAuthorityFile == "" {
		return config, nil
	}
	text, err := os.ReadFile(files.ClientAuthorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read client CA file")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("client CA file %q contains no certificate", files.ClientAuthorityFile)
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
