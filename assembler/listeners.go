package assembler

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"apricotspool/inspector"
	"apricotspool/loader"
)

// peerTimeout bounds one call between daemons.
const peerTimeout = 5 * time.Second

// peerPingTimeout is both the idle time after which a connection to a peer is pinged and the time limit for
// the response to the ping.
const peerPingTimeout = time.Second

// listeners holds the daemon's three listeners. They are opened before anything else starts, so that a
// second process with the same settings fails at once.
type listeners struct {
	callers, operators, peers net.Listener
	peerCertificates          *loader.Certificates // nil without TLS between daemons
}

func listen(s *loader.Settings, memory *inspector.Budget) (*listeners, error) {
	l := &listeners{}
	var err error
	if l.peers, l.peerCertificates, err = bind(s.Peers, nil); err != nil {
		return nil, errors.Wrap(err, "peers' listener")
	}
	if l.operators, _, err = bind(s.Operators, nil); err != nil {
		l.close()
		return nil, errors.Wrap(err, "operators' listener")
	}
	if l.callers, _, err = bind(s.Callers, memory); err != nil {
		l.close()
		return nil, errors.Wrap(err, "callers' listener")
	}
	return l, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			listener.Close()
		}
	}
}

// bind opens a listener. With a budget, its connections are entered into it.
func bind(settings loader.Listener, memory *inspector.Budget) (net.Listener, *loader.Certificates, error) {
	var certificates *loader.Certificates
	var config *tls.Config
	if settings.TLS.Enabled() {
		certificates = &loader.Certificates{Files: settings.TLS}
		var err error
		if config, err = certificates.ServerConfig(); err != nil {
			return nil, nil, err
		}
	}
	listener, err := net.Listen("tcp", settings.Address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "bind")
	}
	if memory != nil {
		listener = &inspector.Listener{Listener: listener, Budget: memory, TLS: config != nil}
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return listener, certificates, nil
}

// newHTTPServer returns a server with the limits of the settings. plainHTTP2 allows HTTP/2 without
// TLS; daemons use it among themselves to share one connection between many small calls.
func newHTTPServer(handler http.Handler, limits loader.Limits, plainHTTP2 bool) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(plainHTTP2)
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout.Std(),
		IdleTimeout:       2 * time.Minute, // exceeds the idle timeout of common load balancers
		Protocols:         protocols,
		ConnContext:       inspector.ConnContext,
	}
}

// newPeerHTTPClient returns the HTTP client for calls to other daemons.
func newPeerHTTPClient(certificates *loader.Certificates) (*http.Client, error) {
	protocols := &http.Protocols{}
	transport := &http.Transport{
		// Pings detect a dead connection, which would otherwise block the calls that follow.
		HTTP2:           &http.HTTP2Config{SendPingTimeout: peerPingTimeout, PingTimeout: peerPingTimeout},
		DialContext:     (&net.Dialer{Timeout: time.Second}).DialContext,
		IdleConnTimeout: time.Minute,
		Protocols:       protocols,
	}
	if certificates == nil {
		protocols.SetUnencryptedHTTP2(true)
		return &http.Client{Transport: transport, Timeout: peerTimeout}, nil
	}
	config, err := certificates.ClientConfig()
	if err != nil {
		return nil, err
	}
	protocols.SetHTTP2(true)
	transport.TLSClientConfig = config
	return &http.Client{Transport: transport, Timeout: peerTimeout}, nil
}

// peerScheme returns the URL scheme of peer addresses.
func (l *listeners) peerScheme() string {
	if l.peerCertificates == nil {
		return "http"
	}
	return "https"
}
