package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"apricotspool/namer"
)

func (c *console) addRelease(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("release", "Release an endpoint that ignores fencing numbers from the process that is bound to it. Only safe when that process has been stopped; the daemon's refusal names the process that is bound.")
	c.operator.add(command)
	endpoint := command.Arg("endpoint", "Name of the endpoint.").Required().String()
	host := command.Flag("host", "Host of the process that was stopped.").Required().String()
	address := command.Flag("peer-address", "Peer address of the process that was stopped, as IP:PORT.").Required().String()
	incarnation := command.Flag("incarnation", "Incarnation of the process that was stopped.").Required().Uint64()
	actions[command.FullCommand()] = func(ctx context.Context) error {
		at, err := netip.ParseAddrPort(*address)
		if err != nil {
			return withCode(ExitUsage, errors.Wrap(err, "--peer-address"))
		}
		return c.release(ctx, *endpoint, namer.Process{Host: namer.Host(*host), Address: at, Incarnation: namer.Incarnation(*incarnation)})
	}
}

func (c *console) release(ctx context.Context, endpoint string, stopped namer.Process) error {
	body, err := json.Marshal(stopped)
	if err != nil {
		return errors.Wrap(err, "encode process")
	}
	a, err := c.operator.call(ctx, http.MethodPost, "/endpoints/"+url.PathEscape(endpoint)+"/release", nil, body)
	if err != nil {
		return err
	}
	if err := a.problem(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "endpoint %s is released\n", endpoint)
	return nil
}
