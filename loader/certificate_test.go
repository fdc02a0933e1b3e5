package loader_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"apricotspool/loader"
	"apricotspool/loader/loadertest"
)

// call connects with a client configuration and returns the common name of the server.
func call(address string, config *tls.Config) (string, error) {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true, ForceAttemptHTTP2: true}}
	response, err := client.Get("https://" + address)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	return response.TLS.PeerCertificates[0].Subject.CommonName, nil
}

// Guards against daemons that accept a peer of another fleet or a peer without a certificate, and
// against a renewed certificate that takes effect only after a restart.
func TestMutualAuthenticationAndCertificateReload(t *testing.T) {
	is := is.New(t)
	fleet, otherFleet := loadertest.NewAuthority(t), loadertest.NewAuthority(t)
	dir := t.TempDir()
	certificates := &loader.Certificates{Files: fleet.Issue(t, dir, "first"), CheckInterval: time.Nanosecond}
	config, err := certificates.ServerConfig()
	is.NoErr(err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	is.NoErr(err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	go server.Serve(listener)
	defer server.Close()
	address := listener.Addr().String()
	client := func(a *loadertest.Authority) *tls.Config {
		config, err := (&loader.Certificates{Files: a.Issue(t, t.TempDir(), "client")}).ClientConfig()
		is.NoErr(err)
		return config
	}

	name, err := call(address, client(fleet))
	is.NoErr(err)
	is.Equal(name, "first")
	_, err = call(address, client(otherFleet))
	is.True(err != nil)
	roots := x509.NewCertPool()
	roots.AddCert(fleet.Certificate)
	_, err = call(address, &tls.Config{RootCAs: roots})
	is.True(err != nil) // no client certificate

	files := fleet.Issue(t, dir, "second")
	later := time.Now().Add(time.Minute) // exceeds the resolution of file timestamps
	is.NoErr(os.Chtimes(files.CertificateFile, later, later))
	name, err = call(address, client(fleet))
	is.NoErr(err)
	is.Equal(name, "second")
	is.NoErr(os.WriteFile(files.KeyFile, []byte("broken"), 0o600))
	is.NoErr(os.Chtimes(files.KeyFile, later.Add(time.Minute), later.Add(time.Minute)))
	name, err = call(address, client(fleet))
	is.NoErr(err)
	is.Equal(name, "second") // the previous certificate stays in use
}
