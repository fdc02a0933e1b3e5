package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/assembler"
	"apricotspool/loader"
	"apricotspool/platform"
	"apricotspool/recorder"
)

func (c *cli) addGateway(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("gateway", "Run a daemon that serves the platform's routes. The first SIGTERM or SIGINT drains it, a second one exits at once.")
	name := command.Flag("settings", "Settings file; see docs/settings.md.").Envar(platform.SettingsVariable).Required().String()
	actions[command.FullCommand()] = func(ctx context.Context) error { return c.gateway(ctx, *name) }
}

func (c *cli) gateway(ctx context.Context, name string) error {
	// Never stopped: the default action of the signal would end a daemon that drains.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	settings, err := loader.LoadGateway(name)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrapf(err, "settings file %q", name))
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	log := recorder.NewAsyncLogger(c.out, level)
	defer log.Close()
	daemon := &assembler.Gateway{Settings: settings, Platform: platform.Adapter(), Log: log}
	go reload(ctx, reloads, name, daemon)
	return daemon.Run(ctx)
}

// reload reads the settings again on each SIGHUP. Invalid settings are logged and ignored.
func reload(ctx context.Context, reloads <-chan os.Signal, name string, daemon *assembler.Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
		}
		settings, err := loader.LoadGateway(name)
		if err != nil {
			daemon.Log.Events.Error().Err(err).Str("file", name).Msg("settings-refused")
			continue
		}
		daemon.Reload(settings)
	}
}
