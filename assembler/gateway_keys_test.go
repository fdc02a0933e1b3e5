package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"apricotspool/assembler"
	"apricotspool/loader"
	"apricotspool/namer"
	"apricotspool/platform"
	"apricotspool/recorder"
)

// output collects all lines of a log.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// configureWorkspaces replaces the workspaces of the configuration, given as JSON, with one write.
func (s *site) configureWorkspaces(version, workspaces string) {
	s.t.Helper()
	is := is.New(s.t)
	object, err := s.Store.Get(s.t.Context(), platform.ConfigKey)
	is.NoErr(err)
	var config map[string]json.RawMessage
	is.NoErr(json.Unmarshal(object.Value, &config))
	config["version"] = json.RawMessage(version)
	config["tenants"] = json.RawMessage(workspaces)
	value, err := json.Marshal(config)
	is.NoErr(err)
	_, err = s.Store.Put(s.t.Context(), platform.ConfigKey, value, object.Version)
	is.NoErr(err)
}

// Guards against keys in the log, in the metrics or in responses of a gateway, and against a gateway that stays ready or serves
// keyed requests after it has lost the store for longer than the revocation bound.
func TestGatewayKeepsKeysSecret(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	const known, withdrawn, unknown = "key-known-51f0", "key-withdrawn-77a2", "key-unknown-90cc"
	s.configureDefaultRoutes()
	s.configureWorkspaces("101", `[{"name":"huka270","apiKeys":["`+known+`","`+withdrawn+`"]}]`)
	s.startServer("app-1", "app", "")
	settings := s.newSettings("gateway-1")
	settings.RevocationBound = namer.Duration(5 * time.Second)
	log := &output{}
	logger := recorder.NewAsyncLogger(log, zerolog.DebugLevel)
	g := s.startLoggingGateway(settings, logger)
	eventually(t, "ready", g.ready)
	var bodies strings.Builder
	send := func(keys ...string) int {
		_, r, err := s.NewRequest("GET", g.settings.Callers, "/items/1")
		is.NoErr(err)
		r.Header["Credential"] = keys
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		defer response.Body.Close()
		response.Header.Write(&bodies)
		io.Copy(&bodies, response.Body)
		return response.StatusCode
	}
	eventually(t, "the endpoint is known", func() bool { return send(known) == http.StatusOK })
	is.Equal(send(withdrawn), http.StatusOK)
	is.Equal(send(unknown), http.StatusUnauthorized)
	is.Equal(send(), http.StatusUnauthorized)
	is.Equal(send(known, withdrawn), http.StatusUnauthorized)
	s.configureWorkspaces("102", `[{"name":"huka270","apiKeys":["`+known+`"]}]`)
	eventually(t, "the key is withdrawn", func() bool { return send(withdrawn) == http.StatusUnauthorized })
	s.configureWorkspaces("103", `[{"name":"`+unknown+` ","apiKeys":["`+known+`"]}]`)
	eventually(t, "a configuration that can't be decoded is refused", func() bool { return strings.Contains(log.String(), "configuration-refused") })
	s.api.Close()
	eventually(t, "keys are not current", func() bool { return send(known) == http.StatusServiceUnavailable })
	is.True(!g.ready())
	response, err := http.Get("http://" + g.settings.Health.String() + "/metrics")
	is.NoErr(err)
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	is.NoErr(err)
	eventually(t, "the log is written", func() bool { return strings.Contains(log.String(), "keys-not-current") })
	is.True(strings.Contains(string(metrics), `workspace="huka270"`))
	for name, text := range map[string]string{"log": log.String(), "metrics": string(metrics), "responses": bodies.String()} {
		for _, key := range []string{known, withdrawn, unknown} {
			if strings.Contains(text, key) {
				t.Errorf("the %s contains key %s", name, key)
			}
		}
	}
}

// startLoggingGateway starts a gateway with a log of its own.
func (s *site) startLoggingGateway(settings *loader.GatewaySettings, log *recorder.AsyncLogger) *gateway {
	g := &gateway{
		Gateway:  &assembler.Gateway{Settings: settings, Platform: platform.Adapter(), Log: log},
		settings: settings, ended: make(chan error, 1),
	}
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	go func() { g.ended <- g.Run(ctx) }()
	s.t.Cleanup(func() {
		stop()
		<-g.Done()
	})
	return g
}
