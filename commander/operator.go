package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"apricotspool/loader"
)

// operatorTimeout bounds one call to a daemon's operators' listener. It is longer than the daemon
// itself waits for the platform.
const operatorTimeout = 30 * time.Second

// maxAnswer bounds what is read of an answer; a configuration is at most a megabyte.
const maxAnswer = 64 << 20

// operatorFlags say how to reach a daemon's operators' listener.
type operatorFlags struct {
	address   string
	tokenFile string
	authority string
}

func (o *operatorFlags) add(command *kingpin.CmdClause) {
	command.Flag("operators", "Address of a daemon's operators' listener, as IP:PORT.").Envar("APRICOTSPOOL_OPERATORS").Required().StringVar(&o.address)
	command.Flag("token-file", "File with the operators' token.").Envar("APRICOTSPOOL_TOKEN_FILE").Required().StringVar(&o.tokenFile)
	command.Flag("authority-file", "PEM certificates that sign the listener's certificate. Without it the listener is called over plain HTTP.").Envar("APRICOTSPOOL_AUTHORITY_FILE").StringVar(&o.authority)
}

// answer is what a daemon replied.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// call sends one request to the operators' listener.
func (o *operatorFlags) call(ctx context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	if _, err := netip.ParseAddrPort(o.address); err != nil {
		return answer{}, withCode(ExitUsage, errors.Wrap(err, "--operators"))
	}
	client, scheme, err := o.client()
	if err != nil {
		return answer{}, withCode(ExitUsage, err)
	}
	token, err := loader.ReadSecret(o.tokenFile)
	if err != nil {
		return answer{}, withCode(ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+o.address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, withCode(ExitUsage, errors.Wrap(err, "build request"))
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := client.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, "call daemon")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer{}, errors.Wrap(err, "read daemon's answer")
	}
	return answer{status: response.StatusCode, header: response.Header, body: text}, nil
}

func (o *operatorFlags) client() (*http.Client, string, error) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: operatorTimeout}).DialContext}
	client := &http.Client{Transport: transport}
	if o.authority == "" {
		return client, "http", nil
	}
	text, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, "", errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, "", errors.Errorf("authority file %q holds no certificate", o.authority)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return client, "https", nil
}

// problem turns an answer that is not a success into an error with the daemon's message.
func (a answer) problem() error {
	if a.status < http.StatusBadRequest {
		return nil
	}
	var refusal struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(a.body, &refusal) == nil && refusal.Error.Message != "" {
		return errors.Errorf("daemon answered %d: %s", a.status, refusal.Error.Message)
	}
	return errors.Errorf("daemon answered %d: %s", a.status, bytes.TrimSpace(a.body))
}
