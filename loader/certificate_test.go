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

// Guards against daemons that accept a peer of another fleet or one without a certificate, and
// against a renewed certificate that needs a restart.
func TestPeersProveThemselvesAndCertificatesAreRenewed(t *testing.T) {
	is := is.New(t)
	fleet, stranger := loadertest.NewAuthority(t), loadertest.NewAuthority(t)
	dir := t.TempDir()
	server := &loader.Certificates{Files: fleet.Issue(t, dir, "first"), Recheck: time.Nanosecond}
	config, err := server.ServerConfig()
	is.NoErr(err)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	is.NoErr(err)
	far := &http.Server{Handler: http.NotFoundHandler()}
	go far.Serve(listener)
	defer far.Close()
	address := listener.Addr().String()
	client := func(a *loadertest.Authority) *tls.Config {
		config, err := (&loader.Certificates{Files: a.Issue(t, t.TempDir(), "client")}).ClientConfig()
		is.NoErr(err)
		return config
	}

	name, err := call(address, client(fleet))
	is.NoErr(err)
	is.Equal(name, "first")
	_, err = call(address, client(stranger))
	is.True(err != nil)
	trusting := x509.NewCertPool()
	trusting.AddCert(fleet.Certificate)
	_, err = call(address, &tls.Config{RootCAs: trusting})
	is.True(err != nil) // no client certificate

	files := fleet.Issue(t, dir, "second")
	later := time.Now().Add(time.Minute) // beyond the resolution of file times
	is.NoErr(os.Chtimes(files.CertificateFile, later, later))
	name, err = call(address, client(fleet))
	is.NoErr(err)
	is.Equal(name, "second")
	is.NoErr(os.WriteFile(files.KeyFile, []byte("broken"), 0o600))
	is.NoErr(os.Chtimes(files.KeyFile, later.Add(time.Minute), later.Add(time.Minute)))
	name, err = call(address, client(fleet))
	is.NoErr(err)
	is.Equal(name, "second") // the former certificate stays in use
}
