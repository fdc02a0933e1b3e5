package commander

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
)

func (c *console) addRelease(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("release", "Release an endpoint that ignores fencing numbers from the process that commands it. Only safe when that process has ended for certain and the engine was restarted since.")
	c.operator.add(command)
	endpoint := command.Arg("endpoint", "Name of the endpoint.").Required().String()
	actions[command.FullCommand()] = func(ctx context.Context) error { return c.release(ctx, *endpoint) }
}

func (c *console) release(ctx context.Context, endpoint string) error {
	a, err := c.operator.call(ctx, http.MethodPost, "/endpoints/"+url.PathEscape(endpoint)+"/release", nil, nil)
	if err != nil {
		return err
	}
	if err := a.problem(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "endpoint %s is released\n", endpoint)
	return nil
}
