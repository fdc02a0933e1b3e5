package main

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"apricotspool/imitator"
	"apricotspool/platform/platformtest"
)

func addStore(app *kingpin.Application, handlers handlerBuilders) {
	command := app.Command("store", "Fake object API, in memory.")
	token := command.Flag("token", "Bearer token that calls must carry; if empty, all calls are accepted.").String()
	handlers[command.FullCommand()] = func() (http.Handler, error) {
		return &platformtest.StoreHandler{Store: &imitator.Store{}, Token: *token}, nil
	}
}
