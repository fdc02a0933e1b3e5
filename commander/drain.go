package commander

import (
	"context"
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
)

func (c *cli) addDrain(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("drain", "Shut a daemon down gracefully: it reports itself as not ready, finishes all accepted requests and exits. To drain an endpoint, set its state in the configuration to \"draining\".")
	c.operator.add(command)
	actions[command.FullCommand()] = c.drain
}

func (c *cli) drain(ctx context.Context) error {
	resp, err := c.operator.call(ctx, http.MethodPost, "/drain", nil, nil)
	if err != nil {
		return err
	}
	if err := resp.statusError(); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "daemon is draining")
	return nil
}
