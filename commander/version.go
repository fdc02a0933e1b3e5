package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
)

// Version is the release version of this source tree.
const Version = "0.1.0"

// buildInfo is the JSON output of the version command.
type buildInfo struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
	Commit   string `json:"commit,omitempty"`
}

func (c *cli) addVersion(app *kingpin.Application, actions map[string]func(context.Context) error) {
	command := app.Command("version", "Print the program version.")
	c.addOutput(command)
	actions[command.FullCommand()] = c.version
}

// addOutput adds the flag that selects the output format.
func (c *cli) addOutput(command *kingpin.CmdClause) {
	command.Flag("output", "Output format: text or json.").Default("text").EnumVar(&c.output, "text", "json")
}

func (c *cli) version(context.Context) error {
	b := buildInfo{Version: Version, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				b.Commit = setting.Value
			}
		}
	}
	if c.output == "json" {
		return json.NewEncoder(c.out).Encode(b)
	}
	fmt.Fprintf(c.out, "apricotspool %s (%s, %s) %s\n", b.Version, b.Go, b.Platform, b.Commit)
	return nil
}
