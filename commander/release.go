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

func (c *cli) addRelease(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("release", "Remove the binding of an endpoint that does not check fencing tokens to the process that holds it. Safe only after that process has been stopped; a rejected call names the process that holds the binding.")
	c.operator.add(command)
	endpoint := command.Arg("endpoint", "Name of the endpoint.").Required().String()
	host := command.Flag("host", "Host of the stopped process.").Required().String()
	address := command.Flag("peer-address", "Peer address of the stopped process, as IP:PORT.").Required().String()
	incarnation := command.Flag("incarnation", "Incarnation of the stopped process.").Required().Uint64()
	actions[command.FullCommand()] = func(ctx context.Context) error {
		peerAddress, err := netip.ParseAddrPort(*address)
		if err != nil {
			return withExitCode(ExitUsage, errors.Wrap(err, "--peer-address"))
		}
		return c.release(ctx, *endpoint, namer.Process{Host: namer.Host(*host), Address: peerAddress, Incarnation: namer.Incarnation(*incarnation)})
	}
}

func (c *cli) release(ctx context.Context, endpoint string, stopped namer.Process) error {
	body, err := json.Marshal(stopped)
	if err != nil {
		return errors.Wrap(err, "encode process")
	}
	resp, err := c.operator.call(ctx, http.MethodPost, "/endpoints/"+url.PathEscape(endpoint)+"/release", nil, body)
	if err != nil {
		return err
	}
	if err := resp.statusError(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "endpoint %s released\n", endpoint)
	return nil
}
