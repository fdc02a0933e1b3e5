package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"apricotspool/administrator"
)

func (c *cli) addStatus(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("status", "Print the status of a daemon, its peers and the endpoints.")
	c.operator.add(command)
	c.addOutput(command)
	actions[command.FullCommand()] = c.status
}

func (c *cli) status(ctx context.Context) error {
	resp, err := c.operator.call(ctx, http.MethodGet, "/status", nil, nil)
	if err != nil {
		return err
	}
	if err := resp.statusError(); err != nil {
		return err
	}
	if c.output == "json" {
		_, err = c.out.Write(resp.body)
		return errors.Wrap(err, "write status")
	}
	var status administrator.Status
	if err := json.Unmarshal(resp.body, &status); err != nil {
		return errors.Wrap(err, "decode daemon's response")
	}
	return c.printStatus(status)
}

func (c *cli) printStatus(s administrator.Status) error {
	fmt.Fprintf(c.out, "host %s in %s, version %s, configuration %d, state %s, requests %d\n",
		s.Host, s.DataCentre, s.Version, s.Configuration, s.State, s.Requests)
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PEER\tDATA CENTRE\tSTATE\tCONFIGURATION")
	for _, p := range s.Peers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", p.Host, p.DataCentre, p.State, p.Configuration)
	}
	fmt.Fprintln(table, "ENDPOINT\tSERVICE\tDATA CENTRE\tSTATE\tROLE\tRUNNING\tWAITING\tREPORT AGE")
	for _, e := range s.Endpoints {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", e.Name, e.Service, e.DataCentre, e.State, e.Role, e.Running, e.Waiting, e.ReportAge.Std().Round(time.Millisecond))
	}
	return errors.Wrap(table.Flush(), "write status")
}
