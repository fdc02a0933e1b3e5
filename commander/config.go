package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"apricotspool/administrator"
	"apricotspool/distributor"
	"apricotspool/namer"
)

func (c *console) addConfig(app *kingpin.Application, actions map[string]func(context.Context) error) {
	config := app.Command("config", "Read and change the configuration.")

	get := config.Command("get", "Print the configuration in force, with its version on standard error.")
	c.operator.add(get)
	actions[get.FullCommand()] = c.configGet

	patch := config.Command("patch", "Apply a JSON merge patch (RFC 7396). A patch written against an old version is refused with what changed since.")
	c.operator.add(patch)
	c.addOutput(patch)
	// kingpin takes a flag named "version" for its own and then skips the defaults of all flags.
	version := patch.Flag("base-version", "Version that the patch was written against; 0 for the first configuration.").Required().Uint64()
	id := patch.Flag("patch-id", "Name of this patch; default: random. With the name of an earlier patch whose outcome was unknown, and --again, it is applied at most once.").String()
	again := patch.Flag("again", "The patch was sent before and its outcome was unknown.").Bool()
	by := patch.Flag("by", "Name of the operator, for the history.").Envar("USER").String()
	file := patch.Arg("file", "File with the patch, or - for standard input.").Required().String()
	actions[patch.FullCommand()] = func(ctx context.Context) error {
		return c.configPatch(ctx, namer.ConfigVersion(*version), patchCall{id: *id, again: *again, by: *by, file: *file})
	}

	history := config.Command("history", "Print the latest accepted patches, the oldest first.")
	c.operator.add(history)
	c.addOutput(history)
	limit := history.Flag("limit", "Most patches to print.").Default("20").Int()
	actions[history.FullCommand()] = func(ctx context.Context) error { return c.configHistory(ctx, *limit) }
}

func (c *console) configGet(ctx context.Context) error {
	a, err := c.operator.call(ctx, http.MethodGet, "/configuration", nil, nil)
	if err != nil {
		return err
	}
	if err := a.problem(); err != nil {
		return err
	}
	fmt.Fprintf(c.err, "version %s\n", unquoted(a.header.Get("ETag")))
	_, err = c.out.Write(a.body)
	return errors.Wrap(err, "write configuration")
}

// patchCall holds the flags of one call of "config patch".
type patchCall struct {
	id, by, file string
	again        bool
}

func (c *console) configPatch(ctx context.Context, version namer.ConfigVersion, p patchCall) error {
	patch, err := readInput(p.file)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	id := p.id
	if id == "" {
		id = string(namer.NewStreamID())
	}
	header := http.Header{
		"If-Match":                      {strconv.Quote(strconv.FormatUint(uint64(version), 10))},
		administrator.HeaderPatchID:     {id},
		administrator.HeaderPatchRepeat: {strconv.FormatBool(p.again)},
		administrator.HeaderOperator:    {p.by},
	}
	a, err := c.operator.call(ctx, http.MethodPatch, "/configuration", header, patch)
	var coded exitError
	if errors.As(err, &coded) {
		return err
	}
	if err != nil {
		return withCode(ExitUnknown, errors.Wrapf(err, "the outcome is unknown; ask again with --again --patch-id=%s", id))
	}
	var result distributor.Answer
	if json.Unmarshal(a.body, &result) != nil || result.Result == "" {
		return a.problem()
	}
	if c.output == "json" {
		fmt.Fprintf(c.out, "%s\n", a.body)
	} else {
		printPatch(c.out, id, result)
	}
	return patchError(id, result)
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		text, err := io.ReadAll(os.Stdin)
		return text, errors.Wrap(err, "read patch")
	}
	text, err := os.ReadFile(file)
	return text, errors.Wrap(err, "read patch")
}

func printPatch(w io.Writer, id string, result distributor.Answer) {
	fmt.Fprintf(w, "patch %s: %s, version %d\n", id, result.Result, result.Version)
	for _, fault := range result.Faults {
		fmt.Fprintf(w, "  %s\n", fault)
	}
	for _, change := range result.Changes {
		fmt.Fprintf(w, "  %s\n", change)
	}
}

func patchError(id string, result distributor.Answer) error {
	switch result.Result {
	case distributor.Applied:
		return nil
	case distributor.Stale:
		return withCode(ExitStale, errors.Errorf("the configuration has version %d now; write the patch against it", result.Version))
	case distributor.Unknown:
		return withCode(ExitUnknown, errors.Errorf("the outcome is unknown; ask again with --again --patch-id=%s", id))
	case distributor.Invalid:
		return withCode(ExitUsage, errors.New("the patched configuration is not valid; nothing was applied"))
	}
	return errors.Errorf("nothing was applied: %s", result.Reason)
}

func (c *console) configHistory(ctx context.Context, limit int) error {
	a, err := c.operator.call(ctx, http.MethodGet, "/configuration/history?"+url.Values{"limit": {strconv.Itoa(limit)}}.Encode(), nil, nil)
	if err != nil {
		return err
	}
	if err := a.problem(); err != nil {
		return err
	}
	if c.output == "json" {
		_, err = c.out.Write(a.body)
		return errors.Wrap(err, "write history")
	}
	var entries []distributor.Entry
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return errors.Wrap(err, "read daemon's answer")
	}
	for _, entry := range entries {
		fmt.Fprintf(c.out, "%d\t%s\t%s\t%s\t%s\n", entry.Version, entry.At.Format(time.RFC3339), entry.By, entry.ID, entry.Patch)
	}
	return nil
}

// unquoted strips the quotes of an entity tag.
func unquoted(tag string) string {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return tag
	}
	return text
}
