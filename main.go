// Command apricotspool serves language models and plain services on a fixed fleet of endpoints.
package main

import (
	"os"

	"apricotspool/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
