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
	"apricotspool/receiver"
)

// operatorTimeout bounds one call to a daemon's operators' listener. It exceeds the time for which the daemon
// itself waits for the platform.
const operatorTimeout = 30 * time.Second

// maxResponseBytes bounds the size of a response that is read. A configuration has at most 1 MB.
const maxResponseBytes = 64 << 20

// operatorFlags holds the flags for calls to a daemon's operators' listener.
type operatorFlags struct {
	address   string
	tokenFile string
	authority string
}

func (o *operatorFlags) add(command *kingpin.CmdClause) {
	command.Flag("operators", "Address of a daemon's operators' listener, as IP:PORT.").Envar("APRICOTSPOOL_OPERATORS").Required().StringVar(&o.address)
	command.Flag("token-file", "File that contains the operators' token.").Envar("APRICOTSPOOL_TOKEN_FILE").Required().StringVar(&o.tokenFile)
	command.Flag("authority-file", "PEM file with the CA certificates that the listener's certificate is verified against. Without it, the listener is called over plain HTTP.").Envar("APRICOTSPOOL_AUTHORITY_FILE").StringVar(&o.authority)
}

// operatorResponse is the daemon's response to a call.
type operatorResponse struct {
	status int
	header http.Header
	body   []byte
}

// call sends one request to the operators' listener.
func (o *operatorFlags) call(ctx context.Context, method, path string, header http.Header, body []byte) (operatorResponse, error) {
	if _, err := netip.ParseAddrPort(o.address); err != nil {
		return operatorResponse{}, withExitCode(ExitUsage, errors.Wrap(err, "--operators"))
	}
	client, scheme, err := o.client()
	if err != nil {
		return operatorResponse{}, withExitCode(ExitUsage, err)
	}
	token, err := loader.ReadSecret(o.tokenFile)
	if err != nil {
		return operatorResponse{}, withExitCode(ExitUsage, err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, scheme+"://"+o.address+path, bytes.NewReader(body))
	if err != nil {
		return operatorResponse{}, withExitCode(ExitUsage, errors.Wrap(err, "build request"))
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := client.Do(request)
	if err != nil {
		return operatorResponse{}, errors.Wrap(err, "call daemon")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return operatorResponse{}, errors.Wrap(err, "read daemon's response")
	}
	return operatorResponse{status: response.StatusCode, header: response.Header, body: text}, nil
}

func (o *operatorFlags) client() (*http.Client, string, error) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: operatorTimeout}).DialContext}
	client := receiver.NewClient(transport)
	if o.authority == "" {
		return client, "http", nil
	}
	pem, err := os.ReadFile(o.authority)
	if err != nil {
		return nil, "", errors.Wrap(err, "read authority file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, "", errors.Errorf("authority file %q contains no PEM certificate", o.authority)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	return client, "https", nil
}

// statusError returns an error with the daemon's message if the status is not a success.
func (r operatorResponse) statusError() error {
	if r.status < http.StatusBadRequest {
		return nil
	}
	var reply struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(r.body, &reply) == nil && reply.Error.Message != "" {
		return errors.Errorf("daemon responded with status %d: %s", r.status, reply.Error.Message)
	}
	return errors.Errorf("daemon responded with status %d: %s", r.status, bytes.TrimSpace(r.body))
}
