package main

import (
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"apricotspool/decoder"
	"apricotspool/imitator"
	"apricotspool/lister"
)

func addHosts(app *kingpin.Application, handlers handlerBuilders) {
	command := app.Command("hosts", "Fake host list.")
	file := command.Flag("file", "JSON file with the host list in the platform's format, {\"hosts\":[...]}; read again every second.").Required().ExistingFile()
	token := command.Flag("token", "Bearer token that calls must carry; if empty, all calls are accepted.").String()
	hosts := &imitator.Hosts{}
	command.Flag("lag", "Time until a change becomes visible.").DurationVar(&hosts.Lag)
	handlers[command.FullCommand()] = func() (http.Handler, error) {
		if err := readHosts(hosts, *file); err != nil {
			return nil, err
		}
		go func() {
			for range time.Tick(time.Second) {
				readHosts(hosts, *file) // on an error, for example a half-written file, the list stays unchanged
			}
		}()
		return &imitator.HostsHandler{Hosts: hosts, Token: *token}, nil
	}
}

func readHosts(hosts *imitator.Hosts, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read host list")
	}
	var list lister.List
	if faults := decoder.Decode(text, &list); len(faults) > 0 {
		return errors.Wrapf(faults, "host list %q", file)
	}
	hosts.Set(list.Hosts)
	return nil
}
