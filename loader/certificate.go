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

// DefaultRecheck is how long a certificate is used before its files are looked at again.
const DefaultRecheck = 10 * time.Second

// Certificates serves the certificates of one listener and reads them again when the files change,
// so that a renewed certificate needs no restart. A file that can't be read keeps the old one in use.
type Certificates struct {
	Files   TLS
	Recheck time.Duration // 0 means DefaultRecheck

	mu       sync.Mutex // guards the fields below; handshakes read them concurrently
	checked  time.Time
	modified time.Time
	current  *tls.Config
}

// ServerConfig returns a configuration that presents the newest certificate to each client and, with
// a client authority, requires a certificate from the client.
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

// ClientConfig returns a configuration that presents the listener's certificate to peers and trusts
// the client authority, which signs the certificates of all daemons.
func (c *Certificates) ClientConfig() (*tls.Config, error) {
	if _, err := c.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		// Peers are dialled by address. VerifyConnection checks the chain against the newest
		// authority file, which RootCAs could not follow.
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

// verify checks that the client authority signed the peer's certificate. The name in it is not
// compared: peers are dialled by address, and the authority signs for daemons only.
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
	return errors.Wrap(err, "verify peer's certificate")
}

// load returns the newest readable configuration.
func (c *Certificates) load() (*tls.Config, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && time.Since(c.checked) < cmp.Or(c.Recheck, DefaultRecheck) {
		return c.current, nil
	}
	c.checked = time.Now()
	modified := c.newest()
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

// newest returns the latest modification time of the files.
func (c *Certificates) newest() time.Time {
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
		return nil, errors.Wrap(err, "read certificate")
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
		return nil, errors.Wrap(err, "read client authority")
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("client authority file %q holds no certificate", files.ClientAuthorityFile)
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
