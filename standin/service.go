package main

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"apricotspool/imitator"
)

func addService(app *kingpin.Application, handlers handlers) {
	command := app.Command("service", "Plain service with orders, lookups and an echo.")
	service := &imitator.Service{}
	command.Flag("delay", "Time that orders and lookups take.").DurationVar(&service.Delay)
	handlers[command.FullCommand()] = func() (http.Handler, error) { return service, nil }
}
