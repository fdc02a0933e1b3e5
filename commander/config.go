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

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"apricotspool/administrator"
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
	version := patch.Flag("version", "Version that the patch was written against; 0 for the first configuration.").Required().Uint64()
	id := patch.Flag("patch-id", "Name of this patch. Ask again with the same name when the outcome is unknown; it is applied at most once. Default: random.").String()
	file := patch.Arg("file", "File with the patch, or - for standard input.").Required().String()
	actions[patch.FullCommand()] = func(ctx context.Context) error {
		return c.configPatch(ctx, namer.ConfigVersion(*version), *id, *file)
	}

	history := config.Command("history", "Print the latest accepted patches, the newest first.")
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

func (c *console) configPatch(ctx context.Context, version namer.ConfigVersion, id, file string) error {
	patch, err := readInput(file)
	if err != nil {
		return withCode(ExitUsage, err)
	}
	if id == "" {
		id = string(namer.NewStreamID())
	}
	header := http.Header{
		"If-Match":                       {strconv.Quote(strconv.FormatUint(uint64(version), 10))},
		administrator.HeaderPatchID:      {id},
		http.CanonicalHeaderKey("accept"): {"application/json"},
	}
	a, err := c.operator.call(ctx, http.MethodPatch, "/configuration", header, patch)
	if err != nil {
		return withCode(ExitUnknown, errors.Wrapf(err, "patch %q: the outcome is unknown; ask again with --patch-id=%s", id, id))
	}
	var result administrator.PatchAnswer
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

func printPatch(w io.Writer, id string, result administrator.PatchAnswer) {
	fmt.Fprintf(w, "patch %s: %s, version %d\n", id, result.Result, result.Version)
	for _, fault := range result.Faults {
		fmt.Fprintf(w, "  %s\n", fault)
	}
	for _, change := range result.Changes {
		fmt.Fprintf(w, "  %s\n", change)
	}
}

func patchError(id string, result administrator.PatchAnswer) error {
	switch result.Result {
	case administrator.PatchApplied:
		return nil
	case administrator.PatchStale:
		return withCode(ExitStale, errors.Errorf("the configuration has version %d now; write the patch against it", result.Version))
	case administrator.PatchUnknown:
		return withCode(ExitUnknown, errors.Errorf("the outcome is unknown; ask again with --patch-id=%s", id))
	case administrator.PatchInvalid:
		return withCode(ExitUsage, errors.New("the patched configuration is not valid; nothing was applied"))
	}
	return errors.Errorf("nothing was applied: %s", result.Message)
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
	var entries []administrator.HistoryEntry
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return errors.Wrap(err, "read daemon's answer")
	}
	for _, entry := range entries {
		fmt.Fprintf(c.out, "%d\t%s\t%s\t%s\n", entry.Version, entry.At.Format("2006-01-02T15:04:05Z07:00"), entry.ID, entry.Patch)
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
