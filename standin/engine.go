package main

import (
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"apricotspool/imitator"
	"apricotspool/namer"
)

func addEngine(app *kingpin.Application, handlers handlerBuilders) {
	command := app.Command("engine", "Fake model engine.")
	engine := &imitator.Engine{}
	models := command.Flag("model", "Loaded model; may be repeated. Without this flag, every model is served.").Strings()
	role := command.Flag("role", "Initial role.").Default(string(namer.RoleMixed)).
		Enum(string(namer.RoleMixed), string(namer.RolePrefill), string(namer.RoleDecode))
	command.Flag("first-token", "Time to first token of a stream.").DurationVar(&engine.FirstToken)
	command.Flag("interval", "Time between tokens; 0 sends tokens as fast as they are read.").DurationVar(&engine.Interval)
	command.Flag("tokens", "Number of output tokens of a request that sets no limit; 0 means the default.").IntVar(&engine.Tokens)
	command.Flag("concurrency", "Maximum number of concurrent streams; 0 means no limit.").IntVar(&engine.Concurrency)
	command.Flag("keep", "How long an unread stream is kept; 0 means the default.").DurationVar(&engine.UnreadTTL)
	command.Flag("checks-fencing", "Reject commands with an outdated fencing token.").BoolVar(&engine.ChecksFencing)
	command.Flag("role-change", "Duration of a role change.").DurationVar(&engine.RoleChange)
	command.Flag("load-lag", "Age of the values in a load report.").DurationVar(&engine.LoadLag)
	command.Flag("cache-lag", "Delay of each cache event.").DurationVar(&engine.CacheLag)
	command.Flag("cache-gap", "Drop each cache event whose sequence number is a multiple of this; 0 drops none.").IntVar(&engine.CacheGap)
	handlers[command.FullCommand()] = func() (http.Handler, error) {
		engine.Role = namer.Role(*role)
		for _, m := range *models {
			engine.Models = append(engine.Models, namer.Model(m))
		}
		return &imitator.EngineHandler{Engine: engine}, nil
	}
}
