// Package loadertest issues certificates for tests of TLS listeners.
package loadertest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/loader"
)

// Authority is a certificate authority that signs the certificates of a fleet.
type Authority struct {
	Certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// NewAuthority returns an authority with a new key.
func NewAuthority(t testing.TB) *Authority {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(raw)
	is.NoErr(err)
	return &Authority{certificate, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})}
}

// Issue writes a certificate for 127.0.0.1, its key and the authority's certificate to dir. The file
// names are always the same, so that a second call renews the certificate.
func (a *Authority) Issue(t testing.TB, dir, name string) loader.TLS {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.Certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	encoded, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	files := loader.TLS{CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), ClientAuthorityFile: filepath.Join(dir, "ca.pem")}
	is.NoErr(os.WriteFile(files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600))
	is.NoErr(os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: encoded}), 0o600))
	is.NoErr(os.WriteFile(files.ClientAuthorityFile, a.pem, 0o600))
	return files
}
