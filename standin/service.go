package main

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"apricotspool/imitator"
)

func addService(app *kingpin.Application, handlers handlerBuilders) {
	command := app.Command("service", "Fake plain service with orders, lookups and an echo.")
	service := &imitator.Service{}
	command.Flag("delay", "Duration of orders and lookups.").DurationVar(&service.Delay)
	handlers[command.FullCommand()] = func() (http.Handler, error) { return service, nil }
}
