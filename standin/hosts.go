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

func addHosts(app *kingpin.Application, handlers handlers) {
	command := app.Command("hosts", "Host list.")
	file := command.Flag("file", "JSON file with the list as the platform answers it, {\"hosts\":[...]}; it is read again every second.").Required().ExistingFile()
	token := command.Flag("token", "Bearer token that calls must carry; empty accepts every call.").String()
	hosts := &imitator.Hosts{}
	command.Flag("lag", "Time until a change shows.").DurationVar(&hosts.Lag)
	handlers[command.FullCommand()] = func() (http.Handler, error) {
		if err := readHosts(hosts, *file); err != nil {
			return nil, err
		}
		go func() {
			for range time.Tick(time.Second) {
				readHosts(hosts, *file) // a file that is being written keeps the list as it is
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
