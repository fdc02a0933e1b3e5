package commander

import (
	"context"
	"fmt"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
)

func (c *console) addDrain(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("drain", "Shut a daemon down gracefully: it becomes unready, finishes every accepted request and exits. To drain an endpoint, patch its state to \"draining\".")
	c.operator.add(command)
	actions[command.FullCommand()] = c.drain
}

func (c *console) drain(ctx context.Context) error {
	a, err := c.operator.call(ctx, http.MethodPost, "/drain", nil, nil)
	if err != nil {
		return err
	}
	if err := a.problem(); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "the daemon drains")
	return nil
}
