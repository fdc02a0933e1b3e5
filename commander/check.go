package commander

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"apricotspool/decoder"
	"apricotspool/loader"
)

func (c *cli) addCheck(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("check", "Validate a settings file and print every fault with its path.")
	name := command.Flag("settings", "Settings file to validate.").Required().String()
	c.addOutput(command)
	actions[command.FullCommand()] = func(context.Context) error { return c.check(*name) }
}

func (c *cli) check(name string) error {
	_, err := loader.Load(name)
	var faults decoder.Faults
	if err != nil && !errors.As(err, &faults) {
		return withExitCode(ExitUsage, err)
	}
	if c.output == "json" {
		if faults == nil {
			faults = decoder.Faults{}
		}
		if err := json.NewEncoder(c.out).Encode(faults); err != nil {
			return errors.Wrap(err, "write faults")
		}
	} else {
		for _, fault := range faults {
			fmt.Fprintln(c.out, fault)
		}
	}
	if len(faults) > 0 {
		return withExitCode(ExitUsage, errors.Errorf("settings file %q has %d faults", name, len(faults)))
	}
	if c.output != "json" {
		fmt.Fprintf(c.out, "settings file %q is valid\n", name)
	}
	return nil
}
