package commander

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"apricotspool/administrator"
	"apricotspool/assembler"
	"apricotspool/imitator"
	"apricotspool/loader"
	"apricotspool/namer"
	"apricotspool/platform"
	"apricotspool/platform/platformtest"
	"apricotspool/recorder"
)

// Size of the demonstration. Ports are assigned consecutively from the base port: the callers',
// operators' and peers' listeners of each daemon, then the fakes.
const (
	devDaemons = 2
	devEngines = 3
	// devStartTimeout bounds the time until all daemons are ready.
	devStartTimeout = 30 * time.Second
	devPollInterval = 50 * time.Millisecond
)

func (c *cli) addDev(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("dev", "Run a demonstration in one process on loopback: two daemons, a fake platform, three fake engines and one fake ordering service.")
	port := command.Flag("base-port", "First TCP port; the demonstration uses up to 20 consecutive ports.").Default("8080").Uint16()
	level := command.Flag("log-level", "Minimum log level.").Default("warn").Enum("debug", "info", "warn", "error")
	actions[command.FullCommand()] = func(ctx context.Context) error { return c.dev(ctx, *port, *level) }
}

// demonstration holds the addresses and secrets of one run of dev.
type demonstration struct {
	directory string
	nextPort  uint16
	store     netip.AddrPort
	engines   []netip.AddrPort
	ordering  netip.AddrPort
	daemons   []*loader.Settings
}

func (c *cli) dev(ctx context.Context, port uint16, level string) error {
	directory, err := os.MkdirTemp("", "apricotspool-dev-")
	if err != nil {
		return errors.Wrap(err, "create directory for tokens")
	}
	defer os.RemoveAll(directory)
	logLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	log := recorder.NewLogger(c.err).Level(logLevel)
	demo := &demonstration{directory: directory, nextPort: port}
	group, ctx := errgroup.WithContext(ctx)
	if err := demo.prepare(); err != nil {
		return err
	}
	// The fakes outlive the daemons, which need them while they drain after ctx has ended.
	fakes, stopFakes := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFakes()
	if err := demo.startFakes(fakes, group); err != nil {
		return err
	}
	var daemons sync.WaitGroup
	for _, settings := range demo.daemons {
		daemon := &assembler.Daemon{Settings: settings, Log: log, Version: Version, OpenStore: platform.OpenStore}
		daemons.Add(1)
		group.Go(func() error {
			defer daemons.Done()
			return daemon.Run(ctx)
		})
	}
	group.Go(func() error {
		daemons.Wait()
		stopFakes()
		return nil
	})
	group.Go(func() error {
		if err := demo.configure(ctx, c); err != nil {
			return err
		}
		demo.print(c)
		return nil
	})
	return group.Wait()
}

func (d *demonstration) nextAddress() netip.AddrPort {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), d.nextPort)
	d.nextPort++
	return a
}

func (d *demonstration) file(name string) string { return filepath.Join(d.directory, name) }

// prepare assigns the addresses and writes the token and signing key files.
func (d *demonstration) prepare() error {
	for i := range devDaemons {
		d.daemons = append(d.daemons, &loader.Settings{
			Host:            namer.Host("entry-" + strconv.Itoa(i+1)),
			DataCentre:      "a",
			Callers:         loader.Listener{Address: d.nextAddress()},
			Operators:       loader.Listener{Address: d.nextAddress(), TokenFile: d.file("operators.token")},
			Peers:           loader.Listener{Address: d.nextAddress()},
			SigningKeyFiles: []string{d.file("signing.key")},
			Drain:           loader.Drain{Notice: namer.Duration(devPollInterval)},
		})
	}
	d.store, d.ordering = d.nextAddress(), d.nextAddress()
	for range devEngines {
		d.engines = append(d.engines, d.nextAddress())
	}
	for _, settings := range d.daemons {
		settings.Platform.ObjectAPI = d.store
		for _, other := range d.daemons {
			settings.Seeds = append(settings.Seeds, other.Peers.Address)
		}
	}
	for _, name := range []string{"operators.token", "signing.key"} {
		secret := string(namer.NewStreamID() + namer.NewStreamID())
		if err := os.WriteFile(d.file(name), []byte(secret), 0o600); err != nil {
			return errors.Wrap(err, "write secret")
		}
	}
	for _, settings := range d.daemons {
		if err := settings.Check().Err(); err != nil {
			return errors.Wrap(err, "check settings of the demonstration")
		}
		settings.SetDefaults()
	}
	return nil
}

// startFakes serves the fakes of the object API, the engines and the ordering service until ctx ends.
func (d *demonstration) startFakes(ctx context.Context, group *errgroup.Group) error {
	fakes := map[netip.AddrPort]http.Handler{
		d.store:    &platformtest.StoreHandler{Store: &imitator.Store{}},
		d.ordering: &imitator.Service{},
	}
	for _, address := range d.engines {
		fakes[address] = &imitator.EngineHandler{Engine: &imitator.Engine{
			FirstToken: 50 * time.Millisecond, Interval: 20 * time.Millisecond, ChecksFencing: true, RoleChange: 3 * time.Second,
		}}
	}
	for address, handler := range fakes {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			return errors.Wrap(err, "start fake")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve fake at %s", address)
			}
			return nil
		})
		group.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
	return nil
}

// configure submits the demonstration's configuration and waits until all daemons are ready.
func (d *demonstration) configure(ctx context.Context, c *cli) error {
	ctx, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	operator := operatorFlags{address: d.daemons[0].Operators.Address.String(), tokenFile: d.file("operators.token")}
	header := http.Header{"If-Match": {`"0"`}, administrator.HeaderPatchID: {"demonstration"}}
	for {
		resp, err := operator.call(ctx, http.MethodPatch, "/configuration", header, demoConfiguration(d))
		if err == nil && resp.status == http.StatusOK {
			break
		}
		if err == nil && resp.status == http.StatusUnprocessableEntity {
			return resp.statusError()
		}
		if !waitForNextPoll(ctx) {
			return errors.Errorf("the demonstration's configuration was not accepted within %s", devStartTimeout)
		}
	}
	for _, settings := range d.daemons {
		for !ready(ctx, settings.Callers.Address) {
			if !waitForNextPoll(ctx) {
				return errors.Errorf("daemon %s not ready within %s", settings.Host, devStartTimeout)
			}
		}
	}
	return nil
}

func waitForNextPoll(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(devPollInterval):
		return true
	}
}

func ready(ctx context.Context, address netip.AddrPort) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *demonstration) print(c *cli) {
	for _, settings := range d.daemons {
		fmt.Fprintf(c.out, "daemon %s: callers http://%s, operators http://%s\n", settings.Host, settings.Callers.Address, settings.Operators.Address)
	}
	fmt.Fprintf(c.out, "operators' token file: %s\n", d.file("operators.token"))
	fmt.Fprintf(c.out, "callers' tokens: %s (urgent), %s (free)\n", demoUrgentToken, demoFreeToken)
	fmt.Fprintf(c.out, "try: curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"belt-7b\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Which buckle fits a 38 mm belt?\"}]}'\n",
		d.daemons[0].Callers.Address, demoUrgentToken)
}
