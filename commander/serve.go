package commander

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"apricotspool/assembler"
	"apricotspool/loader"
	"apricotspool/platform"
	"apricotspool/recorder"
)

func (c *cli) addServe(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("serve", "Run a daemon. The first SIGTERM or SIGINT drains it, a second one exits at once.")
	name := command.Flag("settings", "Settings file; see docs/settings.md.").Required().String()
	actions[command.FullCommand()] = func(ctx context.Context) error { return c.serve(ctx, *name) }
}

func (c *cli) serve(ctx context.Context, name string) error {
	settings, err := loader.Load(name)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrapf(err, "settings file %q", name))
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	daemon := &assembler.Daemon{Settings: settings, Log: recorder.NewLogger(c.err).Level(level), Version: Version, OpenStore: platform.OpenStore}
	return daemon.Run(ctx)
}
