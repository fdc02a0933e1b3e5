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

func (c *cli) addConfig(app *kingpin.Application, actions map[string]func(context.Context) error) {
	config := app.Command("config", "Read or change the configuration.")

	get := config.Command("get", "Print the active configuration; its version goes to standard error.")
	c.operator.add(get)
	actions[get.FullCommand()] = c.configGet

	patch := config.Command("patch", "Apply a JSON merge patch (RFC 7396). A patch with an outdated base version is rejected, and the changes since then are printed.")
	c.operator.add(patch)
	c.addOutput(patch)
	// The flag can't be named "version": kingpin treats that as its built-in flag and skips the defaults of all flags.
	version := patch.Flag("base-version", "Configuration version that the patch was written against; 0 for the first configuration.").Required().Uint64()
	id := patch.Flag("patch-id", "ID of this patch; random by default. To retry a patch whose outcome was unknown, give its ID and --again; it is applied at most once.").String()
	again := patch.Flag("again", "Retry of a patch whose outcome was unknown.").Bool()
	by := patch.Flag("by", "Operator name to record in the history.").Envar("USER").String()
	file := patch.Arg("file", "Patch file, or - for standard input.").Required().String()
	actions[patch.FullCommand()] = func(ctx context.Context) error {
		return c.configPatch(ctx, namer.ConfigVersion(*version), patchCall{id: *id, again: *again, by: *by, file: *file})
	}

	history := config.Command("history", "Print the most recently accepted patches, oldest first.")
	c.operator.add(history)
	c.addOutput(history)
	limit := history.Flag("limit", "Maximum number of patches to print.").Default("20").Int()
	actions[history.FullCommand()] = func(ctx context.Context) error { return c.configHistory(ctx, *limit) }
}

func (c *cli) configGet(ctx context.Context) error {
	resp, err := c.operator.call(ctx, http.MethodGet, "/configuration", nil, nil)
	if err != nil {
		return err
	}
	if err := resp.statusError(); err != nil {
		return err
	}
	fmt.Fprintf(c.err, "version %s\n", unquoteETag(resp.header.Get("ETag")))
	_, err = c.out.Write(resp.body)
	return errors.Wrap(err, "write configuration")
}

// patchCall holds the flags and the argument of "config patch".
type patchCall struct {
	id, by, file string
	again        bool
}

func (c *cli) configPatch(ctx context.Context, version namer.ConfigVersion, p patchCall) error {
	patch, err := readPatch(p.file)
	if err != nil {
		return withExitCode(ExitUsage, err)
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
	resp, err := c.operator.call(ctx, http.MethodPatch, "/configuration", header, patch)
	var exitErr exitError
	if errors.As(err, &exitErr) {
		return err
	}
	if err != nil {
		return withExitCode(ExitUnknown, errors.Wrapf(err, "outcome unknown; retry with --again --patch-id=%s", id))
	}
	var result distributor.PatchReply
	if json.Unmarshal(resp.body, &result) != nil || result.Result == "" {
		return resp.statusError()
	}
	if c.output == "json" {
		fmt.Fprintf(c.out, "%s\n", resp.body)
	} else {
		printPatch(c.out, id, result)
	}
	return patchError(id, result)
}

func readPatch(file string) ([]byte, error) {
	if file == "-" {
		text, err := io.ReadAll(os.Stdin)
		return text, errors.Wrap(err, "read patch")
	}
	text, err := os.ReadFile(file)
	return text, errors.Wrap(err, "read patch")
}

func printPatch(w io.Writer, id string, result distributor.PatchReply) {
	fmt.Fprintf(w, "patch %s: %s, version %d\n", id, result.Result, result.Version)
	for _, fault := range result.Faults {
		fmt.Fprintf(w, "  %s\n", fault)
	}
	for _, change := range result.Changes {
		fmt.Fprintf(w, "  %s\n", change)
	}
}

func patchError(id string, result distributor.PatchReply) error {
	switch result.Result {
	case distributor.Applied:
		return nil
	case distributor.Stale:
		return withExitCode(ExitStale, errors.Errorf("base version is outdated; write the patch against configuration version %d", result.Version))
	case distributor.Unknown:
		return withExitCode(ExitUnknown, errors.Errorf("outcome unknown; retry with --again --patch-id=%s", id))
	case distributor.Invalid:
		return withExitCode(ExitUsage, errors.New("patch not applied: the resulting configuration is invalid"))
	}
	return errors.Errorf("patch not applied: %s", result.Reason)
}

func (c *cli) configHistory(ctx context.Context, limit int) error {
	resp, err := c.operator.call(ctx, http.MethodGet, "/configuration/history?"+url.Values{"limit": {strconv.Itoa(limit)}}.Encode(), nil, nil)
	if err != nil {
		return err
	}
	if err := resp.statusError(); err != nil {
		return err
	}
	if c.output == "json" {
		_, err = c.out.Write(resp.body)
		return errors.Wrap(err, "write history")
	}
	var entries []distributor.Entry
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return errors.Wrap(err, "decode daemon's response")
	}
	for _, entry := range entries {
		fmt.Fprintf(c.out, "%d\t%s\t%s\t%s\t%s\n", entry.Version, entry.At.Format(time.RFC3339), entry.By, entry.ID, entry.Patch)
	}
	return nil
}

// unquoteETag removes the quotes of an entity tag.
func unquoteETag(tag string) string {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return tag
	}
	return text
}
